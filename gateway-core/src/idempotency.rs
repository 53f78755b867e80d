//! Stores final answers by idempotency key: a client that repeats a request gets the answer to its first request again.
//!
//! This keeps rule 2 for retries by clients: work that may have run is not run again because its answer was lost on the
//! way to the client. While the first request is in flight, a repeated request is rejected. Once the first request was
//! completed or aborted, a repeated request within the window gets the same answer. An abort is repeated as an abort,
//! since the gateway does not know what ran. After a rejection nothing has run, so a repeated request is a new request.
//! A different request with the same key is an error of the client.
//!
//! A key can be in flight for a later request while an earlier one with the same key still has its answer read: after a
//! rejection, or once the window is over. So each change of a key names its request, and changes nothing if the key is in
//! flight for another one.

use petrelshore::interface::{Nanos, SequenceId};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Time for which answers are stored if the traffic type has no window of its own, in nanoseconds.
pub const DEFAULT_WINDOW: Nanos = 60_000_000_000;
/// The maximum size of the stored texts of all keys, in bytes.
const MAX_TEXT_BYTES: usize = 32 << 20;
/// The maximum size of the stored text of one key, in bytes.
const MAX_TEXT_BYTES_PER_KEY: usize = 1 << 20;
/// The maximum number of completed keys, with or without a stored text.
const MAX_KEYS: usize = 100_000;

/// An idempotency key, which belongs to a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// A text that identifies the tenant. No other tenant has the same text.
    pub tenant: String,
    /// The key, as chosen by the tenant.
    pub key: String,
}

/// A request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRequest {
    /// The key.
    pub key: IdempotencyKey,
    /// The request, which no other request has the id of.
    pub id: SequenceId,
}

/// The result of a request with a key. `E` is the type of the gateway's final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletedRequest<E> {
    /// The answer is stored.
    Answered {
        /// The full text of the answer.
        text: Rc<str>,
        /// The final answer.
        end: E,
    },
    /// The answer's text is not stored: it exceeded the limit for one key, or was dropped to keep the limit for all
    /// keys. The answer can't be repeated, and the request must not run again.
    AnswerNotStored,
}

/// The status of a key in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus<E> {
    /// The key was unknown. Its request counts as in flight from now on.
    New,
    /// The first request with the key is still in flight.
    InFlight,
    /// The first request with the key has ended.
    Completed(CompletedRequest<E>),
    /// The key belongs to a different request.
    DifferentRequest,
}

struct CompletedEntry<E> {
    fingerprint: u64,
    expires_at: Nanos,
    text_bytes: usize,
    request: CompletedRequest<E>,
}

enum Entry<E> {
    InFlight { fingerprint: u64, id: SequenceId },
    Completed(CompletedEntry<E>),
}

impl<E> Entry<E> {
    fn fingerprint(&self) -> u64 {
        match self {
            Entry::InFlight { fingerprint, .. } => *fingerprint,
            Entry::Completed(completed) => completed.fingerprint,
        }
    }
}

/// Requests in flight and completed ones, by their idempotency keys.
pub struct IdempotencyStore<E> {
    entries: BTreeMap<IdempotencyKey, Entry<E>>,
    /// The expiry times of completed keys, in the order of their completion.
    completed: VecDeque<(Nanos, IdempotencyKey)>,
    text_bytes: usize,
}

impl<E: Clone> Default for IdempotencyStore<E> {
    fn default() -> Self {
        IdempotencyStore { entries: BTreeMap::new(), completed: VecDeque::new(), text_bytes: 0 }
    }
}

impl<E: Clone> IdempotencyStore<E> {
    /// Looks up the key of a new request, and registers an unknown key. `fingerprint` identifies the request's content.
    pub fn begin(&mut self, now: Nanos, request: &KeyedRequest, fingerprint: u64) -> KeyStatus<E> {
        self.drop_expired(now);
        match self.entries.get(&request.key) {
            None => {
                let entry = Entry::InFlight { fingerprint, id: request.id };
                self.entries.insert(request.key.clone(), entry);
                KeyStatus::New
            }
            Some(entry) if entry.fingerprint() != fingerprint => KeyStatus::DifferentRequest,
            Some(Entry::InFlight { .. }) => KeyStatus::InFlight,
            Some(Entry::Completed(completed)) => KeyStatus::Completed(completed.request.clone()),
        }
    }

    /// Removes the key of a request that was never admitted or ended without having run, so the key can be used again.
    pub fn remove(&mut self, request: &KeyedRequest) {
        if self.fingerprint_in_flight(request).is_some() {
            self.entries.remove(&request.key);
        }
    }

    /// The fingerprint of a request, if its key is in flight for this request.
    fn fingerprint_in_flight(&self, request: &KeyedRequest) -> Option<u64> {
        match self.entries.get(&request.key) {
            Some(Entry::InFlight { fingerprint, id }) if *id == request.id => Some(*fingerprint),
            _ => None,
        }
    }

    /// Records that a request in flight has ended and may have run. Its answer is stored for `window` nanoseconds.
    pub fn complete(&mut self, now: Nanos, request: &KeyedRequest, text: &str, end: E, window: Nanos) {
        let Some(fingerprint) = self.fingerprint_in_flight(request) else { return };
        let key = &request.key;
        let (text_bytes, stored) = if text.len() <= MAX_TEXT_BYTES_PER_KEY {
            (text.len(), CompletedRequest::Answered { text: Rc::from(text), end })
        } else {
            (0, CompletedRequest::AnswerNotStored)
        };
        let expires_at = now.saturating_add(window);
        let entry = CompletedEntry { fingerprint, expires_at, text_bytes, request: stored };
        self.text_bytes += text_bytes;
        self.entries.insert(key.clone(), Entry::Completed(entry));
        self.completed.push_back((expires_at, key.clone()));
        self.enforce_limits();
    }

    /// Total size of the stored texts, in bytes.
    pub fn bytes(&self) -> usize {
        self.text_bytes
    }

    /// Number of keys in the store.
    pub fn keys(&self) -> usize {
        self.entries.len()
    }

    /// Drops expired keys in the order of their completion. Windows differ, so an expired key may be kept until an
    /// older key with a longer window has expired.
    fn drop_expired(&mut self, now: Nanos) {
        while self.completed.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.drop_oldest();
        }
    }

    /// Drops the oldest texts while all texts exceed their size limit, and the oldest keys while there are too many. A
    /// key outlives its dropped text, so that its request does not run again.
    fn enforce_limits(&mut self) {
        for (_, key) in &self.completed {
            if self.text_bytes <= MAX_TEXT_BYTES {
                break;
            }
            if let Some(Entry::Completed(completed)) = self.entries.get_mut(key) {
                self.text_bytes -= std::mem::take(&mut completed.text_bytes);
                completed.request = CompletedRequest::AnswerNotStored;
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
