//! Counts and statistics of a simulation.

use crate::inventory::SECOND;
use hdrhistogram::Histogram;
use petrelshore::interface::{Nanos, Role};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// The latency objective for the time to the first token, in nanoseconds.
pub const FIRST_TOKEN_SLO: Nanos = 1_500_000_000;
/// The latency objective for the time between two tokens, in nanoseconds.
pub const TOKEN_INTERVAL_SLO: Nanos = 38_000_000;
/// Number of allowed calls below which the statistical margin of [`slow_start_budget`] is wider.
const MIN_CALLS_FOR_NARROW_MARGIN: f64 = 30.0;

/// Returns the maximum number of calls that a server in slow start may receive in a window for which its settings allow
/// `allowed` calls. The margin covers random variation: it is two or three times the square root of `allowed`, the
/// standard deviation of a Poisson-distributed count, plus two or three calls.
pub fn slow_start_budget(allowed: f64) -> f64 {
    let (deviations, extra) = if allowed < MIN_CALLS_FOR_NARROW_MARGIN { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + deviations * allowed.sqrt() + extra
}

/// The number of calls in a window that starts with a call.
struct CallWindow {
    started_at: Nanos,
    budget: f64,
    calls: u32,
}

/// Compares the calls to one server in slow start with its budget. Each call starts a new window.
#[derive(Default)]
pub struct SlowStartCalls {
    windows: VecDeque<CallWindow>,
    worst_ratio: f64,
}

impl SlowStartCalls {
    /// Counts a call at `now` in all current windows, and starts a window in which the settings allow `allowed` calls.
    pub fn count_call(&mut self, now: Nanos, window: Nanos, allowed: f64) {
        while self.windows.front().is_some_and(|first| first.started_at + window <= now) {
            self.windows.pop_front();
        }
        self.windows.push_back(CallWindow { started_at: now, budget: slow_start_budget(allowed), calls: 0 });
        for window in &mut self.windows {
            window.calls += 1;
            self.worst_ratio = self.worst_ratio.max(f64::from(window.calls) / window.budget);
        }
    }

    /// Returns the largest ratio of the calls in a window to the budget of the window.
    pub fn worst_ratio(&self) -> f64 {
        self.worst_ratio
    }
}

/// Counts that are updated while a simulation runs. Requests of the warm-up, and requests whose deadline is not before
/// the end of the simulation, are only included in `rules_broken`.
#[derive(Default)]
pub struct Counts {
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that were answered within both latency objectives.
    pub within_slo: u64,
    /// Number of requests whose first token was received.
    pub answered: u64,
    /// Number of requests that were rejected before their first token.
    pub rejected: u64,
    /// Number of requests that were aborted before their first token.
    pub failed: u64,
    /// Number of attempts of all requests.
    pub attempts: u64,
    /// Number of decodes that were sent to another cell than their prefill.
    pub migrated: u64,
    /// Number of decodes.
    pub decodes: u64,
    /// Number of tokens of all prompts.
    pub prompt_tokens: f64,
    /// Number of prompt tokens that were cached.
    pub cached_tokens: f64,
    /// Number of violations: final responses that are missing, late or duplicate, attempts for requests that already
    /// have a final response, and attempts on servers that the endpoint list of the gateway declares gone.
    pub rules_broken: u64,
    /// Histogram of the times to the first token, in milliseconds.
    pub first_token_ms: Option<Histogram<u64>>,
}

impl Counts {
    /// Adds a time to the first token to the histogram.
    pub fn count_first_token(&mut self, duration: Nanos) {
        let times = self.first_token_ms.get_or_insert_with(|| {
            Histogram::new_with_max(600_000, 3)
                .expect("a histogram up to ten minutes with three significant digits is valid")
        });
        times.saturating_record(duration / 1_000_000);
    }
}

/// The distribution of work over servers, as ratios to the mean work of a server.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// The ratio of the median to the mean.
    pub p50: f64,
    /// The ratio of the 99th percentile to the mean.
    pub p99: f64,
    /// The ratio of the maximum to the mean.
    pub max: f64,
}

impl Spread {
    /// Computes the spread from the work of each server. All ratios are 0 if there is no work.
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

/// The printed row of a simulation. Shares relate to all counted requests, unless a comment says otherwise.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The name of the scenario.
    #[serde(rename = "play")]
    pub scenario: String,
    /// The name of the policy by which gateways found a server for a request.
    pub policy: String,
    /// The seed of the random draws.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of model servers.
    pub servers: u64,
    /// Number of requests per second over all gateways.
    pub rate: f64,
    /// Number of counted requests.
    pub requests: u64,
    /// The share of requests that were answered within both latency objectives.
    #[serde(rename = "served")]
    pub within_slo: f64,
    /// The share of requests whose first token was received.
    pub answered: f64,
    /// The share of requests that were rejected before their first token.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// The share of requests that were aborted before their first token.
    pub failed: f64,
    /// The 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: u64,
    /// The share of prompt tokens that were cached.
    pub cached: f64,
    /// The ratio of the 99th percentile to the mean of the work of prefill servers.
    pub prefill_p99_over_mean: f64,
    /// The ratio of the maximum to the mean of the work of prefill servers.
    pub prefill_max_over_mean: f64,
    /// The ratio of the 99th percentile to the mean of the work of decode servers.
    pub decode_p99_over_mean: f64,
    /// The ratio of the maximum to the mean of the work of decode servers.
    pub decode_max_over_mean: f64,
    /// The larger of `prefill_max_over_mean` and `decode_max_over_mean`.
    pub max_over_mean: f64,
    /// The share of decodes that were sent to another cell than their prefill.
    #[serde(rename = "moved")]
    pub migrated: f64,
    /// Mean number of attempts per request.
    pub attempts: f64,
    /// The largest ratio of the calls that a server in slow start received in a window to its budget for the window.
    pub slow_start_worst: f64,
    /// Number of violations: final responses that are missing, late or duplicate, attempts for requests that already
    /// have a final response, and attempts on servers that the endpoint list of the gateway declares gone.
    pub rules_broken: u64,
    /// Mean number of servers examined per request.
    pub examined_per_request: f64,
    /// Mean time of the scheduling decisions per request, in microseconds.
    pub us_per_request: f64,
    /// Real time that the simulation took, in seconds.
    pub real_seconds: f64,
    /// Peak resident memory of the process, in MiB.
    pub peak_mib: u64,
}

/// Groups the work of servers by role. The key is the discriminant of the [`Role`].
pub fn work_by_role(work: impl Iterator<Item = (Role, f64)>) -> BTreeMap<usize, Vec<f64>> {
    let mut by_role: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    work.for_each(|(role, work)| by_role.entry(role as usize).or_default().push(work));
    by_role
}

/// Converts a duration from nanoseconds to seconds.
pub fn seconds(duration: Nanos) -> f64 {
    duration as f64 / SECOND as f64
}
