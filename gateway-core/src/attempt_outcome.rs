//! Maps the end of an exchange with a model server to the outcome that this end proves.
//!
//! Rule 2 depends on this mapping: at-most-once work is retried or rejected only after an end that proves that the
//! attempt never ran. After any other end, the attempt counts as one that may have run.

use petrelshore::interface::{Attempt, AttemptStatus, Outcome};

/// The way in which an exchange with a model server ended, as observed on its socket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The complete answer arrived, with its end marker.
    Completed,
    /// The prompt is prefilled.
    PrefillDone {
        /// Number of prompt tokens that the server had in its cache before the prefill.
        cached_tokens: f64,
    },
    /// No connection was established, so no byte of the request was written.
    NotConnected,
    /// A connection was established, but the server did not answer a probe on this connection in time. The request was
    /// not written.
    Unresponsive,
    /// The connection returned the request unwritten, and no other connection was available.
    ReturnedUnsent,
    /// The gateway did not send the request: the send gate denied the attempt, or all connections of the gateway are in
    /// use.
    NotSent,
    /// The server answered with the documented code for a server that has no capacity and has not started the request.
    AtCapacity,
    /// The server answered with the documented code for a KV cache that it was to fetch and that is not there.
    KvCacheMissing,
    /// The server answered with any other error status, possibly after it had started the request.
    ErrorStatus {
        /// The HTTP status code.
        status: u16,
    },
    /// The connection broke after bytes of the request may have been written, whether it was new or pooled.
    Reset,
    /// The request was written while a KV cache is reserved, and nothing proved in time that a running server received
    /// the request. The server's machine may have accepted the bytes for a process that has stopped, or the connection
    /// may have gone silent.
    Unproven,
    /// The answer violates the protocol: it is truncated, too large or malformed.
    Malformed,
    /// The timeout of the attempt or of its stream passed.
    TimedOut,
    /// The gateway cancelled the attempt.
    Cancelled,
}

impl AttemptEnd {
    /// Returns the outcome that is reported to the scheduler. `streaming` is true once a token has arrived.
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

    /// Returns whether the server sent any answer.
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

    /// Returns whether this end proves that the attempt never ran.
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

/// Returns whether an attempt has no outcome yet.
pub(crate) fn is_open(attempt: &Attempt) -> bool {
    !matches!(attempt.status, AttemptStatus::Finished(_))
}
