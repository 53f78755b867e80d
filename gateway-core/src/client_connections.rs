//! Which connections of clients a gateway with few descriptors closes, and when.
//!
//! Clients keep their connections, some for ever, and some connect by the hundreds and say nothing. What has no open
//! request may be closed after a while; where the table is full, those that have never said anything go first.

use petrelshore::interface::Nanos;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MILLISECOND: Nanos = 1_000_000;
/// A connection's first head must be whole after this, and a later one this long after its first byte.
pub const HEAD_WITHIN: Nanos = 2_200 * MILLISECOND;
/// The same for the request's body.
pub const BODY_WITHIN: Nanos = 2_700 * MILLISECOND;
/// A connection without an open request is closed after this at the latest.
const IDLE_FOR: Nanos = 15_000 * MILLISECOND;
/// And not before this while its client may be about to ask.
const IDLE_LEAST: Nanos = 2_000 * MILLISECOND;
/// In a crowded table one that has not brought a whole request goes after this, in a full one after `FULL_LEAST`:
/// clients who ask do so as they connect.
const SILENT_LEAST: Nanos = 300 * MILLISECOND;
pub const FULL_LEAST: Nanos = 3 * MILLISECOND;
/// Part of the room from which on idle connections have to go for new ones.
const CROWDED: f64 = 0.8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No whole request has come on it yet.
    New(Nanos),
    Idle(Nanos),
    Asking,
    /// Its last answer is written, and its client has still to take it.
    Ended,
}

/// A connection, by a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Open connections of clients.
#[derive(Debug)]
pub struct ConnectionTable {
    most: usize,
    next: u64,
    connections: BTreeMap<ConnectionId, Phase>,
}

/// Whether a new connection may stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    Admitted(ConnectionId),
    /// Some have only just come: in `FULL_LEAST` it shows who of them asks.
    Soon,
    /// Every place is taken by somebody who asks, or has just asked.
    Full,
}

impl ConnectionTable {
    pub fn new(most: usize) -> Self {
        ConnectionTable { most, next: 0, connections: BTreeMap::new() }
    }

    /// A client has connected. In a crowded table somebody may have to leave for it, of those on whose connections
    /// nothing has come (`rests`).
    pub fn accept(
        &mut self,
        now: Nanos,
        rests: impl Fn(ConnectionId) -> bool,
    ) -> (Entry, Option<ConnectionId>) {
        let leaves = match self.connections.len() {
            held if held >= self.most => self.dispensable(now, FULL_LEAST, rests),
            held if held as f64 >= self.most as f64 * CROWDED => self.dispensable(now, SILENT_LEAST, rests),
            _ => None,
        };
        if let Some(id) = leaves {
            self.connections.remove(&id);
        }
        if self.connections.len() >= self.most {
            let new = self.connections.values().any(|phase| matches!(phase, Phase::New(_)));
            return (if new { Entry::Soon } else { Entry::Full }, leaves);
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        self.connections.insert(id, Phase::New(now));
        (Entry::Admitted(id), leaves)
    }

    /// A request begins to come. On a kept connection its client is not to lose it from here on; a new one has to
    /// bring it whole first, or half requests would fill the table.
    pub fn request_started(&mut self, id: ConnectionId) {
        if matches!(self.connections.get(&id), Some(Phase::Idle(_))) {
            self.request_received(id);
        }
    }

    /// A whole request has come.
    pub fn request_received(&mut self, id: ConnectionId) {
        self.set(id, Phase::Asking);
    }

    /// Its answer is written, and the connection waits for the next.
    pub fn idle(&mut self, now: Nanos, id: ConnectionId) {
        self.set(id, Phase::Idle(now));
    }

    /// Its last answer is written.
    pub fn closing(&mut self, id: ConnectionId) {
        self.set(id, Phase::Ended);
    }

    pub fn closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// For how long a connection may wait for the first byte of its next request.
    pub fn idle_deadline(&self, id: ConnectionId) -> Nanos {
        match self.connections.get(&id) {
            Some(Phase::New(_)) => HEAD_WITHIN,
            _ => IDLE_FOR,
        }
    }

    /// From when on a gateway that leaves may end a connection that rests. One that has just come will bring its own
    /// request: it is answered.
    pub fn keep_open_until(&self, id: ConnectionId) -> Nanos {
        match self.connections.get(&id) {
            Some(Phase::New(since)) => since.saturating_add(SILENT_LEAST),
            _ => 0,
        }
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    fn set(&mut self, id: ConnectionId, to: Phase) {
        if let Some(phase) = self.connections.get_mut(&id) {
            *phase = to;
        }
    }

    /// Whom nobody will miss: those whose last answer is written first, then silent ones, then the
    /// one that was idle for longest.
    fn dispensable(
        &self,
        now: Nanos,
        silent_least: Nanos,
        rests: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let by = |of: fn(&Phase) -> Option<Nanos>, least: Nanos| {
            let waits = self.connections.iter().filter_map(|(id, phase)| Some((of(phase)?, *id)));
            let waits = waits.filter(|(since, _)| now.saturating_sub(*since) >= least);
            let mut longest: BinaryHeap<_> = waits.map(Reverse).collect();
            std::iter::from_fn(|| longest.pop()).map(|Reverse((_, id))| id).find(|id| rests(*id))
        };
        let ended = || by(|phase| matches!(phase, Phase::Ended).then_some(0), 0);
        let silent =
            || by(|phase| if let Phase::New(since) = phase { Some(*since) } else { None }, silent_least);
        let idle =
            || by(|phase| if let Phase::Idle(since) = phase { Some(*since) } else { None }, IDLE_LEAST);
        ended().or_else(silent).or_else(idle)
    }
}

#[cfg(test)]
mod tests;
