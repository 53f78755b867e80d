//! A table of bounded size: when it is full, the entry that was written longest ago leaves.

use foldhash::HashMap;
use std::collections::BTreeMap;
use std::hash::Hash;

struct Entry<V> {
    value: V,
    /// The number of its last write.
    written: u64,
}

/// A bounded table. It is looked up by hash, but ordered by age alone, so that nothing depends on the order of hashes.
pub struct BoundedTable<K, V> {
    max_entries: usize,
    entries: HashMap<K, Entry<V>>,
    by_age: BTreeMap<u64, K>,
    writes: u64,
}

impl<K: Copy + Eq + Hash, V> BoundedTable<K, V> {
    /// An empty table of so many entries at most, and of one at least.
    pub fn new(max_entries: usize) -> Self {
        BoundedTable {
            max_entries: max_entries.max(1),
            entries: HashMap::default(),
            by_age: BTreeMap::new(),
            writes: 0,
        }
    }

    /// The value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// The value of a key to be written, made by `new` where there is none.
    pub fn entry_or_insert_with(&mut self, key: K, new: impl FnOnce() -> V) -> &mut V {
        let written = self.record_write(key);
        let entry = self.entries.entry(key).or_insert_with(|| Entry { value: new(), written });
        entry.written = written;
        &mut entry.value
    }

    /// Writes the value of a key.
    pub fn insert(&mut self, key: K, value: V) {
        let written = self.record_write(key);
        self.entries.insert(key, Entry { value, written });
    }

    /// Counts a key as written now. Where it is new and the table full, the oldest entry is removed.
    fn record_write(&mut self, key: K) -> u64 {
        if let Some(known) = self.entries.get(&key) {
            self.by_age.remove(&known.written);
        } else if self.entries.len() >= self.max_entries
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

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
