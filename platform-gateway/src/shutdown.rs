//! Graceful shutdown: the gateway rejects new requests, migrates streams, and terminates the remaining requests.

use crate::gateway::PlatformGateway;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::graceful_shutdown::{ClientResumption, ShutdownPlan};
use petrelshore_runtime::{EventDriven, wait_until};
use std::ops::Range;

impl PlatformGateway {
    /// Rejects new requests from now on. Requests in flight continue.
    pub fn drain(&self) {
        self.0.event_loop.requests_mut().drain();
    }

    /// Plans a shutdown that begins now. `longest_abandon_time` and `client_resumption` are settings of the platform.
    pub fn shutdown_plan(
        &self,
        longest_abandon_time: Nanos,
        client_resumption: ClientResumption,
    ) -> ShutdownPlan {
        let now = self.0.event_loop.now();
        self.0.event_loop.requests().shutdown_plan(now, longest_abandon_time, client_resumption)
    }

    /// Ends the streams that the plan schedules for migration in the period `since_stop`, whose bounds are times since
    /// the stop signal.
    pub fn migrate_streams(&self, plan: &ShutdownPlan, since_stop: Range<Nanos>) {
        self.0.apply(|requests, now, commands| requests.migrate_streams(now, plan, since_stop, commands));
    }

    /// Gives every request in flight its final answer now.
    pub fn terminate_all(&self) {
        self.0.apply(|requests, now, commands| requests.terminate_all(now, commands));
    }

    /// Returns once the gateway is idle.
    pub async fn wait_until_idle(&self) {
        wait_until(&self.0.request_or_release_finished, || self.is_idle()).await;
    }

    /// Returns whether no request is tracked and no release is pending.
    pub fn is_idle(&self) -> bool {
        self.tracked() == 0 && self.0.event_loop.requests().pending_releases() == 0
    }
}
