//! Checks the five rules against a record of what clients and servers observed on their sockets.
//!
//! The auditor doesn't rely on anything that a gateway reports: clients record what they sent and received, and
//! emulated servers record what arrived, was executed, reserved and released. Scheduling on the machine delays the
//! recorded times, so each bound has some slack.

mod cache_releases;
mod draining;
mod duplicates;
mod history;
mod responses;

use history::History;
use petrelshore_emulator::record::{Entry, Nanos};
use std::collections::BTreeMap;

pub use cache_releases::caches_left_behind;

const MILLISECOND: Nanos = 1_000_000;
/// Allowance for the delay between an event and its record on a busy machine, in nanoseconds.
const DEFAULT_SLACK: Nanos = 250 * MILLISECOND;
/// The prefix of a gateway's name in the requests that the gateway sends to servers.
const GATEWAY_PREFIX: &str = "petrelshore/";

// The numbers of the rules in violations.
const FINAL_RESPONSE_RULE: u8 = 1;
const DUPLICATE_RULE: u8 = 2;
const DRAINING_RULE: u8 = 3;
const SLOW_START_RULE: u8 = 4;
const CACHE_RELEASE_RULE: u8 = 5;

/// The limits that the rules set, with times in nanoseconds.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// The time within which an unused KV cache has to be released.
    pub release_timeout: Nanos,
    /// The time for which requests in transit may still arrive at a draining server after their gateway was notified.
    pub drain_grace: Nanos,
    /// The permitted executions of a request, by traffic type.
    pub effects: BTreeMap<String, Effect>,
    /// The tolerance added to every time limit.
    pub slack: Nanos,
}

/// The permitted executions of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Idempotent,
    /// Repeatedly with its idempotency key, within one cell and within this time after the first possible execution,
    /// in nanoseconds.
    KeyedInCell(Nanos),
    /// At most once.
    AtMostOnce,
}

impl Bounds {
    /// Bounds without traffic types. Requests of a traffic type without an entry count as idempotent.
    pub fn new(release_timeout: Nanos, drain_grace: Nanos) -> Self {
        Bounds { release_timeout, drain_grace, effects: BTreeMap::new(), slack: DEFAULT_SLACK }
    }
}

/// A violation of one rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule's number.
    pub rule: u8,
    /// The time at which the violation was observed.
    pub at: Nanos,
    /// A description of the observation that violates the rule.
    pub description: String,
}

/// The result of an audit: violations, and counts of the events examined. Without events, the absence of violations
/// proves nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Violations, ordered by time.
    pub violations: Vec<Violation>,
    /// The number of requests that clients sent.
    pub requests: usize,
    /// The number of attempts of clients' requests that arrived at servers.
    pub arrivals: usize,
    /// The number of KV caches that servers reserved.
    pub reservations: usize,
    /// The number of notifications to gateways that a server accepts no new requests.
    pub drain_notifications: usize,
}

impl Verdict {
    fn add(&mut self, rule: u8, at: Nanos, description: String) {
        self.violations.push(Violation { rule, at, description });
    }
}

/// Checks all rules against a complete record.
pub fn judge(entries: &[Entry], bounds: &Bounds) -> Verdict {
    let mut verdict = Verdict::default();
    let history = History::from_entries(entries, &mut verdict);
    verdict.requests = history.requests.values().filter(|request| request.sent.is_some()).count();
    for (client, request) in &history.requests {
        responses::check(*client, request, &history, bounds, &mut verdict);
        duplicates::check(*client, request, &history, bounds, &mut verdict);
    }
    draining::check(entries, bounds, &mut verdict);
    cache_releases::check(entries, &history, bounds, &mut verdict);
    verdict.violations.sort_by_key(|violation| (violation.at, violation.rule));
    verdict
}

/// Strips the prefix from a gateway's name in a request to a server.
fn gateway_name(gateway: &str) -> &str {
    gateway.strip_prefix(GATEWAY_PREFIX).unwrap_or(gateway)
}
