//! Candidates: the servers that a decision examines.

use super::hashing::rendezvous_rank;
use super::index::Members;
use super::quotas::ZoneQuota;
use super::registry::Fleet;
use super::server::{Server, Slot};
use crate::interface::{CellId, Role, ZoneId};
use std::collections::BTreeMap;

/// The servers that a decision examines: all of the fleet or some of them.
#[derive(Clone, Debug)]
pub enum Candidates {
    /// All servers of the fleet.
    All,
    /// The servers in these slots.
    Slots(Vec<Slot>),
}

impl Candidates {
    /// The servers in these slots, without duplicates.
    pub fn distinct(mut slots: Vec<Slot>) -> Self {
        slots.sort_unstable();
        slots.dedup();
        Candidates::Slots(slots)
    }
}

/// The servers that a sequence is restricted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerScope {
    /// The servers of a zone.
    Zone(ZoneId),
    /// The servers of a cell.
    Cell(CellId),
    /// No servers.
    Empty,
}

/// Returns true if a server is in a scope, or if there is no scope.
pub fn in_scope(scope: Option<ServerScope>, server: &Server) -> bool {
    match scope {
        None => true,
        Some(ServerScope::Zone(zone)) => zone == server.endpoint.zone,
        Some(ServerScope::Cell(cell)) => cell == server.endpoint.cell,
        Some(ServerScope::Empty) => false,
    }
}

impl Fleet {
    /// Iterates over the candidates and counts each one as examined.
    pub fn among<'a>(&'a self, candidates: &'a Candidates) -> impl Iterator<Item = &'a Server> {
        let (all, slots) = match candidates {
            Candidates::All => (Some(self.values()), None),
            Candidates::Slots(slots) => (None, Some(slots.iter().map(|slot| self.at(*slot)))),
        };
        let servers = all.into_iter().flatten().chain(slots.into_iter().flatten());
        servers.inspect(|_| self.count_examined(1))
    }

    /// The ready servers of a role in a scope, or in the whole fleet where there is no scope.
    pub fn pool(&self, role: Role, scope: Option<ServerScope>) -> &Members {
        match scope {
            None => self.index().members(role, None),
            Some(ServerScope::Zone(zone)) => self.index().members(role, Some(zone)),
            Some(ServerScope::Cell(cell)) => self.index().cell(cell, role),
            Some(ServerScope::Empty) => self.index().empty(),
        }
    }

    /// The prefill server that is the affinity replica of a key. Weighted rendezvous hashing over this gateway's zone
    /// quotas assigns the key to a zone, and the zone's hash ring assigns it to a server.
    pub fn affinity_replica(&self, key: u64, zones: &BTreeMap<ZoneId, ZoneQuota>) -> Option<Slot> {
        let used = zones.iter().filter(|(_, quota)| quota.gateway_quota > 0.0);
        let ranked =
            used.map(|(zone, quota)| (rendezvous_rank(key, zone.0 as u64, quota.gateway_quota), *zone));
        let (_, zone) = ranked.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        self.index().ring(zone)?.server(key)
    }
}
