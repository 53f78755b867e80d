//! Judges a run from its record alone.

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

/// What every rule forgives for the transit between two hosts, beyond its own slack.
const TRANSIT_SLACK: Duration = Duration::from_millis(50);
/// What every rule that compares deadlines forgives.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Delays of the soak itself count for what happened this long before or after them.
const SCHEDULING_DELAY_MARGIN: Duration = Duration::from_millis(200);

/// What a gateway has to keep to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each accepted request gets one final response in time.
    Lost,
    /// Nothing is sent for a request that is completed, or whose client has disconnected.
    SentAfterEnd,
    /// A server is notified of no more time than the client has left.
    Deadline,
    /// No effect happens twice, no request is hedged, and none that may have been executed is rejected as safe to retry.
    Duplicate,
    /// Nothing new is sent to a server that is draining or removed.
    Drain,
    /// A server that is warming up gets no more than it can serve.
    SlowStart,
    /// KV cache is used or released in time.
    Held,
    /// Processes become ready, and end only when they are stopped.
    Crash,
    /// Restarted processes are ready in time.
    Ready,
    /// Events of streams are forwarded at once.
    Events,
    /// Invalid requests get an error or a close in time, and are not served.
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

/// One breach of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was broken.
    pub at: Time,
    /// The request, where it concerns one.
    pub request: Option<u64>,
    /// The gateway process, where it concerns one.
    pub process: Option<Process>,
    /// What was observed.
    pub description: String,
}

/// Judges a whole run.
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

/// A run with the parameters that it is judged by. Each rule's checks stand in a module of their own.
struct Oracle<'a> {
    parameters: &'a Parameters,
    history: &'a History,
}

impl Oracle<'_> {
    /// What the soak's own delays in that time may account for, with the transit between two hosts.
    fn slack(&self, from: Time, to: Time) -> Duration {
        let range = from.saturating_sub(SCHEDULING_DELAY_MARGIN)..=to + SCHEDULING_DELAY_MARGIN;
        let delays = self.history.scheduling_delays.iter().filter(|delay| range.contains(&delay.at));
        TRANSIT_SLACK + delays.map(|delay| delay.value).max().unwrap_or(Duration::ZERO) * 2
    }

    fn process(&self, process: Process) -> Option<&ProcessHistory> {
        self.history.processes.get(&process)
    }

    /// What arrived at servers for a request, in order.
    fn arrivals_of(&self, request: &Request) -> impl DoubleEndedIterator<Item = &Arrival> {
        request.exchanges.iter().filter_map(|exchange| self.history.arrivals.get(exchange))
    }
}
