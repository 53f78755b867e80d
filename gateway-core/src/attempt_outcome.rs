//! What the end of an exchange with a model server proves.
//!
//! Rule 2 rests on this table: only an end that proves that the attempt never ran lets at-most-once work be retried or
//! rejected. Whatever is not provably without effect counts as an attempt that may have run.

use petrelshore::interface::{Attempt, AttemptStatus, Outcome};

/// How an exchange with a model server ended, as its socket showed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The complete answer arrived, with its end marker.
    Completed,
    /// The prompt is prefilled.
    PrefillDone {
        /// Prompt tokens that the server had cached before.
        cached_tokens: f64,
    },
    /// No connection was established, so no byte of the request was written.
    NotConnected,
    /// A connection was established, and its server did not answer a probe on it in time: the request was not written.
    Unresponsive,
    /// The connection returned the request unwritten, and no other connection was available.
    ReturnedUnsent,
    /// The gateway itself did not send it: the send gate denied it, or all of its own connections are in use.
    NotSent,
    /// The server answered, with its documented code, that it has no capacity and has not started.
    AtCapacity,
    /// The server answered, with its documented code, that the KV cache that it was to fetch is not there.
    KvCacheMissing,
    /// Any other error status. It may follow some work.
    ErrorStatus {
        /// The status.
        status: u16,
    },
    /// The connection broke after bytes of the request may have been written, whether it was new or pooled.
    Reset,
    /// It was written while a KV cache is held, and nothing proved in time that a running server has it: its machine may
    /// have taken the bytes of a process that has stopped, or its connection may have fallen silent.
    Unproven,
    /// The answer is not what the protocol allows: truncated, too large, or malformed.
    Malformed,
    /// Nothing arrived within the attempt's timeout.
    TimedOut,
    /// The gateway itself cancelled it.
    Cancelled,
}

impl AttemptEnd {
    /// The outcome that is reported to the scheduler; `streaming` once a token has arrived.
    pub fn outcome(self, streaming: bool) -> Outcome {
        if streaming && self.proves_not_run() {
            // A server that sent a token has run the attempt, whatever it answers later.
            return Outcome::Error;
        }
        match self {
            AttemptEnd::Completed => Outcome::Completed,
            AttemptEnd::PrefillDone { cached_tokens } => Outcome::PrefillDone { cached_tokens },
            AttemptEnd::NotConnected | AttemptEnd::Unresponsive => Outcome::ConnectFailed,
            AttemptEnd::ReturnedUnsent | AttemptEnd::NotSent => Outcome::NeverSent,
            AttemptEnd::AtCapacity => Outcome::AtCapacity,
            AttemptEnd::KvCacheMissing => Outcome::KvCacheMissing,
            AttemptEnd::ErrorStatus { .. } | AttemptEnd::Malformed => Outcome::Error,
            AttemptEnd::Reset | AttemptEnd::Unproven => Outcome::Reset,
            AttemptEnd::TimedOut => Outcome::TimedOut,
            AttemptEnd::Cancelled => Outcome::Cancelled,
        }
    }

    /// Whether its server sent any answer.
    pub fn server_answered(self) -> bool {
        !matches!(
            self,
            AttemptEnd::NotConnected
                | AttemptEnd::Unresponsive
                | AttemptEnd::ReturnedUnsent
                | AttemptEnd::NotSent
                | AttemptEnd::Reset
                | AttemptEnd::Unproven
                | AttemptEnd::TimedOut
                | AttemptEnd::Cancelled
        )
    }

    /// Whether the attempt provably never ran.
    pub fn proves_not_run(self) -> bool {
        match self {
            AttemptEnd::NotConnected
            | AttemptEnd::Unresponsive
            | AttemptEnd::ReturnedUnsent
            | AttemptEnd::NotSent
            | AttemptEnd::AtCapacity
            | AttemptEnd::KvCacheMissing => true,
            AttemptEnd::Completed
            | AttemptEnd::PrefillDone { .. }
            | AttemptEnd::ErrorStatus { .. }
            | AttemptEnd::Reset
            | AttemptEnd::Unproven
            | AttemptEnd::Malformed
            | AttemptEnd::TimedOut
            | AttemptEnd::Cancelled => false,
        }
    }
}

/// Whether an attempt has no outcome yet.
pub(crate) fn is_open(attempt: &Attempt) -> bool {
    !matches!(attempt.status, AttemptStatus::Finished(_))
}
