//! The results of a rehearsal.

use super::ClientRequest;
use crate::auditor::Verdict;
use crate::client::Api;
use hdrhistogram::Histogram;
use petrelshore_emulator::record::{Entry, FinalOutcome};
use petrelshore_settings::Settings;
use std::collections::BTreeMap;

/// The largest time to the first token that a histogram holds: one minute, in microseconds.
const MAX_FIRST_TOKEN_MICROS: u64 = 60_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// The results of a rehearsal.
#[derive(Default)]
pub struct Outcome {
    /// The result of the audit.
    pub verdict: Verdict,
    /// The whole record.
    pub entries: Vec<Entry>,
    /// The priority weight of requests answered within the latency objective, divided by the priority weight of all
    /// requests. A request counts once, including its retries, and requests whose clients disconnected don't count.
    pub service: f64,
    /// `service` for each API that was used, which shows if one API starves beside the other.
    pub service_by_api: BTreeMap<Api, f64>,
    /// The number of requests by traffic type and name of the outcome.
    pub outcomes: BTreeMap<String, BTreeMap<String, usize>>,
    /// Times to the first token by traffic type, in microseconds.
    pub first_tokens: BTreeMap<String, Histogram<u64>>,
    /// The number of requests that gateways still tracked at the end.
    pub left_in_gateways: usize,
    /// The number of KV caches that servers still held at the end.
    pub left_in_servers: usize,
}

/// The priority weights of all requests and of those answered within the latency objective.
#[derive(Clone, Copy, Default)]
struct Weights {
    requested: f64,
    served: f64,
}

impl Weights {
    fn add(&mut self, other: Weights) {
        self.requested += other.requested;
        self.served += other.served;
    }

    fn share(self) -> f64 {
        if self.requested > 0.0 { self.served / self.requested } else { 0.0 }
    }
}

/// Summarizes the requests of all clients.
pub(super) fn summarize(settings: &Settings, requests: &[ClientRequest]) -> Outcome {
    let mut weights: BTreeMap<Api, Weights> = BTreeMap::new();
    let mut summary = Outcome::default();
    for request in requests {
        let outcomes = summary.outcomes.entry(request.model.to_owned()).or_default();
        *outcomes.entry(request.outcome.name().to_owned()).or_default() += 1;
        if request.outcome == FinalOutcome::Disconnected {
            continue;
        }
        let weight = priority_weight(settings, request.model);
        let served = if request.within_slo { weight } else { 0.0 };
        weights.entry(request.api).or_default().add(Weights { requested: weight, served });
        if let Some(after) = request.first_token {
            let times = summary.first_tokens.entry(request.model.to_owned()).or_insert_with(new_histogram);
            times.saturating_record(after / NANOS_PER_MICRO);
        }
    }
    let mut total = Weights::default();
    weights.values().for_each(|weights| total.add(*weights));
    summary.service = total.share();
    summary.service_by_api = weights.into_iter().map(|(api, weights)| (api, weights.share())).collect();
    summary
}

fn priority_weight(settings: &Settings, model: &str) -> f64 {
    let index = settings.traffic.iter().position(|traffic| traffic.name == model);
    index.map_or(0.0, |index| settings.deployment.types[index].priority_weight)
}

/// Creates a histogram with three significant digits for up to one minute. These bounds are always valid.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_FIRST_TOKEN_MICROS, 3).unwrap_or_else(|_| Histogram::new(3).unwrap())
}
