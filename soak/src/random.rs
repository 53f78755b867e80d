//! The seeded random number generator that all tasks of a run share.

use oorandom::Rand64;
use std::cell::RefCell;
use std::time::Duration;

/// A seeded random number generator that is shared within one thread.
pub struct Random(RefCell<Rand64>);

impl Random {
    /// Creates a generator. The same seed gives the same sequence of numbers.
    pub fn new(seed: u64) -> Random {
        Random(RefCell::new(Rand64::new(seed.into())))
    }

    /// Draws a number from zero up to, but not including, one.
    pub fn fraction(&self) -> f64 {
        self.0.borrow_mut().rand_float()
    }

    /// Draws a boolean that is true with the given probability.
    pub fn happens(&self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// Draws a number below `limit`; returns zero if `limit` is zero.
    pub fn below(&self, limit: usize) -> usize {
        self.0.borrow_mut().rand_range(0..limit.max(1) as u64) as usize
    }

    /// Draws a duration from `min` up to, but not including, `max` milliseconds.
    pub fn duration_ms(&self, min: u64, max: u64) -> Duration {
        Duration::from_millis(min + self.below((max - min) as usize) as u64)
    }
}
