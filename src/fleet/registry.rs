//! The registry of the servers of the endpoint list, by their ids.

use super::index::{Index, Members};
use super::server::{Server, Slot};
use crate::interface::{
    CellId, Endpoint, EndpointState, Nanos, Role, ServerId, ServerKind, SnapshotKind, Weights,
};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// Lower bound of the memory of a server in tokens, because loads are divided by the memory.
const MIN_MEMORY_TOKENS: f64 = 1.0;
/// Lower bound of the weight of a server.
const MIN_WEIGHT: f64 = 1e-3;

/// All servers that a gateway knows.
pub struct Fleet {
    kinds: Vec<ServerKind>,
    weights: Weights,
    slots: Vec<Server>,
    free_slots: Vec<Slot>,
    by_id: BTreeMap<ServerId, Slot>,
    /// The number of server starts seen so far.
    generations: u64,
    ring_points: usize,
    index: Index,
    /// True if an endpoint list has been applied since the index was built.
    index_is_stale: bool,
    /// The number of servers that decisions have examined.
    examined: Cell<u64>,
}

impl Fleet {
    /// A fleet without servers. Each prefill server gets `ring_points` points on the hash ring of its zone.
    pub fn new(kinds: Vec<ServerKind>, weights: Weights, ring_points: usize) -> Self {
        Fleet {
            kinds,
            weights,
            slots: Vec::new(),
            free_slots: Vec::new(),
            by_id: BTreeMap::new(),
            generations: 0,
            ring_points,
            index: Index::default(),
            index_is_stale: true,
            examined: Cell::new(0),
        }
    }

    /// Applies an endpoint list, or the changes to it. `new_server` creates a server that is new or has restarted from
    /// its entry. A server that is gone is kept while an attempt to it is in flight.
    pub fn update(
        &mut self,
        snapshot: SnapshotKind,
        entries: &[Endpoint],
        mut new_server: impl FnMut(&Endpoint) -> Server,
    ) {
        self.index_is_stale = true;
        self.remove_gone();
        if snapshot != SnapshotKind::Delta {
            self.mark_unlisted_gone(entries);
        }
        for entry in entries {
            let slot = match self.by_id.get(&entry.server) {
                Some(&slot) if entry.started_at <= self.slots[slot].endpoint.started_at => {
                    self.slots[slot].endpoint = entry.clone();
                    slot
                }
                _ => self.insert(new_server(entry)),
            };
            self.apply_kind(slot, entry);
        }
    }

    fn remove_gone(&mut self) {
        let (slots, free_slots) = (&self.slots, &mut self.free_slots);
        self.by_id.retain(|_, slot| {
            let server = &slots[*slot];
            let is_kept = server.endpoint.state != EndpointState::Gone || !server.in_flight.is_empty();
            if !is_kept {
                free_slots.push(*slot);
            }
            is_kept
        });
    }

    fn mark_unlisted_gone(&mut self, entries: &[Endpoint]) {
        let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
        for (_, slot) in self.by_id.iter().filter(|(id, _)| !listed.contains(id)) {
            self.slots[*slot].endpoint.state = EndpointState::Gone;
        }
    }

    fn insert(&mut self, mut server: Server) -> Slot {
        self.generations += 1;
        server.generation = self.generations;
        let id = server.endpoint.server;
        if let Some(&slot) = self.by_id.get(&id) {
            self.slots[slot] = server;
            return slot;
        }
        let slot = self.free_slots.pop().unwrap_or(self.slots.len());
        match self.slots.get_mut(slot) {
            Some(freed) => *freed = server,
            None => self.slots.push(server),
        }
        self.by_id.insert(id, slot);
        slot
    }

    /// Sets the properties of a server that follow from its kind and its endpoint entry.
    fn apply_kind(&mut self, slot: Slot, entry: &Endpoint) {
        let kind = &self.kinds[entry.kind.0];
        let server = &mut self.slots[slot];
        server.role = kind.role;
        server.memory_tokens = kind.memory_tokens.max(MIN_MEMORY_TOKENS);
        server.weight = match self.weights {
            Weights::Size => entry.weight.max(MIN_WEIGHT),
            Weights::Unused => 1.0,
        };
    }

    /// Rebuilds the index if an endpoint list has been applied since it was built, or if the slow start of a server has
    /// ended.
    pub fn refresh(&mut self, now: Nanos) {
        if self.index_is_stale || now >= self.index.valid_until() {
            let servers = self.by_id.values().map(|slot| (*slot, &self.slots[*slot]));
            let previous = std::mem::take(&mut self.index);
            self.index = Index::new(now, servers, self.ring_points, previous);
            self.index_is_stale = false;
        }
    }

    /// The index as of the last [`Fleet::refresh`].
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// The ready servers of a role in one cell.
    pub fn cell(&self, cell: CellId, role: Role) -> &Members {
        self.index.cell(cell, role)
    }

    /// The number of servers that decisions have examined so far. A server counts each time it is examined.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// Adds to the number of servers that decisions have examined.
    pub(super) fn count_examined(&self, servers: usize) {
        self.examined.set(self.examined.get() + servers as u64);
    }

    /// The number of known servers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns true if no servers are known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the server with an id.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.by_id.get(&id).map(|slot| &self.slots[*slot])
    }

    /// Returns the server with an id, for modification.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        let slot = self.by_id.get(&id)?;
        self.slots.get_mut(*slot)
    }

    /// Returns the slot of the server with an id.
    pub fn slot(&self, id: ServerId) -> Option<Slot> {
        self.by_id.get(&id).copied()
    }

    /// Returns the server in a slot.
    pub fn at(&self, slot: Slot) -> &Server {
        &self.slots[slot]
    }

    /// Iterates over all servers in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Server> + Clone {
        self.by_id.values().map(|slot| &self.slots[*slot])
    }

    /// Iterates over the servers whose ids are not below `first`, in the order of their ids.
    pub fn values_from(&self, first: ServerId) -> impl Iterator<Item = &Server> {
        self.by_id.range(first..).map(|(_, slot)| &self.slots[*slot])
    }
}

impl std::ops::Index<ServerId> for Fleet {
    type Output = Server;

    fn index(&self, id: ServerId) -> &Server {
        &self.slots[self.by_id[&id]]
    }
}
