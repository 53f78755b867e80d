//! Which single events a gateway logs by default: so many of each kind in an interval, and a count of the rest.
//!
//! A status line tells that something goes wrong, never which request it concerns or why. What tells that must be in the
//! log before anybody asks for it, and must cost the same small amount on the worst day as on any other.

use petrelshore::interface::Nanos;
use std::collections::BTreeMap;

/// After this time each kind of event may be logged as often again.
const INTERVAL: Nanos = 5_000_000_000;
/// Lines of one kind in an interval.
const MAX_LINES_PER_KIND: u32 = 40;

/// A kind of event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EventKind {
    /// An attempt ended without what it was sent for, or timed out.
    AttemptFailed,
    /// An attempt was cancelled since its client left or the gateway shuts down.
    AttemptCancelled,
    /// An attempt was denied right before its first byte.
    AttemptDenied,
    /// A release request was answered late, by another server, or not at all.
    ReleaseDelayed,
    /// A request was rejected or aborted.
    RequestFailed,
    /// The gateway closed a client's connection for a reason of its own.
    ClientConnectionClosed,
    /// The endpoint list changed, or its watch ended.
    EndpointListChanged,
}

/// How many events of each kind there were, and which of them are logged.
#[derive(Clone, Debug, Default)]
pub struct EventBudget {
    interval_started_at: Nanos,
    logged_in_interval: BTreeMap<EventKind, u32>,
    counts: BTreeMap<EventKind, u64>,
    unlogged: u64,
}

impl EventBudget {
    /// Counts an event; whether it is to be logged.
    pub fn admit(&mut self, now: Nanos, kind: EventKind) -> bool {
        *self.counts.entry(kind).or_insert(0) += 1;
        if now.saturating_sub(self.interval_started_at) >= INTERVAL {
            self.interval_started_at = now;
            self.logged_in_interval.clear();
        }
        let logged = self.logged_in_interval.entry(kind).or_insert(0);
        let admitted = *logged < MAX_LINES_PER_KIND;
        match admitted {
            true => *logged += 1,
            false => self.unlogged += 1,
        }
        admitted
    }

    /// How many events of each kind there were since the start.
    pub fn counts(&self) -> &BTreeMap<EventKind, u64> {
        &self.counts
    }

    /// How many of them were not logged.
    pub fn unlogged(&self) -> u64 {
        self.unlogged
    }
}
