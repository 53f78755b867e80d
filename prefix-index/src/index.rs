//! From block hashes to the servers that hold them.
//!
//! Most blocks are held by the same few servers as their neighbours, so a block keeps the number of a set, and sets
//! are kept once: 12 bytes for each block and its hash, at the load that the table has. A server that starts anew gets
//! a new place in the sets; what it held under the old one is out of sight at once, and swept away later.

use crate::BlockHash;
use petrelshore::interface::ServerId;
use std::collections::{BTreeMap, HashMap};

/// Places that sets can name; those of servers that started anew are free again after a whole sweep.
type Place = u16;
type SetId = u32;

const EMPTY: SetId = 0;
/// A looked-up block is marked by this bit, and passed by once when room is needed.
const USED: SetId = 1 << 31;
const SMALLEST: usize = 1 << 10;
/// The fullest that the table gets, in eighths.
const FULL: usize = 6;
/// Entries looked at for each one that must go, at the most.
const LOOKS: usize = 64;

/// Sets of places, each kept once, with how many blocks use it.
#[derive(Debug, Default)]
struct Sets {
    members: Vec<Box<[Place]>>,
    uses: Vec<u64>,
    free: Vec<SetId>,
    by_members: HashMap<Box<[Place]>, SetId>,
    /// The last change of a set: neighbours change alike.
    last: Option<(SetId, Place, bool, SetId)>,
}

impl Sets {
    fn members(&self, set: SetId) -> &[Place] {
        self.members.get(set as usize).map_or(&[], |members| members)
    }

    /// The set with a place put in or taken out.
    fn changed(&mut self, set: SetId, place: Place, put: bool) -> SetId {
        if let Some((from, of, same, to)) = self.last
            && (from, of, same) == (set, place, put)
            && self.uses.get(to as usize).is_some_and(|uses| to == EMPTY || *uses > 0)
        {
            return to;
        }
        let mut members = self.members(set).to_vec();
        match (members.binary_search(&place), put) {
            (Err(at), true) => members.insert(at, place),
            (Ok(at), false) => {
                members.remove(at);
            }
            _ => return set,
        }
        let to = self.of(members.into_boxed_slice());
        self.last = Some((set, place, put, to));
        to
    }

    fn of(&mut self, members: Box<[Place]>) -> SetId {
        if members.is_empty() {
            return EMPTY;
        }
        if let Some(known) = self.by_members.get(&members) {
            return *known;
        }
        if self.members.is_empty() {
            self.members.push(Box::default());
            self.uses.push(0);
        }
        let id = self.free.pop().unwrap_or(self.members.len() as SetId);
        if id as usize == self.members.len() {
            self.members.push(members.clone());
            self.uses.push(0);
        } else {
            self.members[id as usize] = members.clone();
        }
        self.by_members.insert(members, id);
        id
    }

    fn uses(&mut self, set: SetId, more: bool) {
        if set == EMPTY {
            return;
        }
        let uses = &mut self.uses[set as usize];
        *uses = if more { *uses + 1 } else { uses.saturating_sub(1) };
        if *uses == 0 {
            let members = std::mem::take(&mut self.members[set as usize]);
            self.by_members.remove(&members);
            self.free.push(set);
            self.last = None;
        }
    }
}

/// What the index has come to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    pub blocks: usize,
    pub sets: usize,
    /// Of the table; sets come on top.
    pub bytes: usize,
    /// Blocks that were dropped for want of room.
    pub dropped: u64,
}

#[derive(Debug)]
pub struct Index {
    /// Open addressing with steps of one. A hash of zero is kept as one: at worst one more collision.
    hashes: Vec<u64>,
    sets_of: Vec<SetId>,
    count: usize,
    most: usize,
    /// Mixed into places in the table, so that nobody can claim hashes that fall together.
    mix: u64,
    sets: Sets,
    places: BTreeMap<ServerId, Place>,
    /// By place; none for one that is being swept away.
    servers: Vec<Option<ServerId>>,
    spare: Vec<Place>,
    /// Places to be swept away, by this sweep and by the next.
    sweeping: Vec<Place>,
    swept_next: Vec<Place>,
    sweep_at: usize,
    hand: usize,
    dropped: u64,
}

impl Index {
    /// An index of at most so many blocks; `seed` is the gateway's own.
    pub fn new(most: usize, seed: u64) -> Self {
        Index {
            hashes: vec![0; SMALLEST],
            sets_of: vec![EMPTY; SMALLEST],
            count: 0,
            most: most.max(1),
            mix: seed | 1,
            sets: Sets::default(),
            places: BTreeMap::new(),
            servers: Vec::new(),
            spare: Vec::new(),
            sweeping: Vec::new(),
            swept_next: Vec::new(),
            sweep_at: 0,
            hand: 0,
            dropped: 0,
        }
    }

    /// A server holds a block. False where there are more servers than the index can tell apart.
    pub fn stored(&mut self, server: ServerId, block: BlockHash) -> bool {
        let Some(place) = self.place(server) else { return false };
        let hash = block.0.max(1);
        let at = match self.find(hash) {
            Ok(at) => at,
            Err(_) => {
                self.make_room();
                let at = self.find(hash).unwrap_or_else(|free| free);
                (self.hashes[at], self.sets_of[at]) = (hash, EMPTY);
                self.count += 1;
                at
            }
        };
        let of = self.sets_of[at];
        let set = self.sets.changed(of & !USED, place, true);
        self.put(at, set, of & USED);
        true
    }

    /// A server holds a block no more.
    pub fn removed(&mut self, server: ServerId, block: BlockHash) {
        let Some(place) = self.places.get(&server).copied() else { return };
        let Ok(at) = self.find(block.0.max(1)) else { return };
        let of = self.sets_of[at];
        let set = self.sets.changed(of & !USED, place, false);
        self.put(at, set, of & USED);
        if set == EMPTY {
            self.erase(at);
        }
    }

    /// A server holds nothing any more: it cleared its cache, started anew, or left. Costs the same however much it
    /// held.
    pub fn cleared(&mut self, server: ServerId) {
        if let Some(place) = self.places.remove(&server) {
            self.servers[usize::from(place)] = None;
            self.swept_next.push(place);
        }
    }

    /// For each server that holds the first block, how many of the chain's blocks it holds without a gap, as far as
    /// the blocks looked at tell: a server that holds a block is taken to hold all before it. In no order of servers,
    /// but the same one for the same history.
    pub fn held(&mut self, chain: &[BlockHash]) -> Vec<(ServerId, usize)> {
        let mut depths = Vec::new();
        if let Some(first) = chain.first() {
            let holders: Vec<Place> = self.holders(*first).to_vec();
            self.narrow(chain, 0, chain.len(), holders, &mut depths);
        }
        depths
    }

    /// `holders` hold the block before `from + 1`; finds for each how far it goes, below `to`. Halves the chain as
    /// long as holders differ, so that a long chain costs few looks.
    fn narrow(
        &mut self,
        chain: &[BlockHash],
        from: usize,
        to: usize,
        holders: Vec<Place>,
        depths: &mut Vec<(ServerId, usize)>,
    ) {
        if holders.is_empty() {
            return;
        }
        if from + 1 >= to {
            let servers = holders.iter().filter_map(|place| self.servers[usize::from(*place)]);
            depths.extend(servers.map(|server| (server, from + 1)));
            return;
        }
        let middle = from + (to - from) / 2;
        let there = self.holders(chain[middle]);
        if there == holders.as_slice() {
            return self.narrow(chain, middle, to, holders, depths);
        }
        if there.is_empty() {
            return self.narrow(chain, from, middle, holders, depths);
        }
        let (on, back) = parted(holders, there);
        self.narrow(chain, from, middle, back, depths);
        self.narrow(chain, middle, to, on, depths);
    }

    fn holders(&mut self, block: BlockHash) -> &[Place] {
        let Ok(at) = self.find(block.0.max(1)) else { return &[] };
        self.sets_of[at] |= USED;
        self.sets.members(self.sets_of[at] & !USED)
    }

    /// Sweeps away what servers held that are gone, looking at so many entries. True while there is more to do.
    pub fn sweep(&mut self, looks: usize) -> bool {
        if self.sweeping.is_empty() {
            if self.swept_next.is_empty() {
                return false;
            }
            (self.sweeping, self.sweep_at) = (std::mem::take(&mut self.swept_next), 0);
        }
        for _ in 0..looks {
            if self.sweep_at >= self.hashes.len() {
                self.spare.append(&mut self.sweeping);
                return !self.swept_next.is_empty();
            }
            // An entry that is erased has another moved to its place, which is looked at next.
            if !self.strip(self.sweep_at) {
                self.sweep_at += 1;
            }
        }
        true
    }

    /// Takes places that are swept away out of an entry. True where it was erased.
    fn strip(&mut self, at: usize) -> bool {
        if self.hashes[at] == 0 {
            return false;
        }
        let of = self.sets_of[at];
        let mut set = of & !USED;
        for place in self.sweeping.clone() {
            set = self.sets.changed(set, place, false);
        }
        if set != of & !USED {
            self.put(at, set, of & USED);
        }
        if set == EMPTY {
            self.erase(at);
        }
        set == EMPTY
    }

    pub fn size(&self) -> Size {
        let entry = size_of::<u64>() + size_of::<SetId>();
        Size {
            blocks: self.count,
            sets: self.sets.by_members.len(),
            bytes: self.hashes.len() * entry,
            dropped: self.dropped,
        }
    }

    fn place(&mut self, server: ServerId) -> Option<Place> {
        if let Some(place) = self.places.get(&server) {
            return Some(*place);
        }
        let place = match self.spare.pop() {
            Some(place) => place,
            None => {
                let place = Place::try_from(self.servers.len()).ok()?;
                self.servers.push(None);
                place
            }
        };
        self.servers[usize::from(place)] = Some(server);
        self.places.insert(server, place);
        Some(place)
    }

    fn put(&mut self, at: usize, set: SetId, used: SetId) {
        let of = self.sets_of[at] & !USED;
        if of != set {
            self.sets.uses(set, true);
            self.sets.uses(of, false);
        }
        self.sets_of[at] = set | used;
    }

    fn start(&self, hash: u64) -> usize {
        let mixed = (hash ^ self.mix).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 32) as usize & (self.hashes.len() - 1)
    }

    /// Where a hash is, or where it would go.
    fn find(&self, hash: u64) -> Result<usize, usize> {
        let mut at = self.start(hash);
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
        self.put(at, EMPTY, 0);
        while self.hashes[next] != 0 {
            let start = self.start(self.hashes[next]);
            // It may move back unless it starts after the gap.
            if (next.wrapping_sub(start) & mask) >= (next.wrapping_sub(gap) & mask) {
                (self.hashes[gap], self.sets_of[gap]) = (self.hashes[next], self.sets_of[next]);
                // An entry that moves back past the sweep must not be missed by it: its places are given out again.
                self.sweep_at = self.sweep_at.min(gap);
                gap = next;
            }
            next = (next + 1) & mask;
        }
        (self.hashes[gap], self.sets_of[gap]) = (0, EMPTY);
        self.count -= 1;
    }

    fn make_room(&mut self) {
        if self.count >= self.most {
            self.drop_one();
        } else if (self.count + 1) * 8 > self.hashes.len() * FULL {
            self.grow();
        }
    }

    /// Drops a block that nobody has looked up since the hand last passed it.
    fn drop_one(&mut self) {
        let mut looks = 0;
        loop {
            self.hand = (self.hand + 1) & (self.hashes.len() - 1);
            if self.hashes[self.hand] == 0 {
                continue;
            }
            looks += 1;
            if self.sets_of[self.hand] & USED != 0 && looks < LOOKS {
                self.sets_of[self.hand] &= !USED;
                continue;
            }
            self.erase(self.hand);
            self.dropped += 1;
            return;
        }
    }

    fn grow(&mut self) {
        let size = self.hashes.len() * 2;
        let hashes = std::mem::replace(&mut self.hashes, vec![0; size]);
        let sets = std::mem::replace(&mut self.sets_of, vec![EMPTY; size]);
        for (hash, set) in hashes.into_iter().zip(sets).filter(|(hash, _)| *hash != 0) {
            let at = self.find(hash).unwrap_or_else(|free| free);
            (self.hashes[at], self.sets_of[at]) = (hash, set);
        }
        // Positions have changed: a sweep under way begins anew.
        self.sweep_at = 0;
    }
}

/// Those of some places that are among others, and those that are not; all in order.
fn parted(places: Vec<Place>, others: &[Place]) -> (Vec<Place>, Vec<Place>) {
    let mut others = others.iter().copied().peekable();
    places.into_iter().partition(|place| {
        while others.next_if(|other| other < place).is_some() {}
        others.peek() == Some(place)
    })
}
