//! An HTTP/1.1 connection: its socket, and the received bytes that are not parsed yet.

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

/// The maximum number of bytes to read from a socket in one call.
const READ_BYTES: usize = 8 << 10;

/// The interval at which a connection whose buffer is full checks whether the peer has closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// The maximum time for which a lingering close reads and discards bytes that the peer still sends.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of bytes that a lingering close discards.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// The maximum number of interim (1xx) responses before the final response.
const MAX_INTERIM_RESPONSES: usize = 1000;

/// The reason why nothing more can be read from a peer.
#[derive(Debug)]
pub enum ConnectionError {
    /// The peer sent bytes that are not valid HTTP/1.1 or exceed a limit.
    Malformed(ParseError),
    /// The peer closed the connection, or the connection failed.
    Closed,
}

impl std::fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConnectionError::Malformed(error) => error.fmt(f),
            ConnectionError::Closed => f.write_str("the connection was closed or failed"),
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

/// An HTTP/1.1 connection, used by a client or by a server.
pub struct HttpConnection {
    stream: Arc<Async<TcpStream>>,
    /// Bytes that were received and are not parsed yet.
    pub buffer: BytesMut,
    receive_times: ReceiveTimes,
}

impl HttpConnection {
    /// Wraps a connected socket and sets `TCP_NODELAY` on it.
    pub fn new(stream: impl Into<Arc<Async<TcpStream>>>) -> Self {
        let stream = stream.into();
        // Nagle's algorithm would hold back a token until the previous token is acknowledged.
        let _ = stream.get_ref().set_nodelay(true);
        HttpConnection { stream, buffer: BytesMut::new(), receive_times: ReceiveTimes::default() }
    }

    /// Opens a connection to `address` within `timeout`.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, ConnectError> {
        connect(address, timeout).await.map(HttpConnection::new)
    }

    /// Waits for bytes from the peer and reads them into the buffer. Returns the number of bytes, which is zero once
    /// the peer has closed the connection.
    pub async fn fill_buffer(&mut self) -> io::Result<usize> {
        let count = loop {
            match self.read_available().await {
                Err(error) if classify(&error) == FailureClass::ResourceShortage => retry_delay().await,
                result => break result?,
            }
        };
        if count == READ_BYTES {
            // A peer that sends without pause must not keep the other tasks of this thread from running.
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

    /// Returns the time at which the first byte in the buffer was received, or `None` if the buffer is empty. The time
    /// is also correct for a request that was pipelined behind another request.
    pub fn first_byte_received_at(&mut self) -> Option<Instant> {
        self.receive_times.first_unread(self.buffer.len())
    }

    /// Writes all of `bytes`. On an error, at least the last byte has not been written to the socket.
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

    /// Reads the head of the next final response and skips the 1xx responses before it, at most `MAX_INTERIM_RESPONSES`
    /// of them.
    pub async fn read_response_head(&mut self) -> Result<ResponseHead, ConnectionError> {
        let mut interim_responses = 0;
        loop {
            match head::parse_response(&mut self.buffer)? {
                Some(head) if !(100..200).contains(&head.status) => return Ok(head),
                Some(head) if head.status == 101 || interim_responses == MAX_INTERIM_RESPONSES => {
                    return Err(ConnectionError::Malformed(ParseError::InvalidHead));
                }
                Some(_) => interim_responses += 1,
                None => self.read_more().await?,
            }
        }
    }

    /// Reads at least one more byte into the buffer. A close by the peer is an error.
    pub async fn read_more(&mut self) -> Result<(), ConnectionError> {
        if self.fill_buffer().await? == 0 { Err(ConnectionError::Closed) } else { Ok(()) }
    }

    /// Returns once the peer has closed the connection. Bytes that the peer sends meanwhile are buffered until the
    /// buffer holds `max_buffered` bytes. Further bytes stay in the socket, and the peer is checked every
    /// `CLOSE_POLL_INTERVAL`.
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

    /// Returns a handle on the peer, which can be checked while this connection is in use.
    pub fn peer(&self) -> Peer {
        Peer(self.stream.clone())
    }

    /// Closes the connection so that the last written bytes reach the peer: shuts down the sending side, then reads and
    /// discards further input, limited in time and size. If a socket is closed while it has unread bytes, the
    /// connection is reset and the peer loses the bytes that it has not read yet.
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

    /// Returns true if another exchange may use the connection: the connection is open, and the peer has sent no
    /// unsolicited bytes.
    pub fn is_reusable(&self) -> bool {
        self.buffer.is_empty() && self.peer().peek().is_none()
    }
}

/// A handle on the peer of a connection.
#[derive(Clone)]
pub struct Peer(Arc<Async<TcpStream>>);

impl Peer {
    /// Returns true if the peer has closed the connection or shut down its sending side, also while earlier bytes are
    /// unread. Queries the operating system directly, since a busy event loop may not have processed the event yet.
    pub fn has_closed(&self) -> bool {
        let mut sockets = [PollFd::new(&self.0, PollFlags::RDHUP)];
        let polled = retry_interrupted(|| Ok(poll(&mut sockets, Some(&Timespec::default()))?));
        let closed_flags = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let hung_up = polled.is_ok() && sockets[0].revents().intersects(closed_flags);
        hung_up || self.peek().is_some_and(|count| count == 0)
    }

    /// Returns true if received bytes are waiting in the socket.
    pub fn has_unread_bytes(&self) -> bool {
        self.peek().is_some_and(|count| count > 0)
    }

    /// Checks the socket for unread bytes without reading them. Returns 1 if there are any, 0 at the end of the stream
    /// or after a permanent error, and `None` if the socket has no input.
    fn peek(&self) -> Option<usize> {
        match retry_interrupted(|| self.0.get_ref().peek(&mut [0])) {
            Ok(count) => Some(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) if classify(&error) == FailureClass::ResourceShortage => None,
            Err(_) => Some(0),
        }
    }
}
