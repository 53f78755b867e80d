//! The error that a client gets in place of an answer, and whether it may retry by itself then.
//!
//! Every API words these errors in its own protocol; which of them may be retried is decided here, once for all. A
//! retry is called harmless only where nothing ran. An abort promises nothing, and no API may word it as an error that
//! clients retry by themselves.

use crate::FailureReason;
use crate::buffered::{FinalAnswer, Rejection};
use crate::ingress_limits::IngressError;
use crate::timeouts::DEFAULT_RETRY_AFTER;
use petrelshore::interface::Nanos;
use std::error::Error;
use std::fmt;

/// Whether a client may retry by itself after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Nothing ran: a retry is harmless, after this time.
    After(Nanos),
    /// Nothing ran, but the request has to be corrected first: it would fail again as it is.
    AfterCorrection,
    /// Not by itself: the work may have run.
    Never,
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCause {
    /// It was admitted, and given up before anything ran.
    Rejected(FailureReason),
    /// It was given up after something may have run.
    Aborted(FailureReason),
    /// The gateway has as many requests in flight as it may.
    GatewayAtCapacity,
    /// This client has as many requests in flight as one may.
    ClientAtCapacity,
    /// This client cancels too many requests before their answer.
    TooManyCancelled,
    /// The bodies of too many requests are being received.
    IngressAtCapacity,
    /// The gateway is shutting down.
    Draining,
    /// A request with the same idempotency key is in flight.
    KeyInFlight,
    /// The idempotency key belongs to another request.
    KeyReused,
    /// The client waits for too short a time for any answer.
    DeadlineTooShort,
    /// The request is larger than any may be.
    TooLarge,
}

impl ErrorCause {
    /// The error code, for programs, the same in every API.
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

    /// The header of the request that is at fault, if one is.
    pub fn field(self) -> Option<&'static str> {
        matches!(self, ErrorCause::KeyInFlight | ErrorCause::KeyReused).then_some("Idempotency-Key")
    }
}

/// The error that a client gets in place of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Why it gets one.
    pub cause: ErrorCause,
    /// Whether it may retry.
    pub retry: Retry,
}

impl ErrorResponse {
    /// The error of a final answer; none where that is a completed one.
    pub fn from_final_answer(answer: &FinalAnswer) -> Option<ErrorResponse> {
        match answer {
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
    fn from(rejection: Rejection) -> ErrorResponse {
        let (cause, retry) = match rejection {
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
            Rejection::KeyReused => (ErrorCause::KeyReused, Retry::AfterCorrection),
            Rejection::DeadlineTooShort => (ErrorCause::DeadlineTooShort, Retry::AfterCorrection),
        };
        ErrorResponse { cause, retry }
    }
}

impl From<IngressError> for ErrorResponse {
    fn from(error: IngressError) -> ErrorResponse {
        match error {
            IngressError::TooLarge => {
                ErrorResponse { cause: ErrorCause::TooLarge, retry: Retry::AfterCorrection }
            }
            IngressError::AtCapacity | IngressError::AddressAtCapacity => {
                let retry = Retry::After(DEFAULT_RETRY_AFTER);
                ErrorResponse { cause: ErrorCause::IngressAtCapacity, retry }
            }
        }
    }
}

impl Error for ErrorResponse {}

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
