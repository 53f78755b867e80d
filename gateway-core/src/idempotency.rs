//! Final answers by idempotency key: a client that repeats a request gets the answer that its first one got.
//!
//! This is rule 2 as a client sees it: work that may have run is not run again because its answer got lost on the way.
//! While the first request is in flight, a repeat is rejected. Once it was completed or aborted, a repeat within the
//! window gets that same answer; an abort is repeated as an abort, since what ran is not known. After a rejection
//! nothing has run, and a repeat is a new request. The same key with another request is an error of the client.

use petrelshore::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How long answers are kept where the traffic type has no window of its own, in nanoseconds.
pub const DEFAULT_WINDOW: Nanos = 60_000_000_000;
/// Bytes of text kept for all keys together.
const MAX_TEXT_BYTES: usize = 32 << 20;
/// Bytes of text kept for one key.
const MAX_TEXT_BYTES_PER_KEY: usize = 1 << 20;
/// Completed keys that are kept, whatever their texts.
const MAX_KEYS: usize = 100_000;

/// An idempotency key, which belongs to a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// The tenant, by a name that no other has.
    pub tenant: String,
    /// The key that the tenant chose.
    pub key: String,
}

/// How a request with a key ended. `E` is the final answer of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletedRequest<E> {
    /// Its answer is kept.
    Answered {
        /// All text of the answer.
        text: Rc<str>,
        /// The final answer.
        end: E,
    },
    /// Its text was too large to keep: the answer can't be repeated, and the request must not run again.
    TooLarge,
}

/// What the store knows of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus<E> {
    /// Nothing; its request is in flight from now on.
    New,
    /// Its first request is still in flight.
    InFlight,
    /// Its first request has ended.
    Completed(CompletedRequest<E>),
    /// The key belongs to another request.
    DifferentRequest,
}

struct CompletedEntry<E> {
    fingerprint: u64,
    expires_at: Nanos,
    text_bytes: usize,
    request: CompletedRequest<E>,
}

enum Entry<E> {
    InFlight { fingerprint: u64 },
    Completed(CompletedEntry<E>),
}

impl<E> Entry<E> {
    fn fingerprint(&self) -> u64 {
        match self {
            Entry::InFlight { fingerprint } => *fingerprint,
            Entry::Completed(completed) => completed.fingerprint,
        }
    }
}

/// Requests in flight and completed ones, by their idempotency keys.
pub struct IdempotencyStore<E> {
    entries: BTreeMap<IdempotencyKey, Entry<E>>,
    /// When completed keys expire, in the order of their completion.
    completed: VecDeque<(Nanos, IdempotencyKey)>,
    text_bytes: usize,
}

impl<E: Clone> Default for IdempotencyStore<E> {
    fn default() -> Self {
        IdempotencyStore { entries: BTreeMap::new(), completed: VecDeque::new(), text_bytes: 0 }
    }
}

impl<E: Clone> IdempotencyStore<E> {
    /// A request with a key has come; `fingerprint` identifies what it asks for.
    pub fn begin(&mut self, now: Nanos, key: &IdempotencyKey, fingerprint: u64) -> KeyStatus<E> {
        self.drop_expired(now);
        match self.entries.get(key) {
            None => {
                self.entries.insert(key.clone(), Entry::InFlight { fingerprint });
                KeyStatus::New
            }
            Some(entry) if entry.fingerprint() != fingerprint => KeyStatus::DifferentRequest,
            Some(Entry::InFlight { .. }) => KeyStatus::InFlight,
            Some(Entry::Completed(completed)) => KeyStatus::Completed(completed.request.clone()),
        }
    }

    /// A request in flight ended without having run, or was never admitted: its key is free again.
    pub fn remove(&mut self, key: &IdempotencyKey) {
        if matches!(self.entries.get(key), Some(Entry::InFlight { .. })) {
            self.entries.remove(key);
        }
    }

    /// A request in flight has ended, and may have run. Its answer is kept for `window`.
    pub fn complete(&mut self, now: Nanos, key: &IdempotencyKey, text: &str, end: E, window: Nanos) {
        let Some(Entry::InFlight { fingerprint }) = self.entries.get(key) else { return };
        let fingerprint = *fingerprint;
        let (text_bytes, request) = if text.len() <= MAX_TEXT_BYTES_PER_KEY {
            (text.len(), CompletedRequest::Answered { text: Rc::from(text), end })
        } else {
            (0, CompletedRequest::TooLarge)
        };
        let expires_at = now.saturating_add(window);
        let entry = CompletedEntry { fingerprint, expires_at, text_bytes, request };
        self.text_bytes += text_bytes;
        self.entries.insert(key.clone(), Entry::Completed(entry));
        self.completed.push_back((expires_at, key.clone()));
        self.enforce_limits();
    }

    /// Bytes of text that are kept.
    pub fn bytes(&self) -> usize {
        self.text_bytes
    }

    /// Keys that are known.
    pub fn keys(&self) -> usize {
        self.entries.len()
    }

    /// Drops expired keys. Windows differ, so that the oldest may hold up an expired one behind it for a while.
    fn drop_expired(&mut self, now: Nanos) {
        while self.completed.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.drop_oldest();
        }
    }

    /// Past the memory limit texts are dropped, the oldest first; that their keys have run is remembered for longer.
    fn enforce_limits(&mut self) {
        for (_, key) in &self.completed {
            if self.text_bytes <= MAX_TEXT_BYTES {
                break;
            }
            if let Some(Entry::Completed(completed)) = self.entries.get_mut(key) {
                self.text_bytes -= std::mem::take(&mut completed.text_bytes);
                completed.request = CompletedRequest::TooLarge;
            }
        }
        while self.completed.len() > MAX_KEYS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((expires_at, key)) = self.completed.pop_front() else { return };
        if let Some(Entry::Completed(completed)) = self.entries.get(&key)
            && completed.expires_at == expires_at
        {
            self.text_bytes -= completed.text_bytes;
            self.entries.remove(&key);
        }
    }
}
