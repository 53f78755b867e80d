//! An index of the servers by role, zone and cell, with sums over them. It is rebuilt when the endpoint list changes or
//! a slow start ends.

use super::ring::{Ring, RingMember};
use super::server::{Server, Slot};
use crate::interface::{CellId, EndpointState, Nanos, Role, ZoneId};
use std::collections::BTreeMap;

/// Servers of one role that are listed as ready.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Servers whose slow start is over.
    pub warm: Vec<Slot>,
    /// Servers in slow start.
    pub slow_start: Vec<Slot>,
}

impl Members {
    /// The number of servers.
    pub fn len(&self) -> usize {
        self.warm.len() + self.slow_start.len()
    }

    /// Returns true if there are no servers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The server at an index, counted over the warm servers first and then over those in slow start.
    pub fn get(&self, index: usize) -> Option<Slot> {
        if let Some(slot) = self.warm.get(index) {
            return Some(*slot);
        }
        self.slow_start.get(index.checked_sub(self.warm.len())?).copied()
    }

    fn add(&mut self, now: Nanos, slot: Slot, server: &Server) {
        let members = if server.in_slow_start(now) { &mut self.slow_start } else { &mut self.warm };
        members.push(slot);
    }
}

/// The ready servers of each role, indexed by [`Role`].
type MembersByRole = [Members; 3];

/// Lookup tables for the ready servers of a fleet, and sums over its servers.
#[derive(Clone, Debug, Default)]
pub struct Index {
    by_role: MembersByRole,
    by_zone: BTreeMap<ZoneId, MembersByRole>,
    by_cell: BTreeMap<CellId, MembersByRole>,
    rings: BTreeMap<ZoneId, Ring>,
    /// The total weight of all prefill servers that are not gone.
    prefill_pool_weight: f64,
    /// The total weight of all decode and combined servers that are not gone.
    decode_pool_weight: f64,
    /// The number of known prefill servers, ready or not.
    prefill_servers: usize,
    /// No servers: returned by reference where a lookup finds none.
    empty: Members,
    /// The earliest end of a slow start.
    valid_until: Nanos,
}

impl Index {
    /// Indexes servers, which are given in the order of their ids. A hash ring of the previous index is reused if its
    /// members are unchanged, as rings are the most expensive part of an index to build.
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

    /// Adds a server, ready or not, to the sums.
    fn count(&mut self, server: &Server) {
        let is_prefill = server.role == Role::Prefill;
        self.prefill_servers += usize::from(is_prefill);
        if server.endpoint.state != EndpointState::Gone {
            let weight =
                if is_prefill { &mut self.prefill_pool_weight } else { &mut self.decode_pool_weight };
            *weight += server.weight;
        }
    }

    /// Adds a ready server to the lookup tables.
    fn add(&mut self, now: Nanos, slot: Slot, server: &Server) {
        if server.in_slow_start(now) {
            self.valid_until = self.valid_until.min(server.slow_start_until);
        }
        let (endpoint, role) = (&server.endpoint, server.role as usize);
        self.by_role[role].add(now, slot, server);
        self.by_zone.entry(endpoint.zone).or_default()[role].add(now, slot, server);
        self.by_cell.entry(endpoint.cell).or_default()[role].add(now, slot, server);
    }

    /// The time until which the division into warm servers and servers in slow start is valid.
    pub fn valid_until(&self) -> Nanos {
        self.valid_until
    }

    /// The ready servers of a role, in one zone or in all zones.
    pub fn members(&self, role: Role, zone: Option<ZoneId>) -> &Members {
        match zone {
            Some(zone) => self.by_zone.get(&zone).map_or(&self.empty, |roles| &roles[role as usize]),
            None => &self.by_role[role as usize],
        }
    }

    /// The ready servers of a role in one cell.
    pub fn cell(&self, cell: CellId, role: Role) -> &Members {
        self.by_cell.get(&cell).map_or(&self.empty, |roles| &roles[role as usize])
    }

    /// An empty set of servers.
    pub fn empty(&self) -> &Members {
        &self.empty
    }

    /// The hash ring of the ready prefill servers of a zone.
    pub fn ring(&self, zone: ZoneId) -> Option<&Ring> {
        self.rings.get(&zone)
    }

    /// The total weight of the servers that share the traffic of a role and are not gone: of the prefill servers, or of
    /// the decode and combined servers.
    pub fn pool_weight(&self, role: Role) -> f64 {
        match role {
            Role::Prefill => self.prefill_pool_weight,
            Role::Decode | Role::Combined => self.decode_pool_weight,
        }
    }

    /// The number of known prefill servers, ready or not.
    pub fn prefill_servers(&self) -> usize {
        self.prefill_servers
    }
}
