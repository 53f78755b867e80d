//! The graceful shutdown of a platform gateway, by the plan that the core makes for it.

use async_io::Timer;
use futures_lite::future;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::graceful_shutdown::{ClientResumption, MigrationWindow, ShutdownPlan};
use petrelshore_platform_gateway::PlatformGateway;
use petrelshore_platform_ingress::Clients;
use std::time::Duration;
use tracing::info;

const MILLISECOND: Nanos = 1_000_000;
/// Streams are migrated in steps of this.
const MIGRATION_INTERVAL: Nanos = 50 * MILLISECOND;
/// Once nothing is left, clients that have connected meanwhile are waited for, for this long.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(5);

/// A shutdown under way.
pub(super) struct Shutdown {
    gateway: PlatformGateway,
    clients: Clients,
    plan: ShutdownPlan,
    /// When the stop signal came.
    signalled_at: Nanos,
}

impl Shutdown {
    /// Plans the shutdown of a gateway whose stop signal has just come.
    pub(super) fn new(
        gateway: PlatformGateway,
        clients: Clients,
        longest_abandon: Nanos,
        client_resumption: ClientResumption,
    ) -> Self {
        let signalled_at = gateway.clock().now();
        let plan = gateway.shutdown_plan(longest_abandon, client_resumption);
        Shutdown { gateway, clients, plan, signalled_at }
    }

    /// Returns once everything is answered, or the plan's time is over.
    pub(super) async fn run(&self) {
        future::zip(self.migrate_streams(), self.stop_accepting()).await;
        future::or(self.until_idle(), self.terminate()).await;
    }

    async fn until(&self, after_signal: Nanos) {
        Timer::at(self.gateway.clock().instant(self.signalled_at + after_signal)).await;
    }

    async fn migrate_streams(&self) {
        let Some(MigrationWindow { start, end }) = self.plan.migrate_streams else { return };
        info!(from_ms = start / MILLISECOND, until_ms = end / MILLISECOND, "migrating streams");
        let mut after = start;
        while after <= end {
            self.until(after).await;
            // What has come in this turn is forwarded first: a stream may have ended by itself.
            future::yield_now().await;
            self.gateway.migrate_streams(&self.plan, after..after + MIGRATION_INTERVAL);
            after += MIGRATION_INTERVAL;
        }
    }

    async fn stop_accepting(&self) {
        self.until(self.plan.accept_until).await;
        self.gateway.drain();
        self.clients.begin_shutdown();
    }

    async fn terminate(&self) {
        let (Some(terminate_at), Some(exit_by)) = (self.plan.terminate_at, self.plan.exit_by) else {
            return future::pending().await;
        };
        self.until(terminate_at).await;
        future::yield_now().await;
        info!(in_flight = self.gateway.tracked(), "terminating requests in flight");
        self.gateway.terminate_all();
        self.until(exit_by).await;
    }

    /// A request that is still being read is owed its answer too, and so is one on a connection that waits to be
    /// accepted: the listener is open to the end, and late requests are rejected with a Retry-After.
    async fn until_idle(&self) {
        loop {
            self.clients.until_empty().await;
            self.gateway.wait_until_idle().await;
            Timer::after(FINAL_ACCEPT_TIMEOUT).await;
            if self.clients.is_empty() && self.gateway.is_idle() {
                return;
            }
        }
    }
}
