//! Seeded randomness that all tasks of a run draw from.

use oorandom::Rand64;
use std::cell::RefCell;
use std::time::Duration;

/// A seeded generator that is shared within one thread.
pub struct Random(RefCell<Rand64>);

impl Random {
    /// A generator that draws the same sequence for the same seed.
    pub fn new(seed: u64) -> Random {
        Random(RefCell::new(Rand64::new(seed.into())))
    }

    /// A number from zero up to, but not including, one.
    pub fn fraction(&self) -> f64 {
        self.0.borrow_mut().rand_float()
    }

    /// True with this probability.
    pub fn happens(&self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// A number below `limit`; zero where `limit` is zero.
    pub fn below(&self, limit: usize) -> usize {
        self.0.borrow_mut().rand_range(0..limit.max(1) as u64) as usize
    }

    /// A duration within a range of milliseconds.
    pub fn duration_ms(&self, min: u64, max: u64) -> Duration {
        Duration::from_millis(min + self.below((max - min) as usize) as u64)
    }
}
