//! Pending release requests for KV caches that prefill servers hold and that no attempt will fetch any more.
//!
//! Rule 5 requires that a KV cache is released within a short time. A message can get lost, so the gateway sends each
//! release request again until its prefill server has answered. It retries a prefill server that can't be reached for
//! as long as the server may still hold the KV cache: prefill servers drop an unfetched KV cache after a timeout of
//! their own.
//!
//! A cancelled prefill and its release request use different connections, so the prefill may arrive at its server after
//! the release request. The server then answers that it holds no KV cache, and holds one a moment later. So for a
//! cancelled prefill no answer completes the release until the prefill can no longer be in transit, and the gateway
//! sends the request again often enough to keep rule 5.
//!
//! A release request releases all KV caches that are held for its request id. So no release request is sent for a
//! sequence that has an attempt in flight: pending releases are revoked, and added again once no attempt is in flight.

use petrelshore::interface::{Nanos, ServerId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The release timeout divided by this is the first timeout for an answer.
const INITIAL_ANSWER_TIMEOUT_DIVISOR: u64 = 4;
/// The longest timeout for an answer, in nanoseconds.
const MAX_ANSWER_TIMEOUT: Nanos = 5_000_000_000;
/// The release timeout divided by this is the longest timeout for an answer while a cancelled prefill may be in
/// transit.
const MAX_IN_TRANSIT_TIMEOUT_DIVISOR: u64 = 2;
/// The timeout for an answer is multiplied by this factor with each retry.
const BACKOFF_FACTOR: u64 = 2;
/// Time after which a release is abandoned, in nanoseconds: by then the prefill server counts as having dropped the KV
/// cache by itself.
const ABANDON_AFTER: Nanos = 60_000_000_000;
/// The maximum number of pending releases; beyond it the oldest is abandoned.
const MAX_PENDING: usize = 10_000;
/// The maximum number of relays that are sent one release request when its prefill server does not answer.
const MAX_RELAYS: usize = 3;
/// The first timeout for an answer divided by this is the delay before the next relay is sent the request as well.
const RELAY_INTERVAL_DIVISOR: u64 = 2;
/// Time for which a cancelled prefill may still arrive at its server, in nanoseconds.
const MAX_TRANSIT_TIME: Nanos = 2_000_000_000;
/// Number of connections reserved for release requests, in addition to one for each sequence in flight.
pub const RELEASE_CONNECTIONS: usize = 8;

/// The gateway's knowledge of a KV cache that is to be released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheState {
    /// The prefill server has answered that it holds the KV cache.
    Held,
    /// The prefill was cancelled: the server may hold the KV cache now, a moment later, or never.
    Uncertain,
}

/// The result of a release request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The prefill server answered the request.
    Acknowledged,
    /// The prefill server is known to have stopped, or the gateway no longer knows it.
    ServerGone,
}

/// A request to a prefill server to release the KV caches that it holds for a request id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheRelease {
    /// The prefill server.
    pub server: ServerId,
    /// The request id.
    pub request_id: String,
}

struct PendingRelease {
    added_at: Nanos,
    /// Answers before this time don't complete the release: the cancelled prefill may still be in transit.
    answers_valid_from: Nanos,
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
    /// Creates an empty collection. `release_timeout` is the time within which a KV cache must be released.
    pub fn new(release_timeout: Nanos) -> Self {
        CacheReleases { release_timeout, pending: BTreeMap::new(), send_queue: BTreeSet::new(), abandoned: 0 }
    }

    /// Adds a release whose first request the caller sends now. A pending release for the same server and request id
    /// starts over, since a second prefill may have left another KV cache.
    pub fn add(&mut self, now: Nanos, release: &CacheRelease, state: CacheState) {
        self.remove(release);
        if self.pending.len() >= MAX_PENDING {
            self.abandon_oldest();
        }
        let answer_timeout = self.answer_timeout();
        let next_send_at = now + answer_timeout;
        let answers_valid_from = match state {
            CacheState::Held => now,
            CacheState::Uncertain => now.saturating_add(MAX_TRANSIT_TIME),
        };
        self.send_queue.insert((next_send_at, release.clone()));
        let pending =
            PendingRelease { added_at: now, answers_valid_from, next_send_at, answer_timeout, retries: 0 };
        self.pending.insert(release.clone(), pending);
    }

    /// Revokes all pending releases of a request id. Returns the prefill servers that may still hold a KV cache.
    pub fn revoke(&mut self, request_id: &str) -> Vec<ServerId> {
        let revoked: Vec<CacheRelease> =
            self.pending.keys().filter(|release| release.request_id == request_id).cloned().collect();
        revoked.iter().for_each(|release| self.remove(release));
        revoked.into_iter().map(|release| release.server).collect()
    }

    /// Records that the prefill server has answered a release request, or is known to have stopped.
    pub fn finished(&mut self, now: Nanos, release: &CacheRelease, outcome: ReleaseOutcome) {
        let prefill_may_be_in_transit =
            self.pending.get(release).is_some_and(|pending| now < pending.answers_valid_from);
        if outcome == ReleaseOutcome::ServerGone || !prefill_may_be_in_transit {
            self.remove(release);
        }
    }

    fn remove(&mut self, release: &CacheRelease) {
        if let Some(pending) = self.pending.remove(release) {
            self.send_queue.remove(&(pending.next_send_at, release.clone()));
        }
    }

    /// Time that a prefill server has to answer the first request before the request is sent again.
    pub fn answer_timeout(&self) -> Nanos {
        (self.release_timeout / INITIAL_ANSWER_TIMEOUT_DIVISOR).max(1)
    }

    /// Time without an answer after which the next relay is sent the request as well.
    pub fn relay_interval(&self) -> Nanos {
        (self.answer_timeout() / RELAY_INTERVAL_DIVISOR).max(1)
    }

    /// The servers that relay a request to a prefill server that can't be reached. `ready` lists the ready servers with
    /// the time of their last response. The servers with the most recent responses are chosen first. Each retry chooses
    /// the next servers, since the earlier relays may be unreachable too.
    pub fn relays(&self, release: &CacheRelease, ready: &[(Nanos, ServerId)]) -> Vec<ServerId> {
        let mut candidates: Vec<_> =
            ready.iter().filter(|(_, server)| *server != release.server).copied().collect();
        candidates.sort_unstable_by_key(|(last_response_at, server)| (Reverse(*last_response_at), *server));
        let retries = self.pending.get(release).map_or(0, |pending| pending.retries);
        let first = retries.saturating_mul(MAX_RELAYS) % candidates.len().max(1);
        candidates.rotate_left(first);
        candidates.into_iter().take(MAX_RELAYS).map(|(_, server)| server).collect()
    }

    /// Time at which [`CacheReleases::on_timeout`] has to be called next; none without a pending release.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.send_queue.first().map(|(at, _)| *at)
    }

    /// Returns the releases whose request has to be sent again now, and abandons those that are too old.
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

    /// The time at which a pending release was added.
    pub fn pending_since(&self, release: &CacheRelease) -> Option<Nanos> {
        self.pending.get(release).map(|pending| pending.added_at)
    }

    /// Number of pending releases.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Number of releases that were abandoned without an answer.
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
    /// Sets the time of the next request, with exponential backoff.
    fn schedule_retry(&mut self, now: Nanos, release_timeout: Nanos) {
        // The cancelled prefill may still arrive at any time, and the release timeout of its KV cache starts then.
        let max_timeout = if now < self.answers_valid_from {
            release_timeout / MAX_IN_TRANSIT_TIMEOUT_DIVISOR
        } else {
            MAX_ANSWER_TIMEOUT
        };
        self.answer_timeout = (self.answer_timeout * BACKOFF_FACTOR).min(max_timeout);
        self.retries += 1;
        self.next_send_at = now + self.answer_timeout;
    }
}
