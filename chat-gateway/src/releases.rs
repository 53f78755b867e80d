//! Release requests: a prefill server that holds a KV cache which nobody will fetch is asked to release it.

use crate::state::GatewayState;
use petrelshore::interface::ServerId;
use petrelshore_gateway_core::cache_releases::{CacheRelease, ReleaseOutcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

impl GatewayState {
    /// Starts the release task, which asks a server once. The request table has it repeated until the server has
    /// answered, or is known to hold nothing.
    pub(crate) fn send_release(self: &Rc<Self>, release: CacheRelease) {
        let Some(address) = self.last_address(release.server) else {
            return self.release_finished(&release, ReleaseOutcome::ServerGone);
        };
        let state = self.clone();
        let timeout = Duration::from_nanos(self.event_loop.requests().release_timeout());
        self.spawner.run(async move {
            let outcome = state.client.release(address, &release.request_id, timeout).await;
            state.log_release(&release, outcome);
            // A connection that did not come up in time proves nothing of what its server holds.
            if outcome.is_ok() {
                state.release_finished(&release, ReleaseOutcome::Acknowledged);
            }
        });
    }

    /// Where a server is reached, or was when it was last listed.
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
