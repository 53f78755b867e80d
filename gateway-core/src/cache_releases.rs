//! Pending release requests: KV caches that prefill servers hold and that no attempt will fetch any more.
//!
//! Rule 5 gives a release little time, and a message can get lost, so each is sent again until its prefill server has
//! answered. A prefill server that can't be reached is sent the request for as long as it may still hold the KV cache:
//! prefill servers drop what nobody fetched after a time of their own.
//!
//! A cancelled prefill may still arrive at its server after the release request did, as the two use different
//! connections. Its server then answers that it holds nothing, and holds a KV cache a moment later. So for such a
//! prefill an answer settles nothing until the prefill can no longer be in transit, and the request is sent again often
//! enough for the rule.
//!
//! A release request releases everything that is held for its request id. So while a sequence has an attempt in flight
//! none is sent for it: pending ones are revoked, and added again once no attempt is in flight.

use petrelshore::interface::{Nanos, ServerId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The first wait for an answer is this part of the time that the rule allows; each next one is twice as long.
const INITIAL_ANSWER_TIMEOUT_DIVISOR: u64 = 4;
/// The longest wait for an answer.
const MAX_ANSWER_TIMEOUT: Nanos = 5_000_000_000;
/// The longest wait while a cancelled prefill may be in transit, as a part of the time that the rule allows.
const MAX_IN_TRANSIT_TIMEOUT_DIVISOR: u64 = 2;
/// How much longer each wait is than the one before.
const BACKOFF_FACTOR: u64 = 2;
/// After this long a KV cache counts as dropped by its prefill server.
const ABANDON_AFTER: Nanos = 60_000_000_000;
/// The most releases that are pending at once: beyond it the oldest is abandoned.
const MAX_PENDING: usize = 10_000;
/// How many relays at once are sent a release request that its prefill server does not answer.
const MAX_RELAYS: usize = 3;
/// Each next relay is sent the request after this part of the time for an answer, while the earlier ones are awaited.
const RELAY_INTERVAL_DIVISOR: u64 = 2;
/// For how long a cancelled prefill may still arrive at its server.
const MAX_TRANSIT_TIME: Nanos = 2_000_000_000;
/// Connections reserved for release requests, beyond one for each sequence in flight.
pub const RELEASE_CONNECTIONS: usize = 8;

/// What is known of a KV cache that is to be released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheState {
    /// The prefill server has said that it holds it.
    Held,
    /// Its prefill was cancelled: it may be held, never be held, or be held a moment later.
    Uncertain,
}

/// The result of a release request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The prefill server answered it.
    Acknowledged,
    /// The prefill server is known to run no more, or is not known any more.
    ServerGone,
}

/// A release request: tells a prefill server to release what it holds for a request id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheRelease {
    /// The prefill server.
    pub server: ServerId,
    /// The request id.
    pub request_id: String,
}

struct PendingRelease {
    added_at: Nanos,
    /// Answers before this settle nothing.
    settles_from: Nanos,
    next_send_at: Nanos,
    answer_timeout: Nanos,
    retries: usize,
}

/// All pending releases of a gateway.
pub struct CacheReleases {
    release_timeout: Nanos,
    pending: BTreeMap<CacheRelease, PendingRelease>,
    send_queue: BTreeSet<(Nanos, CacheRelease)>,
    abandoned: u64,
}

impl CacheReleases {
    /// Without any pending release; `release_timeout` is the time in which a KV cache must be released.
    pub fn new(release_timeout: Nanos) -> Self {
        CacheReleases { release_timeout, pending: BTreeMap::new(), send_queue: BTreeSet::new(), abandoned: 0 }
    }

    /// Adds a release that is sent now, whatever was sent before: a second prefill may have left another KV cache.
    pub fn add(&mut self, now: Nanos, release: &CacheRelease, state: CacheState) {
        self.remove(release);
        if self.pending.len() >= MAX_PENDING {
            self.abandon_oldest();
        }
        let answer_timeout = self.answer_timeout();
        let next_send_at = now + answer_timeout;
        let settles_from = match state {
            CacheState::Held => now,
            CacheState::Uncertain => now.saturating_add(MAX_TRANSIT_TIME),
        };
        self.send_queue.insert((next_send_at, release.clone()));
        let pending =
            PendingRelease { added_at: now, settles_from, next_send_at, answer_timeout, retries: 0 };
        self.pending.insert(release.clone(), pending);
    }

    /// Revokes all pending releases of a request id: the prefill servers that may still hold something.
    pub fn revoke(&mut self, request_id: &str) -> Vec<ServerId> {
        let revoked: Vec<CacheRelease> =
            self.pending.keys().filter(|release| release.request_id == request_id).cloned().collect();
        revoked.iter().for_each(|release| self.remove(release));
        revoked.into_iter().map(|release| release.server).collect()
    }

    /// The prefill server has answered, or is known to run no more.
    pub fn finished(&mut self, now: Nanos, release: &CacheRelease, outcome: ReleaseOutcome) {
        let too_early = self.pending.get(release).is_some_and(|pending| now < pending.settles_from);
        if outcome == ReleaseOutcome::ServerGone || !too_early {
            self.remove(release);
        }
    }

    fn remove(&mut self, release: &CacheRelease) {
        if let Some(pending) = self.pending.remove(release) {
            self.send_queue.remove(&(pending.next_send_at, release.clone()));
        }
    }

    /// How long a prefill server may take to answer before it is sent the request again.
    pub fn answer_timeout(&self) -> Nanos {
        (self.release_timeout / INITIAL_ANSWER_TIMEOUT_DIVISOR).max(1)
    }

    /// How long an answer is awaited before the next relay is sent the request as well.
    pub fn relay_interval(&self) -> Nanos {
        (self.answer_timeout() / RELAY_INTERVAL_DIVISOR).max(1)
    }

    /// The servers that relay a request to a prefill server that can't be reached. Of the ready servers, each given with
    /// when it was last heard from, the most recently heard ones; others with each retry, since those may be lost too.
    pub fn relays(&self, release: &CacheRelease, ready: &[(Nanos, ServerId)]) -> Vec<ServerId> {
        let mut candidates: Vec<_> =
            ready.iter().filter(|(_, server)| *server != release.server).copied().collect();
        candidates.sort_unstable_by_key(|(last_response_at, server)| (Reverse(*last_response_at), *server));
        let retries = self.pending.get(release).map_or(0, |pending| pending.retries);
        let first = retries.saturating_mul(MAX_RELAYS) % candidates.len().max(1);
        candidates.rotate_left(first);
        candidates.into_iter().take(MAX_RELAYS).map(|(_, server)| server).collect()
    }

    /// When [`CacheReleases::on_timeout`] next has something to do.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.send_queue.first().map(|(at, _)| *at)
    }

    /// The releases to be sent again by now.
    pub fn on_timeout(&mut self, now: Nanos) -> Vec<CacheRelease> {
        let mut due = Vec::new();
        while let Some((at, release)) = self.send_queue.first().cloned().filter(|(at, _)| *at <= now) {
            self.send_queue.remove(&(at, release.clone()));
            let Some(pending) = self.pending.get_mut(&release) else { continue };
            if now >= pending.added_at.saturating_add(ABANDON_AFTER) {
                self.pending.remove(&release);
                self.abandoned += 1;
                continue;
            }
            pending.schedule_retry(now, self.release_timeout);
            self.send_queue.insert((pending.next_send_at, release.clone()));
            due.push(release);
        }
        due
    }

    /// Since when a release is pending.
    pub fn pending_since(&self, release: &CacheRelease) -> Option<Nanos> {
        self.pending.get(release).map(|pending| pending.added_at)
    }

    /// Number of pending releases.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// How many were abandoned without an answer.
    pub fn abandoned(&self) -> u64 {
        self.abandoned
    }

    fn abandon_oldest(&mut self) {
        let oldest = self.pending.iter().min_by_key(|(_, pending)| pending.added_at);
        if let Some(release) = oldest.map(|(release, _)| release.clone()) {
            self.remove(&release);
            self.abandoned += 1;
        }
    }
}

impl PendingRelease {
    /// Sets when the request is sent next.
    fn schedule_retry(&mut self, now: Nanos, release_timeout: Nanos) {
        // A cancelled prefill may arrive at any time yet, and the rule's time for its KV cache starts then.
        let max_timeout = if now < self.settles_from {
            release_timeout / MAX_IN_TRANSIT_TIMEOUT_DIVISOR
        } else {
            MAX_ANSWER_TIMEOUT
        };
        self.answer_timeout = (self.answer_timeout * BACKOFF_FACTOR).min(max_timeout);
        self.retries += 1;
        self.next_send_at = now + self.answer_timeout;
    }
}
