//! What the buffered request table tells its runtime to do.

use super::message::FinalAnswer;
use crate::cache_releases::CacheRelease;
use crate::request_manager::{CancelReason, Dispatch};
use petrelshore::interface::SequenceId;
use std::rc::Rc;

/// What the runtime is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<P> {
    /// Send an attempt.
    Send(Box<OutgoingAttempt<P>>),
    /// Cancel an attempt by closing its connection, and report it as cancelled.
    Cancel {
        /// The sequence.
        id: SequenceId,
        /// The attempt.
        attempt: usize,
        /// Why.
        reason: CancelReason,
    },
    /// Tell a prefill server to release a KV cache, and report its answer.
    Release(CacheRelease),
    /// Give the final answer: nothing follows for this sequence.
    Answer {
        /// The sequence.
        id: SequenceId,
        /// Its final answer.
        last: FinalAnswer,
    },
}

impl<P> From<CacheRelease> for Command<P> {
    fn from(release: CacheRelease) -> Self {
        Command::Release(release)
    }
}

/// An attempt with all that its exchange with the model server needs.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAttempt<P> {
    /// Where to send it, and how long it may take.
    pub dispatch: Dispatch,
    /// The id by which model servers know the attempt.
    pub request_id: String,
    /// The prompt, with the text that the client has received of earlier attempts.
    pub prompt: Rc<str>,
    /// Most tokens that this attempt may generate.
    pub max_tokens: u32,
    /// Marks repeats of idempotent work.
    pub idempotency_key: Option<Rc<str>>,
    /// What the prefill server gave for its KV cache.
    pub transfer_params: Option<P>,
}
