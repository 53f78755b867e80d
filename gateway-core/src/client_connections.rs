//! Decides which client connections a gateway with few file descriptors closes, and when.
//!
//! Clients keep their connections open, some indefinitely, and some clients open hundreds of connections and send
//! nothing. A connection without a request in flight may be closed after an idle timeout. When the table is full,
//! connections that never carried a request are closed first.

use petrelshore::interface::Nanos;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MILLISECOND: Nanos = 1_000_000;

/// Time for receiving a complete request head, in nanoseconds. It starts when the connection is accepted, and for later
/// requests with the first byte of the request.
pub const HEAD_TIMEOUT: Nanos = 2_200 * MILLISECOND;
/// Time for receiving a complete request body, in nanoseconds.
pub const BODY_TIMEOUT: Nanos = 2_700 * MILLISECOND;
/// Time after which a connection without a request in flight is closed, in nanoseconds.
const MAX_IDLE: Nanos = 15_000 * MILLISECOND;
/// Time for which an idle connection is never evicted, in nanoseconds: its client may be about to send the next
/// request.
const MIN_IDLE: Nanos = 2_000 * MILLISECOND;
/// Time after which a crowded table may evict a new connection that has sent nothing, in nanoseconds: clients that have
/// a request send it as they connect. A full table may evict a connection with a partial first request after this time.
const CROWDED_MIN_SILENCE: Nanos = 300 * MILLISECOND;
/// Time after which a full table may evict a new connection that has sent nothing, in nanoseconds.
pub const FULL_MIN_SILENCE: Nanos = 3 * MILLISECOND;
/// A table counts as crowded from this share of its capacity on.
const CROWDED_SHARE: f64 = 0.8;

/// The state of a connection, by what it waits for. Each `since` is the time at which that wait began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for its first request, since it was accepted.
    New { since: Nanos },
    /// Has received part of its first request, and waits for the rest since it was accepted.
    Started { since: Nanos },
    /// Waits for its next request, since its last answer.
    Idle { since: Nanos },
    /// Waits for the answer to its request.
    Active,
    /// Waits for its client to read the last answer.
    Closing,
}

/// Identifies a connection of a [`ConnectionTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// The open client connections of a gateway.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    next_id: u64,
    connections: BTreeMap<ConnectionId, Phase>,
}

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is admitted, with this id.
    Admitted(ConnectionId),
    /// The table is full, but some of its connections have not sent a complete request yet. Those that are still silent
    /// after [`FULL_MIN_SILENCE`] may be evicted.
    RetrySoon,
    /// The table is full, and each of its connections has a request in flight or had one just now.
    Full,
}

/// The result of [`ConnectionTable::accept`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The decision on the new connection.
    pub admission: Admission,
    /// The connection that the caller has to close to make room for the new one.
    pub evicted: Option<ConnectionId>,
}

impl ConnectionTable {
    /// Creates an empty table for up to `max_connections` connections.
    pub fn new(max_connections: usize) -> Self {
        ConnectionTable { max_connections, next_id: 0, connections: BTreeMap::new() }
    }

    /// Decides on a new connection. A crowded table may evict another connection for it. `is_silent` tells whether no
    /// unread bytes have arrived on a connection; only silent connections are evicted.
    pub fn accept(&mut self, now: Nanos, is_silent: impl Fn(ConnectionId) -> bool) -> Accepted {
        let evicted = self.eviction_candidate(now, is_silent);
        if let Some(id) = evicted {
            self.connections.remove(&id);
        }
        Accepted { admission: self.admit(now), evicted }
    }

    fn admit(&mut self, now: Nanos) -> Admission {
        if self.connections.len() >= self.max_connections {
            let is_new = |phase: &Phase| matches!(phase, Phase::New { .. } | Phase::Started { .. });
            let any_new = self.connections.values().any(is_new);
            return if any_new { Admission::RetrySoon } else { Admission::Full };
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.insert(id, Phase::New { since: now });
        Admission::Admitted(id)
    }

    /// Records that the first byte of a request has arrived. An idle connection can't be evicted from then on. A new
    /// connection is only evicted after all other candidates, but it stays a candidate until its request is complete:
    /// otherwise clients could fill the table with partial requests.
    pub fn request_started(&mut self, id: ConnectionId) {
        match self.connections.get(&id) {
            Some(Phase::Idle { .. }) => self.request_received(id),
            Some(Phase::New { since }) => self.set_phase(id, Phase::Started { since: *since }),
            _ => {}
        }
    }

    /// Records that a complete request has arrived.
    pub fn request_received(&mut self, id: ConnectionId) {
        self.set_phase(id, Phase::Active);
    }

    /// Records that an answer has been written and the connection waits for its next request.
    pub fn idle(&mut self, now: Nanos, id: ConnectionId) {
        self.set_phase(id, Phase::Idle { since: now });
    }

    /// Records that the last answer of a connection has been written.
    pub fn closing(&mut self, id: ConnectionId) {
        self.set_phase(id, Phase::Closing);
    }

    /// Records that a connection is closed.
    pub fn closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Time for which a connection may wait for the first byte of its next request, in nanoseconds.
    pub fn idle_timeout(&self, id: ConnectionId) -> Nanos {
        match self.connections.get(&id) {
            Some(Phase::New { .. } | Phase::Started { .. }) => HEAD_TIMEOUT,
            _ => MAX_IDLE,
        }
    }

    /// Time from which a gateway that shuts down may close a connection on which nothing arrives. A connection that was
    /// accepted just now stays open for a moment: its client is about to send a request, which is still answered.
    pub fn keep_open_until(&self, id: ConnectionId) -> Nanos {
        match self.connections.get(&id) {
            Some(Phase::New { since } | Phase::Started { since }) => {
                since.saturating_add(CROWDED_MIN_SILENCE)
            }
            _ => 0,
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns true if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    fn set_phase(&mut self, id: ConnectionId, phase: Phase) {
        if let Some(current) = self.connections.get_mut(&id) {
            *current = phase;
        }
    }

    /// The connection to evict for a new one, if the table is crowded. The order of preference is: a connection whose
    /// last answer is written, the new connection that has been silent for longest, the connection that has been idle
    /// for longest. A connection that has sent part of its first request comes last, and only when the table is full:
    /// the rest of the request may arrive just as the connection is closed, and would get no answer.
    fn eviction_candidate(
        &self,
        now: Nanos,
        is_silent: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let full = self.connections.len() >= self.max_connections;
        let min_silence = match self.connections.len() {
            _ if full => FULL_MIN_SILENCE,
            open if open as f64 >= self.max_connections as f64 * CROWDED_SHARE => CROWDED_MIN_SILENCE,
            _ => return None,
        };
        let closing = |phase: Phase| (phase == Phase::Closing).then_some(0);
        let new = |phase: Phase| if let Phase::New { since } = phase { Some(since) } else { None };
        let idle = |phase: Phase| if let Phase::Idle { since } = phase { Some(since) } else { None };
        let started = |phase: Phase| if let Phase::Started { since } = phase { Some(since) } else { None };
        self.longest_waiting(now, 0, closing, &is_silent)
            .or_else(|| self.longest_waiting(now, min_silence, new, &is_silent))
            .or_else(|| self.longest_waiting(now, MIN_IDLE, idle, &is_silent))
            .or_else(|| {
                full.then(|| self.longest_waiting(now, CROWDED_MIN_SILENCE, started, &is_silent)).flatten()
            })
    }

    /// The silent connection that has waited for longest, among those that have waited for `min_wait` or more.
    /// `waiting_since` returns the start of the wait, or none for a phase that doesn't count.
    fn longest_waiting(
        &self,
        now: Nanos,
        min_wait: Nanos,
        waiting_since: impl Fn(Phase) -> Option<Nanos>,
        is_silent: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let waiting = self.connections.iter().filter_map(|(id, phase)| Some((waiting_since(*phase)?, *id)));
        let long_enough = waiting.filter(|(since, _)| now.saturating_sub(*since) >= min_wait);
        // A heap instead of a sort, since the first candidate is usually silent.
        let mut longest_first: BinaryHeap<_> = long_enough.map(Reverse).collect();
        while let Some(Reverse((_, id))) = longest_first.pop() {
            if is_silent(id) {
                return Some(id);
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
