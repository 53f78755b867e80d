//! Graceful shutdown: nothing new is accepted, streams are migrated, the rest is terminated.

use crate::gateway::PlatformGateway;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::graceful_shutdown::{ClientResumption, ShutdownPlan};
use petrelshore_runtime::{EventDriven, wait_until};
use std::ops::Range;

impl PlatformGateway {
    /// Accepts nothing further: new requests are rejected at once.
    pub fn drain(&self) {
        self.0.event_loop.requests_mut().drain();
    }

    /// The schedule of a shutdown that begins now. `longest_abandon` and `client_resumption` are settings of the platform.
    pub fn shutdown_plan(&self, longest_abandon: Nanos, client_resumption: ClientResumption) -> ShutdownPlan {
        let now = self.0.event_loop.now();
        self.0.event_loop.requests().shutdown_plan(now, longest_abandon, client_resumption)
    }

    /// Ends the streams that such a plan has end within a range of times since the stop signal.
    pub fn migrate_streams(&self, plan: &ShutdownPlan, since_stop: Range<Nanos>) {
        self.0.apply(|requests, now, commands| requests.migrate_streams(now, plan, since_stop, commands));
    }

    /// Whatever is still in flight gets its final answer now.
    pub fn terminate_all(&self) {
        self.0.apply(|requests, now, commands| requests.terminate_all(now, commands));
    }

    /// Returns once the gateway is idle.
    pub async fn wait_until_idle(&self) {
        wait_until(&self.0.request_or_release_finished, || self.is_idle()).await;
    }

    /// Whether nothing is in flight and no release is pending.
    pub fn is_idle(&self) -> bool {
        self.tracked() == 0 && self.0.event_loop.requests().pending_releases() == 0
    }
}
