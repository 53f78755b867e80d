//! A socket with what has come on it and was not used yet.

use crate::Unreadable;
use crate::connect::{Unconnected, connect};
use crate::head::{self, AnswerHead, RequestHead};
use crate::io_retry::{Failure, RETRY_PAUSE, failure, uninterrupted};
use crate::receive_times::Arrivals;
use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::future;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes taken from a socket at a time.
const PIECE: usize = 8 << 10;

/// How often a peer is looked at that has sent more than is taken from it.
const LOOK: Duration = Duration::from_millis(25);
/// After the last byte for a peer its own are taken and dropped for so long, and so many of them.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 1 << 20;
/// Most answers of status 1xx before the one that counts.
const INTERIM: usize = 1000;

/// Why nothing more can be had from a peer.
#[derive(Debug)]
pub enum Broken {
    Unreadable(Unreadable),
    /// It closed its connection, or the connection broke.
    Closed,
}

impl From<Unreadable> for Broken {
    fn from(unreadable: Unreadable) -> Self {
        Broken::Unreadable(unreadable)
    }
}

impl From<io::Error> for Broken {
    fn from(_: io::Error) -> Self {
        Broken::Closed
    }
}

pub struct Wire {
    stream: Arc<Async<TcpStream>>,
    pub buffer: BytesMut,
    arrivals: Arrivals,
}

impl Wire {
    pub fn new(stream: impl Into<Arc<Async<TcpStream>>>) -> Self {
        let stream = stream.into();
        // Tokens are small and must not wait for each other.
        let _ = stream.get_ref().set_nodelay(true);
        Wire { stream, buffer: BytesMut::new(), arrivals: Arrivals::default() }
    }

    /// A new connection within the time.
    pub async fn connect(to: SocketAddr, within: Duration) -> Result<Self, Unconnected> {
        connect(to, within).await.map(Wire::new)
    }

    /// Takes what comes next into the buffer; nothing came where the peer has closed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let count = loop {
            match self.take().await {
                Err(error) if failure(&error) == Failure::Scarce => drop(Timer::after(RETRY_PAUSE).await),
                taken => break taken?,
            }
        };
        if count == PIECE {
            // Guards against a peer that sends without end: others get their turn.
            future::yield_now().await;
        }
        Ok(count)
    }

    async fn take(&mut self) -> io::Result<usize> {
        let Wire { stream, buffer, arrivals } = self;
        let taken = stream.read_with(|mut socket| {
            let mut piece = [0; PIECE];
            let count = uninterrupted(|| socket.read(&mut piece))?;
            arrivals.came(Instant::now(), count, buffer.len());
            buffer.extend_from_slice(&piece[..count]);
            Ok(count)
        });
        taken.await
    }

    /// When the first byte of what is in the buffer came: also of a request that waited behind another one.
    pub fn first_came(&mut self) -> Option<Instant> {
        self.arrivals.first_of(self.buffer.len())
    }

    /// Writes all of it. After an error its last byte has not been written.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut left = bytes;
        while !left.is_empty() {
            match self.stream.write_with(|mut socket| uninterrupted(|| socket.write(left))).await {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => left = &left[count..],
                Err(error) if failure(&error) == Failure::Scarce => drop(Timer::after(RETRY_PAUSE).await),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// The next request's head.
    pub async fn request(&mut self) -> Result<RequestHead, Broken> {
        loop {
            if let Some(head) = head::request(&mut self.buffer)? {
                return Ok(head);
            }
            self.more().await?;
        }
    }

    /// The next answer's head, behind interim ones. There are only so many of those: an endless row of them is none.
    pub async fn answer(&mut self) -> Result<AnswerHead, Broken> {
        let mut interim = 0;
        loop {
            match head::answer(&mut self.buffer)? {
                Some(head) if !(100..200).contains(&head.status) => return Ok(head),
                Some(head) if head.status == 101 || interim == INTERIM => {
                    return Err(Broken::Unreadable(Unreadable::Head));
                }
                Some(_) => interim += 1,
                None => self.more().await?,
            }
        }
    }

    pub async fn more(&mut self) -> Result<(), Broken> {
        if self.fill().await? == 0 { Err(Broken::Closed) } else { Ok(()) }
    }

    /// Returns when the peer has closed. What it sends meanwhile is kept up to `most` bytes; past that it stays with
    /// the system, and the peer is looked at now and then.
    pub async fn closed(&mut self, most: usize) {
        while self.buffer.len() < most {
            if !self.fill().await.is_ok_and(|count| count > 0) {
                return;
            }
        }
        while !self.peer().has_left() {
            Timer::after(LOOK).await;
        }
    }

    /// The other end, to be looked at while this is in use.
    pub fn peer(&self) -> Peer {
        Peer(self.stream.clone())
    }

    /// Ends the connection, in one order for all: sending is ended, what still comes is dropped, then it is closed. So
    /// the last bytes written arrive (closed over unread bytes it would be reset, and what the peer has not taken yet be
    /// gone), and whatever comes from here on is used by nobody.
    pub async fn finish(&mut self) {
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            let mut taken = 0;
            while taken < LINGER_BYTES {
                self.buffer.clear();
                match self.fill().await {
                    Ok(count) if count > 0 => taken += count,
                    _ => return,
                }
            }
        };
        let late = async {
            Timer::after(LINGER).await;
        };
        future::or(drained, late).await;
    }

    /// Open, and nothing has come on it unasked.
    pub fn quiet(&self) -> bool {
        self.buffer.is_empty() && self.peer().looked().is_none()
    }
}

/// The other end of a connection.
#[derive(Clone)]
pub struct Peer(Arc<Async<TcpStream>>);

impl Peer {
    /// Whether it has closed, or ended its sending, also behind bytes that nobody has taken yet. Asks the system now:
    /// a loop that is busy may not have got to it.
    pub fn has_left(&self) -> bool {
        let mut sockets = [PollFd::new(&self.0, PollFlags::RDHUP)];
        let looked = uninterrupted(|| Ok(poll(&mut sockets, Some(&Timespec::default()))?));
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let hung_up = looked.is_ok() && sockets[0].revents().intersects(ended);
        hung_up || self.looked().is_some_and(|looked| looked == 0)
    }

    /// Whether bytes have come that nobody has taken.
    pub fn waits(&self) -> bool {
        self.looked().is_some_and(|looked| looked > 0)
    }

    /// Bytes that lie there, at most one, zero at the end; none while nothing has come.
    fn looked(&self) -> Option<usize> {
        match uninterrupted(|| self.0.get_ref().peek(&mut [0])) {
            Ok(count) => Some(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) if failure(&error) == Failure::Scarce => None,
            Err(_) => Some(0),
        }
    }
}
