//! How far a server's reports of its cache can be relied on: what was promised against what prefills found.
//!
//! A server that evicts blocks without reporting it would attract every turn of a session for nothing. So each prefill
//! that was sent to a server for its cache tests that server's reports. A few false promises bring its score to zero; it
//! recovers only by prefills that find what was promised, which it still gets by chance and for other reasons.

use petrelshore::interface::ServerId;
use std::collections::BTreeMap;

/// How much one prefill that tests all of a promise moves the score.
const SMOOTHING: f64 = 0.3;
/// Promises below this many tokens test nothing: a block more or less is no false promise.
const MIN_TESTED_TOKENS: f64 = 64.0;
/// Below this score a server's reports count for nothing.
const MIN_SCORE: f64 = 0.35;
/// The score of a server that was never tested.
const INITIAL_SCORE: f64 = 1.0;

/// A score for each server that was tested.
#[derive(Debug, Default)]
pub struct Trust {
    scores: BTreeMap<ServerId, f64>,
}

impl Trust {
    /// A prefill found so many cached tokens where so many were promised. Finding more than promised is no fault.
    pub fn record_prefill(&mut self, server: ServerId, promised_tokens: f64, cached_tokens: f64) {
        if promised_tokens < MIN_TESTED_TOKENS {
            return;
        }
        let share = (cached_tokens / promised_tokens).clamp(0.0, 1.0);
        let score = self.scores.entry(server).or_insert(INITIAL_SCORE);
        *score += SMOOTHING * (share - *score);
    }

    /// The weight of a server's reports, from 0 to 1.
    pub fn weight(&self, server: ServerId) -> f64 {
        let score = self.scores.get(&server).copied().unwrap_or(INITIAL_SCORE);
        if score < MIN_SCORE { 0.0 } else { score }
    }

    /// A server restarted, or left: what it reported before says nothing of it now.
    pub fn reset(&mut self, server: ServerId) {
        self.scores.remove(&server);
    }
}
