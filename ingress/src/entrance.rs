//! Connections of clients: taken, counted, and bounded in what they bring before it is understood.

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::future;
use petrelshore_chat_gateway::Gateway;
use petrelshore_gateway_core::ingress_limits::{Doors, Shut};
use petrelshore_gateway_core::{fingerprint, timeouts};
use petrelshore_http1::system_calls::{Failure, accept_failure, listen_failure};
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
/// Past the conductor's own bound for a client that takes nothing, its socket is closed.
const CLOSE_AFTER: Duration = Duration::from_secs(2);

/// A front that listens.
pub struct Listening {
    listener: TcpListener,
    pub address: SocketAddr,
    /// Since when connections may wait in the system's queue although they could be taken; none once it was empty.
    held_back_since: Cell<Option<Instant>>,
}

/// A client that has connected.
pub struct Accepted {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    /// It may have come, with its first request, at any time from then on: accepts had failed, or were put off.
    pub held_back_since: Option<Instant>,
}

/// Listens at an address; what fails for a moment is tried again.
pub async fn bind(address: SocketAddr) -> io::Result<Listening> {
    for _ in 0..BINDINGS {
        match listen(address).await {
            Err(error) if matches!(listen_failure(&error), Failure::Again | Failure::Scarce) => {
                debug!(%error, %address, "listening failed: trying again");
                Timer::after(BIND_PAUSE).await;
            }
            listening => return listening,
        }
    }
    listen(address).await
}

async fn listen(address: SocketAddr) -> io::Result<Listening> {
    let listener = TcpListener::bind(address).await?;
    // Bound anew with a longer queue: where it overflows, clients wait a second for their next try.
    rustix::net::listen(&listener, WAITING)?;
    let address = listener.local_addr()?;
    Ok(Listening { listener, address, held_back_since: Cell::new(None) })
}

impl Listening {
    /// The next client. A failed accept never ends the front, nor spins it.
    pub async fn next(&self) -> Accepted {
        loop {
            let accepted = match future::poll_once(self.listener.accept()).await {
                Some(accepted) => accepted,
                None => {
                    // Nobody waits: whoever is taken next has just come.
                    self.held_back_since.set(None);
                    self.listener.accept().await
                }
            };
            match accepted {
                Ok((stream, peer)) => {
                    return Accepted { stream, peer, held_back_since: self.held_back_since.get() };
                }
                Err(error) => {
                    debug!(%error, "accept failed");
                    self.holds_back();
                    match accept_failure(&error) {
                        // Others get their turn, however many fail in a row.
                        Failure::Again => future::yield_now().await,
                        _ => drop(Timer::after(ACCEPT_PAUSE).await),
                    }
                }
            }
        }
    }

    /// From now on connections may wait although they could be taken.
    pub fn holds_back(&self) {
        let since = self.held_back_since.get().unwrap_or_else(Instant::now);
        self.held_back_since.set(Some(since));
    }
}

/// The way in to one gateway, for all of its fronts together: their connections and bodies share one bound.
#[derive(Clone)]
pub struct Entrance {
    pub gateway: Gateway,
    doors: Rc<RefCell<Doors>>,
}

impl Entrance {
    pub fn new(gateway: Gateway) -> Self {
        let limits = gateway.settings().limits;
        Entrance { gateway, doors: Rc::new(RefCell::new(Doors::new(limits.connections, limits.body_bytes))) }
    }

    /// Takes connections for as long as it is polled. Those for which there is no room are handed on to be told so.
    pub async fn take<C, T>(
        self,
        listening: Listening,
        connected: impl Fn(TcpStream, Inside) -> C,
        turn_away: impl Fn(TcpStream) -> T,
    ) where
        C: Future<Output = ()> + 'static,
        T: Future<Output = ()> + 'static,
    {
        let spawner = self.gateway.spawner().clone();
        loop {
            let Accepted { stream, peer, .. } = listening.next().await;
            // Tokens are small and must not wait for each other.
            let _ = stream.set_nodelay(true);
            let client = fingerprint::stable_id(&peer.ip().to_string());
            if self.doors.borrow_mut().connect(client).is_err() {
                let late = async {
                    Timer::after(CLOSE_AFTER).await;
                };
                spawner.run(future::or(turn_away(stream), late));
                continue;
            }
            spawner.run(connected(stream, Inside { doors: self.doors.clone(), client, peer }));
        }
    }
}

/// How long a client may take nothing of what is written for it, before its socket is closed.
pub fn stalled_for() -> Duration {
    Duration::from_nanos(timeouts::stalled_for()) + CLOSE_AFTER
}

/// A client's place inside; dropping it is leaving.
pub struct Inside {
    doors: Rc<RefCell<Doors>>,
    pub client: u64,
    pub peer: SocketAddr,
}

impl Inside {
    /// The room of a body that is about to be read.
    pub fn reading(&self) -> Reading {
        Reading::new(self.doors.clone(), self.client)
    }
}

impl Drop for Inside {
    fn drop(&mut self) {
        self.doors.borrow_mut().leave(self.client);
    }
}

/// Bytes of a body that is being read; dropping it gives their room back.
pub struct Reading {
    doors: Rc<RefCell<Doors>>,
    client: u64,
    bytes: usize,
}

impl Reading {
    pub fn new(doors: Rc<RefCell<Doors>>, client: u64) -> Self {
        Reading { doors, client, bytes: 0 }
    }

    /// Room for a body that has come to so many bytes, or was told to.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Shut> {
        let more = bytes.saturating_sub(self.bytes);
        self.doors.borrow_mut().more(self.client, self.bytes, more)?;
        self.bytes += more;
        Ok(())
    }

    /// Room for so many bytes that are kept beside a whole body.
    pub fn beside(&mut self, bytes: usize) -> Result<(), Shut> {
        self.doors.borrow_mut().more(self.client, 0, bytes)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.doors.borrow_mut().less(self.client, self.bytes);
    }
}
