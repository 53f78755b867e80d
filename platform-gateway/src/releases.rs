//! Words to let go: a reader that holds a state nobody will take is told so, by way of others where it can't be had.

use crate::gateway::Inner;
use async_io::Timer;
use futures_lite::future;
use petrelshore::interface::{Nanos, ServerId};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::cache_releases::CacheRelease;
use petrelshore_platform_engine_client::SendPermission;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tracing::debug;

impl Inner {
    /// Tells a reader to let go of a state; where it can't be had soon, other model servers too, which take such word.
    pub(crate) fn tell_reader(self: &Rc<Self>, release: CacheRelease) {
        let inner = self.clone();
        let owed_since = self.requests.borrow().release_pending_since(&release);
        self.spawner.run(async move {
            let answered = inner.release(&release, owed_since).await;
            let by = answered.map(|server| server.0);
            debug!(server = release.server.0, request = release.request_id, by, "let go");
            inner.requests.borrow_mut().release_finished(inner.clock.now(), &release, owed_since, answered);
            inner.emptied.notify(usize::MAX);
        });
    }

    /// Which server has answered a word, of its reader and those by way of which it is told: each next one is told
    /// after a while, and those before are awaited all the same.
    async fn release(&self, release: &CacheRelease, owed_since: Option<Nanos>) -> Option<ServerId> {
        let (within, step) = {
            let requests = self.requests.borrow();
            (
                Duration::from_nanos(requests.release_timeout()),
                Duration::from_nanos(requests.relay_interval()),
            )
        };
        let may_go = || match self.requests.borrow().release_pending_since(release) == owed_since {
            true => SendPermission::Granted,
            false => SendPermission::Denied,
        };
        let told = async |server: ServerId, to: Option<SocketAddr>| {
            let told = match to {
                Some(to) => self.client.release(to, &release.request_id, within, &may_go).await,
                None => Err(AttemptEnd::NotConnected),
            };
            debug!(server = server.0, request = release.request_id, ?told, "told to let go");
            told.is_ok().then_some(server)
        };
        let to = self.requests.borrow().server_address(release.server);
        let mut reader: Told<'_> = Box::pin(told(release.server, to));
        let soon = async { Some(reader.as_mut().await) };
        let late = async {
            Timer::after(step).await;
            None
        };
        let mut calls = match future::or(soon, late).await {
            Some(Some(answered)) => return Some(answered),
            Some(None) => Vec::new(),
            None => vec![reader],
        };
        let others = self.requests.borrow().release_relays(release);
        for (count, (other, to)) in (0..).zip(others) {
            let told = &told;
            calls.push(Box::pin(async move {
                Timer::after(step * count).await;
                told(other, Some(to)).await
            }));
        }
        first_told(calls).await
    }
}

/// Tells one server; itself where it has answered.
type Told<'a> = Pin<Box<dyn Future<Output = Option<ServerId>> + 'a>>;

/// The first server that has answered; none once all have failed.
async fn first_told(mut calls: Vec<Told<'_>>) -> Option<ServerId> {
    future::poll_fn(|context| {
        let mut answered = None;
        calls.retain_mut(|call| match call.as_mut().poll(context) {
            Poll::Pending => true,
            Poll::Ready(server) => {
                answered = answered.or(server);
                false
            }
        });
        if answered.is_some() || calls.is_empty() { Poll::Ready(answered) } else { Poll::Pending }
    })
    .await
}
