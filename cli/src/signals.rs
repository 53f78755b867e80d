//! Signals to the process. Each is remembered by a flag in its handler, so that none is lost where the call that wakes
//! the process fails, or the one that reads what woke it.

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often the flags are polled where nothing wakes the process.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Attempts to catch signals where descriptors are short, and the pause between two.
const MAX_ATTEMPTS: usize = 50;
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// What a signal asks of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
}

/// The signals that have come and were not taken yet. Several of one kind may be taken as one.
pub struct Signals {
    woken: Async<UnixStream>,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Catches signals from now on.
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
        let (woken, wakes) = UnixStream::pair()?;
        let (stop, reload) = (Arc::default(), Arc::default());
        for (signal, flag) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
            flag::register(signal, Arc::clone(flag))?;
            pipe::register(signal, wakes.try_clone()?)?;
        }
        Ok(Signals { woken: Async::new(woken)?, stop, reload })
    }

    /// The next signal.
    pub async fn next(&mut self) -> Signal {
        loop {
            if self.reload.swap(false, Ordering::SeqCst) {
                return Signal::Reload;
            }
            if self.stop.swap(false, Ordering::SeqCst) {
                return Signal::Stop;
            }
            let woken = async {
                let read = self.woken.read_with(|mut woken| woken.read(&mut [0; 64]));
                if read.await.is_err() {
                    // The flags are looked at now; what woke the process is read the next time.
                    Timer::after(Duration::from_millis(1)).await;
                }
            };
            let polled = async {
                Timer::after(POLL_INTERVAL).await;
            };
            future::or(woken, polled).await;
        }
    }
}
