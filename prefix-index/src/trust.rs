//! Scores the reliability of each server's cache reports: the cached tokens that prefills find, as a share of the
//! cached tokens that the index predicts.
//!
//! A server that evicts blocks without reporting it would attract every turn of a session, yet each turn would miss the
//! cache. Each prefill that is sent to a server for its cache therefore tests the server's reports. After a few failed
//! predictions, the server's reports have weight zero. The score recovers only through prefills that find the predicted
//! tokens; the server still receives some prefills by chance and for other reasons.

use petrelshore::interface::ServerId;
use std::collections::BTreeMap;

/// The weight of one prefill in the exponential moving average of the score.
const SMOOTHING: f64 = 0.3;
/// The minimum prediction that is tested, in tokens. In a smaller prediction, a difference of a single block would
/// count as a failure.
const MIN_TESTED_TOKENS: f64 = 64.0;
/// The minimum score; below it, a server's reports have weight zero.
const MIN_SCORE: f64 = 0.35;
/// The score of a server whose reports have not been tested.
const INITIAL_SCORE: f64 = 1.0;

/// The score of each server whose reports have been tested.
#[derive(Debug, Default)]
pub struct Trust {
    scores: BTreeMap<ServerId, f64>,
}

impl Trust {
    /// Records a prefill that found `cached_tokens` where the index predicted `predicted_tokens`. Finding more tokens
    /// than predicted counts as an exact prediction.
    pub fn record_prefill(&mut self, server: ServerId, predicted_tokens: f64, cached_tokens: f64) {
        if predicted_tokens < MIN_TESTED_TOKENS {
            return;
        }
        let found_share = (cached_tokens / predicted_tokens).clamp(0.0, 1.0);
        let score = self.scores.entry(server).or_insert(INITIAL_SCORE);
        *score += SMOOTHING * (found_share - *score);
    }

    /// Returns the weight of a server's reports, from 0 to 1.
    pub fn weight(&self, server: ServerId) -> f64 {
        let score = self.scores.get(&server).copied().unwrap_or(INITIAL_SCORE);
        if score < MIN_SCORE { 0.0 } else { score }
    }

    /// Removes the score of a server that restarted or left, because its earlier reports say nothing about its new
    /// cache.
    pub fn reset(&mut self, server: ServerId) {
        self.scores.remove(&server);
    }
}
