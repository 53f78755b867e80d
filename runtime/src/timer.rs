//! The single timer of a gateway, which sleeps until the next timeout or until an earlier timeout is set.

use crate::clock::Clock;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use petrelshore::interface::Nanos;
use std::cell::Cell;

/// Wakes a gateway for its next timeout.
pub struct TimerDriver {
    /// Notified by [`TimerDriver::update`] when the next timeout is earlier than `armed_for`.
    earlier_timeout: Event,
    /// The time until which the timeout task sleeps, or `Nanos::MAX` without a timeout. Only [`TimerDriver::run`] sets
    /// this time.
    armed_for: Cell<Nanos>,
}

impl Default for TimerDriver {
    fn default() -> Self {
        TimerDriver { earlier_timeout: Event::new(), armed_for: Cell::new(Nanos::MAX) }
    }
}

impl TimerDriver {
    /// Wakes the timeout task if `next_timeout` is earlier than the timeout for which the task sleeps. Must be called
    /// whenever the next timeout may have changed.
    pub fn update(&self, next_timeout: Option<Nanos>) {
        if next_timeout.is_some_and(|at| at < self.armed_for.get()) {
            self.earlier_timeout.notify(usize::MAX);
        }
    }

    /// Calls `on_timeout` whenever the time that `next_timeout` returns is reached. Never completes.
    pub async fn run(&self, clock: Clock, next_timeout: impl Fn() -> Option<Nanos>, on_timeout: impl Fn()) {
        loop {
            let earlier_timeout = self.earlier_timeout.listen();
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
                    future::or(earlier_timeout, timeout_reached).await;
                }
                None => earlier_timeout.await,
            }
        }
    }
}
