//! Commands from the buffered request table to its runtime.

use super::message::FinalAnswer;
use crate::cache_releases::CacheRelease;
use crate::request_manager::{CancelReason, Dispatch};
use petrelshore::interface::SequenceId;
use std::rc::Rc;

/// An instruction to the runtime, which executes commands in the order in which the table returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<P> {
    /// Send an attempt.
    Send(Box<OutgoingAttempt<P>>),
    /// Cancel an attempt by closing its connection, and report the attempt as cancelled.
    Cancel {
        /// The sequence.
        id: SequenceId,
        /// The number of the attempt within its sequence.
        attempt: usize,
        /// The reason for the cancellation.
        reason: CancelReason,
    },
    /// Send a release request for a KV cache to its prefill server, and report the server's answer.
    Release(CacheRelease),
    /// Give the final answer. No further text follows for this sequence.
    Answer {
        /// The sequence.
        id: SequenceId,
        /// The final answer.
        last: FinalAnswer,
    },
}

impl<P> From<CacheRelease> for Command<P> {
    fn from(release: CacheRelease) -> Self {
        Command::Release(release)
    }
}

/// An attempt with all data that its exchange with the model server needs.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAttempt<P> {
    /// The destination and the time limits of the attempt.
    pub dispatch: Dispatch,
    /// The id that identifies the attempt at the model servers.
    pub request_id: String,
    /// The prompt, followed by the text of earlier attempts that the client has received.
    pub prompt: Rc<str>,
    /// The maximum number of tokens that this attempt may generate.
    pub max_tokens: u32,
    /// The key by which model servers recognize a repeat of the same work, for traffic types with keyed idempotency.
    pub idempotency_key: Option<Rc<str>>,
    /// The transfer parameters that the prefill server returned for its KV cache.
    pub transfer_params: Option<P>,
}
