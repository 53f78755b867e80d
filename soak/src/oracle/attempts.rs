//! Rules `sent_after_end` and `deadline`: a gateway sends no attempt after the end of its request, and no deadline
//! that is longer than the time that the client still waits.

use super::history::{Arrival, Request};
use super::{DEADLINE_SLACK, Oracle, Rule, Violation};
use std::time::Duration;

/// An attempt may start this long after its client has disconnected.
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);

/// A rule that an attempt broke, with a description.
struct Breach {
    rule: Rule,
    description: String,
}

impl Oracle<'_> {
    /// Checks each attempt of a request.
    pub(super) fn check_attempts(&self, id: u64, request: &Request, violations: &mut Vec<Violation>) {
        for arrival in self.arrivals_of(request) {
            let slack = self.slack(arrival.started_at, arrival.at);
            let breaches = [
                sent_after_disconnect(request, arrival, slack),
                sent_after_response(request, arrival, slack),
                deadline_exceeded(request, arrival, slack),
            ];
            violations.extend(breaches.into_iter().flatten().map(|breach| Violation {
                rule: breach.rule,
                at: arrival.at,
                request: Some(id),
                process: request.process,
                description: breach.description,
            }));
        }
    }
}

fn sent_after_disconnect(request: &Request, arrival: &Arrival, slack: Duration) -> Option<Breach> {
    let disconnected = request.disconnected?;
    if arrival.started_at <= disconnected + DISCONNECT_SLACK + slack {
        return None;
    }
    let late = arrival.started_at - disconnected;
    let description = format!("sent to s-{} {late:?} after the client disconnected", arrival.server);
    Some(Breach { rule: Rule::SentAfterEnd, description })
}

fn sent_after_response(request: &Request, arrival: &Arrival, slack: Duration) -> Option<Breach> {
    let ended = request.response?.at;
    if arrival.started_at <= ended + slack {
        return None;
    }
    let late = arrival.started_at - ended;
    let description = format!("sent to s-{} {late:?} after the final response", arrival.server);
    Some(Breach { rule: Rule::SentAfterEnd, description })
}

fn deadline_exceeded(request: &Request, arrival: &Arrival, slack: Duration) -> Option<Breach> {
    let sent = request.sent.iter().rfind(|sent| **sent <= arrival.received_at)?;
    let left = (*sent + request.deadline).saturating_sub(arrival.received_at);
    if arrival.deadline <= left + DEADLINE_SLACK + slack {
        return None;
    }
    let description = format!(
        "s-{} got a deadline of {:?}, but the client waits only {left:?} longer",
        arrival.server, arrival.deadline
    );
    Some(Breach { rule: Rule::Deadline, description })
}
