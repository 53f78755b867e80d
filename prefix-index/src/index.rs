//! A hash table that maps each block hash to the set of servers that have the block cached.
//!
//! Most blocks are cached by the same few servers as their neighbours, so an entry stores the id of a set, and each
//! distinct set is stored once. An entry takes 12 bytes, for the hash and the set id; the free positions of the table
//! come on top. A server that is cleared gets a new slot in the sets when it caches blocks again. Lookups ignore the
//! old slot at once, and a sweep removes it from the sets later.

use crate::BlockHash;
use crate::server_sets::{EMPTY_SET, ServerSets, ServerSlot, SetChange, SetId};
use petrelshore::interface::ServerId;
use std::collections::BTreeMap;
use std::ops::Range;

/// Bit of an entry's set id that marks a block as looked up. The eviction spares a marked block once and clears
/// the mark.
const REFERENCED: SetId = 1 << 31;
const INITIAL_CAPACITY: usize = 1 << 10;
/// The maximum load factor of the table, in eighths.
const MAX_LOAD_EIGHTHS: usize = 6;
/// The maximum number of entries that are examined to evict one entry.
const MAX_EVICTION_PROBES: usize = 64;
/// Multiplier of Fibonacci hashing, which spreads hashes over all bits: 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The size of an index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// The number of blocks in the index.
    pub blocks: usize,
    /// The number of distinct sets of servers.
    pub sets: usize,
    /// The memory of the table in bytes, without the sets.
    pub bytes: usize,
    /// The number of blocks evicted so far because the index was full.
    pub evicted: u64,
}

/// The cached prefix of a prompt on one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PrefixMatch {
    /// The server that has the prefix cached.
    pub server: ServerId,
    /// The length of the cached prefix, in blocks.
    pub blocks: usize,
}

/// The cached blocks of all servers.
#[derive(Debug)]
pub struct Index {
    /// The hash at each position of the table, which uses open addressing with linear probing. Zero marks a free
    /// position. A hash of zero is stored as one, which causes at most one additional collision.
    hashes: Vec<u64>,
    /// The set id at each position of the table, with the mark [`REFERENCED`].
    set_ids: Vec<SetId>,
    block_count: usize,
    max_blocks: usize,
    /// Mixed into the home position of each hash, so that nobody can choose hashes that collide.
    hash_seed: u64,
    sets: ServerSets,
    slots: BTreeMap<ServerId, ServerSlot>,
    /// The server of each slot; `None` for a slot that is free or still has to be swept.
    servers: Vec<Option<ServerId>>,
    free_slots: Vec<ServerSlot>,
    /// Slots that the current sweep removes from the sets.
    sweeping: Vec<ServerSlot>,
    /// Slots that were cleared since the current sweep began, for the next sweep.
    next_sweep: Vec<ServerSlot>,
    /// The position of the table that the current sweep examines next.
    sweep_position: usize,
    /// The position of the hand of the clock algorithm, which selects the blocks to evict.
    clock_hand: usize,
    evicted: u64,
}

impl Index {
    /// Creates an index of at most `max_blocks` blocks. `seed` is specific to the gateway.
    pub fn new(max_blocks: usize, seed: u64) -> Self {
        Index {
            hashes: vec![0; INITIAL_CAPACITY],
            set_ids: vec![EMPTY_SET; INITIAL_CAPACITY],
            block_count: 0,
            max_blocks: max_blocks.max(1),
            hash_seed: seed | 1,
            sets: ServerSets::default(),
            slots: BTreeMap::new(),
            servers: Vec::new(),
            free_slots: Vec::new(),
            sweeping: Vec::new(),
            next_sweep: Vec::new(),
            sweep_position: 0,
            clock_hand: 0,
            evicted: 0,
        }
    }

    /// Records that a server has cached a block. Returns false if all server slots are in use.
    pub fn insert(&mut self, server: ServerId, block: BlockHash) -> bool {
        let Some(slot) = self.slot_or_assign(server) else { return false };
        let hash = stored_hash(block);
        let at = self.find(hash).unwrap_or_else(|_| self.insert_entry(hash));
        let before = self.set_ids[at];
        let set = self.sets.changed(before & !REFERENCED, SetChange::Insert(slot));
        self.set_servers(at, set, before & REFERENCED);
        true
    }

    /// Records that a server has evicted a block.
    pub fn remove(&mut self, server: ServerId, block: BlockHash) {
        let Some(slot) = self.slots.get(&server).copied() else { return };
        let Ok(at) = self.find(stored_hash(block)) else { return };
        let before = self.set_ids[at];
        let set = self.sets.changed(before & !REFERENCED, SetChange::Remove(slot));
        self.set_servers(at, set, before & REFERENCED);
        if set == EMPTY_SET {
            self.erase(at);
        }
    }

    /// Records that a server has nothing cached any more, because it cleared its cache, restarted or left. The cost
    /// does not depend on the number of blocks that the server had cached.
    pub fn clear(&mut self, server: ServerId) {
        if let Some(slot) = self.slots.remove(&server) {
            self.servers[usize::from(slot)] = None;
            self.next_sweep.push(slot);
        }
    }

    /// Returns the length of the cached prefix for each server that has the first block of the chain cached. The search
    /// does not look up every block: it assumes that a server that has a block also has all blocks before it. The order
    /// of the servers is unspecified, but is the same for the same sequence of calls.
    pub fn matches(&mut self, chain: &[BlockHash]) -> Vec<PrefixMatch> {
        let mut matches = Vec::new();
        if let Some(first) = chain.first() {
            let holders = self.holders(*first).to_vec();
            self.match_range(chain, 0..chain.len(), holders, &mut matches);
        }
        matches
    }

    /// Finds the last block of `range` that each of `holders` has. All `holders` have the block at the start of
    /// `range`. The search is binary and splits the holders where their prefixes differ, so that a long chain needs few
    /// lookups.
    fn match_range(
        &mut self,
        chain: &[BlockHash],
        range: Range<usize>,
        holders: Vec<ServerSlot>,
        matches: &mut Vec<PrefixMatch>,
    ) {
        let Range { start, end } = range;
        if holders.is_empty() {
            return;
        }
        if start + 1 >= end {
            let servers = holders.iter().filter_map(|slot| self.servers[usize::from(*slot)]);
            matches.extend(servers.map(|server| PrefixMatch { server, blocks: start + 1 }));
            return;
        }
        let middle = start + (end - start) / 2;
        let middle_holders = self.holders(chain[middle]);
        if middle_holders == holders.as_slice() {
            return self.match_range(chain, middle..end, holders, matches);
        }
        if middle_holders.is_empty() {
            return self.match_range(chain, start..middle, holders, matches);
        }
        let (holding, lacking) = partition_by_membership(holders, middle_holders);
        self.match_range(chain, start..middle, lacking, matches);
        self.match_range(chain, middle..end, holding, matches);
    }

    /// Returns the slots of the servers that have a block, and marks the block as looked up.
    fn holders(&mut self, block: BlockHash) -> &[ServerSlot] {
        let Ok(at) = self.find(stored_hash(block)) else { return &[] };
        self.set_ids[at] |= REFERENCED;
        self.sets.members(self.set_ids[at] & !REFERENCED)
    }

    /// Removes the slots of cleared servers from the sets of at most `max_entries` table positions. Returns true if
    /// there is more to sweep.
    pub fn sweep(&mut self, max_entries: usize) -> bool {
        if self.sweeping.is_empty() {
            if self.next_sweep.is_empty() {
                return false;
            }
            (self.sweeping, self.sweep_position) = (std::mem::take(&mut self.next_sweep), 0);
        }
        for _ in 0..max_entries {
            if self.sweep_position >= self.hashes.len() {
                self.free_slots.append(&mut self.sweeping);
                return !self.next_sweep.is_empty();
            }
            // After an entry is erased, another entry may have moved to its position, so the position is examined
            // again.
            if !self.sweep_entry(self.sweep_position) {
                self.sweep_position += 1;
            }
        }
        true
    }

    /// Removes the slots of the current sweep from the set of an entry. Returns true if the entry was erased.
    fn sweep_entry(&mut self, at: usize) -> bool {
        if self.hashes[at] == 0 {
            return false;
        }
        let before = self.set_ids[at];
        let mut set = before & !REFERENCED;
        for &slot in &self.sweeping {
            set = self.sets.changed(set, SetChange::Remove(slot));
        }
        if set != before & !REFERENCED {
            self.set_servers(at, set, before & REFERENCED);
        }
        if set == EMPTY_SET {
            self.erase(at);
        }
        set == EMPTY_SET
    }

    /// Returns the current size of the index.
    pub fn size(&self) -> Size {
        let entry_bytes = size_of::<u64>() + size_of::<SetId>();
        Size {
            blocks: self.block_count,
            sets: self.sets.len(),
            bytes: self.hashes.len() * entry_bytes,
            evicted: self.evicted,
        }
    }

    /// Returns the slot of a server, and assigns a slot if the server has none. Returns `None` if all slots are in use.
    fn slot_or_assign(&mut self, server: ServerId) -> Option<ServerSlot> {
        if let Some(slot) = self.slots.get(&server) {
            return Some(*slot);
        }
        let slot = match self.free_slots.pop() {
            Some(slot) => slot,
            None => {
                let slot = ServerSlot::try_from(self.servers.len()).ok()?;
                self.servers.push(None);
                slot
            }
        };
        self.servers[usize::from(slot)] = Some(server);
        self.slots.insert(server, slot);
        Some(slot)
    }

    /// Replaces the set of an entry. `referenced` is [`REFERENCED`] or zero.
    fn set_servers(&mut self, at: usize, set: SetId, referenced: SetId) {
        let before = self.set_ids[at] & !REFERENCED;
        if before != set {
            self.sets.acquire(set);
            self.sets.release(before);
        }
        self.set_ids[at] = set | referenced;
    }

    /// Returns the position at which the search for a hash begins.
    fn home_position(&self, hash: u64) -> usize {
        let mixed = (hash ^ self.hash_seed).wrapping_mul(HASH_MULTIPLIER);
        (mixed >> 32) as usize & (self.hashes.len() - 1)
    }

    /// Returns the position of a hash, or as an error the free position at which it would be inserted.
    fn find(&self, hash: u64) -> Result<usize, usize> {
        let mut at = self.home_position(hash);
        loop {
            match self.hashes[at] {
                0 => return Err(at),
                stored if stored == hash => return Ok(at),
                _ => at = (at + 1) & (self.hashes.len() - 1),
            }
        }
    }

    /// Erases an entry and moves later entries back to close the gap, so that every other entry is still found.
    fn erase(&mut self, at: usize) {
        let mask = self.hashes.len() - 1;
        let (mut gap, mut next) = (at, (at + 1) & mask);
        self.set_servers(at, EMPTY_SET, 0);
        while self.hashes[next] != 0 {
            let home = self.home_position(self.hashes[next]);
            // The entry may move back into the gap unless its home position is after the gap.
            if (next.wrapping_sub(home) & mask) >= (next.wrapping_sub(gap) & mask) {
                (self.hashes[gap], self.set_ids[gap]) = (self.hashes[next], self.set_ids[next]);
                // The sweep must not miss an entry that moves back past its position: the swept slots are reassigned to
                // other servers.
                self.sweep_position = self.sweep_position.min(gap);
                gap = next;
            }
            next = (next + 1) & mask;
        }
        (self.hashes[gap], self.set_ids[gap]) = (0, EMPTY_SET);
        self.block_count -= 1;
    }

    /// Inserts an entry with the empty set and returns its position.
    fn insert_entry(&mut self, hash: u64) -> usize {
        self.make_room();
        let at = self.find(hash).unwrap_or_else(|free| free);
        (self.hashes[at], self.set_ids[at]) = (hash, EMPTY_SET);
        self.block_count += 1;
        at
    }

    fn make_room(&mut self) {
        if self.block_count >= self.max_blocks {
            self.evict_one();
        } else if (self.block_count + 1) * 8 > self.hashes.len() * MAX_LOAD_EIGHTHS {
            self.grow();
        }
    }

    /// Evicts a block that was not looked up since the clock hand last passed it, or any block after
    /// [`MAX_EVICTION_PROBES`] probes.
    fn evict_one(&mut self) {
        let mut probes = 0;
        loop {
            self.clock_hand = (self.clock_hand + 1) & (self.hashes.len() - 1);
            if self.hashes[self.clock_hand] == 0 {
                continue;
            }
            probes += 1;
            if self.set_ids[self.clock_hand] & REFERENCED != 0 && probes < MAX_EVICTION_PROBES {
                self.set_ids[self.clock_hand] &= !REFERENCED;
                continue;
            }
            self.erase(self.clock_hand);
            self.evicted += 1;
            return;
        }
    }

    fn grow(&mut self) {
        let capacity = self.hashes.len() * 2;
        let hashes = std::mem::replace(&mut self.hashes, vec![0; capacity]);
        let sets = std::mem::replace(&mut self.set_ids, vec![EMPTY_SET; capacity]);
        for (hash, set) in hashes.into_iter().zip(sets).filter(|(hash, _)| *hash != 0) {
            let at = self.find(hash).unwrap_or_else(|free| free);
            (self.hashes[at], self.set_ids[at]) = (hash, set);
        }
        // Entries have moved to other positions, so the current sweep starts over.
        self.sweep_position = 0;
    }
}

/// Returns the hash under which a block is stored, which is never zero because zero marks a free position.
fn stored_hash(block: BlockHash) -> u64 {
    block.0.max(1)
}

/// Splits `slots` into the slots that are in `others` and the slots that are not. All lists are in ascending order.
fn partition_by_membership(
    slots: Vec<ServerSlot>,
    others: &[ServerSlot],
) -> (Vec<ServerSlot>, Vec<ServerSlot>) {
    let mut others = others.iter().copied().peekable();
    slots.into_iter().partition(|slot| {
        while others.next_if(|other| other < slot).is_some() {}
        others.peek() == Some(slot)
    })
}
