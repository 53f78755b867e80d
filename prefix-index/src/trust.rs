//! What was promised against what was found: how far a server's word of what it holds can be relied on.
//!
//! A server that forgets without saying so would draw every turn of a session to it for nothing. So each read that
//! went somewhere for what it should hold is a test of that server's word. A few lies cost it its credit; it comes
//! back only by reads that find what was promised, to which it still gets by chance and by other reasons.

use petrelshore::interface::ServerId;
use std::collections::BTreeMap;

/// How much one read that tests all of a promise moves the credit.
const WEIGHT: f64 = 0.3;
/// Promises below this many tokens test nothing: a block more or less is no lie.
const LEAST: f64 = 64.0;
/// Below this credit a server's word counts for nothing.
const NONE_BELOW: f64 = 0.35;

#[derive(Debug, Default)]
pub struct Trust {
    credit: BTreeMap<ServerId, f64>,
}

impl Trust {
    /// A read found so many kept tokens where so many were promised. More than promised is no lie.
    pub fn found(&mut self, server: ServerId, promised: f64, kept: f64) {
        if promised < LEAST {
            return;
        }
        let share = (kept / promised).clamp(0.0, 1.0);
        let credit = self.credit.entry(server).or_insert(1.0);
        *credit += WEIGHT * (share - *credit);
    }

    /// The part of a server's word that counts, from 0 to 1.
    pub fn of(&self, server: ServerId) -> f64 {
        let credit = self.credit.get(&server).copied().unwrap_or(1.0);
        if credit < NONE_BELOW { 0.0 } else { credit }
    }

    /// A server started anew, or left: what it said before says nothing of it now.
    pub fn forget(&mut self, server: ServerId) {
        self.credit.remove(&server);
    }
}
