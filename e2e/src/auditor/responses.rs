//! Rule 1: exactly one final response, in time, and nothing sent after it.

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
        let description = format!("client {client} got {count} final answers from {gateway}");
        return verdict.add(FINAL_RESPONSE_RULE, sent.at, description);
    };
    match response.outcome {
        FinalOutcome::NoResponse if was_down(history, sent, &response, bounds) => return,
        FinalOutcome::NoResponse => {
            let description = format!("client {client} got no final answer from {}", sent.gateway);
            verdict.add(FINAL_RESPONSE_RULE, response.at, description);
        }
        FinalOutcome::Disconnected => {}
        _ => check_deadline(client, sent, &response, bounds, verdict),
    }
    for arrival in request.arrivals.iter().filter(|arrival| arrival.at > response.at + bounds.slack) {
        let (request, server) = (arrival.request, arrival.server);
        let description =
            format!("{request} was sent to {server} after client {client} had its final answer");
        verdict.add(FINAL_RESPONSE_RULE, arrival.at, description);
    }
}

/// Whether the request's gateway was down while the client waited.
fn was_down(history: &History, sent: &Sent, response: &Response, bounds: &Bounds) -> bool {
    history.downtimes(sent.gateway).iter().any(|downtime| {
        sent.at <= downtime.restarted.saturating_add(bounds.slack) && response.at >= downtime.killed
    })
}

/// The first token, or the final response without one, has to arrive by the deadline.
fn check_deadline(client: u64, sent: &Sent, response: &Response, bounds: &Bounds, verdict: &mut Verdict) {
    let answered = response.first_token.map_or(response.at, |after| sent.at + after);
    if answered > sent.deadline + bounds.slack {
        let late = (answered - sent.deadline) / MILLISECOND;
        let description = format!("client {client} was answered {late} ms after its time was up");
        verdict.add(FINAL_RESPONSE_RULE, response.at, description);
    }
}
