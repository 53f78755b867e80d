//! Connections of clients: taken, counted, and bounded in what they bring before it is understood.

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::future;
use petrelshore_chat_gateway::Gateway;
use petrelshore_gateway_core::ingress_limits::{IngressError, IngressLimits};
use petrelshore_gateway_core::{fingerprint, timeouts};
use petrelshore_http1::io_retry::{FailureClass, classify_accept, classify_listen};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::debug;

/// Connections that may wait to be taken.
const WAITING: i32 = 1024;
/// After a failed accept, as when file handles run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// So often is listening tried again, after a pause: well within the time that a start may take.
const BINDINGS: usize = 50;
const BIND_PAUSE: Duration = Duration::from_millis(100);
/// Past the request manager's own bound for a client that takes nothing, its socket is closed.
const CLOSE_AFTER: Duration = Duration::from_secs(2);

/// A front that listens.
pub struct Listener {
    listener: TcpListener,
    pub address: SocketAddr,
    /// Since when connections may wait in the system's queue although they could be taken; none once it was empty.
    backlogged_since: Cell<Option<Instant>>,
}

/// A client that has connected.
pub struct AcceptedClient {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    /// It may have come, with its first request, at any time from then on: accepts had failed, or were put off.
    pub backlogged_since: Option<Instant>,
}

/// Listens at an address; what fails for a moment is tried again.
pub async fn bind(address: SocketAddr) -> io::Result<Listener> {
    for _ in 0..BINDINGS {
        match listen(address).await {
            Err(error)
                if matches!(
                    classify_listen(&error),
                    FailureClass::Immediate | FailureClass::ResourceShortage
                ) =>
            {
                debug!(%error, %address, "listening failed: trying again");
                Timer::after(BIND_PAUSE).await;
            }
            listening => return listening,
        }
    }
    listen(address).await
}

async fn listen(address: SocketAddr) -> io::Result<Listener> {
    let listener = TcpListener::bind(address).await?;
    // Bound anew with a longer queue: where it overflows, clients wait a second for their next try.
    rustix::net::listen(&listener, WAITING)?;
    let address = listener.local_addr()?;
    Ok(Listener { listener, address, backlogged_since: Cell::new(None) })
}

impl Listener {
    /// The next client. A failed accept never ends the front, nor spins it.
    pub async fn accept(&self) -> AcceptedClient {
        loop {
            let accepted = match future::poll_once(self.listener.accept()).await {
                Some(accepted) => accepted,
                None => {
                    // Nobody waits: whoever is taken next has just come.
                    self.backlogged_since.set(None);
                    self.listener.accept().await
                }
            };
            match accepted {
                Ok((stream, peer)) => {
                    return AcceptedClient { stream, peer, backlogged_since: self.backlogged_since.get() };
                }
                Err(error) => {
                    debug!(%error, "accept failed");
                    self.mark_backlog();
                    match classify_accept(&error) {
                        // Others get their turn, however many fail in a row.
                        FailureClass::Immediate => future::yield_now().await,
                        _ => drop(Timer::after(ACCEPT_PAUSE).await),
                    }
                }
            }
        }
    }

    /// From now on connections may wait although they could be taken.
    pub fn mark_backlog(&self) {
        let since = self.backlogged_since.get().unwrap_or_else(Instant::now);
        self.backlogged_since.set(Some(since));
    }
}

/// The way in to one gateway, for all of its fronts together: their connections and bodies share one bound.
#[derive(Clone)]
pub struct Ingress {
    pub gateway: Gateway,
    limits: Rc<RefCell<IngressLimits>>,
}

impl Ingress {
    pub fn new(gateway: Gateway) -> Self {
        let limits = gateway.settings().limits;
        Ingress {
            gateway,
            limits: Rc::new(RefCell::new(IngressLimits::new(limits.connections, limits.body_bytes))),
        }
    }

    /// Takes connections for as long as it is polled. Those for which there is no room are handed on to be told so.
    pub async fn serve<C, T>(
        self,
        listening: Listener,
        connected: impl Fn(TcpStream, ClientGuard) -> C,
        reject: impl Fn(TcpStream) -> T,
    ) where
        C: Future<Output = ()> + 'static,
        T: Future<Output = ()> + 'static,
    {
        let spawner = self.gateway.spawner().clone();
        loop {
            let AcceptedClient { stream, peer, .. } = listening.accept().await;
            // Tokens are small and must not wait for each other.
            let _ = stream.set_nodelay(true);
            let client = fingerprint::stable_id(&peer.ip().to_string());
            if self.limits.borrow_mut().acquire_connection(client).is_err() {
                let late = async {
                    Timer::after(CLOSE_AFTER).await;
                };
                spawner.run(future::or(reject(stream), late));
                continue;
            }
            spawner.run(connected(stream, ClientGuard { limits: self.limits.clone(), client, peer }));
        }
    }
}

/// How long a client may take nothing of what is written for it, before its socket is closed.
pub fn stall_timeout() -> Duration {
    Duration::from_nanos(timeouts::stall_timeout()) + CLOSE_AFTER
}

/// A client's place inside; dropping it is leaving.
pub struct ClientGuard {
    limits: Rc<RefCell<IngressLimits>>,
    pub client: u64,
    pub peer: SocketAddr,
}

impl ClientGuard {
    /// The room of a body that is about to be read.
    pub fn reserve_body(&self) -> BodyReservation {
        BodyReservation::new(self.limits.clone(), self.client)
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.limits.borrow_mut().release_connection(self.client);
    }
}

/// Bytes of a body that is being read; dropping it gives their room back.
pub struct BodyReservation {
    limits: Rc<RefCell<IngressLimits>>,
    client: u64,
    bytes: usize,
}

impl BodyReservation {
    pub fn new(limits: Rc<RefCell<IngressLimits>>, client: u64) -> Self {
        BodyReservation { limits, client, bytes: 0 }
    }

    /// Room for a body that has come to so many bytes, or was told to.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), IngressError> {
        let more = bytes.saturating_sub(self.bytes);
        self.limits.borrow_mut().acquire_bytes(self.client, self.bytes, more)?;
        self.bytes += more;
        Ok(())
    }

    /// Room for so many bytes that are kept beside a whole body.
    pub fn reserve_extra(&mut self, bytes: usize) -> Result<(), IngressError> {
        self.limits.borrow_mut().acquire_bytes(self.client, 0, bytes)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.limits.borrow_mut().release_bytes(self.client, self.bytes);
    }
}
