//! Commands from the passthrough request table to its runtime.

use crate::cache_releases::CacheRelease;
use crate::request_manager::{CancelReason, Dispatch};
use crate::request_table::final_answer::FinalAnswer;
use petrelshore::interface::{Nanos, SequenceId};
use std::net::SocketAddr;

/// The reason for not accepting a sequence. No work ran, so a retry is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Another client's sequence with the same id is in flight.
    DuplicateId,
    /// The gateway's capacity is in use.
    AtCapacity {
        /// The time that the client is asked to wait before a retry. `None` if the settings configure no Retry-After.
        retry_after: Option<Nanos>,
    },
}

/// An instruction to the runtime, which executes commands in the order in which the table returns them. `M` is the type
/// of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<M> {
    /// Send an attempt. If the address or the request is missing, the runtime reports the attempt as not connected, but
    /// only after it has executed the other commands that were returned with this one.
    Send {
        /// The attempt.
        dispatch: Dispatch,
        /// The address of the model server.
        address: Option<SocketAddr>,
        /// The client's request.
        message: Option<M>,
    },
    /// Cancel an attempt by closing its connection.
    Cancel {
        /// The sequence.
        id: SequenceId,
        /// The number of the attempt within its sequence.
        attempt: usize,
        /// The reason for the cancellation.
        reason: CancelReason,
    },
    /// Send a release request for a KV cache to its prefill server, and report the answer.
    Release(CacheRelease),
    /// Give the final answer. The events that have already arrived precede the final answer, and no event follows.
    Answer {
        /// The sequence.
        id: SequenceId,
        /// The final answer.
        last: FinalAnswer,
    },
    /// Remove all state of a sequence, which has ended and left the table.
    Remove {
        /// The sequence.
        id: SequenceId,
    },
}

impl<M> From<CacheRelease> for Command<M> {
    fn from(release: CacheRelease) -> Self {
        Command::Release(release)
    }
}
