//! Whether a stream that broke is resumed from its last token.
//!
//! A client that has seen part of an answer can't be given another one. But where the request is idempotent, the
//! prompt with the answer so far is a prompt like any other: it is prefilled and the rest is decoded, so that the
//! client sees one stream with a pause in it. Requests that are keyed or run at most once are never resumed: their
//! first decode server may have run to the end.

use crate::timeouts;
use petrelshore::interface::{Idempotency, Nanos, TrafficType};

/// A stream is resumed so often. What breaks everywhere breaks again, and each time costs a prefill.
const MAX_RESUMPTIONS: usize = 2;
/// With fewer tokens left than this the rest is not worth another prefill.
const MIN_TOKENS_LEFT: f64 = 2.0;

/// What is known of a stream that broke.
#[derive(Clone, Copy, Debug)]
pub struct BrokenStream {
    /// How often it was resumed already.
    pub resumptions: usize,
    /// Tokens of the answer that have come.
    pub tokens_received: f64,
    /// Most tokens that the answer may have.
    pub max_output_tokens: f64,
    /// When the whole answer must have ended.
    pub deadline: Nanos,
}

/// When the next token must have come for the stream to be resumed; none where it is not.
pub fn resume_deadline(now: Nanos, traffic: &TrafficType, broken: &BrokenStream) -> Option<Nanos> {
    let tokens_left = broken.max_output_tokens - broken.tokens_received;
    if traffic.idempotency != Idempotency::Idempotent
        || broken.resumptions >= MAX_RESUMPTIONS
        || tokens_left < MIN_TOKENS_LEFT
        || now >= broken.deadline
    {
        return None;
    }
    Some(now.saturating_add(timeouts::silence_timeout(traffic)).min(broken.deadline))
}
