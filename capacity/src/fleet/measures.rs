//! What a simulation measures.

use crate::inventory::SECOND;
use hdrhistogram::Histogram;
use petrelshore::interface::{Nanos, Role};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// The objective for the time to the first token.
pub const FIRST_TOKEN_SLO: Nanos = 1_500_000_000;
/// The objective for the time between two tokens.
pub const TOKEN_INTERVAL_SLO: Nanos = 38_000_000;
/// Below so many expected calls the statistical slack is wider.
const FEW_CALLS: f64 = 30.0;

/// The calls that a server in slow start may get in a window in which its settings allow so many.
pub fn slow_start_budget(allowed: f64) -> f64 {
    let (deviations, extra) = if allowed < FEW_CALLS { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + deviations * allowed.sqrt() + extra
}

/// The calls within a window that began with a call.
struct CallWindow {
    began: Nanos,
    budget: f64,
    calls: u32,
}

/// The calls to one server in slow start, against its budget for the window that each call begins.
#[derive(Default)]
pub struct SlowStart {
    windows: VecDeque<CallWindow>,
    worst: f64,
}

impl SlowStart {
    /// Counts a call; so many are `allowed` in a window that begins now.
    pub fn count_call(&mut self, now: Nanos, window: Nanos, allowed: f64) {
        while self.windows.front().is_some_and(|first| first.began + window <= now) {
            self.windows.pop_front();
        }
        self.windows.push_back(CallWindow { began: now, budget: slow_start_budget(allowed), calls: 0 });
        for window in &mut self.windows {
            window.calls += 1;
            self.worst = self.worst.max(f64::from(window.calls) / window.budget);
        }
    }

    /// The largest ratio of a window's calls to its budget.
    pub fn worst(&self) -> f64 {
        self.worst
    }
}

/// Counts while a simulation runs.
#[derive(Default)]
pub struct Counts {
    /// Requests.
    pub requests: u64,
    /// Requests answered within the objectives.
    pub within_slo: u64,
    /// Requests answered at all.
    pub answered: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that were aborted.
    pub failed: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Decodes in another cell than their prefill.
    pub migrated: u64,
    /// Decodes.
    pub decodes: u64,
    /// Tokens of all prompts.
    pub prompt_tokens: f64,
    /// Prompt tokens that were cached.
    pub cached_tokens: f64,
    /// Requests with no final response in time, or more than one; attempts to servers that the gateway knew to be gone.
    pub rules_broken: u64,
    /// Times to the first token, in milliseconds.
    pub first_token_ms: Option<Histogram<u64>>,
}

impl Counts {
    /// Counts a time to the first token.
    pub fn count_first_token(&mut self, took: Nanos) {
        let times = self.first_token_ms.get_or_insert_with(|| {
            Histogram::new_with_max(600_000, 3).expect("a histogram to ten minutes with three digits")
        });
        times.saturating_record(took / 1_000_000);
    }
}

/// How evenly work is distributed over servers.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// The median over the mean.
    pub p50: f64,
    /// The 99th percentile over the mean.
    pub p99: f64,
    /// The maximum over the mean.
    pub max: f64,
}

impl Spread {
    /// The spread of the servers' work.
    pub fn of(mut work: Vec<f64>) -> Spread {
        let mean = work.iter().sum::<f64>() / work.len().max(1) as f64;
        if work.is_empty() || mean <= 0.0 {
            return Spread::default();
        }
        work.sort_by(f64::total_cmp);
        let at = |quantile: f64| work[((work.len() - 1) as f64 * quantile) as usize] / mean;
        Spread { p50: at(0.5), p99: at(0.99), max: at(1.0) }
    }
}

/// One simulation, as it is printed. Shares are parts of all requests where nothing else is said.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The scenario's name.
    #[serde(rename = "play")]
    pub scenario: String,
    /// How servers were found.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Model servers.
    pub servers: u64,
    /// Requests per second over all gateways.
    pub rate: f64,
    /// Requests.
    pub requests: u64,
    /// The share answered within the objectives.
    #[serde(rename = "served")]
    pub within_slo: f64,
    /// The share answered at all.
    pub answered: f64,
    /// The share that was rejected.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// The share that was aborted.
    pub failed: f64,
    /// The 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: u64,
    /// The share of prompt tokens that was cached.
    pub cached: f64,
    /// Spread of work over prefill servers: 99th percentile over mean.
    pub prefill_p99_over_mean: f64,
    /// Spread of work over prefill servers: maximum over mean.
    pub prefill_max_over_mean: f64,
    /// Spread of work over decode servers: 99th percentile over mean.
    pub decode_p99_over_mean: f64,
    /// Spread of work over decode servers: maximum over mean.
    pub decode_max_over_mean: f64,
    /// The larger of both maxima.
    pub max_over_mean: f64,
    /// The share of decodes whose KV cache left its cell.
    #[serde(rename = "moved")]
    pub migrated: f64,
    /// Attempts per request.
    pub attempts: f64,
    /// The largest ratio of calls to a server in slow start to its budget.
    pub slow_start_worst: f64,
    /// Broken rules.
    pub rules_broken: u64,
    /// Servers examined per request.
    pub examined_per_request: f64,
    /// Microseconds of decisions per request.
    pub us_per_request: f64,
    /// Seconds that the simulation took.
    pub real_seconds: f64,
    /// Peak resident memory in MiB.
    pub peak_mib: u64,
}

/// The work of servers by their role.
pub fn work_by_role(work: impl Iterator<Item = (Role, f64)>) -> BTreeMap<usize, Vec<f64>> {
    let mut by_role: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    work.for_each(|(role, work)| by_role.entry(role as usize).or_default().push(work));
    by_role
}

/// A duration in seconds.
pub fn seconds(duration: Nanos) -> f64 {
    duration as f64 / SECOND as f64
}
