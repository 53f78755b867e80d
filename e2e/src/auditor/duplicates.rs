//! Rule 2: a request is executed no more often than its traffic type allows, and its client gets a rejection only if
//! nothing can have been executed.

use super::history::{Arrival, AttemptId, History, Request};
use super::{Bounds, DUPLICATE_RULE, Effect, Verdict};
use petrelshore_emulator::record::{FinalOutcome, Nanos};

pub(super) fn check(
    client: u64,
    request: &Request,
    history: &History,
    bounds: &Bounds,
    verdict: &mut Verdict,
) {
    let Some(sent) = &request.sent else { return };
    let effect = bounds.effects.get(sent.traffic).copied().unwrap_or(Effect::Idempotent);
    if effect == Effect::Idempotent {
        return;
    }
    let mut decodes = request.arrivals.iter().filter(|arrival| !arrival.is_prefill);
    let Some(first) = decodes.find(|arrival| !proven_not_executed(history, arrival)) else { return };
    let later = request.arrivals.iter().filter(|arrival| arrival.at > first.at && !arrival.is_prefill);
    for arrival in later {
        let description = match effect {
            Effect::Idempotent => None,
            Effect::AtMostOnce => Some(second_execution(first, arrival)),
            Effect::KeyedInCell(window) => {
                uncovered_retry(history, first, arrival, first.at + window + bounds.slack)
            }
        };
        if let Some(description) = description {
            verdict.add(DUPLICATE_RULE, arrival.at, description);
        }
    }
    let mut responses = request.responses.iter();
    let may_retry = |outcome| matches!(outcome, FinalOutcome::Rejected | FinalOutcome::NotAccepted);
    if let Some(response) = responses.find(|response| may_retry(response.outcome)) {
        let (server, traffic) = (first.server, sent.traffic);
        let description = format!(
            "client {client} was told that it may retry after {server} may have executed its {traffic} request"
        );
        verdict.add(DUPLICATE_RULE, response.at, description);
    }
}

/// Returns whether the server rejected an attempt because the server was at capacity or the KV cache was missing.
fn proven_not_executed(history: &History, arrival: &Arrival) -> bool {
    let attempt = AttemptId { server: arrival.server, request: arrival.request };
    matches!(history.rejections.get(&attempt), Some(&"full" | &"state_missing"))
}

fn second_execution(first: &Arrival, arrival: &Arrival) -> String {
    let (request, server) = (arrival.request, arrival.server);
    format!("at-most-once request {request} arrived at {server} after {} may have executed it", first.server)
}

/// Describes why an idempotency key doesn't cover a retry; `None` if the key covers the retry.
fn uncovered_retry(history: &History, first: &Arrival, arrival: &Arrival, until: Nanos) -> Option<String> {
    let (request, server) = (arrival.request, arrival.server);
    if history.cells.get(server) != history.cells.get(first.server) {
        return Some(format!("keyed request {request} was retried outside its cell, at {server}"));
    }
    (arrival.at > until)
        .then(|| format!("keyed request {request} arrived at {server} after its idempotency window"))
}
