//! Rule `duplicate`: no request is hedged, no effect happens twice, and no request that may have been executed is
//! rejected as safe to retry.

use super::history::{Arrival, Request};
use super::{DEADLINE_SLACK, Oracle, Rule, TRANSIT_SLACK, Violation};
use crate::record::{Class, ClientOutcome, ExchangeOutcome, Role, Time};
use crate::testbed::ZONES;

/// A violation of the rule `duplicate`.
struct Breach {
    at: Time,
    description: String,
}

impl Oracle<'_> {
    /// Checks the attempts of a request against each other, and against its response.
    pub(super) fn check_duplicates(&self, id: u64, request: &Request, violations: &mut Vec<Violation>) {
        let arrivals: Vec<&Arrival> = self.arrivals_of(request).collect();
        let mut breaches = self.hedged_requests(&arrivals);
        // A declined attempt is proof by the server that nothing was executed.
        let executed: Vec<&Arrival> = arrivals
            .into_iter()
            .filter(|arrival| arrival.role == Role::Decode)
            .filter(|arrival| !arrival.end.is_some_and(|end| end.value == ExchangeOutcome::Declined))
            .collect();
        match request.class {
            Some(Class::AtMostOnce) => breaches.extend(repeated_effects(request, &executed)),
            Some(Class::Keyed) => breaches.extend(self.uncovered_retries(&executed)),
            Some(Class::Idempotent) | None => {}
        }
        violations.extend(breaches.into_iter().map(|breach| Violation {
            rule: Rule::Duplicate,
            at: breach.at,
            request: Some(id),
            process: request.process,
            description: breach.description,
        }));
    }

    /// Returns a violation for each attempt that arrived while an earlier attempt was in flight.
    fn hedged_requests(&self, arrivals: &[&Arrival]) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for (index, arrival) in arrivals.iter().enumerate() {
            for earlier in arrivals[..index].iter().filter(|earlier| self.is_in_flight(earlier, arrival.at)) {
                let description = format!(
                    "an attempt arrived at s-{} while another was in flight at s-{}",
                    arrival.server, earlier.server
                );
                breaches.push(Breach { at: arrival.at, description });
            }
        }
        breaches
    }

    fn is_in_flight(&self, arrival: &Arrival, at: Time) -> bool {
        match arrival.end {
            None => at + TRANSIT_SLACK < self.history.end,
            Some(end) if end.value == ExchangeOutcome::Broken => false,
            Some(end) => end.at > at + self.slack(at, end.at),
        }
    }

    /// Returns the retries that the idempotency key does not cover: after the end of the key's window, or in another
    /// zone.
    fn uncovered_retries(&self, executed: &[&Arrival]) -> Vec<Breach> {
        let Some((first, retries)) = executed.split_first() else { return Vec::new() };
        let until = first.started_at + self.parameters.idempotency_window + DEADLINE_SLACK;
        let mut breaches = Vec::new();
        for retry in retries {
            let late = retry.started_at > until + self.slack(retry.started_at, retry.at);
            let in_other_zone = zone_of(first.server) != zone_of(retry.server);
            if late || in_other_zone {
                let description = format!(
                    "retry at s-{} of an attempt at s-{}; key expired: {late}, in another zone: {in_other_zone}",
                    retry.server, first.server
                );
                breaches.push(Breach { at: retry.at, description });
            }
        }
        breaches
    }
}

/// Returns the violations of a request that may be executed at most once: a second execution, and a response that
/// rejects the request as safe to retry although the request may have been executed.
fn repeated_effects(request: &Request, executed: &[&Arrival]) -> Vec<Breach> {
    let Some(first) = executed.first() else { return Vec::new() };
    let mut breaches = Vec::new();
    if let Some(second) = executed.get(1) {
        let description = format!("may have been executed at s-{} and at s-{}", first.server, second.server);
        breaches.push(Breach { at: second.at, description });
    }
    if let Some(response) = request.response
        && matches!(response.value, ClientOutcome::Complete(429 | 503))
    {
        let description =
            format!("rejected with {} after it may have been executed at s-{}", response.value, first.server);
        breaches.push(Breach { at: response.at, description });
    }
    breaches
}

fn zone_of(server: usize) -> usize {
    server / 2 % ZONES.len()
}
