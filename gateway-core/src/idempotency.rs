//! Final answers by idempotency key: a client that repeats a request gets the answer its first one got.
//!
//! Rule 2 as a client sees it: work that may have run is not run again because its answer got lost on the way.
//! While a request is in hand, a repeat waits outside. After a generated or aborted end a repeat within the window
//! gets that same end; an abort is repeated as an abort, since what it ran is not known. After a rejection nothing
//! has run, and a repeat is a new request. The same key with another request is a client's mistake and says so.

use petrelshore::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Ends are kept for this long where no traffic type says more; a tokened type's own window comes first.
pub const WINDOW: Nanos = 60_000_000_000;
/// Bytes of text kept for all keys together, and for a single answer.
const BYTES: usize = 32 << 20;
const ONE: usize = 1 << 20;
/// Keys kept, whatever their texts.
const KEYS: usize = 100_000;

/// Whose key it is, and the key.
pub type Key = (String, String);

/// How a request with a key ended. `E` is the front's final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletedRequest<E> {
    /// With its whole text.
    Answered { text: Rc<str>, end: E },
    /// It ended so, but its text was too large to keep: it can't be told again, and must not run again.
    TooLarge,
}

/// What to do with a request that has a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus<E> {
    /// It is new, and now in hand.
    New,
    /// Its first one is still running.
    InFlight,
    /// Its first one ended so.
    Completed(CompletedRequest<E>),
    /// The key stands for another request.
    DifferentRequest,
}

enum Entry<E> {
    InHand { fingerprint: u64 },
    Ended { fingerprint: u64, until: Nanos, bytes: usize, ended: CompletedRequest<E> },
}

pub struct IdempotencyStore<E> {
    entries: BTreeMap<Key, Entry<E>>,
    /// Ended keys, the oldest first.
    order: VecDeque<(Nanos, Key)>,
    bytes: usize,
}

impl<E: Clone> Default for IdempotencyStore<E> {
    fn default() -> Self {
        IdempotencyStore { entries: BTreeMap::new(), order: VecDeque::new(), bytes: 0 }
    }
}

impl<E: Clone> IdempotencyStore<E> {
    /// A request with a key has come; `fingerprint` tells requests apart.
    pub fn begin(&mut self, now: Nanos, key: &Key, fingerprint: u64) -> KeyStatus<E> {
        self.age(now);
        match self.entries.get(key) {
            Some(Entry::InHand { fingerprint: first } | Entry::Ended { fingerprint: first, .. })
                if *first != fingerprint =>
            {
                KeyStatus::DifferentRequest
            }
            Some(Entry::InHand { .. }) => KeyStatus::InFlight,
            Some(Entry::Ended { ended, .. }) => KeyStatus::Completed(ended.clone()),
            None => {
                self.entries.insert(key.clone(), Entry::InHand { fingerprint });
                KeyStatus::New
            }
        }
    }

    /// A request with a key ended with nothing run, or was never taken: the key is free again.
    pub fn remove(&mut self, key: &Key) {
        if matches!(self.entries.get(key), Some(Entry::InHand { .. })) {
            self.entries.remove(key);
        }
    }

    /// A request with a key has ended, and something may have run. It is known for `window`.
    pub fn complete(&mut self, now: Nanos, key: &Key, text: &str, end: E, window: Nanos) {
        let Some(Entry::InHand { fingerprint }) = self.entries.get(key) else { return };
        let fingerprint = *fingerprint;
        let (bytes, ended) = match text.len() <= ONE {
            true => (text.len(), CompletedRequest::Answered { text: Rc::from(text), end }),
            false => (0, CompletedRequest::TooLarge),
        };
        let until = now.saturating_add(window);
        self.bytes += bytes;
        self.entries.insert(key.clone(), Entry::Ended { fingerprint, until, bytes, ended });
        self.order.push_back((until, key.clone()));
        self.bound();
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn keys(&self) -> usize {
        self.entries.len()
    }

    /// Drops what is past its window. Windows differ, so the oldest may outlive one behind it for a while.
    fn age(&mut self, now: Nanos) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_first();
        }
    }

    /// Past its memory it forgets texts, the oldest first, before it forgets that a key has run.
    fn bound(&mut self) {
        let mut at = 0;
        while self.bytes > BYTES && at < self.order.len() {
            if let Some(Entry::Ended { bytes, ended, .. }) = self.entries.get_mut(&self.order[at].1) {
                self.bytes -= std::mem::take(bytes);
                *ended = CompletedRequest::TooLarge;
            }
            at += 1;
        }
        while self.order.len() > KEYS {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some((until, key)) = self.order.pop_front() else { return };
        if let Some(Entry::Ended { until: same, bytes, .. }) = self.entries.get(&key)
            && *same == until
        {
            self.bytes -= bytes;
            self.entries.remove(&key);
        }
    }
}
