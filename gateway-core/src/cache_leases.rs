//! Tracks which prefill servers may hold a KV cache for one sequence. These KV caches have to be released once no
//! attempt will fetch them.
//!
//! A prefill may complete just as the gateway cancels it, and its server then holds a KV cache. So every ended prefill
//! counts as one that left a KV cache, unless its end proves that it never ran.

use crate::attempt_outcome::AttemptEnd;
use crate::cache_releases::CacheState;
use petrelshore::interface::ServerId;

/// The prefill servers that may hold a KV cache for one sequence.
#[derive(Clone, Debug, Default)]
pub struct CacheLeases {
    leases: Vec<(ServerId, CacheState)>,
}

impl CacheLeases {
    /// Records how a prefill ended.
    pub fn prefill_ended(&mut self, server: ServerId, end: AttemptEnd) {
        let state = match end {
            AttemptEnd::PrefillDone { .. } => CacheState::Held,
            _ if end.proves_not_run() => return,
            _ => CacheState::Uncertain,
        };
        self.leases.retain(|(holder, _)| *holder != server);
        self.leases.push((server, state));
    }

    /// Records that a decode server has fetched the KV cache from the prefill server `from`, or has found that the KV
    /// cache is no longer there. KV caches on other prefill servers, whose decode servers failed, are still held.
    pub fn cache_fetched(&mut self, from: Option<ServerId>) {
        self.leases.retain(|(holder, state)| *state != CacheState::Held || Some(*holder) != from);
    }

    /// Records that a pending release at a prefill server was revoked, so the server may still hold the KV cache.
    pub fn release_revoked(&mut self, server: ServerId) {
        if self.leases.iter().all(|(holder, _)| *holder != server) {
            self.leases.push((server, CacheState::Uncertain));
        }
    }

    /// Removes and returns the leases that cancelled prefills may have left. The caller releases them while no attempt
    /// is in flight.
    pub fn take_uncertain(&mut self) -> Vec<(ServerId, CacheState)> {
        let uncertain =
            self.leases.iter().copied().filter(|(_, state)| *state == CacheState::Uncertain).collect();
        self.leases.retain(|(_, state)| *state == CacheState::Held);
        uncertain
    }

    /// Removes and returns all leases.
    pub fn take_all(&mut self) -> Vec<(ServerId, CacheState)> {
        std::mem::take(&mut self.leases)
    }
}

#[cfg(test)]
mod tests;
