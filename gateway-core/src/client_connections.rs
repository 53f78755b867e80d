//! Which connections of clients a gateway with few descriptors closes, and when.
//!
//! Clients keep their connections, some for ever, and some open hundreds and send nothing. A connection without an
//! open request may be closed after a while; where the table is full, those that never brought a request go first.

use petrelshore::interface::Nanos;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MILLISECOND: Nanos = 1_000_000;

/// The head of a connection's first request must be complete after this time, and that of a later one this long after
/// its first byte. In nanoseconds.
pub const HEAD_TIMEOUT: Nanos = 2_200 * MILLISECOND;
/// The same for the request's body.
pub const BODY_TIMEOUT: Nanos = 2_700 * MILLISECOND;
/// A connection without an open request is closed after this at the latest.
const MAX_IDLE: Nanos = 15_000 * MILLISECOND;
/// And not before this: its client may be about to send the next one.
const MIN_IDLE: Nanos = 2_000 * MILLISECOND;
/// In a crowded table, a connection that has not brought a complete request may be closed after this: clients that
/// have one send it as they connect.
const CROWDED_MIN_SILENCE: Nanos = 300 * MILLISECOND;
/// The same in a full table. In nanoseconds.
pub const FULL_MIN_SILENCE: Nanos = 3 * MILLISECOND;
/// Share of the table in use from which on it counts as crowded.
const CROWDED_SHARE: f64 = 0.8;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its first complete request, since it was accepted.
    New { since: Nanos },
    /// The rest of its first request, since it was accepted.
    Started { since: Nanos },
    /// Its next request, since its last answer.
    Idle { since: Nanos },
    /// The answer to its request.
    Active,
    /// Its client, which has still to read the last answer.
    Closing,
}

/// A connection, by a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Open connections of clients.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    next_id: u64,
    connections: BTreeMap<ConnectionId, Phase>,
}

/// Whether a new connection may stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It may, under this number.
    Admitted(ConnectionId),
    /// The table is full, but some have only just connected: [`FULL_MIN_SILENCE`] shows which of them send a request.
    RetrySoon,
    /// All connections of the table have a request, or had one just now.
    Full,
}

/// What follows from a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Whether it may stay.
    pub entry: Entry,
    /// The connection to be closed for it.
    pub evicted: Option<ConnectionId>,
}

impl ConnectionTable {
    /// A table for `max_connections` connections.
    pub fn new(max_connections: usize) -> Self {
        ConnectionTable { max_connections, next_id: 0, connections: BTreeMap::new() }
    }

    /// A client has connected. In a crowded table another connection may have to be closed for it, of those on which
    /// nothing has come, as `is_silent` says.
    pub fn accept(&mut self, now: Nanos, is_silent: impl Fn(ConnectionId) -> bool) -> Accepted {
        let evicted = self.eviction_candidate(now, is_silent);
        if let Some(id) = evicted {
            self.connections.remove(&id);
        }
        Accepted { entry: self.admit(now), evicted }
    }

    fn admit(&mut self, now: Nanos) -> Entry {
        if self.connections.len() >= self.max_connections {
            let is_new = |phase: &Phase| matches!(phase, Phase::New { .. } | Phase::Started { .. });
            let any_new = self.connections.values().any(is_new);
            return if any_new { Entry::RetrySoon } else { Entry::Full };
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.insert(id, Phase::New { since: now });
        Entry::Admitted(id)
    }

    /// The first byte of a request has come. A connection that was idle is not closed from here on; a new one is closed
    /// after all others, and has to bring the complete request first: partial requests would fill the table.
    pub fn request_started(&mut self, id: ConnectionId) {
        match self.connections.get(&id) {
            Some(Phase::Idle { .. }) => self.request_received(id),
            Some(Phase::New { since }) => self.set_phase(id, Phase::Started { since: *since }),
            _ => {}
        }
    }

    /// A complete request has come.
    pub fn request_received(&mut self, id: ConnectionId) {
        self.set_phase(id, Phase::Active);
    }

    /// Its answer is written, and the connection waits for the next request.
    pub fn idle(&mut self, now: Nanos, id: ConnectionId) {
        self.set_phase(id, Phase::Idle { since: now });
    }

    /// Its last answer is written.
    pub fn closing(&mut self, id: ConnectionId) {
        self.set_phase(id, Phase::Closing);
    }

    /// It is closed.
    pub fn closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// For how long a connection may wait for the first byte of its next request.
    pub fn idle_timeout(&self, id: ConnectionId) -> Nanos {
        match self.connections.get(&id) {
            Some(Phase::New { .. } | Phase::Started { .. }) => HEAD_TIMEOUT,
            _ => MAX_IDLE,
        }
    }

    /// From when on a gateway that shuts down may close a connection on which nothing comes. One that was accepted
    /// just now will bring a request, which is answered.
    pub fn keep_open_until(&self, id: ConnectionId) -> Nanos {
        match self.connections.get(&id) {
            Some(Phase::New { since } | Phase::Started { since }) => {
                since.saturating_add(CROWDED_MIN_SILENCE)
            }
            _ => 0,
        }
    }

    /// Open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    fn set_phase(&mut self, id: ConnectionId, phase: Phase) {
        if let Some(current) = self.connections.get_mut(&id) {
            *current = phase;
        }
    }

    /// The connection to close for a new one, if the table is crowded: one whose last answer is written, else the new
    /// one that was silent for longest, else the one that was idle for longest. One that has sent part of its first
    /// request goes last, and only from a full table: the rest may come just as it is closed, and would get no answer.
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

    /// Of the connections that wait since `waiting_since`, for `min_wait` or more, the first on which nothing has come.
    fn longest_waiting(
        &self,
        now: Nanos,
        min_wait: Nanos,
        waiting_since: impl Fn(Phase) -> Option<Nanos>,
        is_silent: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let waiting = self.connections.iter().filter_map(|(id, phase)| Some((waiting_since(*phase)?, *id)));
        let long_enough = waiting.filter(|(since, _)| now.saturating_sub(*since) >= min_wait);
        // A heap, not a sort: mostly the first one will do.
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
