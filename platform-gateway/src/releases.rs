//! Release requests. The gateway asks a prefill server to release a KV cache that no attempt will fetch. If the prefill
//! server does not answer, the gateway sends the request through other servers, which relay it.

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
    /// Starts the release task of a release. The task sends the request to the prefill server and, if that server does
    /// not answer within the relay interval, also to other servers, which relay the request.
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

    /// Returns the first server that answers a release request: the prefill server or a relay. Returns `None` if all
    /// calls fail. The first relay is sent the request once the call to the prefill server has failed or the relay
    /// interval is over, and each further relay one interval after the relay before. Earlier calls stay in progress.
    async fn release(&self, release: &CacheRelease, pending_since: Option<Nanos>) -> Option<ServerId> {
        let interval = Duration::from_nanos(self.event_loop.requests().relay_interval());
        let address = self.event_loop.requests().server_address(release.server);
        let mut direct: Call<'_, ServerId> =
            Box::pin(self.release_via(release.server, address, release, pending_since));
        let answer = async { Some(direct.as_mut().await) };
        let interval_elapsed = async {
            Timer::after(interval).await;
            None
        };
        let mut calls = match future::or(answer, interval_elapsed).await {
            Some(Some(answered_by)) => return Some(answered_by),
            Some(None) => Vec::new(),
            None => vec![direct],
        };
        let relays = self.event_loop.requests().release_relays(release);
        for (number, (relay, address)) in (0..).zip(relays) {
            calls.push(Box::pin(async move {
                Timer::after(interval * number).await;
                self.release_via(relay, Some(address), release, pending_since).await
            }));
        }
        first_success(&mut calls).await
    }

    /// Sends the release request to one server. Returns that server if it answered.
    async fn release_via(
        &self,
        server: ServerId,
        address: Option<SocketAddr>,
        release: &CacheRelease,
        pending_since: Option<Nanos>,
    ) -> Option<ServerId> {
        let timeout = Duration::from_nanos(self.event_loop.requests().release_timeout());
        // The release may have been revoked meanwhile, because another attempt uses the KV cache.
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
