//! Seeded randomness that all parties of one thread draw from.

use oorandom::Rand64;
use std::cell::RefCell;
use std::time::Duration;

pub struct Chance(RefCell<Rand64>);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(RefCell::new(Rand64::new(seed.into())))
    }

    /// Below one.
    pub fn part(&self) -> f64 {
        self.0.borrow_mut().rand_float()
    }

    /// True once in `1 / part` times.
    pub fn hits(&self, part: f64) -> bool {
        self.part() < part
    }

    /// A number below `most`.
    pub fn below(&self, most: usize) -> usize {
        self.0.borrow_mut().rand_range(0..most.max(1) as u64) as usize
    }

    /// A time between two, in milliseconds.
    pub fn time(&self, least: u64, most: u64) -> Duration {
        Duration::from_millis(least + self.below((most - least) as usize) as u64)
    }
}
