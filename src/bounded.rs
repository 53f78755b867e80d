//! A hash table of bounded size: when it is full, a new key evicts the least recently written entry.

use foldhash::HashMap;
use std::collections::BTreeMap;
use std::hash::Hash;

struct Entry<V> {
    value: V,
    /// The sequence number of the last write to the entry.
    last_write: u64,
}

/// A hash table of bounded size. Evictions and iteration follow the order of writes, so no result depends on the order
/// of hashes.
pub struct BoundedTable<K, V> {
    max_entries: usize,
    entries: HashMap<K, Entry<V>>,
    /// Keys by the sequence numbers of their last writes.
    by_last_write: BTreeMap<u64, K>,
    /// The number of writes so far.
    writes: u64,
}

impl<K: Copy + Eq + Hash, V> BoundedTable<K, V> {
    /// An empty table that holds up to `max_entries` entries, but at least one.
    pub fn new(max_entries: usize) -> Self {
        BoundedTable {
            max_entries: max_entries.max(1),
            entries: HashMap::default(),
            by_last_write: BTreeMap::new(),
            writes: 0,
        }
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Returns the value of a key for writing, and inserts the value of `new` first if the key is absent.
    pub fn entry_or_insert_with(&mut self, key: K, new: impl FnOnce() -> V) -> &mut V {
        let last_write = self.record_write(key);
        let entry = self.entries.entry(key).or_insert_with(|| Entry { value: new(), last_write });
        entry.last_write = last_write;
        &mut entry.value
    }

    /// Sets the value of a key.
    pub fn insert(&mut self, key: K, value: V) {
        let last_write = self.record_write(key);
        self.entries.insert(key, Entry { value, last_write });
    }

    /// Makes a key the most recently written one and returns the sequence number of the write. If the key is new and
    /// the table is full, the least recently written entry is evicted.
    fn record_write(&mut self, key: K) -> u64 {
        if let Some(known) = self.entries.get(&key) {
            self.by_last_write.remove(&known.last_write);
        } else if self.entries.len() >= self.max_entries
            && let Some((_, oldest)) = self.by_last_write.pop_first()
        {
            self.entries.remove(&oldest);
        }
        self.writes += 1;
        self.by_last_write.insert(self.writes, key);
        self.writes
    }

    /// All values, the least recently written first.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.by_last_write.values().filter_map(|key| self.get(key))
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
