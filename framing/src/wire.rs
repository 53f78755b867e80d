//! A socket with what has come on it and was not used yet.

use crate::Unreadable;
use crate::head::{self, AnswerHead, RequestHead};
use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncWriteExt, future};
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Bytes taken from a socket at a time.
const PIECE: usize = 8 << 10;

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
}

impl Wire {
    pub fn new(stream: impl Into<Arc<Async<TcpStream>>>) -> Self {
        let stream = stream.into();
        // Tokens are small and must not wait for each other.
        let _ = stream.get_ref().set_nodelay(true);
        Wire { stream, buffer: BytesMut::new() }
    }

    /// A new connection, or none within the time.
    pub async fn connect(to: SocketAddr, within: Duration) -> Option<Self> {
        let connected = async { Async::<TcpStream>::connect(to).await.ok() };
        let late = async {
            Timer::after(within).await;
            None
        };
        future::or(connected, late).await.map(Wire::new)
    }

    /// Takes what comes next into the buffer; nothing came where the peer has closed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let Wire { stream, buffer } = self;
        let taken = stream.read_with(|mut socket| {
            let mut piece = [0; PIECE];
            let count = socket.read(&mut piece)?;
            buffer.extend_from_slice(&piece[..count]);
            Ok(count)
        });
        let count = taken.await?;
        if count == PIECE {
            // Guards against a peer that sends without end: others get their turn.
            future::yield_now().await;
        }
        Ok(count)
    }

    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(bytes).await
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

    /// The next answer's head.
    pub async fn answer(&mut self) -> Result<AnswerHead, Broken> {
        loop {
            if let Some(head) = head::answer(&mut self.buffer)? {
                return Ok(head);
            }
            self.more().await?;
        }
    }

    pub async fn more(&mut self) -> Result<(), Broken> {
        if self.fill().await? == 0 { Err(Broken::Closed) } else { Ok(()) }
    }

    /// Returns when the peer has closed. What it sends meanwhile is kept up to `most` bytes; past that it is not
    /// taken, and its leaving shows only at the next write.
    pub async fn closed(&mut self, most: usize) {
        while self.buffer.len() < most {
            if !self.fill().await.is_ok_and(|count| count > 0) {
                return;
            }
        }
        future::pending().await
    }

    /// Open, and nothing has come on it unasked.
    pub fn quiet(&self) -> bool {
        let looked = self.stream.get_ref().peek(&mut [0]);
        self.buffer.is_empty() && looked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}
