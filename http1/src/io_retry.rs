//! Which failures of system calls pass by themselves, and what is done until they have.

use async_io::Timer;
use futures_lite::future::FutureExt;
use futures_lite::{AsyncRead, AsyncWrite, ready};
use rustix::io::Errno;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Before a call that failed for want of memory, descriptors or ports is made again.
pub const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// What a failed call says of whether it is worth repeating.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call was interrupted, or the error belongs to a connection that is gone already: repeat it at once.
    Again,
    /// This machine is short of memory, buffers, descriptors or ports for now: repeat it after a pause.
    Scarce,
    /// There is no way to the network: it may be back in a moment, or the peer may be cut off.
    Network,
    /// Repeating the call won't help.
    Lasting,
}

/// What an error of `recv`, `send`, `socket` or `connect` says.
pub fn failure(error: &io::Error) -> Failure {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => Failure::Again,
        Some(
            Errno::NOBUFS
            | Errno::NOMEM
            | Errno::NFILE
            | Errno::MFILE
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE,
        ) => Failure::Scarce,
        Some(Errno::NETUNREACH | Errno::NETDOWN | Errno::AGAIN | Errno::CONNABORTED) => Failure::Network,
        _ => Failure::Lasting,
    }
}

/// What an error of listening says: an address that is taken, or not of this machine, stays so.
pub fn listen_failure(error: &io::Error) -> Failure {
    match Errno::from_io_error(error) {
        Some(Errno::ADDRINUSE | Errno::ADDRNOTAVAIL) => Failure::Lasting,
        _ => failure(error),
    }
}

/// What an error of `accept` says. Linux hands on errors of the connection that would have been accepted; the next one
/// is not touched by them.
pub fn accept_failure(error: &io::Error) -> Failure {
    match Errno::from_io_error(error) {
        Some(
            Errno::INTR
            | Errno::CONNABORTED
            | Errno::PROTO
            | Errno::NOPROTOOPT
            | Errno::NETDOWN
            | Errno::NETUNREACH
            | Errno::HOSTDOWN
            | Errno::HOSTUNREACH
            | Errno::NONET
            | Errno::OPNOTSUPP
            | Errno::TIMEDOUT
            | Errno::CONNRESET,
        ) => Failure::Again,
        _ => Failure::Scarce,
    }
}

/// Makes a call until it is not interrupted.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// A stream for those who take any error for its end: interrupted calls are made again, and calls that failed for want
/// of memory after a pause.
pub struct Persistent<T> {
    stream: T,
    pause: Option<Timer>,
}

impl<T> Persistent<T> {
    pub fn new(stream: T) -> Self {
        Persistent { stream, pause: None }
    }

    fn persist<R>(
        &mut self,
        context: &mut Context<'_>,
        mut call: impl FnMut(&mut T, &mut Context<'_>) -> Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.poll(context));
                self.pause = None;
            }
            match call(&mut self.stream, context) {
                Poll::Ready(Err(error)) if failure(&error) == Failure::Again => {}
                Poll::Ready(Err(error)) if failure(&error) == Failure::Scarce => {
                    self.pause = Some(Timer::after(RETRY_PAUSE));
                }
                done => return done,
            }
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Persistent<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.persist(context, |stream, context| Pin::new(stream).poll_read(context, buffer))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Persistent<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.persist(context, |stream, context| Pin::new(stream).poll_write(context, buffer))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.persist(context, |stream, context| Pin::new(stream).poll_flush(context))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.persist(context, |stream, context| Pin::new(stream).poll_close(context))
    }
}
