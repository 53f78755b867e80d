//! Where a sequence may have left a read state: what is to be let go once nothing will take it.
//!
//! A read that was broken off may have ended well just then, and its state be left at its reader like any other. So
//! every ending of a read but those that prove it never ran counts as one that left something.

use crate::attempt_outcome::AttemptEnd;
use crate::cache_releases::CacheState;
use petrelshore::interface::ServerId;

/// The readers of one sequence that may hold something for it.
#[derive(Clone, Debug, Default)]
pub struct CacheLeases {
    at: Vec<(ServerId, CacheState)>,
}

impl CacheLeases {
    /// A read has ended, as its socket showed.
    pub fn prefill_ended(&mut self, server: ServerId, ending: AttemptEnd) {
        let state = match ending {
            AttemptEnd::PrefillDone { .. } => CacheState::Held,
            _ if ending.proves_not_run() => return,
            _ => CacheState::Uncertain,
        };
        self.at.retain(|(reader, _)| *reader != server);
        self.at.push((server, state));
    }

    /// A writer has taken the state from that reader, or has found that it is not there any more. What other readers
    /// hold of reads whose writers broke stays.
    pub fn cache_fetched(&mut self, from: Option<ServerId>) {
        self.at.retain(|(reader, state)| *state != CacheState::Held || Some(*reader) != from);
    }

    /// What was to be let go of there is not for now: it may be there.
    pub fn release_revoked(&mut self, reader: ServerId) {
        if self.at.iter().all(|(at, _)| *at != reader) {
            self.at.push((reader, CacheState::Uncertain));
        }
    }

    /// What reads that were broken off may have left, to be let go while no attempt is out.
    pub fn take_uncertain(&mut self) -> Vec<(ServerId, CacheState)> {
        let left = self.at.iter().copied().filter(|(_, state)| *state == CacheState::Uncertain).collect();
        self.at.retain(|(_, state)| *state == CacheState::Held);
        left
    }

    /// All of it.
    pub fn take_all(&mut self) -> Vec<(ServerId, CacheState)> {
        std::mem::take(&mut self.at)
    }
}

#[cfg(test)]
mod tests;
