//! Servers by role, zone and cell, and sums over them. Built from the endpoint list, and rebuilt when that changes.

use super::ring::{Ring, RingMember};
use super::server::{Server, Slot};
use crate::interface::{CellId, EndpointState, Nanos, Role, ZoneId};
use std::collections::BTreeMap;

/// Servers of one role that are listed as ready.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Those whose slow start is over.
    pub warm: Vec<Slot>,
    /// Those in slow start.
    pub slow_start: Vec<Slot>,
}

impl Members {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.warm.len() + self.slow_start.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// One of them by its number, the warm ones first.
    pub fn get(&self, number: usize) -> Option<Slot> {
        if let Some(slot) = self.warm.get(number) {
            return Some(*slot);
        }
        self.slow_start.get(number.checked_sub(self.warm.len())?).copied()
    }

    fn add(&mut self, now: Nanos, slot: Slot, server: &Server) {
        let members = if server.in_slow_start(now) { &mut self.slow_start } else { &mut self.warm };
        members.push(slot);
    }
}

/// Ready servers of each role, by its place in the enum.
type MembersByRole = [Members; 3];

/// Where to find the servers of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Index {
    by_role: MembersByRole,
    by_zone: BTreeMap<ZoneId, MembersByRole>,
    by_cell: BTreeMap<CellId, MembersByRole>,
    rings: BTreeMap<ZoneId, Ring>,
    /// Weight of all prefill servers that have not gone.
    prefill_weight: f64,
    /// Weight of all other servers that have not gone.
    answering_weight: f64,
    /// How many prefill servers there are, ready or not.
    prefill_servers: usize,
    /// No servers, to be lent out.
    empty: Members,
    /// When the first slow start is over.
    valid_until: Nanos,
}

impl Index {
    /// Indexes servers, given in the order of their ids. Rings of the previous index that are still right are reused: they
    /// cost the most.
    pub fn new<'a>(
        now: Nanos,
        servers: impl Iterator<Item = (Slot, &'a Server)>,
        ring_points: usize,
        mut previous: Index,
    ) -> Self {
        let mut index = Index { valid_until: Nanos::MAX, ..Index::default() };
        let mut ring_members: BTreeMap<ZoneId, Vec<RingMember>> = BTreeMap::new();
        for (slot, server) in servers {
            index.count(server);
            if server.endpoint.state != EndpointState::Ready {
                continue;
            }
            index.add(now, slot, server);
            if server.role == Role::Prefill {
                let member = RingMember { server: server.endpoint.server, slot };
                ring_members.entry(server.endpoint.zone).or_default().push(member);
            }
        }
        for (zone, members) in ring_members {
            let reused = previous.rings.remove(&zone).filter(|ring| ring.has_members(&members));
            index.rings.insert(zone, reused.unwrap_or_else(|| Ring::new(members, ring_points)));
        }
        index
    }

    /// Adds a server to the sums.
    fn count(&mut self, server: &Server) {
        let is_prefill = server.role == Role::Prefill;
        self.prefill_servers += usize::from(is_prefill);
        if server.endpoint.state != EndpointState::Gone {
            let weight = if is_prefill { &mut self.prefill_weight } else { &mut self.answering_weight };
            *weight += server.weight;
        }
    }

    /// Adds a ready server.
    fn add(&mut self, now: Nanos, slot: Slot, server: &Server) {
        if server.in_slow_start(now) {
            self.valid_until = self.valid_until.min(server.slow_start_until);
        }
        let (endpoint, role) = (&server.endpoint, server.role as usize);
        self.by_role[role].add(now, slot, server);
        self.by_zone.entry(endpoint.zone).or_default()[role].add(now, slot, server);
        self.by_cell.entry(endpoint.cell).or_default()[role].add(now, slot, server);
    }

    /// Until when the division into warm servers and those in slow start is right.
    pub fn valid_until(&self) -> Nanos {
        self.valid_until
    }

    /// Ready servers of a role, of one zone or of all.
    pub fn members(&self, role: Role, zone: Option<ZoneId>) -> &Members {
        match zone {
            Some(zone) => self.by_zone.get(&zone).map_or(&self.empty, |roles| &roles[role as usize]),
            None => &self.by_role[role as usize],
        }
    }

    /// Ready servers of a role in one cell.
    pub fn cell(&self, cell: CellId, role: Role) -> &Members {
        self.by_cell.get(&cell).map_or(&self.empty, |roles| &roles[role as usize])
    }

    /// No servers.
    pub fn empty(&self) -> &Members {
        &self.empty
    }

    /// The hash ring of a zone's ready prefill servers.
    pub fn ring(&self, zone: ZoneId) -> Option<&Ring> {
        self.rings.get(&zone)
    }

    /// The weight of the servers that share a role's traffic and have not gone: of the prefill servers, or of all others.
    pub fn pool_weight(&self, role: Role) -> f64 {
        match role {
            Role::Prefill => self.prefill_weight,
            Role::Decode | Role::Combined => self.answering_weight,
        }
    }

    /// How many prefill servers are known, ready or not.
    pub fn prefill_servers(&self) -> usize {
        self.prefill_servers
    }
}
