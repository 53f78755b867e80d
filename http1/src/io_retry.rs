//! Classifies failures of system calls as transient or permanent, and retries the calls that failed transiently.

use async_io::Timer;
use futures_lite::future::FutureExt;
use futures_lite::{AsyncRead, AsyncWrite, ready};
use rustix::io::Errno;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// The delay before the retry of a call that failed for want of memory, file descriptors or ports.
pub const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Waits for [`RESOURCE_RETRY_DELAY`].
pub(crate) async fn retry_delay() {
    Timer::after(RESOURCE_RETRY_DELAY).await;
}

/// Determines when a failed call is retried, if at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureClass {
    /// The call was interrupted, or its error belongs to a connection that no longer exists: retry the call at once.
    Immediate,
    /// This machine is short of memory, buffers, file descriptors or ports: retry the call after
    /// [`RESOURCE_RETRY_DELAY`].
    ResourceShortage,
    /// There is no route to the peer. The route may come back shortly, or the peer may be unreachable for good.
    NoRoute,
    /// A retry of the call would fail again.
    Permanent,
}

/// Classifies an error of `recv`, `send`, `socket` or `connect`.
pub fn classify(error: &io::Error) -> FailureClass {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => FailureClass::Immediate,
        Some(
            Errno::NOBUFS
            | Errno::NOMEM
            | Errno::NFILE
            | Errno::MFILE
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE,
        ) => FailureClass::ResourceShortage,
        Some(Errno::NETUNREACH | Errno::NETDOWN | Errno::AGAIN | Errno::CONNABORTED) => FailureClass::NoRoute,
        _ => FailureClass::Permanent,
    }
}

/// Classifies an error of `bind` or `listen`. An address that is in use, or that does not belong to this machine, is a
/// permanent failure.
pub fn classify_listen(error: &io::Error) -> FailureClass {
    match Errno::from_io_error(error) {
        Some(Errno::ADDRINUSE | Errno::ADDRNOTAVAIL) => FailureClass::Permanent,
        _ => classify(error),
    }
}

/// Classifies an error of `accept`. Linux reports pending errors of the connection that would have been accepted; these
/// errors do not affect the next connection.
pub fn classify_accept(error: &io::Error) -> FailureClass {
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
        ) => FailureClass::Immediate,
        _ => FailureClass::ResourceShortage,
    }
}

/// Repeats a call until it is no longer interrupted by a signal (`EINTR`).
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Wraps a stream for callers that treat any error as the end of the stream, such as hyper. Interrupted calls are
/// retried at once, and calls that failed for want of resources are retried after [`RESOURCE_RETRY_DELAY`].
pub struct RetryingStream<T> {
    stream: T,
    retry_delay: Option<Timer>,
}

impl<T> RetryingStream<T> {
    /// Wraps `stream`.
    pub fn new(stream: T) -> Self {
        RetryingStream { stream, retry_delay: None }
    }

    fn poll_with_retries<R>(
        &mut self,
        context: &mut Context<'_>,
        mut call: impl FnMut(&mut T, &mut Context<'_>) -> Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        loop {
            if let Some(delay) = &mut self.retry_delay {
                ready!(delay.poll(context));
                self.retry_delay = None;
            }
            match call(&mut self.stream, context) {
                Poll::Ready(Err(error)) if classify(&error) == FailureClass::Immediate => {}
                Poll::Ready(Err(error)) if classify(&error) == FailureClass::ResourceShortage => {
                    self.retry_delay = Some(Timer::after(RESOURCE_RETRY_DELAY));
                }
                result => return result,
            }
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for RetryingStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with_retries(context, |stream, context| Pin::new(stream).poll_read(context, buffer))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for RetryingStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with_retries(context, |stream, context| Pin::new(stream).poll_write(context, buffer))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_with_retries(context, |stream, context| Pin::new(stream).poll_flush(context))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_with_retries(context, |stream, context| Pin::new(stream).poll_close(context))
    }
}
