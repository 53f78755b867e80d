//! Accepts and counts the connections of clients, and limits the bytes that they send before the bytes are parsed.

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

/// The maximum number of connections that wait in the operating system's queue to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// The delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The maximum number of bind retries. With the delay between them, the retries end well within the time that a start
/// may take.
const MAX_BIND_RETRIES: usize = 50;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The time that the client of a connection over the limit has to read its rejection.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The time from the request manager's own stall timeout until the socket of a client that reads nothing is closed.
const STALL_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// A listening socket.
pub struct Listener {
    listener: TcpListener,
    /// The address that the socket is bound to.
    pub address: SocketAddr,
    /// The time since when connections may be waiting in the operating system's queue because accepts failed or were
    /// delayed. `None` once the queue was empty.
    backlogged_since: Cell<Option<Instant>>,
}

/// A client whose connection was accepted.
pub struct AcceptedClient {
    /// The connection of the client.
    pub stream: TcpStream,
    /// The address and port of the client.
    pub peer: SocketAddr,
    /// The earliest time at which the client may have connected and sent its first request, if accepts failed or were
    /// delayed before it was accepted. `None` if the client connected just before.
    pub backlogged_since: Option<Instant>,
}

/// Listens at an address. Transient failures are retried.
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
    // Listens again with a longer queue: when the queue overflows, clients wait a second before they retry.
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    let address = listener.local_addr()?;
    Ok(Listener { listener, address, backlogged_since: Cell::new(None) })
}

impl Listener {
    /// Accepts the next client. Failed accepts are retried without a busy loop.
    pub async fn accept(&self) -> AcceptedClient {
        loop {
            let accepted = match future::poll_once(self.listener.accept()).await {
                Some(accepted) => accepted,
                None => {
                    // The queue is empty, so the next client will have connected just before it is accepted.
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
                        // Yields, so that other tasks run even if many accepts fail in a row.
                        FailureClass::Immediate => future::yield_now().await,
                        _ => drop(Timer::after(ACCEPT_RETRY_DELAY).await),
                    }
                }
            }
        }
    }

    /// Records that from now on connections may wait in the queue because accepts failed or are delayed.
    pub fn mark_backlog(&self) {
        let since = self.backlogged_since.get().unwrap_or_else(Instant::now);
        self.backlogged_since.set(Some(since));
    }
}

/// Admits clients to one gateway. The connections and bodies of all its APIs share the same limits.
#[derive(Clone)]
pub struct Ingress {
    /// The gateway that requests are submitted to.
    pub gateway: Gateway,
    limits: Rc<RefCell<IngressLimits>>,
}

impl Ingress {
    /// Limits connections and bodies according to the gateway's settings.
    pub fn new(gateway: Gateway) -> Self {
        let limits = gateway.settings().limits;
        let limits = IngressLimits::new(limits.connections, limits.body_bytes);
        Ingress { gateway, limits: Rc::new(RefCell::new(limits)) }
    }

    /// Accepts connections for as long as the future is polled. Each connection is served by `connected`, or by
    /// `reject` if it is over the limit.
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
            // Tokens are small and must not wait to be sent together in larger packets.
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

/// Returns the time that a client may read nothing of the bytes written for it before its socket is closed.
pub fn stall_timeout() -> Duration {
    Duration::from_nanos(timeouts::stall_timeout()) + STALL_GRACE_PERIOD
}

/// A connection that counts against the limit until the guard is dropped.
pub struct ClientGuard {
    limits: Rc<RefCell<IngressLimits>>,
    /// A number that identifies the client's address.
    pub client: u64,
    /// The client's address and port.
    pub peer: SocketAddr,
}

impl ClientGuard {
    /// Returns an empty reservation for a body that is about to be read.
    pub fn reserve_body(&self) -> BodyReservation {
        BodyReservation::new(self.limits.clone(), self.client)
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.limits.borrow_mut().release_connection(self.client);
    }
}

/// Memory that is reserved for a body until the reservation is dropped.
pub struct BodyReservation {
    limits: Rc<RefCell<IngressLimits>>,
    client: u64,
    bytes: usize,
}

impl BodyReservation {
    /// Returns an empty reservation for a client.
    pub fn new(limits: Rc<RefCell<IngressLimits>>, client: u64) -> Self {
        BodyReservation { limits, client, bytes: 0 }
    }

    /// Extends the reservation to `bytes` bytes, which a body has reached or announced.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), IngressError> {
        let additional = bytes.saturating_sub(self.bytes);
        self.limits.borrow_mut().acquire_bytes(self.client, self.bytes, additional)?;
        self.bytes += additional;
        Ok(())
    }

    /// Reserves memory for `bytes` more bytes, which are stored beside a complete body.
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
