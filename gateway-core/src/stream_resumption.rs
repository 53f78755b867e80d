//! Decides whether a broken stream is resumed from its last token.
//!
//! A client that has received part of an answer can't be given a different answer. But if the request is idempotent,
//! the prompt with the answer so far is a prompt like any other: a server prefills it and decodes the rest, and the
//! client sees one stream with a pause. Keyed requests and at-most-once requests are never resumed, since their first
//! decode server may have run to the end.

use crate::timeouts;
use petrelshore::interface::{Idempotency, Nanos, TrafficType};

/// The maximum number of resumptions of one stream. Each resumption costs a prefill, and a stream that breaks at every
/// server would break again.
const MAX_RESUMPTIONS: usize = 2;
/// With fewer tokens left than this, the rest of the answer is not worth another prefill.
const MIN_TOKENS_LEFT: f64 = 2.0;

/// The state of a broken stream.
#[derive(Clone, Copy, Debug)]
pub struct BrokenStream {
    /// Number of times that the stream was resumed already.
    pub resumptions: usize,
    /// Number of tokens of the answer that have arrived.
    pub tokens_received: f64,
    /// The maximum number of tokens of the answer.
    pub max_output_tokens: f64,
    /// Time by which the whole answer must have ended.
    pub deadline: Nanos,
}

/// Time by which the next token of the resumed stream must arrive; none if the stream is not resumed.
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
