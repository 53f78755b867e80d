//! Judges the five rules from what was observed on the sockets, and from nothing else.
//!
//! It uses no gateway's word: clients record what they sent and received, emulated servers record what arrived, was
//! executed, reserved and released. Times of processes on one machine differ by scheduling, so each bound has some
//! slack.

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
/// For the time that a busy machine adds between an event and its record.
const DEFAULT_SLACK: Nanos = 250 * MILLISECOND;
/// What gateways put before their names where they name themselves to servers.
const GATEWAY_PREFIX: &str = "petrelshore/";

/// The numbers of the rules.
const FINAL_RESPONSE_RULE: u8 = 1;
const DUPLICATE_RULE: u8 = 2;
const DRAINING_RULE: u8 = 3;
const SLOW_START_RULE: u8 = 4;
const CACHE_RELEASE_RULE: u8 = 5;

/// The bounds that the rules are judged by.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Unused KV cache is released within this time.
    pub release_timeout: Nanos,
    /// Requests in transit may still reach a draining server for this long.
    pub drain_grace: Nanos,
    /// How often requests of each traffic type may be executed.
    pub effects: BTreeMap<String, Effect>,
    /// What every bound forgives.
    pub slack: Nanos,
}

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Idempotent,
    /// Repeatedly with its idempotency key, within a cell and this time.
    KeyedInCell(Nanos),
    /// At most once.
    AtMostOnce,
}

impl Bounds {
    /// Bounds without traffic types: requests of unknown types count as idempotent.
    pub fn new(release_timeout: Nanos, drain_grace: Nanos) -> Self {
        Bounds { release_timeout, drain_grace, effects: BTreeMap::new(), slack: DEFAULT_SLACK }
    }
}

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule's number.
    pub rule: u8,
    /// When it was broken.
    pub at: Nanos,
    /// What was observed.
    pub description: String,
}

/// The judgement, with what was examined: a clean verdict over nothing proves nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Breaches, in the order of time.
    pub violations: Vec<Violation>,
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests that arrived at servers.
    pub arrivals: usize,
    /// KV caches that servers reserved.
    pub reservations: usize,
    /// Notifications that a server accepts nothing new.
    pub drain_notifications: usize,
}

impl Verdict {
    fn add(&mut self, rule: u8, at: Nanos, description: String) {
        self.violations.push(Violation { rule, at, description });
    }
}

/// Judges a whole record.
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

/// The name of a gateway that names itself to a server.
fn gateway_name(gateway: &str) -> &str {
    gateway.strip_prefix(GATEWAY_PREFIX).unwrap_or(gateway)
}
