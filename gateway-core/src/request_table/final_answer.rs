//! The final answer of a sequence, before an API turns it into a response.

use crate::request_manager::FailureReason;
use petrelshore::interface::Nanos;

/// The one final answer of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// All events of the answer have arrived.
    Completed,
    /// No work ran that must not run twice, so a retry by the client is harmless.
    Rejected {
        /// The time that the client is asked to wait before a retry.
        retry_after: Option<Nanos>,
        /// The reason for the failure.
        reason: FailureReason,
    },
    /// The request may have run, or its stream broke.
    Aborted {
        /// The reason for the failure.
        reason: FailureReason,
    },
}
