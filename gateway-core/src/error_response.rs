//! What a client is told of a request that was not answered, and what it may do by itself then.
//!
//! Every front words these in its own protocol; which of them may be tried again is decided here, once for all. A
//! retry is called harmless only where nothing ran. An abort promises nothing, and no front may word it as something
//! that clients send again by themselves.

use crate::FailureReason;
use crate::buffered::{FinalAnswer, Rejection};
use crate::ingress_limits::IngressError;
use crate::timeouts::DEFAULT_RETRY_AFTER;
use petrelshore::interface::Nanos;
use std::fmt;

/// What a client may do by itself after an answer that is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Nothing ran: coming again is harmless, after this time.
    After(Nanos),
    /// Nothing ran, but the same request would fail again.
    Mended,
    /// The work may have run.
    Never,
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCause {
    Rejected(FailureReason),
    Aborted(FailureReason),
    /// The gateway holds all that it may.
    GatewayAtCapacity,
    /// This client holds all that one may.
    ClientAtCapacity,
    /// This client withdraws what it asks before it is answered.
    TooManyCancelled,
    /// Too many bodies of requests are being read.
    IngressAtCapacity,
    Draining,
    KeyInFlight,
    KeyReused,
    /// The client's time is too short for any answer.
    DeadlineTooShort,
    /// The request is larger than any may be.
    TooLarge,
}

impl ErrorCause {
    /// One word for programs, the same in every front.
    pub fn code(self) -> &'static str {
        match self {
            ErrorCause::Rejected(_) => "rejected",
            ErrorCause::Aborted(_) => "aborted",
            ErrorCause::GatewayAtCapacity | ErrorCause::IngressAtCapacity => "overloaded",
            ErrorCause::ClientAtCapacity => "too_many_in_hand",
            ErrorCause::TooManyCancelled => "too_many_withdrawn",
            ErrorCause::Draining => "draining",
            ErrorCause::KeyInFlight => "idempotency_key_in_use",
            ErrorCause::KeyReused => "idempotency_key_reused",
            ErrorCause::DeadlineTooShort => "no_time",
            ErrorCause::TooLarge => "too_large",
        }
    }

    /// The field of the request's head that is to blame, if one is.
    pub fn field(self) -> Option<&'static str> {
        matches!(self, ErrorCause::KeyInFlight | ErrorCause::KeyReused).then_some("Idempotency-Key")
    }
}

/// A request's end without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    pub cause: ErrorCause,
    pub retry: Retry,
}

impl ErrorResponse {
    /// Of a final answer; none for one that was generated.
    pub fn from_final_answer(last: &FinalAnswer) -> Option<ErrorResponse> {
        match last {
            FinalAnswer::Completed { .. } => None,
            FinalAnswer::Rejected { retry_after, reason } => Some(ErrorResponse {
                cause: ErrorCause::Rejected(*reason),
                retry: Retry::After(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
            }),
            FinalAnswer::Aborted { reason } => {
                Some(ErrorResponse { cause: ErrorCause::Aborted(*reason), retry: Retry::Never })
            }
        }
    }
}

impl From<Rejection> for ErrorResponse {
    fn from(refusal: Rejection) -> ErrorResponse {
        let (cause, retry) = match refusal {
            Rejection::GatewayAtCapacity { retry_after } => {
                (ErrorCause::GatewayAtCapacity, Retry::After(retry_after))
            }
            Rejection::ClientAtCapacity { retry_after } => {
                (ErrorCause::ClientAtCapacity, Retry::After(retry_after))
            }
            Rejection::TooManyCancelled { retry_after } => {
                (ErrorCause::TooManyCancelled, Retry::After(retry_after))
            }
            Rejection::Draining { retry_after } => (ErrorCause::Draining, Retry::After(retry_after)),
            Rejection::KeyInFlight { retry_after } => (ErrorCause::KeyInFlight, Retry::After(retry_after)),
            Rejection::KeyReused => (ErrorCause::KeyReused, Retry::Mended),
            Rejection::DeadlineTooShort => (ErrorCause::DeadlineTooShort, Retry::Mended),
        };
        ErrorResponse { cause, retry }
    }
}

impl From<IngressError> for ErrorResponse {
    fn from(shut: IngressError) -> ErrorResponse {
        match shut {
            IngressError::TooLarge => ErrorResponse { cause: ErrorCause::TooLarge, retry: Retry::Mended },
            IngressError::AtCapacity | IngressError::AddressAtCapacity => ErrorResponse {
                cause: ErrorCause::IngressAtCapacity,
                retry: Retry::After(DEFAULT_RETRY_AFTER),
            },
        }
    }
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FailureReason::AtCapacity => "no model server can take it in time",
            FailureReason::AttemptsExhausted => "the model servers failed at it",
            FailureReason::DeadlineExceeded => "it was not answered in time",
            FailureReason::StreamBroken => "the answer broke off",
            FailureReason::ClientStalled => "the client took nothing of its answer",
            FailureReason::ShuttingDown => "this gateway is stopping",
            FailureReason::AnswerTooLarge => "the answer is larger than a whole answer may be",
            FailureReason::AlreadyRan => {
                "a request with this idempotency key ended before and its answer is not kept"
            }
        })
    }
}

impl fmt::Display for ErrorResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.cause {
            ErrorCause::Rejected(reason) => write!(f, "rejected: {reason}; trying again is harmless"),
            ErrorCause::Aborted(reason) => write!(f, "aborted: {reason}; the work may have run"),
            ErrorCause::GatewayAtCapacity => f.write_str("the gateway holds all that it may"),
            ErrorCause::ClientAtCapacity => f.write_str("too many requests of yours are in hand"),
            ErrorCause::TooManyCancelled => {
                f.write_str("too many requests of yours were withdrawn before their answer")
            }
            ErrorCause::IngressAtCapacity => f.write_str("too many requests are being read"),
            ErrorCause::Draining => f.write_str("this gateway is stopping"),
            ErrorCause::KeyInFlight => f.write_str("a request with this idempotency key is still running"),
            ErrorCause::KeyReused => f.write_str("this idempotency key stands for another request"),
            ErrorCause::DeadlineTooShort => f.write_str("the time given is too short for any answer"),
            ErrorCause::TooLarge => f.write_str("the request is larger than any may be"),
        }
    }
}
