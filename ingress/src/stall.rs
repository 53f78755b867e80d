//! A socket whose writes fail when its peer reads nothing for too long.

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite, future::FutureExt};
use petrelshore_http1::io_retry::RetryingStream;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Guards against clients that stop reading: bytes that are written for them would stay in memory forever.
pub struct StallGuard {
    stream: RetryingStream<TcpStream>,
    timeout: Duration,
    /// The timer of the pending write or flush; `None` if no write or flush is pending.
    timer: Option<Timer>,
}

impl StallGuard {
    /// Guards a socket: a write or flush that makes no progress for `timeout` fails with [`ErrorKind::TimedOut`].
    pub fn new(stream: TcpStream, timeout: Duration) -> Self {
        StallGuard { stream: RetryingStream::new(stream), timeout, timer: None }
    }

    fn guard<T>(&mut self, context: &mut Context<'_>, progress: Poll<Result<T>>) -> Poll<Result<T>> {
        if progress.is_ready() {
            self.timer = None;
            return progress;
        }
        let timer = self.timer.get_or_insert_with(|| Timer::after(self.timeout));
        match timer.poll(context) {
            Poll::Ready(_) => Poll::Ready(Err(Error::from(ErrorKind::TimedOut))),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for StallGuard {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context<'_>, buf: &mut [u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buf)
    }
}

impl AsyncWrite for StallGuard {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buf);
        self.guard(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.guard(context, flushed)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
