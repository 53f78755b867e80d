//! Rule `held`: KV cache that is reserved for a request with no attempt in flight is used or released in time.

use super::history::{Request, Reservation};
use super::{Oracle, Rule, Violation};
use crate::record::{Process, Time};
use std::time::Duration;

const RELEASE_SLACK: Duration = Duration::from_millis(300);

/// The interval in which an exchange was in flight.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Span {
    from: Time,
    to: Time,
}

impl Oracle<'_> {
    /// Checks each KV cache reservation of a request until the reservation or the gateway process ended.
    pub(super) fn check_cache_releases(&self, id: u64, request: &Request, violations: &mut Vec<Violation>) {
        let Some(process) = request.process else { return };
        for reservation in &request.reservations {
            violations.extend(self.late_release(id, request, process, reservation));
        }
    }

    fn late_release(
        &self,
        id: u64,
        request: &Request,
        process: Process,
        reservation: &Reservation,
    ) -> Option<Violation> {
        let process_ended = self.process(process).and_then(|process| process.ended);
        let until =
            reservation.until.unwrap_or(self.history.end).min(process_ended.unwrap_or(self.history.end));
        let mut idle_from = reservation.from;
        for span in self.in_flight_spans(request, reservation.from, until) {
            let idle_to = span.from.min(until);
            let slack = RELEASE_SLACK + self.slack(idle_from, idle_to);
            if idle_to.saturating_sub(idle_from) > self.parameters.release_timeout + slack {
                let idle = idle_to - idle_from;
                let server = reservation.server;
                return Some(Violation {
                    rule: Rule::Held,
                    at: idle_to,
                    request: Some(id),
                    process: Some(process),
                    description: format!(
                        "KV cache at s-{server} stayed reserved for {idle:?} with no attempt in flight"
                    ),
                });
            }
            idle_from = idle_from.max(span.to);
        }
        None
    }

    /// Returns the spans of the attempts that were in flight after `from`, in order, followed by an empty span at
    /// `until`.
    fn in_flight_spans(&self, request: &Request, from: Time, until: Time) -> Vec<Span> {
        let mut spans: Vec<Span> = self
            .arrivals_of(request)
            .map(|arrival| Span { from: arrival.at, to: arrival.end.map_or(self.history.end, |end| end.at) })
            .filter(|span| span.to > from)
            .collect();
        spans.sort_unstable();
        spans.push(Span { from: until, to: until });
        spans
    }
}
