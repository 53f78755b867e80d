//! Merges the endpoint list with the server restarts that connections and responses reveal.
//!
//! The list says which servers should serve, but not that a server process died and restarted. A server that has just
//! started is warming up: it is easily overloaded, and its KV cache is empty. A server therefore counts as just started
//! when it joins a list that this gateway already had, when nothing listens at its address, or when its own responses
//! report a later start.

use crate::cached_list::{CachedList, StartTimes};
use crate::endpoint_list::{EndpointList, Server};
use petrelshore::interface::{CellId, Endpoint, Nanos, ServerId, ServerKindId, SnapshotKind, ZoneId};
use std::collections::BTreeMap;

/// An update of the endpoint list for the scheduler.
#[derive(Clone, Debug)]
pub struct Change {
    /// The scope of the entries: a full list, a cached list or only the endpoints that changed.
    pub scope: SnapshotKind,
    /// The endpoints of the list, or only the endpoints that changed.
    pub entries: Vec<Endpoint>,
}

/// The maximum difference between two reported start times of the same start, in nanoseconds. Reported times vary
/// because of clock adjustments and rounding.
const START_TIME_TOLERANCE: Nanos = 2_000_000_000;

/// A start time that a server itself reported.
#[derive(Clone, Copy, Debug)]
struct ReportedStart {
    /// The start time, on the server's clock.
    start: Nanos,
    /// The time of the last report, on the gateway's clock.
    reported_at: Nanos,
}

/// The servers on the current endpoint list, with the start time of each.
#[derive(Debug)]
pub struct Membership {
    /// Names of kinds, zones and cells. The position of a name is its id.
    kinds: Vec<String>,
    zones: Vec<String>,
    cells: Vec<String>,
    list: EndpointList,
    /// The known start time of each server, on the gateway's clock; zero for a server that started long ago.
    start_times: StartTimes,
    /// The last start time that each server itself reported.
    reported_starts: BTreeMap<ServerId, ReportedStart>,
}

impl Membership {
    /// Creates a membership without servers. `own_zone` becomes zone 0; `kinds` are numbered in the order of the
    /// settings.
    pub fn new(kinds: &[String], own_zone: &str) -> Self {
        Membership {
            kinds: kinds.to_vec(),
            zones: vec![own_zone.to_owned()],
            cells: Vec::new(),
            list: EndpointList::default(),
            start_times: BTreeMap::new(),
            reported_starts: BTreeMap::new(),
        }
    }

    /// Restores the list that an earlier run cached, with the start times that were known then.
    pub fn restore(&mut self, cached: CachedList) -> Change {
        self.start_times = cached.start_times;
        self.list = cached.list;
        Change { scope: SnapshotKind::Cached, entries: self.endpoints() }
    }

    /// Replaces the list with a new valid list. Servers that were not on the previous list count as just started. If
    /// there was no previous list, all start times are unknown and the servers count as started long ago, because the
    /// whole fleet must not count as warming up.
    pub fn replace(&mut self, now: Nanos, list: EndpointList) -> Change {
        let is_first = self.list.servers.is_empty();
        let previously_listed: Vec<ServerId> = self.list.servers.iter().map(Server::id).collect();
        for server in list.servers.iter().filter(|server| !previously_listed.contains(&server.id())) {
            self.start_times.insert(server.id(), if is_first { 0 } else { now });
        }
        self.list = list;
        let listed: Vec<ServerId> = self.list.servers.iter().map(Server::id).collect();
        self.start_times.retain(|id, _| listed.contains(id));
        self.reported_starts.retain(|id, _| listed.contains(id));
        Change { scope: SnapshotKind::Full, entries: self.endpoints() }
    }

    /// Records that nothing listens at a server's address. The server counts as started at `now`, because the process
    /// that listens there next has just started. Returns `None` if the server is not listed.
    pub fn unreachable(&mut self, now: Nanos, id: ServerId) -> Option<Change> {
        self.record_start(now, id)
    }

    /// Records the start time that a server reported in a response, on the server's clock. Returns a change if the
    /// report reveals a restart. The server's clock may be wrong or may be stepped, but a restart is known to come
    /// after the last response that reported the previous start. If the reported time is outside that period, the
    /// server counts as started at `now`.
    pub fn start_reported(&mut self, now: Nanos, id: ServerId, start: Nanos) -> Option<Change> {
        let previous = self.reported_starts.insert(id, ReportedStart { start, reported_at: now })?;
        if start.abs_diff(previous.start) <= START_TIME_TOLERANCE {
            return None;
        }
        let started = if (previous.reported_at..=now).contains(&start) { start } else { now };
        // Keeps a later start time that was already recorded because the server was unreachable.
        (self.start_times.get(&id).copied().unwrap_or(0) < started).then_some(())?;
        self.record_start(started, id)
    }

    /// Returns the last accepted list.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// Returns the known start time of each server, on the gateway's clock; zero for a server that started long ago.
    pub fn start_times(&self) -> &StartTimes {
        &self.start_times
    }

    fn record_start(&mut self, at: Nanos, id: ServerId) -> Option<Change> {
        let server = self.list.servers.iter().find(|server| server.id() == id)?.clone();
        self.start_times.insert(id, at);
        let endpoint = self.endpoint(&server);
        Some(Change { scope: SnapshotKind::Delta, entries: vec![endpoint] })
    }

    fn endpoints(&mut self) -> Vec<Endpoint> {
        let servers = self.list.servers.clone();
        servers.iter().map(|server| self.endpoint(server)).collect()
    }

    fn endpoint(&mut self, server: &Server) -> Endpoint {
        let id = server.id();
        // A server without a cell is a cell of its own, named after the server: no other server shares it.
        let cell = if server.cell.is_empty() { &server.name } else { &server.cell };
        Endpoint {
            server: id,
            kind: ServerKindId(self.kinds.iter().position(|kind| *kind == server.kind).unwrap_or(0)),
            cell: CellId(name_index(&mut self.cells, cell) as i64),
            zone: ZoneId(name_index(&mut self.zones, &server.zone)),
            weight: server.weight,
            started_at: self.start_times.get(&id).copied().unwrap_or(0),
            state: server.state(),
        }
    }
}

/// Returns the index of a name, which stays the same for all later lists. A new name is appended.
fn name_index(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
