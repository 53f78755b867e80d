//! Release requests: a prefill server that holds a KV cache which nobody will fetch is asked to release it, by way of
//! other servers where it can't be reached.

use crate::state::GatewayState;
use async_io::Timer;
use futures_lite::future;
use petrelshore::interface::{Nanos, ServerId};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::cache_releases::CacheRelease;
use petrelshore_platform_engine_client::SendPermission;
use petrelshore_runtime::{Call, first_success};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

impl GatewayState {
    /// Starts the release task of a release: it asks the prefill server and, where that has not answered soon, other
    /// servers, which forward such a request.
    pub(crate) fn send_release(self: &Rc<Self>, release: CacheRelease) {
        let state = self.clone();
        let pending_since = self.event_loop.requests().release_pending_since(&release);
        let sent_at = self.event_loop.now();
        self.spawner.run(async move {
            let answered_by = state.release(&release, pending_since).await;
            state.log_release(&release, sent_at, answered_by);
            let now = state.event_loop.now();
            state.event_loop.requests_mut().release_finished(now, &release, pending_since, answered_by);
            state.request_or_release_finished.notify(usize::MAX);
        });
    }

    /// Which server has answered a release, of the prefill server and those by way of which it is asked: each next one
    /// is asked after an interval, and those before are awaited all the same.
    async fn release(&self, release: &CacheRelease, pending_since: Option<Nanos>) -> Option<ServerId> {
        let interval = Duration::from_nanos(self.event_loop.requests().relay_interval());
        let address = self.event_loop.requests().server_address(release.server);
        let mut direct: Call<'_, ServerId> =
            Box::pin(self.release_by_way_of(release.server, address, release, pending_since));
        let answer = async { Some(direct.as_mut().await) };
        let interval_over = async {
            Timer::after(interval).await;
            None
        };
        let mut calls = match future::or(answer, interval_over).await {
            Some(Some(answered_by)) => return Some(answered_by),
            Some(None) => Vec::new(),
            None => vec![direct],
        };
        let relays = self.event_loop.requests().release_relays(release);
        for (number, (relay, address)) in (0..).zip(relays) {
            calls.push(Box::pin(async move {
                Timer::after(interval * number).await;
                self.release_by_way_of(relay, Some(address), release, pending_since).await
            }));
        }
        first_success(&mut calls).await
    }

    /// Asks one server; returns that server if it has answered.
    async fn release_by_way_of(
        &self,
        server: ServerId,
        address: Option<SocketAddr>,
        release: &CacheRelease,
        pending_since: Option<Nanos>,
    ) -> Option<ServerId> {
        let timeout = Duration::from_nanos(self.event_loop.requests().release_timeout());
        // The release may have been revoked meanwhile, since another attempt uses that cache.
        let send_check = || match self.event_loop.requests().release_pending_since(release) == pending_since {
            true => SendPermission::Granted,
            false => SendPermission::Denied,
        };
        let outcome = match address {
            Some(address) => self.client.release(address, &release.request_id, timeout, &send_check).await,
            None => Err(AttemptEnd::NotConnected),
        };
        let (request_id, name) = (&release.request_id, self.server_name(server));
        debug!(%request_id, server = %name, ?outcome, "release attempted");
        outcome.is_ok().then_some(server)
    }
}
