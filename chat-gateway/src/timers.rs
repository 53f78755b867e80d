//! The one timer of a shell: it sleeps until the first thing is due, or until something is due sooner.

use crate::clock::Clock;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use petrelshore::interface::Nanos;
use std::cell::Cell;

pub struct Timers {
    /// Told when a timer was set that is due before the one waited for.
    sooner: Event,
    waits_for: Cell<Nanos>,
}

impl Default for Timers {
    fn default() -> Self {
        Timers { sooner: Event::new(), waits_for: Cell::new(Nanos::MAX) }
    }
}

impl Timers {
    /// What is due first may have changed.
    pub fn check(&self, next_due: Option<Nanos>) {
        if next_due.is_some_and(|due| due < self.waits_for.get()) {
            self.sooner.notify(usize::MAX);
        }
    }

    /// Calls `act` whenever something is due, for as long as it is polled.
    pub async fn run(&self, clock: Clock, next_due: impl Fn() -> Option<Nanos>, act: impl Fn()) {
        loop {
            let sooner = self.sooner.listen();
            let due = next_due();
            self.waits_for.set(due.unwrap_or(Nanos::MAX));
            match due {
                Some(due) if due <= clock.now() => {
                    act();
                    future::yield_now().await;
                }
                Some(due) => {
                    let reached = async {
                        Timer::at(clock.instant(due)).await;
                    };
                    future::or(sooner, reached).await;
                }
                None => sooner.await,
            }
        }
    }
}
