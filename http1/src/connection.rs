//! A connection: its socket, and the received bytes that are not parsed yet.

use crate::ParseError;
use crate::connect::{ConnectError, connect};
use crate::head::{self, RequestHead, ResponseHead};
use crate::io_retry::{FailureClass, classify, retry_delay, retry_interrupted};
use crate::receive_times::ReceiveTimes;
use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::future;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes read from a socket at a time.
const READ_BYTES: usize = 8 << 10;

/// How often a peer that has sent more than may be buffered is checked for its close.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// How long a lingering close reads and discards what the peer still sends.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How much a lingering close discards at the most.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Interim (1xx) responses accepted before the final one.
const MAX_INTERIM_RESPONSES: usize = 1000;

/// Why nothing more can be read from a peer.
#[derive(Debug)]
pub enum ConnectionError {
    /// What it sent is not HTTP/1.1, or exceeds a bound.
    Malformed(ParseError),
    /// It closed the connection, or the connection failed.
    Closed,
}

impl std::fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConnectionError::Malformed(error) => error.fmt(f),
            ConnectionError::Closed => f.write_str("the connection broke"),
        }
    }
}

impl std::error::Error for ConnectionError {}

impl From<ParseError> for ConnectionError {
    fn from(error: ParseError) -> Self {
        ConnectionError::Malformed(error)
    }
}

impl From<io::Error> for ConnectionError {
    fn from(_: io::Error) -> Self {
        ConnectionError::Closed
    }
}

/// One HTTP/1.1 connection, from either end.
pub struct HttpConnection {
    stream: Arc<Async<TcpStream>>,
    /// Bytes that were received and are not parsed yet.
    pub buffer: BytesMut,
    receive_times: ReceiveTimes,
}

impl HttpConnection {
    /// Wraps a connected socket, with `TCP_NODELAY` set.
    pub fn new(stream: impl Into<Arc<Async<TcpStream>>>) -> Self {
        let stream = stream.into();
        // Tokens are small and must not wait for each other.
        let _ = stream.get_ref().set_nodelay(true);
        HttpConnection { stream, buffer: BytesMut::new(), receive_times: ReceiveTimes::default() }
    }

    /// Opens a connection to `address`, within `timeout`.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, ConnectError> {
        connect(address, timeout).await.map(HttpConnection::new)
    }

    /// Reads the bytes that come next into the buffer, and returns their count: zero once the peer has closed.
    pub async fn fill_buffer(&mut self) -> io::Result<usize> {
        let count = loop {
            match self.read_available().await {
                Err(error) if classify(&error) == FailureClass::ResourceShortage => retry_delay().await,
                result => break result?,
            }
        };
        if count == READ_BYTES {
            // Guards against a peer that sends without end: others get their turn.
            future::yield_now().await;
        }
        Ok(count)
    }

    async fn read_available(&mut self) -> io::Result<usize> {
        let HttpConnection { stream, buffer, receive_times } = self;
        let read = stream.read_with(|mut socket| {
            let mut bytes = [0; READ_BYTES];
            let count = retry_interrupted(|| socket.read(&mut bytes))?;
            receive_times.record(Instant::now(), count, buffer.len());
            buffer.extend_from_slice(&bytes[..count]);
            Ok(count)
        });
        read.await
    }

    /// When the first byte in the buffer was received, also that of a request pipelined behind another one.
    pub fn first_byte_received_at(&mut self) -> Option<Instant> {
        self.receive_times.first_unread(self.buffer.len())
    }

    /// Writes all the bytes. After an error the last one has not been written.
    pub async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        let mut unwritten = bytes;
        while !unwritten.is_empty() {
            match self.stream.write_with(|mut socket| retry_interrupted(|| socket.write(unwritten))).await {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => unwritten = &unwritten[count..],
                Err(error) if classify(&error) == FailureClass::ResourceShortage => retry_delay().await,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads the head of the next request.
    pub async fn read_request_head(&mut self) -> Result<RequestHead, ConnectionError> {
        loop {
            if let Some(head) = head::parse_request(&mut self.buffer)? {
                return Ok(head);
            }
            self.read_more().await?;
        }
    }

    /// Reads the head of the next final response. Interim responses before it are skipped, in a bounded number.
    pub async fn read_response_head(&mut self) -> Result<ResponseHead, ConnectionError> {
        let mut interim = 0;
        loop {
            match head::parse_response(&mut self.buffer)? {
                Some(head) if !(100..200).contains(&head.status) => return Ok(head),
                Some(head) if head.status == 101 || interim == MAX_INTERIM_RESPONSES => {
                    return Err(ConnectionError::Malformed(ParseError::InvalidHead));
                }
                Some(_) => interim += 1,
                None => self.read_more().await?,
            }
        }
    }

    /// Reads at least one more byte into the buffer.
    pub async fn read_more(&mut self) -> Result<(), ConnectionError> {
        if self.fill_buffer().await? == 0 { Err(ConnectionError::Closed) } else { Ok(()) }
    }

    /// Returns once the peer has closed. What it sends meanwhile is buffered up to `max_buffered` bytes; beyond that it
    /// stays in the socket, and the peer is checked at intervals.
    pub async fn wait_closed(&mut self, max_buffered: usize) {
        while self.buffer.len() < max_buffered {
            if !self.fill_buffer().await.is_ok_and(|count| count > 0) {
                return;
            }
        }
        while !self.peer().has_closed() {
            Timer::after(CLOSE_POLL_INTERVAL).await;
        }
    }

    /// A handle on the other end, which can be checked while this connection is in use.
    pub fn peer(&self) -> Peer {
        Peer(self.stream.clone())
    }

    /// Closes the connection so that the last bytes written arrive: ends sending, then reads and discards what still
    /// comes, for a bounded time. A socket closed with unread bytes is reset, and what the peer has not read yet is lost.
    pub async fn lingering_close(&mut self) {
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let discard_input = async {
            let mut discarded = 0;
            while discarded < MAX_LINGER_BYTES {
                self.buffer.clear();
                match self.fill_buffer().await {
                    Ok(count) if count > 0 => discarded += count,
                    _ => return,
                }
            }
        };
        let timeout = async {
            Timer::after(LINGER_TIMEOUT).await;
        };
        future::or(discard_input, timeout).await;
    }

    /// Whether the connection is open and the peer has sent nothing unsolicited: another exchange may use it.
    pub fn is_reusable(&self) -> bool {
        self.buffer.is_empty() && self.peer().peek().is_none()
    }
}

/// A handle on the other end of a connection.
#[derive(Clone)]
pub struct Peer(Arc<Async<TcpStream>>);

impl Peer {
    /// Whether it has closed or shut down its sending side, also behind bytes that are not read yet. Asks the operating
    /// system at once, since a busy event loop may not have seen the event yet.
    pub fn has_closed(&self) -> bool {
        let mut sockets = [PollFd::new(&self.0, PollFlags::RDHUP)];
        let polled = retry_interrupted(|| Ok(poll(&mut sockets, Some(&Timespec::default()))?));
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let hung_up = polled.is_ok() && sockets[0].revents().intersects(ended);
        hung_up || self.peek().is_some_and(|count| count == 0)
    }

    /// Whether bytes were received that are not read yet.
    pub fn has_unread_bytes(&self) -> bool {
        self.peek().is_some_and(|count| count > 0)
    }

    /// The count of unread bytes, at most one, and zero at the end of the stream; none while nothing was received.
    fn peek(&self) -> Option<usize> {
        match retry_interrupted(|| self.0.get_ref().peek(&mut [0])) {
            Ok(count) => Some(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) if classify(&error) == FailureClass::ResourceShortage => None,
            Err(_) => Some(0),
        }
    }
}
