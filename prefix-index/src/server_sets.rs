//! Sets of servers, each stored once however many blocks use it.

use std::collections::HashMap;

/// The place of a server in sets. Those of servers that were cleared are free again after a full sweep.
pub(crate) type ServerSlot = u16;
/// Identifies a set.
pub(crate) type SetId = u32;

/// The set without members.
pub(crate) const EMPTY_SET: SetId = 0;

/// What is done to a set to get another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SetChange {
    /// Put a slot in.
    Insert(ServerSlot),
    /// Take a slot out.
    Remove(ServerSlot),
}

/// A change of a set and the set it led to.
#[derive(Debug)]
struct Transition {
    from: SetId,
    change: SetChange,
    to: SetId,
}

/// Sets of slots, with how many blocks use each.
#[derive(Debug, Default)]
pub(crate) struct ServerSets {
    members: Vec<Box<[ServerSlot]>>,
    use_counts: Vec<u64>,
    free: Vec<SetId>,
    by_members: HashMap<Box<[ServerSlot]>, SetId>,
    /// The last change: neighbouring blocks change alike.
    last_transition: Option<Transition>,
}

impl ServerSets {
    /// The slots of a set, in order.
    pub(crate) fn members(&self, set: SetId) -> &[ServerSlot] {
        self.members.get(set as usize).map_or(&[], |members| members)
    }

    /// How many sets are in use.
    pub(crate) fn len(&self) -> usize {
        self.by_members.len()
    }

    /// The set that a change leads to.
    pub(crate) fn changed(&mut self, set: SetId, change: SetChange) -> SetId {
        if let Some(last) = &self.last_transition
            && (last.from, last.change) == (set, change)
            && self.is_alive(last.to)
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

    fn is_alive(&self, set: SetId) -> bool {
        self.use_counts.get(set as usize).is_some_and(|uses| set == EMPTY_SET || *uses > 0)
    }

    /// The one set with these members.
    fn intern(&mut self, members: Box<[ServerSlot]>) -> SetId {
        if members.is_empty() {
            return EMPTY_SET;
        }
        if let Some(known) = self.by_members.get(&members) {
            return *known;
        }
        if self.members.is_empty() {
            // The empty set.
            self.push(Box::default());
        }
        let id = self.free.pop().unwrap_or(self.members.len() as SetId);
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

    /// One more block uses a set.
    pub(crate) fn acquire(&mut self, set: SetId) {
        if set != EMPTY_SET {
            self.use_counts[set as usize] += 1;
        }
    }

    /// One block less uses a set, which is freed with its last.
    pub(crate) fn release(&mut self, set: SetId) {
        if set == EMPTY_SET {
            return;
        }
        let uses = &mut self.use_counts[set as usize];
        *uses = uses.saturating_sub(1);
        if *uses == 0 {
            let members = std::mem::take(&mut self.members[set as usize]);
            self.by_members.remove(&members);
            self.free.push(set);
            self.last_transition = None;
        }
    }
}
