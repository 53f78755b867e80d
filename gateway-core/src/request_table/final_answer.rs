//! The final answer of a sequence, before any API words it.

use crate::request_manager::FailureReason;
use petrelshore::interface::Nanos;

/// The one final answer of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// All events have arrived.
    Completed,
    /// Nothing ran that must not run again: a retry of the client is harmless.
    Rejected {
        /// How long the client is asked to wait before a retry.
        retry_after: Option<Nanos>,
        /// Why it failed.
        reason: FailureReason,
    },
    /// The request may have run, or its stream broke.
    Aborted {
        /// Why it failed.
        reason: FailureReason,
    },
}
