//! Whether a stream that broke goes on from its last token.
//!
//! A client that has seen part of an answer can't be given another one. But where the work may run again, the
//! prompt with the answer so far is a prompt like any other: it is read, and the rest is written, so that the client
//! sees one stream with a pause in it. Once-only and tokened work never goes on: its first writer may have run to
//! the end.

use crate::timeouts;
use petrelshore::interface::{Idempotency, Nanos, TrafficType};

/// A stream goes on so often. What breaks everywhere breaks again, and each time costs a read.
const MOST: usize = 2;
/// With fewer tokens left than this the end is not worth another read.
const FEW: f64 = 2.0;

/// What is known of a stream that broke.
#[derive(Clone, Copy, Debug)]
pub struct BrokenStream {
    /// How often it has gone on already.
    pub resumptions: usize,
    pub tokens_received: f64,
    pub max_output_tokens: f64,
    /// When the whole answer must have ended.
    pub deadline: Nanos,
}

/// Until when the next token must come for the stream to go on; none where it ends here.
pub fn resume_deadline(now: Nanos, traffic: &TrafficType, broken: &BrokenStream) -> Option<Nanos> {
    let left = broken.max_output_tokens - broken.tokens_received;
    if traffic.idempotency != Idempotency::Idempotent
        || broken.resumptions >= MOST
        || left < FEW
        || now >= broken.deadline
    {
        return None;
    }
    Some(now.saturating_add(timeouts::silence_timeout(traffic)).min(broken.deadline))
}
