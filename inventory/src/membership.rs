//! What the endpoint list says and what connections show, merged in one place.
//!
//! The list knows which servers should serve; it does not know that a process has died and restarted. A server that
//! has just started is warming up: easily overloaded, its KV cache empty. So a server is taken to have restarted when
//! it joins a list that this gateway had already, when nothing listens at its address, or when its own answers report
//! a later start.

use crate::cached_list::{CachedList, StartTimes};
use crate::endpoint_list::{EndpointList, Server};
use petrelshore::interface::{CellId, Endpoint, Nanos, ServerId, ServerKindId, SnapshotKind, ZoneId};
use std::collections::BTreeMap;

/// An update of the endpoint list for the scheduler.
#[derive(Clone, Debug)]
pub struct Change {
    /// Whether the entries are the full list, a cached one, or what has changed.
    pub scope: SnapshotKind,
    /// The endpoints of the list, or those that changed.
    pub entries: Vec<Endpoint>,
}

/// Reported starts may differ by so much without meaning a restart: clocks and rounding.
const START_TIME_TOLERANCE: Nanos = 2_000_000_000;

/// A start that a server reported itself.
#[derive(Clone, Copy, Debug)]
struct ReportedStart {
    /// On the server's clock.
    start: Nanos,
    /// When it was last reported, on the gateway's.
    reported_at: Nanos,
}

/// The servers that this gateway knows, and when each started.
#[derive(Debug)]
pub struct Membership {
    kinds: Vec<String>,
    zones: Vec<String>,
    cells: Vec<String>,
    list: EndpointList,
    /// When each server is known to have started, on the gateway's clock; zero: long ago.
    start_times: StartTimes,
    /// Starts as the servers themselves reported them, on their clocks.
    reported_starts: BTreeMap<ServerId, ReportedStart>,
}

impl Membership {
    /// A membership without servers. `own_zone` becomes zone 0; `kinds` are numbered as the settings have them.
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

    /// Starts from a list cached by an earlier run, with the start times known then.
    pub fn restore(&mut self, cached: CachedList) -> Change {
        self.start_times = cached.start_times;
        self.list = cached.list;
        Change { scope: SnapshotKind::Cached, entries: self.endpoints() }
    }

    /// A new good list. Servers that were not on the one before count as just started; on the first list ever
    /// nothing is known, and a whole fleet must not be taken to be warming up.
    pub fn replace(&mut self, now: Nanos, list: EndpointList) -> Change {
        let is_first = self.list.servers.is_empty();
        let before: Vec<ServerId> = self.list.servers.iter().map(Server::id).collect();
        for server in list.servers.iter().filter(|server| !before.contains(&server.id())) {
            self.start_times.insert(server.id(), if is_first { 0 } else { now });
        }
        self.list = list;
        let listed: Vec<ServerId> = self.list.servers.iter().map(Server::id).collect();
        self.start_times.retain(|id, _| listed.contains(id));
        self.reported_starts.retain(|id, _| listed.contains(id));
        Change { scope: SnapshotKind::Full, entries: self.endpoints() }
    }

    /// Nothing listens at a server's address: whatever listens there next has just started.
    pub fn unreachable(&mut self, now: Nanos, id: ServerId) -> Option<Change> {
        self.restarted(now, id)
    }

    /// An answer reported when its server started, on that server's clock. That clock may be wrong, and may be stepped: a
    /// restart came after the last answer that reported the start before, and counts as just now where the server's
    /// clock says otherwise.
    pub fn start_reported(&mut self, now: Nanos, id: ServerId, start: Nanos) -> Option<Change> {
        let before = self.reported_starts.insert(id, ReportedStart { start, reported_at: now })?;
        if start.abs_diff(before.start) <= START_TIME_TOLERANCE {
            return None;
        }
        let started = if (before.reported_at..=now).contains(&start) { start } else { now };
        // A start already counted from when the server was unreachable, where that is later, stays.
        (self.start_times.get(&id).copied().unwrap_or(0) < started).then_some(())?;
        self.restarted(started, id)
    }

    /// The last good list.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// When each server is known to have started, on the gateway's clock; zero: long ago.
    pub fn start_times(&self) -> &StartTimes {
        &self.start_times
    }

    fn restarted(&mut self, at: Nanos, id: ServerId) -> Option<Change> {
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
        // A server that the list puts in no cell is a cell of its own: nothing is beside it.
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

/// The index of a name, the same in all lists.
fn name_index(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
