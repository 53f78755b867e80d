//! The test oracle: it checks the rules of a run against the run's record and uses no other input.

mod attempts;
mod cache_releases;
mod draining;
mod duplicates;
mod history;
mod responses;
mod slow_start;
mod startup;
mod stream_delays;

use crate::record::{Event, Process, Time};
use crate::testbed::Parameters;
use history::{Arrival, History, ProcessHistory, Request};
use std::time::Duration;

/// The transit time between two hosts. Rules that compare times tolerate this time in addition to their own slack.
const TRANSIT_SLACK: Duration = Duration::from_millis(50);
/// The deviation that rules tolerate when they compare deadlines or expirations of idempotency keys.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A scheduling delay of the soak adds to the slack of an interval if the delay was recorded within the interval, or at
/// most this long before or after the interval.
const SCHEDULING_DELAY_MARGIN: Duration = Duration::from_millis(200);

/// A rule that every gateway has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each accepted request gets one final response in time.
    Lost,
    /// A gateway sends no attempt for a request that is completed, or whose client has disconnected.
    SentAfterEnd,
    /// The deadline that a gateway sends to a server is not longer than the time that the client still waits.
    Deadline,
    /// No effect happens twice, no request is hedged, and no request that may have been executed is rejected as safe to
    /// retry.
    Duplicate,
    /// A gateway sends no new request to a server that is draining or removed.
    Drain,
    /// A server that is warming up gets no more requests than the server can handle.
    SlowStart,
    /// Reserved KV cache is used or released in time.
    Held,
    /// Gateway processes become ready, and exit only after a stop signal and with success, unless the soak kills them.
    Crash,
    /// Restarted gateway processes are ready in time.
    Ready,
    /// Gateways forward the events of streams without delay.
    Events,
    /// A gateway answers an invalid request with an error or closes the connection in time, and does not serve the
    /// request.
    BadClient,
}

/// All rules with their names in reports.
pub const RULES: [(Rule, &str); 11] = [
    (Rule::Lost, "lost"),
    (Rule::SentAfterEnd, "sent_after_end"),
    (Rule::Deadline, "deadline"),
    (Rule::Duplicate, "duplicate"),
    (Rule::Drain, "drain"),
    (Rule::SlowStart, "slow_start"),
    (Rule::Held, "held"),
    (Rule::Crash, "crash"),
    (Rule::Ready, "ready"),
    (Rule::Events, "events"),
    (Rule::BadClient, "bad_client"),
];

/// One violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The time at which the rule was broken.
    pub at: Time,
    /// The request, if the violation concerns a single request.
    pub request: Option<u64>,
    /// The gateway process, if the violation concerns a single process.
    pub process: Option<Process>,
    /// The observation that breaks the rule, in words.
    pub description: String,
}

/// Returns all violations in the record of a run, ordered by time.
pub fn judge(parameters: &Parameters, events: &[(Time, Event)]) -> Vec<Violation> {
    let (history, mut violations) = History::from_events(events);
    let oracle = Oracle { parameters, history: &history };
    for (id, request) in &history.requests {
        oracle.check_response(*id, request, &mut violations);
        oracle.check_attempts(*id, request, &mut violations);
        oracle.check_duplicates(*id, request, &mut violations);
        oracle.check_cache_releases(*id, request, &mut violations);
    }
    oracle.check_draining(&mut violations);
    oracle.check_slow_starts(&mut violations);
    oracle.check_startup_times(&mut violations);
    oracle.check_stream_delays(&mut violations);
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// The history of a run and the parameters that the run is checked against. The checks are in one module per rule or
/// group of rules.
struct Oracle<'a> {
    parameters: &'a Parameters,
    history: &'a History,
}

impl Oracle<'_> {
    /// Returns the slack for an interval: the transit time between two hosts plus twice the longest scheduling delay of
    /// the soak that was recorded in or close to the interval.
    fn slack(&self, from: Time, to: Time) -> Duration {
        let range = from.saturating_sub(SCHEDULING_DELAY_MARGIN)..=to + SCHEDULING_DELAY_MARGIN;
        let delays = self.history.scheduling_delays.iter().filter(|delay| range.contains(&delay.at));
        TRANSIT_SLACK + delays.map(|delay| delay.value).max().unwrap_or(Duration::ZERO) * 2
    }

    fn process(&self, process: Process) -> Option<&ProcessHistory> {
        self.history.processes.get(&process)
    }

    /// Returns the arrivals of a request at model servers, in order.
    fn arrivals_of(&self, request: &Request) -> impl DoubleEndedIterator<Item = &Arrival> {
        request.exchanges.iter().filter_map(|exchange| self.history.arrivals.get(exchange))
    }
}
