//! The servers that a decision looks at.

use super::{Fleet, Members, Server, Slot, ZoneShare, race};
use crate::interface::*;
use std::collections::BTreeMap;

/// All servers, or some of them.
#[derive(Clone, Debug)]
pub enum Candidates {
    All,
    These(Vec<Slot>),
}

impl Candidates {
    /// Each of these servers once.
    pub fn distinct(mut slots: Vec<Slot>) -> Self {
        slots.sort_unstable();
        slots.dedup();
        Candidates::These(slots)
    }
}

/// Servers among which a sequence has to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    Zone(ZoneId),
    Cell(CellId),
    Nobody,
}

/// Whether a server is in a group; all are where there is none.
pub fn in_scope(group: Option<Group>, server: &Server) -> bool {
    match group {
        None => true,
        Some(Group::Zone(zone)) => zone == server.endpoint.zone,
        Some(Group::Cell(cell)) => cell == server.endpoint.cell,
        Some(Group::Nobody) => false,
    }
}

impl Fleet {
    /// Those servers, counted as they are looked at.
    pub fn among<'a>(&'a self, candidates: &'a Candidates) -> impl Iterator<Item = &'a Server> {
        let (all, these) = match candidates {
            Candidates::All => (Some(self.values()), None),
            Candidates::These(slots) => (None, Some(slots.iter().map(|slot| self.at(*slot)))),
        };
        let servers = all.into_iter().flatten().chain(these.into_iter().flatten());
        servers.inspect(|_| self.count(1))
    }

    /// Ready servers of a role in a group, or in all.
    pub fn pool(&self, role: Role, group: Option<Group>) -> &Members {
        match group {
            None => self.index.members(role, None),
            Some(Group::Zone(zone)) => self.index.members(role, Some(zone)),
            Some(Group::Cell(cell)) => self.index.cell(cell, role),
            Some(Group::Nobody) => self.index.nobody(),
        }
    }

    /// The prefill server that is a key's home, in the zone that the key has by the zones' turns.
    pub fn home(&self, key: u64, zones: &BTreeMap<ZoneId, ZoneShare>) -> Option<Slot> {
        let zones = zones.iter().filter(|(_, share)| share.turn > 0.0);
        let zones = zones.map(|(zone, share)| (race(key, zone.0 as u64, share.turn), *zone));
        let (_, zone) = zones.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        self.index.ring(zone)?.server(key)
    }
}
