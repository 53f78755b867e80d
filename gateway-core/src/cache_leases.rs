//! Where a sequence may have left a read state: what is to be let go once nothing will take it.
//!
//! A read that was broken off may have ended well just then, and its state be left at its reader like any other. So
//! every ending of a read but those that prove it never ran counts as one that left something.

use crate::attempt_outcome::Ending;
use crate::cache_releases::State;
use petrelshore::interface::ServerId;

/// The readers of one sequence that may hold something for it.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    at: Vec<(ServerId, State)>,
}

impl Leases {
    /// A read has ended, as its socket showed.
    pub fn read_ended(&mut self, server: ServerId, ending: Ending) {
        let state = match ending {
            Ending::ReadDone { .. } => State::Held,
            _ if ending.proves_unrun() => return,
            _ => State::CutOff,
        };
        self.at.retain(|(reader, _)| *reader != server);
        self.at.push((server, state));
    }

    /// A writer has taken the state from that reader, or has found that it is not there any more. What other readers
    /// hold of reads whose writers broke stays.
    pub fn state_gone(&mut self, from: Option<ServerId>) {
        self.at.retain(|(reader, state)| *state != State::Held || Some(*reader) != from);
    }

    /// What was to be let go of there is not for now: it may be there.
    pub fn owed_again(&mut self, reader: ServerId) {
        if self.at.iter().all(|(at, _)| *at != reader) {
            self.at.push((reader, State::CutOff));
        }
    }

    /// What reads that were broken off may have left, to be let go while no attempt is out.
    pub fn cut_off(&mut self) -> Vec<(ServerId, State)> {
        let left = self.at.iter().copied().filter(|(_, state)| *state == State::CutOff).collect();
        self.at.retain(|(_, state)| *state == State::Held);
        left
    }

    /// All of it.
    pub fn all(&mut self) -> Vec<(ServerId, State)> {
        std::mem::take(&mut self.at)
    }
}

#[cfg(test)]
mod tests;
