//! Which failures of system calls are transient, and how the calls are retried.

use async_io::Timer;
use futures_lite::future::FutureExt;
use futures_lite::{AsyncRead, AsyncWrite, ready};
use rustix::io::Errno;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// The delay before a call that failed for want of memory, descriptors or ports is retried.
pub const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Waits for [`RESOURCE_RETRY_DELAY`].
pub(crate) async fn retry_delay() {
    Timer::after(RESOURCE_RETRY_DELAY).await;
}

/// Whether and when a failed call is worth retrying.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureClass {
    /// The call was interrupted, or the error belongs to a connection that is gone already: retry it at once.
    Immediate,
    /// This machine is short of memory, buffers, descriptors or ports: retry it after [`RESOURCE_RETRY_DELAY`].
    ResourceShortage,
    /// There is no route to the peer: it may come back shortly, or the peer may be unreachable for good.
    NoRoute,
    /// Retrying the call won't help.
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

/// Classifies an error of `bind` or `listen`: an address that is taken, or not of this machine, stays so.
pub fn classify_listen(error: &io::Error) -> FailureClass {
    match Errno::from_io_error(error) {
        Some(Errno::ADDRINUSE | Errno::ADDRNOTAVAIL) => FailureClass::Permanent,
        _ => classify(error),
    }
}

/// Classifies an error of `accept`. Linux passes on pending errors of the connection that would have been accepted;
/// they do not concern the next one.
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

/// Retries a call for as long as it is interrupted (`EINTR`).
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// A stream for users that treat any error as its end: interrupted calls are retried at once, and calls that failed
/// for want of resources after [`RESOURCE_RETRY_DELAY`].
pub struct RetryingStream<T> {
    stream: T,
    retry_delay: Option<Timer>,
}

impl<T> RetryingStream<T> {
    /// Wraps a stream.
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
