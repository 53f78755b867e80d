//! What the passthrough request table tells its runtime to do.

use crate::cache_releases::CacheRelease;
use crate::request_manager::{CancelReason, Dispatch};
use crate::request_table::final_answer::FinalAnswer;
use petrelshore::interface::{Nanos, SequenceId};
use std::net::SocketAddr;

/// Why a sequence was not accepted. Nothing ran: a retry is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its id is in flight for another client.
    DuplicateId,
    /// The gateway's capacity is in use.
    AtCapacity {
        /// How long the client is asked to wait before a retry, where settings allow it.
        retry_after: Option<Nanos>,
    },
}

/// What the runtime is to do, in this order. `M` is the client's request.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<M> {
    /// Send an attempt. Without an address or a request that is impossible: it is reported as not connected, though not
    /// before the commands at hand are executed.
    Send {
        /// The attempt.
        dispatch: Dispatch,
        /// The address of its server.
        address: Option<SocketAddr>,
        /// The client's request.
        message: Option<M>,
    },
    /// Cancel an attempt by closing its connection.
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
    /// Give the final answer: events at hand come before it, none after.
    Answer {
        /// The sequence.
        id: SequenceId,
        /// Its final answer.
        last: FinalAnswer,
    },
    /// Forget a sequence: nothing is left of it.
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
