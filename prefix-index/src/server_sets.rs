//! Interned sets of servers: each distinct set is stored once, regardless of the number of blocks that use it.

use std::collections::HashMap;

/// Represents a server in sets. The slot of a cleared server is free again after a full sweep of the index.
pub(crate) type ServerSlot = u16;
/// The id of a set.
pub(crate) type SetId = u32;

/// The id of the empty set.
pub(crate) const EMPTY_SET: SetId = 0;

/// A change that derives one set from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SetChange {
    /// Insert a slot.
    Insert(ServerSlot),
    /// Remove a slot.
    Remove(ServerSlot),
}

/// A change of a set, with the resulting set.
#[derive(Debug)]
struct Transition {
    from: SetId,
    change: SetChange,
    to: SetId,
}

/// Sets of slots, each with the number of blocks that use it.
#[derive(Debug, Default)]
pub(crate) struct ServerSets {
    /// The slots of each set in ascending order, by set id.
    members: Vec<Box<[ServerSlot]>>,
    /// The number of blocks that use each set, by set id.
    use_counts: Vec<u64>,
    free_ids: Vec<SetId>,
    by_members: HashMap<Box<[ServerSlot]>, SetId>,
    /// The last change, cached because neighbouring blocks usually change in the same way.
    last_transition: Option<Transition>,
}

impl ServerSets {
    /// Returns the slots of a set, in ascending order.
    pub(crate) fn members(&self, set: SetId) -> &[ServerSlot] {
        self.members.get(set as usize).map_or(&[], |members| members)
    }

    /// Returns the number of nonempty sets in use.
    pub(crate) fn len(&self) -> usize {
        self.by_members.len()
    }

    /// Returns the set that results from a change of `set`, which itself stays as it is.
    pub(crate) fn changed(&mut self, set: SetId, change: SetChange) -> SetId {
        if let Some(last) = &self.last_transition
            && (last.from, last.change) == (set, change)
            && self.is_in_use(last.to)
        {
            return last.to;
        }
        let mut members = self.members(set).to_vec();
        match change {
            SetChange::Insert(slot) => match members.binary_search(&slot) {
                Ok(_) => return set,
                Err(at) => members.insert(at, slot),
            },
            SetChange::Remove(slot) => match members.binary_search(&slot) {
                Ok(at) => drop(members.remove(at)),
                Err(_) => return set,
            },
        }
        let to = self.intern(members.into_boxed_slice());
        self.last_transition = Some(Transition { from: set, change, to });
        to
    }

    fn is_in_use(&self, set: SetId) -> bool {
        self.use_counts.get(set as usize).is_some_and(|uses| set == EMPTY_SET || *uses > 0)
    }

    /// Returns the id of the set with these members, and creates the set if there is none.
    fn intern(&mut self, members: Box<[ServerSlot]>) -> SetId {
        if members.is_empty() {
            return EMPTY_SET;
        }
        if let Some(known) = self.by_members.get(&members) {
            return *known;
        }
        if self.members.is_empty() {
            // The id of the empty set has to be the first.
            self.push(Box::default());
        }
        let id = self.free_ids.pop().unwrap_or(self.members.len() as SetId);
        if id as usize == self.members.len() {
            self.push(members.clone());
        } else {
            self.members[id as usize] = members.clone();
        }
        self.by_members.insert(members, id);
        id
    }

    fn push(&mut self, members: Box<[ServerSlot]>) {
        self.members.push(members);
        self.use_counts.push(0);
    }

    /// Increments the number of blocks that use a set.
    pub(crate) fn acquire(&mut self, set: SetId) {
        if set != EMPTY_SET {
            self.use_counts[set as usize] += 1;
        }
    }

    /// Decrements the number of blocks that use a set, and frees the set when no block uses it.
    pub(crate) fn release(&mut self, set: SetId) {
        if set == EMPTY_SET {
            return;
        }
        let uses = &mut self.use_counts[set as usize];
        *uses = uses.saturating_sub(1);
        if *uses == 0 {
            let members = std::mem::take(&mut self.members[set as usize]);
            self.by_members.remove(&members);
            self.free_ids.push(set);
            self.last_transition = None;
        }
    }
}
