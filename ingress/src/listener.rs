//! Connections of clients: accepted, counted, and limited in what they send before it is understood.

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

/// Connections that may wait in the system's queue to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Delay after a failed accept, as when file handles run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// With the delay between them, well within the time that a start may take.
const MAX_BIND_RETRIES: usize = 50;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a connection over the limit may take to read that it is rejected.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that reads nothing has its socket closed this long after the request manager's own timeout.
const STALL_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// A listening socket.
pub struct Listener {
    listener: TcpListener,
    /// The address it is bound to.
    pub address: SocketAddr,
    /// Since when connections may wait in the system's queue although they could be accepted; none once it was empty.
    backlogged_since: Cell<Option<Instant>>,
}

/// A client that has connected.
pub struct AcceptedClient {
    /// Its connection.
    pub stream: TcpStream,
    /// Its address.
    pub peer: SocketAddr,
    /// It may have connected, and sent its first request, at any time since then: accepts had failed or were delayed.
    pub backlogged_since: Option<Instant>,
}

/// Listens at an address; transient failures are retried.
pub async fn bind(address: SocketAddr) -> io::Result<Listener> {
    for _ in 0..MAX_BIND_RETRIES {
        match listen(address).await {
            Err(error)
                if matches!(
                    classify_listen(&error),
                    FailureClass::Immediate | FailureClass::ResourceShortage
                ) =>
            {
                debug!(%error, %address, "listen failed, retrying");
                Timer::after(BIND_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
    listen(address).await
}

async fn listen(address: SocketAddr) -> io::Result<Listener> {
    let listener = TcpListener::bind(address).await?;
    // Listens again with a longer queue: where it overflows, clients wait a second before they retry.
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    let address = listener.local_addr()?;
    Ok(Listener { listener, address, backlogged_since: Cell::new(None) })
}

impl Listener {
    /// Accepts the next client. A failed accept is retried, without a busy loop.
    pub async fn accept(&self) -> AcceptedClient {
        loop {
            let accepted = match future::poll_once(self.listener.accept()).await {
                Some(accepted) => accepted,
                None => {
                    // The queue is empty: the next client has just connected.
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
                        // Other tasks get their turn, however many accepts fail in a row.
                        FailureClass::Immediate => future::yield_now().await,
                        _ => drop(Timer::after(ACCEPT_RETRY_DELAY).await),
                    }
                }
            }
        }
    }

    /// Notes that from now on connections may wait although they could be accepted.
    pub fn mark_backlog(&self) {
        let since = self.backlogged_since.get().unwrap_or_else(Instant::now);
        self.backlogged_since.set(Some(since));
    }
}

/// Admits clients to one gateway, for all of its APIs together: their connections and bodies share one limit.
#[derive(Clone)]
pub struct Ingress {
    /// The gateway that requests are handed to.
    pub gateway: Gateway,
    limits: Rc<RefCell<IngressLimits>>,
}

impl Ingress {
    /// Limits connections and bodies as the gateway's settings say.
    pub fn new(gateway: Gateway) -> Self {
        let limits = gateway.settings().limits;
        let limits = IngressLimits::new(limits.connections, limits.body_bytes);
        Ingress { gateway, limits: Rc::new(RefCell::new(limits)) }
    }

    /// Accepts connections for as long as it is polled. Each runs `connected`, or `reject` where it is over the limit.
    pub async fn serve<C, R>(
        self,
        listener: Listener,
        connected: impl Fn(TcpStream, ClientGuard) -> C,
        reject: impl Fn(TcpStream) -> R,
    ) where
        C: Future<Output = ()> + 'static,
        R: Future<Output = ()> + 'static,
    {
        let spawner = self.gateway.spawner().clone();
        loop {
            let AcceptedClient { stream, peer, .. } = listener.accept().await;
            // Tokens are small and must not wait to be sent together.
            let _ = stream.set_nodelay(true);
            let client = fingerprint::stable_id(&peer.ip().to_string());
            if self.limits.borrow_mut().acquire_connection(client).is_err() {
                let timeout = async {
                    Timer::after(REJECTION_TIMEOUT).await;
                };
                spawner.run(future::or(reject(stream), timeout));
                continue;
            }
            spawner.run(connected(stream, ClientGuard { limits: self.limits.clone(), client, peer }));
        }
    }
}

/// How long a client may read nothing of what is written for it before its socket is closed.
pub fn stall_timeout() -> Duration {
    Duration::from_nanos(timeouts::stall_timeout()) + STALL_GRACE_PERIOD
}

/// A connection that counts against the limit until it is dropped.
pub struct ClientGuard {
    limits: Rc<RefCell<IngressLimits>>,
    /// Identifies the client's address.
    pub client: u64,
    /// The client's address and port.
    pub peer: SocketAddr,
}

impl ClientGuard {
    /// Starts the reservation for a body that is about to be read.
    pub fn reserve_body(&self) -> BodyReservation {
        BodyReservation::new(self.limits.clone(), self.client)
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.limits.borrow_mut().release_connection(self.client);
    }
}

/// Memory reserved for a body that is being read, until it is dropped.
pub struct BodyReservation {
    limits: Rc<RefCell<IngressLimits>>,
    client: u64,
    bytes: usize,
}

impl BodyReservation {
    /// An empty reservation for a client.
    pub fn new(limits: Rc<RefCell<IngressLimits>>, client: u64) -> Self {
        BodyReservation { limits, client, bytes: 0 }
    }

    /// Reserves memory for a body that has reached so many bytes, or announced them.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), IngressError> {
        let more = bytes.saturating_sub(self.bytes);
        self.limits.borrow_mut().acquire_bytes(self.client, self.bytes, more)?;
        self.bytes += more;
        Ok(())
    }

    /// Reserves memory for so many bytes that are stored beside a complete body.
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
