//! Keeps an older endpoint list from undoing what newer lists have told.
//!
//! Lists carry a version. After a new configuration, a reconnect or a restart, the list that a discovery agent serves may
//! be older than the lists that were applied before: a server that was told to drain is ready there, or a server that has
//! restarted has its old start time. Such a list still applies where it tells of new servers, of later starts and of
//! drains, since the agent's numbering may have started anew. But a server stays drained, gone or restarted as long as
//! only older lists deny it, for at most [`RETENTION`].

use petrelshore::interface::{Endpoint, EndpointState, Nanos, ServerId, SnapshotKind};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// The time for which a list of a lower version can't undo an entry, in nanoseconds. Agents lag behind by seconds; a
/// version that stays lower for longer shows that the numbering has started anew.
pub const RETENTION: Nanos = 60_000_000_000;
/// The maximum number of servers that are remembered though they are gone. Beyond it the first to go is forgotten.
const MAX_GONE: usize = 16_384;

/// The last entry that a list told of a server.
#[derive(Clone, Copy, Debug)]
struct KnownEndpoint {
    /// The version of the list that told the entry first.
    version: u64,
    /// The time at which that list was applied.
    told_at: Nanos,
    state: EndpointState,
    started_at: Nanos,
    address: SocketAddr,
}

impl KnownEndpoint {
    /// Returns whether the entry was told by a newer list than `list`, and recently.
    fn is_newer_than(&self, now: Nanos, list: ListVersion) -> bool {
        self.version > list.version && now < self.told_at.saturating_add(RETENTION)
    }

    fn is_same(&self, endpoint: &Endpoint, address: SocketAddr) -> bool {
        let known = (self.state, self.started_at, self.address);
        known == (endpoint.state, endpoint.started_at, address)
    }

    /// Corrects an entry of an older list. Returns whether the entry was changed.
    fn correct(&self, endpoint: &mut Endpoint, address: &mut SocketAddr) -> bool {
        if endpoint.started_at > self.started_at {
            return false;
        }
        if endpoint.started_at < self.started_at {
            endpoint.started_at = self.started_at;
            endpoint.state = self.state;
            *address = self.address;
            return true;
        }
        let denies_state = severity(self.state) > severity(endpoint.state);
        if denies_state {
            endpoint.state = self.state;
        }
        denies_state
    }
}

/// Orders the states by how little may be sent to a server.
fn severity(state: EndpointState) -> u8 {
    match state {
        EndpointState::Ready => 0,
        EndpointState::Draining => 1,
        EndpointState::Gone => 2,
    }
}

/// The version and the scope of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListVersion {
    /// The version, which grows with each change.
    pub version: u64,
    /// The set of endpoints that the list contains.
    pub scope: SnapshotKind,
}

/// The last entry of each server, with the version of the list that told it.
#[derive(Debug, Default)]
pub struct EndpointHistory {
    known: BTreeMap<ServerId, KnownEndpoint>,
    /// The servers that are gone, each with the time at which that was told, in the order of these times. A server may
    /// have been listed again since.
    gone: VecDeque<(Nanos, ServerId)>,
}

impl EndpointHistory {
    /// Records a list before it is applied, and corrects the entries that deny what a newer list has told. An entry of a
    /// server that is gone gets the state [`EndpointState::Gone`]. Returns the number of corrected entries.
    pub fn reconcile<'a>(
        &mut self,
        now: Nanos,
        list: ListVersion,
        entries: impl Iterator<Item = (&'a mut Endpoint, &'a mut SocketAddr)>,
    ) -> usize {
        let mut corrected = 0;
        let mut listed = BTreeSet::new();
        for (endpoint, address) in entries {
            listed.insert(endpoint.server);
            match self.known.get(&endpoint.server) {
                Some(known) if known.is_newer_than(now, list) => {
                    corrected += usize::from(known.correct(endpoint, address));
                }
                Some(known) if known.is_same(endpoint, *address) => {}
                _ => self.record(now, list, endpoint, *address),
            }
        }
        if list.scope != SnapshotKind::Delta {
            self.record_unlisted(now, list, &listed);
        }
        self.forget_gone(now);
        corrected
    }

    fn record(&mut self, now: Nanos, list: ListVersion, endpoint: &Endpoint, address: SocketAddr) {
        let known = KnownEndpoint {
            version: list.version,
            told_at: now,
            state: endpoint.state,
            started_at: endpoint.started_at,
            address,
        };
        self.known.insert(endpoint.server, known);
        if endpoint.state == EndpointState::Gone {
            self.gone.push_back((now, endpoint.server));
        }
    }

    /// Records that the servers that a full list lacks are gone.
    fn record_unlisted(&mut self, now: Nanos, list: ListVersion, listed: &BTreeSet<ServerId>) {
        for (server, known) in &mut self.known {
            let is_gone = known.state == EndpointState::Gone;
            if is_gone || listed.contains(server) || known.is_newer_than(now, list) {
                continue;
            }
            known.version = list.version;
            known.told_at = now;
            known.state = EndpointState::Gone;
            self.gone.push_back((now, *server));
        }
    }

    /// Forgets the servers that have been gone for longer than [`RETENTION`] or are too many.
    fn forget_gone(&mut self, now: Nanos) {
        while let Some(&(told_at, server)) = self.gone.front() {
            if now < told_at.saturating_add(RETENTION) && self.gone.len() <= MAX_GONE {
                return;
            }
            self.gone.pop_front();
            let still_gone =
                |known: &KnownEndpoint| known.state == EndpointState::Gone && known.told_at == told_at;
            if self.known.get(&server).is_some_and(still_gone) {
                self.known.remove(&server);
            }
        }
    }

    /// Number of servers that are remembered, listed or gone.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no server is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
