//! The model servers that a gateway knows, and where to find them: plain data, nothing here decides.
//!
//! [`Fleet`] keeps what is known of each [`Server`], and an [`Index`] of those that are listed as ready, so that a
//! decision can turn to a few of them without looking at all. A [`Sampler`] draws from the index, a [`Walk`] goes over
//! all servers a part at a time.

mod candidates;
mod index;
mod ring;
mod sampler;
mod server;
mod summary;

pub use candidates::{Candidates, Group, in_scope};
pub use index::{Index, Members};
pub use ring::{Ring, bucket, mix, race};
pub use sampler::{Draw, Sampler};
pub use server::{Out, Server};
pub use summary::*;

use crate::interface::*;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index as Lookup;

/// The place of a server in its fleet's memory. It holds until the next list.
pub type Slot = usize;

pub struct Fleet {
    kinds: Vec<ServerKind>,
    weights: Weights,
    slots: Vec<Server>,
    free: Vec<Slot>,
    by_id: BTreeMap<ServerId, Slot>,
    generations: u64,
    ring_points: usize,
    index: Index,
    /// Whether a list has come since the index was made.
    stale: bool,
    examined: Cell<u64>,
}

impl Fleet {
    /// A fleet without servers. On its hash rings each prefill server has so many points.
    pub fn new(kinds: Vec<ServerKind>, weights: Weights, ring_points: usize) -> Self {
        Fleet {
            kinds,
            weights,
            slots: Vec::new(),
            free: Vec::new(),
            by_id: BTreeMap::new(),
            generations: 0,
            ring_points,
            index: Index::default(),
            stale: true,
            examined: Cell::new(0),
        }
    }

    /// Takes a list of servers, or what has changed in it. A server that is new, or has started anew, is made by
    /// `start` from its entry; one that has gone stays for as long as an attempt is out to it.
    pub fn listed(
        &mut self,
        scope: SnapshotKind,
        entries: &[Endpoint],
        mut start: impl FnMut(&Endpoint) -> Server,
    ) {
        self.stale = true;
        self.drop_gone();
        if scope != SnapshotKind::Delta {
            let named: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for (_, slot) in self.by_id.iter().filter(|(id, _)| !named.contains(id)) {
                self.slots[*slot].endpoint.state = EndpointState::Gone;
            }
        }
        for entry in entries {
            let slot = match self.by_id.get(&entry.server) {
                Some(&slot) if entry.started_at <= self.slots[slot].endpoint.started_at => {
                    self.slots[slot].endpoint = entry.clone();
                    slot
                }
                _ => self.insert(start(entry)),
            };
            let kind = &self.kinds[entry.kind.0];
            let server = &mut self.slots[slot];
            (server.role, server.memory) = (kind.role, kind.memory_tokens.max(1.0));
            server.weight = match self.weights {
                Weights::Size => entry.weight.max(1e-3),
                Weights::Unused => 1.0,
            };
        }
    }

    fn drop_gone(&mut self) {
        let (slots, free) = (&self.slots, &mut self.free);
        self.by_id.retain(|_, slot| {
            let server = &slots[*slot];
            let stays = server.endpoint.state != EndpointState::Gone || !server.out.is_empty();
            if !stays {
                free.push(*slot);
            }
            stays
        });
    }

    fn insert(&mut self, mut server: Server) -> Slot {
        self.generations += 1;
        server.generation = self.generations;
        let id = server.endpoint.server;
        if let Some(&slot) = self.by_id.get(&id) {
            self.slots[slot] = server;
            return slot;
        }
        let slot = self.free.pop().unwrap_or(self.slots.len());
        match self.slots.get_mut(slot) {
            Some(freed) => *freed = server,
            None => self.slots.push(server),
        }
        self.by_id.insert(id, slot);
        slot
    }

    /// Makes the index anew where a list has come since, or a server has got warm.
    pub fn refresh(&mut self, now: Nanos) {
        if self.stale || now >= self.index.holds_until {
            let servers = self.by_id.values().map(|slot| (*slot, &self.slots[*slot]));
            let before = std::mem::take(&mut self.index);
            self.index = Index::new(now, servers, self.ring_points, before);
            self.stale = false;
        }
    }

    /// The index as of the last [`Fleet::refresh`].
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Ready servers of a role in one cell.
    pub fn cell(&self, cell: CellId, role: Role) -> &Members {
        self.index.cell(cell, role)
    }

    /// Servers that decisions have looked at so far.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// Counts servers that are looked at.
    fn count(&self, servers: usize) {
        self.examined.set(self.examined.get() + servers as u64);
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.by_id.get(&id).map(|slot| &self.slots[*slot])
    }

    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        let slot = self.by_id.get(&id)?;
        self.slots.get_mut(*slot)
    }

    pub fn slot(&self, id: ServerId) -> Option<Slot> {
        self.by_id.get(&id).copied()
    }

    pub fn at(&self, slot: Slot) -> &Server {
        &self.slots[slot]
    }

    /// All servers, by their names.
    pub fn values(&self) -> impl Iterator<Item = &Server> + Clone {
        self.by_id.values().map(|slot| &self.slots[*slot])
    }

    /// All servers from one name on, by their names.
    pub fn values_from(&self, first: ServerId) -> impl Iterator<Item = &Server> {
        self.by_id.range(first..).map(|(_, slot)| &self.slots[*slot])
    }
}

impl Lookup<ServerId> for Fleet {
    type Output = Server;

    fn index(&self, id: ServerId) -> &Server {
        &self.slots[self.by_id[&id]]
    }
}
