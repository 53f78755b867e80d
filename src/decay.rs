//! Exponentially decaying sums. Each sum halves once per half-life; the decay is computed when the sum is read.

use crate::interface::Nanos;

/// The number of nanoseconds in a second.
pub const NANOS_PER_SECOND: f64 = 1e9;
/// Lower bound of the filled share that [`DecayingSum::per_second`] divides by.
const MIN_FILLED_SHARE: f64 = 0.05;
/// The minimum decayed count of times for which a quantile is computed.
const MIN_QUANTILE_COUNT: f64 = 1e-3;

/// A sum of amounts, each of which halves once per half-life.
#[derive(Clone, Debug)]
pub struct DecayingSum {
    value: f64,
    /// The time as of which `value` is the decayed sum.
    updated_at: Nanos,
    half_life: Nanos,
}

impl DecayingSum {
    /// An empty sum with a half-life in nanoseconds.
    pub fn new(half_life: Nanos) -> Self {
        DecayingSum { value: 0.0, updated_at: 0, half_life: half_life.max(1) }
    }

    /// Adds an amount at the time `now`.
    pub fn add(&mut self, now: Nanos, amount: f64) {
        self.value = self.read(now) + amount;
        self.updated_at = now.max(self.updated_at);
    }

    /// The decayed sum at the time `now`.
    pub fn read(&self, now: Nanos) -> f64 {
        let half_lives = now.saturating_sub(self.updated_at) as f64 / self.half_life as f64;
        self.value * (-half_lives).exp2()
    }

    /// The recent rate: the amount added per second, averaged with exponentially decaying weights. Amounts have been
    /// counted since `start`. Shortly after `start` the sum has reached only a share of its steady state, the filled
    /// share, so the rate is divided by that share.
    pub fn per_second(&self, now: Nanos, start: Nanos) -> f64 {
        let half_life = self.half_life as f64;
        let filled_share = 1.0 - (-(now.saturating_sub(start) as f64) / half_life).exp2();
        self.read(now) * std::f64::consts::LN_2 * NANOS_PER_SECOND
            / (half_life * filled_share.max(MIN_FILLED_SHARE))
    }
}

/// The distribution of recent times, kept as decaying sums of their logarithms.
#[derive(Clone, Debug)]
pub struct DecayingTimes {
    count: DecayingSum,
    sum: DecayingSum,
    sum_of_squares: DecayingSum,
}

impl DecayingTimes {
    /// A distribution without times, with a half-life in nanoseconds.
    pub fn new(half_life: Nanos) -> Self {
        let empty = DecayingSum::new(half_life);
        DecayingTimes { count: empty.clone(), sum: empty.clone(), sum_of_squares: empty }
    }

    /// Adds a time. Times below 1 count as 1.
    pub fn add(&mut self, now: Nanos, time: f64) {
        let log = time.max(1.0).ln();
        self.count.add(now, 1.0);
        self.sum.add(now, log);
        self.sum_of_squares.add(now, log * log);
    }

    /// The decayed number of times.
    pub fn weight(&self, now: Nanos) -> f64 {
        self.count.read(now)
    }

    /// The time that is `deviations` standard deviations above the median, on the assumption of a log-normal
    /// distribution. `None` if the decayed number of times is close to zero.
    pub fn quantile(&self, now: Nanos, deviations: f64) -> Option<f64> {
        let count = self.count.read(now);
        if count < MIN_QUANTILE_COUNT {
            return None;
        }
        let mean = self.sum.read(now) / count;
        let variance = (self.sum_of_squares.read(now) / count - mean * mean).max(0.0);
        Some((mean + deviations * variance.sqrt()).exp())
    }
}

/// The share of recent events that are counted, for example the share of attempts that failed.
#[derive(Clone, Debug)]
pub struct DecayingShare {
    all: DecayingSum,
    counted: DecayingSum,
}

impl DecayingShare {
    /// A share without events, with a half-life in nanoseconds.
    pub fn new(half_life: Nanos) -> Self {
        DecayingShare { all: DecayingSum::new(half_life), counted: DecayingSum::new(half_life) }
    }

    /// Adds an event; `is_counted` tells whether the event is part of the share.
    pub fn add(&mut self, now: Nanos, is_counted: bool) {
        self.all.add(now, 1.0);
        self.counted.add(now, if is_counted { 1.0 } else { 0.0 });
    }

    /// The share of events that are counted. One additional event enters with the share `prior`, which is the result
    /// before the first event.
    pub fn share(&self, now: Nanos, prior: f64) -> f64 {
        (self.counted.read(now) + prior) / (self.all.read(now) + 1.0)
    }
}
