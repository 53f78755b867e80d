//! Rule 1: a client gets exactly one final response by its deadline, and no attempt is sent after that response.

use super::history::{History, Request, Response, Sent};
use super::{Bounds, FINAL_RESPONSE_RULE, MILLISECOND, Verdict};
use petrelshore_emulator::record::FinalOutcome;

pub(super) fn check(
    client: u64,
    request: &Request,
    history: &History,
    bounds: &Bounds,
    verdict: &mut Verdict,
) {
    let Some(sent) = &request.sent else { return };
    let [response] = request.responses[..] else {
        let (count, gateway) = (request.responses.len(), sent.gateway);
        let description = format!("client {client} received {count} final responses from {gateway}");
        return verdict.add(FINAL_RESPONSE_RULE, sent.at, description);
    };
    match response.outcome {
        FinalOutcome::NoResponse if gateway_was_down(history, sent, &response, bounds) => return,
        FinalOutcome::NoResponse => {
            let description = format!("client {client} received no final response from {}", sent.gateway);
            verdict.add(FINAL_RESPONSE_RULE, response.at, description);
        }
        FinalOutcome::Disconnected => {}
        _ => check_deadline(client, sent, &response, bounds, verdict),
    }
    for arrival in request.arrivals.iter().filter(|arrival| arrival.at > response.at + bounds.slack) {
        let (request, server) = (arrival.request, arrival.server);
        let description =
            format!("{request} arrived at {server} after client {client} received its final response");
        verdict.add(FINAL_RESPONSE_RULE, arrival.at, description);
    }
}

/// Returns whether the request's gateway was down while the client waited.
fn gateway_was_down(history: &History, sent: &Sent, response: &Response, bounds: &Bounds) -> bool {
    history.downtimes(sent.gateway).iter().any(|downtime| {
        sent.at <= downtime.restarted.saturating_add(bounds.slack) && response.at >= downtime.killed
    })
}

/// Checks that the first token, or the final response if there is no token, arrived by the deadline.
fn check_deadline(client: u64, sent: &Sent, response: &Response, bounds: &Bounds, verdict: &mut Verdict) {
    let responded = response.first_token.map_or(response.at, |after| sent.at + after);
    if responded > sent.deadline + bounds.slack {
        let late = (responded - sent.deadline) / MILLISECOND;
        let description = format!("client {client} got its response {late} ms after its deadline");
        verdict.add(FINAL_RESPONSE_RULE, response.at, description);
    }
}
