//! Servers by role, zone and cell, and sums over them. Made of the list; a change of the list makes it anew.

use super::{Ring, Server, Slot};
use crate::interface::*;
use std::collections::BTreeMap;

/// Servers of one role that are listed as ready.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    pub warm: Vec<Slot>,
    /// Those in slow start.
    pub cold: Vec<Slot>,
}

impl Members {
    pub fn len(&self) -> usize {
        self.warm.len() + self.cold.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// One of them by its number, the warm ones first.
    pub fn get(&self, number: usize) -> Option<Slot> {
        self.warm.get(number).or_else(|| self.cold.get(number.checked_sub(self.warm.len())?)).copied()
    }

    fn add(&mut self, now: Nanos, slot: Slot, server: &Server) {
        let part = if now < server.cold_until { &mut self.cold } else { &mut self.warm };
        part.push(slot);
    }
}

#[derive(Clone, Debug, Default)]
pub struct Index {
    by_role: [Members; 3],
    by_zone: BTreeMap<(usize, ZoneId), Members>,
    by_cell: BTreeMap<CellId, [Members; 3]>,
    rings: BTreeMap<ZoneId, Ring>,
    /// Weight of all prefill servers that have not gone, and of all others.
    prefill_weight: f64,
    answering_weight: f64,
    prefill_servers: usize,
    none: Members,
    /// When the first of those in slow start gets warm: what is warm and what is cold is right until then.
    pub(super) holds_until: Nanos,
}

impl Index {
    /// Indexes servers, in the order of their names. Of an index before, the rings that still hold are taken over: they
    /// cost the most.
    pub fn new<'a>(
        now: Nanos,
        servers: impl Iterator<Item = (Slot, &'a Server)>,
        ring_points: usize,
        mut before: Index,
    ) -> Self {
        let mut index = Index { holds_until: Nanos::MAX, ..Index::default() };
        let mut prefill: BTreeMap<ZoneId, Vec<(u64, Slot)>> = BTreeMap::new();
        for (slot, server) in servers {
            let prefills = server.role == Role::Prefill;
            index.prefill_servers += usize::from(prefills);
            if server.endpoint.state != EndpointState::Gone {
                let sum = if prefills { &mut index.prefill_weight } else { &mut index.answering_weight };
                *sum += server.weight;
            }
            if server.endpoint.state != EndpointState::Ready {
                continue;
            }
            if prefills {
                prefill.entry(server.endpoint.zone).or_default().push((server.endpoint.server.0, slot));
            }
            index.add(now, slot, server);
        }
        for (zone, servers) in prefill {
            let held = before.rings.remove(&zone).filter(|ring| ring.is_of(&servers));
            index.rings.insert(zone, held.unwrap_or_else(|| Ring::new(servers, ring_points)));
        }
        index
    }

    fn add(&mut self, now: Nanos, slot: Slot, server: &Server) {
        if now < server.cold_until {
            self.holds_until = self.holds_until.min(server.cold_until);
        }
        let role = server.role as usize;
        self.by_role[role].add(now, slot, server);
        self.by_zone.entry((role, server.endpoint.zone)).or_default().add(now, slot, server);
        self.by_cell.entry(server.endpoint.cell).or_default()[role].add(now, slot, server);
    }

    /// Ready servers of a role, of one zone or of all.
    pub fn members(&self, role: Role, zone: Option<ZoneId>) -> &Members {
        match zone {
            Some(zone) => self.by_zone.get(&(role as usize, zone)).unwrap_or(&self.none),
            None => &self.by_role[role as usize],
        }
    }

    /// Ready servers of a role in one cell.
    pub fn cell(&self, cell: CellId, role: Role) -> &Members {
        self.by_cell.get(&cell).map_or(&self.none, |roles| &roles[role as usize])
    }

    /// No servers.
    pub fn nobody(&self) -> &Members {
        &self.none
    }

    /// The hash ring of a zone's ready prefill servers.
    pub fn ring(&self, zone: ZoneId) -> Option<&Ring> {
        self.rings.get(&zone)
    }

    /// The weight of all servers that have not gone, of those that prefill only or of the others.
    pub fn pool_weight(&self, prefill: bool) -> f64 {
        if prefill { self.prefill_weight } else { self.answering_weight }
    }

    /// How many prefill servers are known, ready or not.
    pub fn prefill_servers(&self) -> usize {
        self.prefill_servers
    }
}
