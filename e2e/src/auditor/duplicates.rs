//! Rule 2: no effect twice, and a rejection only where nothing can have been executed.

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
                late_retry(history, first, arrival, first.at + window + bounds.slack)
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
        let description =
            format!("client {client} was told a retry is harmless after {traffic} may have run at {server}");
        verdict.add(DUPLICATE_RULE, response.at, description);
    }
}

/// Whether a server rejected an attempt as over capacity, or for want of its KV cache.
fn proven_not_executed(history: &History, arrival: &Arrival) -> bool {
    let attempt = AttemptId { server: arrival.server, request: arrival.request };
    matches!(history.rejections.get(&attempt), Some(&"full" | &"state_missing"))
}

fn second_execution(first: &Arrival, arrival: &Arrival) -> String {
    let (request, server) = (arrival.request, arrival.server);
    format!("once-only {request} came to {server} after it may have run at {}", first.server)
}

/// Why an idempotency key does not cover a retry, if it does not.
fn late_retry(history: &History, first: &Arrival, arrival: &Arrival, until: Nanos) -> Option<String> {
    let (request, server) = (arrival.request, arrival.server);
    if history.cells.get(server) != history.cells.get(first.server) {
        return Some(format!("tokened {request} left its group for {server}"));
    }
    (arrival.at > until).then(|| format!("tokened {request} came to {server} after its window"))
}
