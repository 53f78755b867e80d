//! The one timer of a gateway: it sleeps until the next timeout, or until an earlier one is set.

use crate::clock::Clock;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use petrelshore::interface::Nanos;
use std::cell::Cell;

/// Wakes a gateway for its next timeout.
pub struct TimerDriver {
    /// Notified by [`TimerDriver::update`] when a timeout was set that comes before the one waited for.
    earlier: Event,
    /// The timeout waited for. Set only by the timeout task, in [`TimerDriver::run`].
    armed_for: Cell<Nanos>,
}

impl Default for TimerDriver {
    fn default() -> Self {
        TimerDriver { earlier: Event::new(), armed_for: Cell::new(Nanos::MAX) }
    }
}

impl TimerDriver {
    /// The next timeout may have changed.
    pub fn update(&self, next_timeout: Option<Nanos>) {
        if next_timeout.is_some_and(|at| at < self.armed_for.get()) {
            self.earlier.notify(usize::MAX);
        }
    }

    /// Calls `on_timeout` whenever a timeout is reached, for as long as it is polled.
    pub async fn run(&self, clock: Clock, next_timeout: impl Fn() -> Option<Nanos>, on_timeout: impl Fn()) {
        loop {
            let earlier = self.earlier.listen();
            let timeout = next_timeout();
            self.armed_for.set(timeout.unwrap_or(Nanos::MAX));
            match timeout {
                Some(at) if at <= clock.now() => {
                    on_timeout();
                    future::yield_now().await;
                }
                Some(at) => {
                    let timeout_reached = async {
                        Timer::at(clock.instant(at)).await;
                    };
                    future::or(earlier, timeout_reached).await;
                }
                None => earlier.await,
            }
        }
    }
}
