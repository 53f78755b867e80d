//! Sums that decay: each halves once a half-life, and is brought up to date when it is read.

use crate::interface::Nanos;

/// Nanoseconds of a second.
pub const NANOS_PER_SECOND: f64 = 1e9;
/// Least part of the memory of a [`DecayingSum`] that a rate counts as filled.
const MIN_FILLED_SHARE: f64 = 0.05;
/// Least decayed count of times that a quantile is taken of.
const MIN_COUNT: f64 = 1e-3;

/// A sum of amounts, each of which halves once a half-life.
#[derive(Clone, Debug)]
pub struct DecayingSum {
    value: f64,
    /// When the value was right.
    at: Nanos,
    half_life: Nanos,
}

impl DecayingSum {
    /// An empty sum. The half-life is in nanoseconds.
    pub fn new(half_life: Nanos) -> Self {
        DecayingSum { value: 0.0, at: 0, half_life: half_life.max(1) }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Nanos, amount: f64) {
        self.value = self.read(now) + amount;
        self.at = now.max(self.at);
    }

    /// The sum as it is now.
    pub fn read(&self, now: Nanos) -> f64 {
        let half_lives = now.saturating_sub(self.at) as f64 / self.half_life as f64;
        self.value * (-half_lives).exp2()
    }

    /// What a second has brought of late, where amounts have been counted since `start`.
    pub fn per_second(&self, now: Nanos, start: Nanos) -> f64 {
        let half_life = self.half_life as f64;
        let filled_share = 1.0 - (-(now.saturating_sub(start) as f64) / half_life).exp2();
        self.read(now) * std::f64::consts::LN_2 * NANOS_PER_SECOND
            / (half_life * filled_share.max(MIN_FILLED_SHARE))
    }
}

/// Times as decaying sums of their logarithms, for quantiles of late.
#[derive(Clone, Debug)]
pub struct DecayingTimes {
    count: DecayingSum,
    sum: DecayingSum,
    sum_of_squares: DecayingSum,
}

impl DecayingTimes {
    /// No times yet. The half-life is in nanoseconds.
    pub fn new(half_life: Nanos) -> Self {
        let empty = DecayingSum::new(half_life);
        DecayingTimes { count: empty.clone(), sum: empty.clone(), sum_of_squares: empty }
    }

    /// Adds a time; times below 1 count as 1.
    pub fn add(&mut self, now: Nanos, time: f64) {
        let log = time.max(1.0).ln();
        self.count.add(now, 1.0);
        self.sum.add(now, log);
        self.sum_of_squares.add(now, log * log);
    }

    /// The decayed count of times.
    pub fn weight(&self, now: Nanos) -> f64 {
        self.count.read(now)
    }

    /// The value so many standard deviations above the median, as if the logarithms were normal; none before any time.
    pub fn quantile(&self, now: Nanos, deviations: f64) -> Option<f64> {
        let count = self.count.read(now);
        if count < MIN_COUNT {
            return None;
        }
        let mean = self.sum.read(now) / count;
        let variance = (self.sum_of_squares.read(now) / count - mean * mean).max(0.0);
        Some((mean + deviations * variance.sqrt()).exp())
    }
}

/// The share of events of late that count, of failures among attempts for example.
#[derive(Clone, Debug)]
pub struct DecayingShare {
    all: DecayingSum,
    counted: DecayingSum,
}

impl DecayingShare {
    /// No events yet. The half-life is in nanoseconds.
    pub fn new(half_life: Nanos) -> Self {
        DecayingShare { all: DecayingSum::new(half_life), counted: DecayingSum::new(half_life) }
    }

    /// Adds an event, and whether it counts.
    pub fn add(&mut self, now: Nanos, counts: bool) {
        self.all.add(now, 1.0);
        self.counted.add(now, if counts { 1.0 } else { 0.0 });
    }

    /// The share of those that count; `prior` is the share of one more event, and the result before any.
    pub fn share(&self, now: Nanos, prior: f64) -> f64 {
        (self.counted.read(now) + prior) / (self.all.read(now) + 1.0)
    }
}
