//! The graceful shutdown of a platform gateway, which follows the plan of the gateway core.

use async_io::Timer;
use futures_lite::future;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::graceful_shutdown::{ClientResumption, MigrationWindow, ShutdownPlan};
use petrelshore_platform_gateway::PlatformGateway;
use petrelshore_platform_ingress::Clients;
use std::time::Duration;
use tracing::info;

const MILLISECOND: Nanos = 1_000_000;
/// Time between two steps of the stream migration, in nanoseconds.
const MIGRATION_INTERVAL: Nanos = 50 * MILLISECOND;
/// Time that the gateway waits for late connections after all requests are answered and all connections are closed.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(5);

/// A shutdown in progress.
pub(super) struct Shutdown {
    gateway: PlatformGateway,
    clients: Clients,
    plan: ShutdownPlan,
    /// Time of the stop signal on the gateway's clock, in nanoseconds.
    signalled_at: Nanos,
}

impl Shutdown {
    /// Plans the shutdown of a gateway that has just received its stop signal.
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

    /// Runs the shutdown. Returns once all requests are answered, or once the plan's time to exit has come.
    pub(super) async fn run(&self) {
        future::zip(self.migrate_streams(), self.stop_accepting()).await;
        future::or(self.wait_until_finished(), self.terminate()).await;
    }

    async fn sleep_until(&self, since_signal: Nanos) {
        Timer::at(self.gateway.clock().instant(self.signalled_at + since_signal)).await;
    }

    async fn migrate_streams(&self) {
        let Some(MigrationWindow { start, end }) = self.plan.migrate_streams else { return };
        info!(from_ms = start / MILLISECOND, until_ms = end / MILLISECOND, "migrating streams");
        let mut since_signal = start;
        while since_signal <= end {
            self.sleep_until(since_signal).await;
            // Other tasks first forward the data that has already arrived, because a stream may have ended by itself.
            future::yield_now().await;
            self.gateway.migrate_streams(&self.plan, since_signal..since_signal + MIGRATION_INTERVAL);
            since_signal += MIGRATION_INTERVAL;
        }
    }

    async fn stop_accepting(&self) {
        self.sleep_until(self.plan.accept_until).await;
        self.gateway.drain();
        self.clients.begin_shutdown();
    }

    async fn terminate(&self) {
        let (Some(terminate_at), Some(exit_by)) = (self.plan.terminate_at, self.plan.exit_by) else {
            return future::pending().await;
        };
        self.sleep_until(terminate_at).await;
        future::yield_now().await;
        info!(in_flight = self.gateway.tracked(), "terminating requests in flight");
        self.gateway.terminate_all();
        self.sleep_until(exit_by).await;
    }

    /// Waits until every request is answered and every connection is closed. That includes requests that are still
    /// being read and requests on connections that wait to be accepted: the listener stays open to the end, and late
    /// requests are rejected with a Retry-After.
    async fn wait_until_finished(&self) {
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
