//! Tracks which prefill servers may hold a KV cache for one sequence. These KV caches have to be released once no
//! attempt will fetch them.
//!
//! A prefill may complete just as the gateway cancels it, and its server then holds a KV cache. So every ended prefill
//! counts as one that left a KV cache, unless its end proves that it never ran.
//!
//! A prefill that was cut off may complete later, even after a second prefill at the same server whose KV cache a decode
//! server has fetched. So one server can have a lease of each state.

use crate::attempt_outcome::AttemptEnd;
use crate::cache_releases::CacheState;
use petrelshore::interface::ServerId;

/// The prefill servers that may hold a KV cache for one sequence.
#[derive(Clone, Debug, Default)]
pub struct CacheLeases {
    leases: Vec<(ServerId, CacheState)>,
}

impl CacheLeases {
    /// Records how a prefill ended. A KV cache that is held replaces one that was held before, but not the lease of a
    /// prefill that was cut off.
    pub fn prefill_ended(&mut self, server: ServerId, end: AttemptEnd) {
        let state = match end {
            AttemptEnd::PrefillDone { .. } => CacheState::Held,
            _ if end.proves_not_run() => return,
            _ => CacheState::Uncertain,
        };
        self.leases.retain(|(holder, known)| {
            let is_other_prefill = state == CacheState::Held && *known == CacheState::Uncertain;
            *holder != server || is_other_prefill
        });
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
    /// is in flight. A lease at a server that also holds a KV cache for the next attempt stays, because a release request
    /// would release both.
    pub fn take_uncertain(&mut self) -> Vec<(ServerId, CacheState)> {
        let holders = self.servers(CacheState::Held);
        let (uncertain, remaining) = std::mem::take(&mut self.leases)
            .into_iter()
            .partition(|(server, state)| *state == CacheState::Uncertain && !holders.contains(server));
        self.leases = remaining;
        uncertain
    }

    /// Removes and returns all leases, one for each server.
    pub fn take_all(&mut self) -> Vec<(ServerId, CacheState)> {
        let uncertain = self.servers(CacheState::Uncertain);
        let mut leases = std::mem::take(&mut self.leases);
        leases.retain(|(server, state)| *state == CacheState::Uncertain || !uncertain.contains(server));
        leases
    }

    /// The servers with a lease of this state.
    fn servers(&self, state: CacheState) -> Vec<ServerId> {
        self.leases.iter().filter(|(_, known)| *known == state).map(|(server, _)| *server).collect()
    }
}

#[cfg(test)]
mod tests;
