//! What a play of a fleet comes to.

use crate::inventory::SECOND;
use hdrhistogram::Histogram;
use petrelshore::interface::*;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Targets: time to the first token, and between two tokens.
pub const FIRST_TOKEN: Nanos = 1_500_000_000;
pub const BETWEEN_TOKENS: Nanos = 38_000_000;
/// Budgets of fewer calls than this have wider deviations.
const FEW_CALLS: f64 = 30.0;

/// Calls that a cold server may get in a window in which its settings allow so many.
pub fn slow_start_budget(allowed: f64) -> f64 {
    let (deviations, more) = if allowed < FEW_CALLS { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + deviations * allowed.sqrt() + more
}

/// Calls to one cold server, against its budget for the window that each call begins.
#[derive(Default)]
pub struct SlowStart {
    windows: VecDeque<(Nanos, f64, u32)>,
    worst: f64,
}

impl SlowStart {
    /// A call comes; `allowed` in a window that begins now.
    pub fn call(&mut self, now: Nanos, window: Nanos, allowed: f64) {
        while self.windows.front().is_some_and(|(began, ..)| began + window <= now) {
            self.windows.pop_front();
        }
        self.windows.push_back((now, slow_start_budget(allowed), 0));
        for (_, budget, calls) in &mut self.windows {
            *calls += 1;
            self.worst = self.worst.max(f64::from(*calls) / *budget);
        }
    }

    /// The most that came in a window, over its budget.
    pub fn worst(&self) -> f64 {
        self.worst
    }
}

/// Counts while a play runs.
#[derive(Default)]
pub struct Counts {
    pub requests: u64,
    pub on_target: u64,
    pub answered: u64,
    pub refused: u64,
    pub failed: u64,
    pub attempts: u64,
    pub moved: u64,
    pub decodes: u64,
    pub prompt_tokens: f64,
    pub kept_tokens: f64,
    /// Requests with no final answer in time, or more than one; attempts to servers that the gateway knew to be gone.
    pub rules_broken: u64,
    pub first_token_ms: Option<Histogram<u64>>,
}

impl Counts {
    /// An answer has begun: its time to the first token.
    pub fn first_token(&mut self, took: Nanos) {
        let times = self.first_token_ms.get_or_insert_with(|| {
            Histogram::new_with_max(600_000, 3).expect("a histogram to ten minutes with three digits")
        });
        times.saturating_record(took / 1_000_000);
    }
}

/// How evenly work lies over servers: the median, the 99th of a hundred and the most, over the mean.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    pub p50: f64,
    pub p99: f64,
    pub max: f64,
}

impl Spread {
    pub fn of(mut work: Vec<f64>) -> Spread {
        let mean = work.iter().sum::<f64>() / work.len().max(1) as f64;
        if work.is_empty() || mean <= 0.0 {
            return Spread::default();
        }
        work.sort_by(f64::total_cmp);
        let at = |part: f64| work[((work.len() - 1) as f64 * part) as usize] / mean;
        Spread { p50: at(0.5), p99: at(0.99), max: at(1.0) }
    }
}

/// One play, as it is printed.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub play: String,
    pub policy: String,
    pub seed: u64,
    pub gateways: usize,
    pub servers: u64,
    pub rate: f64,
    pub requests: u64,
    /// Parts of all requests: on target, answered at all, refused, failed.
    pub served: f64,
    pub answered: f64,
    pub refused: f64,
    pub failed: f64,
    pub first_token_p95_ms: u64,
    /// Part of the prompt tokens read that had been kept.
    pub cached: f64,
    pub prefill_p99_over_mean: f64,
    pub prefill_max_over_mean: f64,
    pub decode_p99_over_mean: f64,
    pub decode_max_over_mean: f64,
    pub max_over_mean: f64,
    /// Part of the decodes for which the state left its cell.
    pub moved: f64,
    pub attempts: f64,
    pub slow_start_worst: f64,
    pub rules_broken: u64,
    pub examined_per_request: f64,
    pub us_per_request: f64,
    pub real_seconds: f64,
    pub peak_mib: u64,
}

/// Work of the servers of one role.
pub fn work_by_role(work: impl Iterator<Item = (Role, f64)>) -> BTreeMap<usize, Vec<f64>> {
    let mut by_role: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    work.for_each(|(role, work)| by_role.entry(role as usize).or_default().push(work));
    by_role
}

/// Seconds of a span.
pub fn seconds(span: Nanos) -> f64 {
    span as f64 / SECOND as f64
}
