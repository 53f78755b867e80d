//! Sums that fade: each halves once a half-life, and is brought up to date when it is read.

use crate::interface::Nanos;

#[derive(Clone, Debug)]
pub struct DecayingSum {
    value: f64,
    at: Nanos,
    half_life: Nanos,
}

impl DecayingSum {
    pub fn new(half_life: Nanos) -> Self {
        DecayingSum { value: 0.0, at: 0, half_life: half_life.max(1) }
    }

    pub fn add(&mut self, now: Nanos, amount: f64) {
        self.value = self.read(now) + amount;
        self.at = now.max(self.at);
    }

    pub fn read(&self, now: Nanos) -> f64 {
        let halvings = now.saturating_sub(self.at) as f64 / self.half_life as f64;
        self.value * (-halvings).exp2()
    }

    /// What a second has brought of late, while events have been counted since `start`.
    pub fn per_second(&self, now: Nanos, start: Nanos) -> f64 {
        let life = self.half_life as f64;
        let seen = 1.0 - (-(now.saturating_sub(start) as f64) / life).exp2();
        self.read(now) * std::f64::consts::LN_2 * 1e9 / (life * seen.max(0.05))
    }
}

/// Times kept as fading sums of their logarithms, for a mean and a high quantile of late.
#[derive(Clone, Debug)]
pub struct FadingTimes {
    count: DecayingSum,
    sum: DecayingSum,
    squares: DecayingSum,
}

impl FadingTimes {
    pub fn new(half_life: Nanos) -> Self {
        let empty = DecayingSum::new(half_life);
        FadingTimes { count: empty.clone(), sum: empty.clone(), squares: empty }
    }

    pub fn add(&mut self, now: Nanos, time: f64) {
        let log = time.max(1.0).ln();
        self.count.add(now, 1.0);
        self.sum.add(now, log);
        self.squares.add(now, log * log);
    }

    pub fn weight(&self, now: Nanos) -> f64 {
        self.count.read(now)
    }

    /// The value `deviations` above the middle, as if the logarithms were normal; none before any time.
    pub fn quantile(&self, now: Nanos, deviations: f64) -> Option<f64> {
        let count = self.count.read(now);
        if count < 1e-3 {
            return None;
        }
        let mean = self.sum.read(now) / count;
        let spread = (self.squares.read(now) / count - mean * mean).max(0.0).sqrt();
        Some((mean + deviations * spread).exp())
    }
}

/// A share of late, of events that went one of two ways.
#[derive(Clone, Debug)]
pub struct FadingShare {
    all: DecayingSum,
    bad: DecayingSum,
}

impl FadingShare {
    pub fn new(half_life: Nanos) -> Self {
        FadingShare { all: DecayingSum::new(half_life), bad: DecayingSum::new(half_life) }
    }

    pub fn add(&mut self, now: Nanos, bad: bool) {
        self.all.add(now, 1.0);
        self.bad.add(now, if bad { 1.0 } else { 0.0 });
    }

    /// The share of bad ones, where `usual` counts for one event.
    pub fn read(&self, now: Nanos, usual: f64) -> f64 {
        (self.bad.read(now) + usual) / (self.all.read(now) + 1.0)
    }
}
