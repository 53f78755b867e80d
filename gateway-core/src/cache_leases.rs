//! Which prefill servers may hold a KV cache for one sequence: what is to be released once no attempt will fetch it.
//!
//! A prefill that was cancelled may have completed just then, and its KV cache be held like any other. So every end of
//! a prefill counts as one that left a KV cache, except those that prove that it never ran.

use crate::attempt_outcome::AttemptEnd;
use crate::cache_releases::CacheState;
use petrelshore::interface::ServerId;

/// The prefill servers that may hold a KV cache for one sequence.
#[derive(Clone, Debug, Default)]
pub struct CacheLeases {
    leases: Vec<(ServerId, CacheState)>,
}

impl CacheLeases {
    /// A prefill ended, as its connection showed.
    pub fn prefill_ended(&mut self, server: ServerId, end: AttemptEnd) {
        let state = match end {
            AttemptEnd::PrefillDone { .. } => CacheState::Held,
            _ if end.proves_not_run() => return,
            _ => CacheState::Uncertain,
        };
        self.leases.retain(|(holder, _)| *holder != server);
        self.leases.push((server, state));
    }

    /// A decode server has fetched the KV cache from that prefill server, or found that it is not there any more. What
    /// other prefill servers hold, whose decode servers failed, stays.
    pub fn cache_fetched(&mut self, from: Option<ServerId>) {
        self.leases.retain(|(holder, state)| *state != CacheState::Held || Some(*holder) != from);
    }

    /// A pending release at that prefill server was revoked: its KV cache may still be there.
    pub fn release_revoked(&mut self, server: ServerId) {
        if self.leases.iter().all(|(holder, _)| *holder != server) {
            self.leases.push((server, CacheState::Uncertain));
        }
    }

    /// Takes out what cancelled prefills may have left, to be released while no attempt is in flight.
    pub fn take_uncertain(&mut self) -> Vec<(ServerId, CacheState)> {
        let uncertain =
            self.leases.iter().copied().filter(|(_, state)| *state == CacheState::Uncertain).collect();
        self.leases.retain(|(_, state)| *state == CacheState::Held);
        uncertain
    }

    /// Takes out everything.
    pub fn take_all(&mut self) -> Vec<(ServerId, CacheState)> {
        std::mem::take(&mut self.leases)
    }
}

#[cfg(test)]
mod tests;
