//! Limits how many single events a gateway logs by default: a fixed number of each kind per interval. All events are
//! counted.
//!
//! A status line shows that requests fail, but not which requests or why. The log has to hold those details before an
//! operator looks for them. The limit keeps the cost of logging small even while every request fails.

use petrelshore::interface::Nanos;
use std::collections::BTreeMap;

/// Interval after which the number of lines of each kind starts again at zero, in nanoseconds.
const INTERVAL: Nanos = 5_000_000_000;
/// The maximum number of lines of one kind in an interval.
const MAX_LINES_PER_KIND: u32 = 40;

/// A kind of event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EventKind {
    /// An attempt ended without the result that it was sent for, or timed out.
    AttemptFailed,
    /// An attempt was cancelled because its client disconnected or the gateway is shutting down.
    AttemptCancelled,
    /// An attempt was denied right before its first byte was sent.
    AttemptDenied,
    /// A release request was answered late, by another server than its prefill server, or not at all.
    ReleaseDelayed,
    /// A request was rejected or aborted.
    RequestFailed,
    /// The gateway closed a client's connection on its own initiative.
    ClientConnectionClosed,
    /// The endpoint list changed, or its watch ended.
    EndpointListChanged,
}

/// Counts the events of each kind, and limits how many of them are logged.
#[derive(Clone, Debug, Default)]
pub struct EventBudget {
    interval_started_at: Nanos,
    logged_in_interval: BTreeMap<EventKind, u32>,
    counts: BTreeMap<EventKind, u64>,
    unlogged: u64,
}

impl EventBudget {
    /// Counts an event. Returns true if the event is to be logged.
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

    /// Number of events of each kind since the start.
    pub fn counts(&self) -> &BTreeMap<EventKind, u64> {
        &self.counts
    }

    /// Number of events that were not logged, of all kinds.
    pub fn unlogged(&self) -> u64 {
        self.unlogged
    }
}
