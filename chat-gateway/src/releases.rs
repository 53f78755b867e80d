//! Release requests: the gateway asks a prefill server to release a KV cache that no attempt will fetch any more.

use crate::state::GatewayState;
use petrelshore::interface::ServerId;
use petrelshore_gateway_core::cache_releases::{CacheRelease, ReleaseOutcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

impl GatewayState {
    /// Starts a release task, which sends a release request once. The request table commands the same release again
    /// until the server has answered or is known to have stopped, or until the release is abandoned as too old.
    pub(crate) fn send_release(self: &Rc<Self>, release: CacheRelease) {
        let Some(address) = self.last_address(release.server) else {
            return self.release_finished(&release, ReleaseOutcome::ServerGone);
        };
        let state = self.clone();
        let timeout = Duration::from_nanos(self.event_loop.requests().release_timeout());
        self.spawner.run(async move {
            let outcome = state.client.release(address, &release.request_id, timeout).await;
            state.log_release(&release, outcome);
            // A failed request, such as a request that got no connection in time, does not show whether the server
            // still holds the KV cache.
            if outcome.is_ok() {
                state.release_finished(&release, ReleaseOutcome::Acknowledged);
            }
        });
    }

    /// Returns the address of a server, or its last known address if the server is no longer listed.
    fn last_address(&self, server: ServerId) -> Option<SocketAddr> {
        let listed = self.addresses.borrow().get(&server).copied();
        listed.or_else(|| {
            let former = self.former_addresses.borrow();
            former.iter().rev().find(|(id, _)| *id == server).map(|(_, address)| *address)
        })
    }

    fn release_finished(&self, release: &CacheRelease, outcome: ReleaseOutcome) {
        let now = self.event_loop.now();
        self.event_loop.requests_mut().release_finished(now, release, outcome);
    }
}
