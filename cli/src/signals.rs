//! Signals to the process. A signal handler sets a flag and writes to a socket pair to wake the process. The flag keeps
//! the signal if the write, or the read at the other end of the pair, fails.

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Interval at which the flags are polled if the socket pair does not wake the process.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of attempts to register the signal handlers. An attempt fails while file descriptors are short.
const MAX_ATTEMPTS: usize = 50;
/// Time between two attempts to register the signal handlers.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The request that a signal makes to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Stop the process, by SIGTERM or SIGINT.
    Stop,
    /// Reload the inventory or the configuration, by SIGHUP.
    Reload,
}

/// The signals that have arrived and that [`Signals::next`] has not returned yet. Several signals of one kind may be
/// returned as one.
pub struct Signals {
    wake_receiver: Async<UnixStream>,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers the signal handlers, and tries again if that fails.
    pub async fn catch() -> io::Result<Signals> {
        for _ in 1..MAX_ATTEMPTS {
            match Self::register() {
                Ok(signals) => return Ok(signals),
                Err(_) => drop(Timer::after(RETRY_INTERVAL).await),
            }
        }
        Self::register()
    }

    fn register() -> io::Result<Signals> {
        let (wake_receiver, wake_sender) = UnixStream::pair()?;
        let (stop, reload) = (Arc::default(), Arc::default());
        for (signal, flag) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
            flag::register(signal, Arc::clone(flag))?;
            pipe::register(signal, wake_sender.try_clone()?)?;
        }
        Ok(Signals { wake_receiver: Async::new(wake_receiver)?, stop, reload })
    }

    /// Waits for the next signal and returns it.
    pub async fn next(&mut self) -> Signal {
        loop {
            if self.reload.swap(false, Ordering::SeqCst) {
                return Signal::Reload;
            }
            if self.stop.swap(false, Ordering::SeqCst) {
                return Signal::Stop;
            }
            let wake_up = async {
                let read = self.wake_receiver.read_with(|mut socket| socket.read(&mut [0; 64]));
                if read.await.is_err() {
                    // The loop checks the flags next and then tries the read again.
                    Timer::after(Duration::from_millis(1)).await;
                }
            };
            let poll_timeout = async {
                Timer::after(POLL_INTERVAL).await;
            };
            future::or(wake_up, poll_timeout).await;
        }
    }
}
