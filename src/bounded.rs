//! A table with a bound: past it the entry that was written longest ago leaves.

use foldhash::HashMap;
use std::collections::BTreeMap;
use std::hash::Hash;

struct Entry<V> {
    value: V,
    written: u64,
}

/// Looked up by hash, ordered by age alone, so that nothing depends on the order of hashes.
pub struct BoundedTable<K, V> {
    most: usize,
    entries: HashMap<K, Entry<V>>,
    by_age: BTreeMap<u64, K>,
    writes: u64,
}

impl<K: Copy + Eq + Hash, V> BoundedTable<K, V> {
    /// Holds so many entries at the most, one at the least.
    pub fn new(most: usize) -> Self {
        BoundedTable { most: most.max(1), entries: HashMap::default(), by_age: BTreeMap::new(), writes: 0 }
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// The entry of a key to be written, made anew where there is none.
    pub fn entry_or_insert_with(&mut self, key: K, new: impl FnOnce() -> V) -> &mut V {
        let written = self.write(key);
        let entry = self.entries.entry(key).or_insert_with(|| Entry { value: new(), written });
        entry.written = written;
        &mut entry.value
    }

    pub fn insert(&mut self, key: K, value: V) {
        let written = self.write(key);
        self.entries.insert(key, Entry { value, written });
    }

    /// Counts a key as written now. Where it is new and the table full, the oldest entry leaves.
    fn write(&mut self, key: K) -> u64 {
        if let Some(known) = self.entries.get(&key) {
            self.by_age.remove(&known.written);
        } else if self.entries.len() >= self.most
            && let Some((_, oldest)) = self.by_age.pop_first()
        {
            self.entries.remove(&oldest);
        }
        self.writes += 1;
        self.by_age.insert(self.writes, key);
        self.writes
    }

    /// All values, the one written longest ago first.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.by_age.values().filter_map(|key| self.get(key))
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
