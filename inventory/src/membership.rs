//! What the list says and what connections show, merged in one place.
//!
//! The list knows who should serve; it does not know that a process has died and started again. A server that
//! has just started is cold: pushed over easily, its kept texts gone. So a server is taken to have started anew
//! when it joins a list that this gateway had already, when nothing listens at its address, or when its own
//! answers tell a later start.

use crate::List;
use petrelshore::interface::*;
use std::collections::BTreeMap;

/// What the decisions are to be told.
#[derive(Clone, Debug)]
pub struct Change {
    pub scope: SnapshotKind,
    pub entries: Vec<Endpoint>,
}

/// Starts told by answers may differ by so much without meaning another start: clocks and rounding.
const SAME_START: Nanos = 2_000_000_000;

/// A start that a server told of itself.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// On the server's clock.
    start: Nanos,
    /// When it was told last, on the gateway's.
    at: Nanos,
}

#[derive(Debug)]
pub struct Membership {
    kinds: Vec<String>,
    zones: Vec<String>,
    cells: Vec<String>,
    list: List,
    /// When each server is known to have started, on the gateway's clock; zero: long ago.
    since: BTreeMap<ServerId, Nanos>,
    /// Starts as the servers themselves told them, on their clocks.
    told: BTreeMap<ServerId, Told>,
}

impl Membership {
    /// `own_zone` becomes zone 0; `kinds` are numbered as the settings have them.
    pub fn new(kinds: &[String], own_zone: &str) -> Self {
        Membership {
            kinds: kinds.to_vec(),
            zones: vec![own_zone.to_owned()],
            cells: Vec::new(),
            list: List::default(),
            since: BTreeMap::new(),
            told: BTreeMap::new(),
        }
    }

    /// Starts from a list kept by an earlier run, with the starts known then.
    pub fn remember(&mut self, list: List, since: BTreeMap<ServerId, Nanos>) -> Change {
        self.since = since;
        self.list = list;
        Change { scope: SnapshotKind::Cached, entries: self.endpoints() }
    }

    /// A new good list. Servers that were not on the one before count as just started; on the first list ever
    /// nothing is known, and a whole fleet must not be taken for cold.
    pub fn replace(&mut self, now: Nanos, list: List) -> Change {
        let known = !self.list.servers.is_empty();
        let before: Vec<ServerId> = self.list.servers.iter().map(crate::Server::id).collect();
        for server in list.servers.iter().filter(|server| !before.contains(&server.id())) {
            self.since.insert(server.id(), if known { now } else { 0 });
        }
        self.list = list;
        let listed: Vec<ServerId> = self.list.servers.iter().map(crate::Server::id).collect();
        self.since.retain(|id, _| listed.contains(id));
        self.told.retain(|id, _| listed.contains(id));
        Change { scope: SnapshotKind::Full, entries: self.endpoints() }
    }

    /// Nothing listens at a server's address: whoever listens there next has just started.
    pub fn absent(&mut self, now: Nanos, id: ServerId) -> Option<Change> {
        self.started_anew(now, id)
    }

    /// An answer told when its server started, on that server's clock. That one may be wrong, and be stepped: another
    /// start came after the last answer that told the one before, and is taken for one just now where its clock says
    /// otherwise.
    pub fn told_start(&mut self, now: Nanos, id: ServerId, start: Nanos) -> Option<Change> {
        let before = self.told.insert(id, Told { start, at: now })?;
        if start.abs_diff(before.start) <= SAME_START {
            return None;
        }
        let started = if (before.at..=now).contains(&start) { start } else { now };
        // Already counted from its absence on, where that is later.
        (self.since.get(&id).copied().unwrap_or(0) < started).then_some(())?;
        self.started_anew(started, id)
    }

    pub fn list(&self) -> &List {
        &self.list
    }

    pub fn since(&self) -> &BTreeMap<ServerId, Nanos> {
        &self.since
    }

    fn started_anew(&mut self, at: Nanos, id: ServerId) -> Option<Change> {
        let server = self.list.servers.iter().find(|server| server.id() == id)?.clone();
        self.since.insert(id, at);
        let endpoint = self.endpoint(&server);
        Some(Change { scope: SnapshotKind::Delta, entries: vec![endpoint] })
    }

    fn endpoints(&mut self) -> Vec<Endpoint> {
        let servers = self.list.servers.clone();
        servers.iter().map(|server| self.endpoint(server)).collect()
    }

    fn endpoint(&mut self, server: &crate::Server) -> Endpoint {
        let id = server.id();
        // A server that the list puts in no cell is a cell of its own: nothing is beside it.
        let cell = if server.cell.is_empty() { &server.name } else { &server.cell };
        Endpoint {
            server: id,
            kind: ServerKindId(self.kinds.iter().position(|kind| *kind == server.kind).unwrap_or(0)),
            cell: CellId(number(&mut self.cells, cell) as i64),
            zone: ZoneId(number(&mut self.zones, &server.zone)),
            weight: server.weight,
            started_at: self.since.get(&id).copied().unwrap_or(0),
            state: server.condition(),
        }
    }
}

/// Names keep their numbers over all lists.
fn number(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
