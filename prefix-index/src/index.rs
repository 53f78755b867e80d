//! From block hashes to the servers that have them cached.
//!
//! Most blocks are cached by the same few servers as their neighbours, so a block stores the id of a set, and each set is
//! stored once: 12 bytes for each block and its hash, at the load that the table has. A server that restarts gets a new
//! slot in the sets; what it had under the old one is out of sight at once, and swept later.

use crate::BlockHash;
use crate::server_sets::{EMPTY_SET, ServerSets, ServerSlot, SetChange, SetId};
use petrelshore::interface::ServerId;
use std::collections::BTreeMap;
use std::ops::Range;

/// Marks a block that was looked up; it is spared once when room is needed.
const REFERENCED: SetId = 1 << 31;
const INITIAL_CAPACITY: usize = 1 << 10;
/// The highest load of the table, in eighths.
const MAX_LOAD_EIGHTHS: usize = 6;
/// Entries looked at for each one that is evicted, at most.
const MAX_EVICTION_PROBES: usize = 64;
/// A multiplier that spreads hashes over all bits: the golden ratio as a fraction of 2^64.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The size of an index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Blocks in the index.
    pub blocks: usize,
    /// Different sets of servers.
    pub sets: usize,
    /// Memory of the table; sets come on top.
    pub bytes: usize,
    /// Blocks that were evicted for want of room.
    pub evicted: u64,
}

/// How much of a prompt a server has cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PrefixMatch {
    /// The server.
    pub server: ServerId,
    /// Blocks of the prompt, from the first on without a gap.
    pub blocks: usize,
}

/// The blocks of all servers.
#[derive(Debug)]
pub struct Index {
    /// Open addressing with linear probing. A hash of zero is stored as one: at worst one more collision.
    hashes: Vec<u64>,
    sets_of: Vec<SetId>,
    count: usize,
    max_blocks: usize,
    /// Mixed into positions in the table, so that nobody can choose hashes that collide.
    hash_seed: u64,
    sets: ServerSets,
    slots: BTreeMap<ServerId, ServerSlot>,
    /// By slot; none for one that is being swept.
    servers: Vec<Option<ServerId>>,
    free_slots: Vec<ServerSlot>,
    /// Slots to be swept, by this sweep and by the next.
    sweeping: Vec<ServerSlot>,
    swept_next: Vec<ServerSlot>,
    sweep_at: usize,
    /// The hand of the clock algorithm by which blocks are evicted.
    clock_hand: usize,
    evicted: u64,
}

impl Index {
    /// An index of at most so many blocks; `seed` is the gateway's own.
    pub fn new(max_blocks: usize, seed: u64) -> Self {
        Index {
            hashes: vec![0; INITIAL_CAPACITY],
            sets_of: vec![EMPTY_SET; INITIAL_CAPACITY],
            count: 0,
            max_blocks: max_blocks.max(1),
            hash_seed: seed | 1,
            sets: ServerSets::default(),
            slots: BTreeMap::new(),
            servers: Vec::new(),
            free_slots: Vec::new(),
            sweeping: Vec::new(),
            swept_next: Vec::new(),
            sweep_at: 0,
            clock_hand: 0,
            evicted: 0,
        }
    }

    /// A server has cached a block. False where there are more servers than the index can tell apart.
    pub fn insert(&mut self, server: ServerId, block: BlockHash) -> bool {
        let Some(slot) = self.slot(server) else { return false };
        let hash = stored_hash(block);
        let at = self.find(hash).unwrap_or_else(|_| self.insert_entry(hash));
        let before = self.sets_of[at];
        let set = self.sets.changed(before & !REFERENCED, SetChange::Insert(slot));
        self.set_servers(at, set, before & REFERENCED);
        true
    }

    /// A server has evicted a block.
    pub fn remove(&mut self, server: ServerId, block: BlockHash) {
        let Some(slot) = self.slots.get(&server).copied() else { return };
        let Ok(at) = self.find(stored_hash(block)) else { return };
        let before = self.sets_of[at];
        let set = self.sets.changed(before & !REFERENCED, SetChange::Remove(slot));
        self.set_servers(at, set, before & REFERENCED);
        if set == EMPTY_SET {
            self.erase(at);
        }
    }

    /// A server has nothing cached any more: it cleared its cache, restarted, or left. Costs the same however much it
    /// had.
    pub fn clear(&mut self, server: ServerId) {
        if let Some(slot) = self.slots.remove(&server) {
            self.servers[usize::from(slot)] = None;
            self.swept_next.push(slot);
        }
    }

    /// For each server that has the first block cached, how many of the chain's blocks it has without a gap, as far as
    /// the blocks looked up show: a server that has a block is taken to have all before it. In no order of servers, but
    /// the same one for the same history.
    pub fn matches(&mut self, chain: &[BlockHash]) -> Vec<PrefixMatch> {
        let mut matches = Vec::new();
        if let Some(first) = chain.first() {
            let holders = self.holders(*first).to_vec();
            self.match_range(chain, 0..chain.len(), holders, &mut matches);
        }
        matches
    }

    /// `holders` have the block at the start of `range`; finds for each the last block of the range that it has. Halves
    /// the range as long as holders differ, so that a long chain costs few lookups.
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
        let (reaching, short) = partition_by_membership(holders, middle_holders);
        self.match_range(chain, start..middle, short, matches);
        self.match_range(chain, middle..end, reaching, matches);
    }

    /// The slots of the servers that have a block.
    fn holders(&mut self, block: BlockHash) -> &[ServerSlot] {
        let Ok(at) = self.find(stored_hash(block)) else { return &[] };
        self.sets_of[at] |= REFERENCED;
        self.sets.members(self.sets_of[at] & !REFERENCED)
    }

    /// Sweeps what cleared servers had, looking at so many entries. True while there is more to do.
    pub fn sweep(&mut self, max_entries: usize) -> bool {
        if self.sweeping.is_empty() {
            if self.swept_next.is_empty() {
                return false;
            }
            (self.sweeping, self.sweep_at) = (std::mem::take(&mut self.swept_next), 0);
        }
        for _ in 0..max_entries {
            if self.sweep_at >= self.hashes.len() {
                self.free_slots.append(&mut self.sweeping);
                return !self.swept_next.is_empty();
            }
            // Where an entry is erased another may move to its position, which is looked at next.
            if !self.sweep_entry(self.sweep_at) {
                self.sweep_at += 1;
            }
        }
        true
    }

    /// Takes slots that are swept out of an entry. True where it was erased.
    fn sweep_entry(&mut self, at: usize) -> bool {
        if self.hashes[at] == 0 {
            return false;
        }
        let before = self.sets_of[at];
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

    /// The size that the index has come to.
    pub fn size(&self) -> Size {
        let entry_bytes = size_of::<u64>() + size_of::<SetId>();
        Size {
            blocks: self.count,
            sets: self.sets.len(),
            bytes: self.hashes.len() * entry_bytes,
            evicted: self.evicted,
        }
    }

    /// The slot of a server, a new one where it has none; none where all are in use.
    fn slot(&mut self, server: ServerId) -> Option<ServerSlot> {
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

    /// Gives an entry another set, with the mark of a lookup or without.
    fn set_servers(&mut self, at: usize, set: SetId, referenced: SetId) {
        let before = self.sets_of[at] & !REFERENCED;
        if before != set {
            self.sets.acquire(set);
            self.sets.release(before);
        }
        self.sets_of[at] = set | referenced;
    }

    /// Where the search for a hash begins.
    fn home_position(&self, hash: u64) -> usize {
        let mixed = (hash ^ self.hash_seed).wrapping_mul(HASH_MULTIPLIER);
        (mixed >> 32) as usize & (self.hashes.len() - 1)
    }

    /// Where a hash is, or where it would go.
    fn find(&self, hash: u64) -> Result<usize, usize> {
        let mut at = self.home_position(hash);
        loop {
            match self.hashes[at] {
                0 => return Err(at),
                there if there == hash => return Ok(at),
                _ => at = (at + 1) & (self.hashes.len() - 1),
            }
        }
    }

    /// Takes an entry out and closes the gap, so that every other is still found.
    fn erase(&mut self, at: usize) {
        let mask = self.hashes.len() - 1;
        let (mut gap, mut next) = (at, (at + 1) & mask);
        self.set_servers(at, EMPTY_SET, 0);
        while self.hashes[next] != 0 {
            let home = self.home_position(self.hashes[next]);
            // It may move back unless its home is after the gap.
            if (next.wrapping_sub(home) & mask) >= (next.wrapping_sub(gap) & mask) {
                (self.hashes[gap], self.sets_of[gap]) = (self.hashes[next], self.sets_of[next]);
                // An entry that moves back past the sweep must not be missed by it: its slots are given out again.
                self.sweep_at = self.sweep_at.min(gap);
                gap = next;
            }
            next = (next + 1) & mask;
        }
        (self.hashes[gap], self.sets_of[gap]) = (0, EMPTY_SET);
        self.count -= 1;
    }

    /// Adds an entry without servers, and returns its position.
    fn insert_entry(&mut self, hash: u64) -> usize {
        self.make_room();
        let at = self.find(hash).unwrap_or_else(|free| free);
        (self.hashes[at], self.sets_of[at]) = (hash, EMPTY_SET);
        self.count += 1;
        at
    }

    fn make_room(&mut self) {
        if self.count >= self.max_blocks {
            self.evict_one();
        } else if (self.count + 1) * 8 > self.hashes.len() * MAX_LOAD_EIGHTHS {
            self.grow();
        }
    }

    /// Evicts a block that nobody has looked up since the hand last passed it.
    fn evict_one(&mut self) {
        let mut probes = 0;
        loop {
            self.clock_hand = (self.clock_hand + 1) & (self.hashes.len() - 1);
            if self.hashes[self.clock_hand] == 0 {
                continue;
            }
            probes += 1;
            if self.sets_of[self.clock_hand] & REFERENCED != 0 && probes < MAX_EVICTION_PROBES {
                self.sets_of[self.clock_hand] &= !REFERENCED;
                continue;
            }
            self.erase(self.clock_hand);
            self.evicted += 1;
            return;
        }
    }

    fn grow(&mut self) {
        let size = self.hashes.len() * 2;
        let hashes = std::mem::replace(&mut self.hashes, vec![0; size]);
        let sets = std::mem::replace(&mut self.sets_of, vec![EMPTY_SET; size]);
        for (hash, set) in hashes.into_iter().zip(sets).filter(|(hash, _)| *hash != 0) {
            let at = self.find(hash).unwrap_or_else(|free| free);
            (self.hashes[at], self.sets_of[at]) = (hash, set);
        }
        // Positions have changed: a sweep under way starts over.
        self.sweep_at = 0;
    }
}

/// The hash by which a block is stored: zero marks a free position.
fn stored_hash(block: BlockHash) -> u64 {
    block.0.max(1)
}

/// The slots that are among others, and those that are not; all are in ascending order.
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
