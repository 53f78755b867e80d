//! The error that a client gets instead of an answer, and whether the client may retry automatically.
//!
//! Every API encodes these errors in its own protocol, but this module alone decides which of them may be retried. An
//! error permits a retry only if no work ran that must not run twice. After an abort such work may have run, so no API
//! may encode an abort as an error that clients retry automatically.

use crate::FailureReason;
use crate::buffered::{FinalAnswer, Rejection};
use crate::ingress_limits::IngressError;
use crate::timeouts::DEFAULT_RETRY_AFTER;
use petrelshore::interface::Nanos;
use std::error::Error;
use std::fmt;

/// Tells whether a client may retry automatically after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// No work ran that must not run twice: a retry is safe after this time, in nanoseconds.
    After(Nanos),
    /// Nothing ran, but the unchanged request would fail again: it has to be corrected first.
    AfterCorrection,
    /// No automatic retry: the work may have run.
    Never,
}

/// The reason why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCause {
    /// The request was admitted, and then rejected: no work ran that must not run twice.
    Rejected(FailureReason),
    /// The request was aborted after something may have run.
    Aborted(FailureReason),
    /// The gateway has reached its limit of requests in flight.
    GatewayAtCapacity,
    /// The client has reached its limit of requests in flight.
    ClientAtCapacity,
    /// The client cancels too many requests before their answer.
    TooManyCancelled,
    /// Too many request bodies are being received.
    IngressAtCapacity,
    /// The gateway is shutting down.
    Draining,
    /// A request with the same idempotency key is in flight.
    KeyInFlight,
    /// The idempotency key belongs to another request.
    KeyReused,
    /// The client's deadline is too short for any answer.
    DeadlineTooShort,
    /// The request exceeds the size limit.
    TooLarge,
}

impl ErrorCause {
    /// The machine-readable error code, the same in every API.
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

    /// The request header that caused the error, if any.
    pub fn field(self) -> Option<&'static str> {
        matches!(self, ErrorCause::KeyInFlight | ErrorCause::KeyReused).then_some("Idempotency-Key")
    }
}

/// The error that a client gets instead of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The reason why the request was not answered.
    pub cause: ErrorCause,
    /// The retry that the client is permitted, if any.
    pub retry: Retry,
}

impl ErrorResponse {
    /// The error of a request that was rejected. Without `retry_after`, the default time to wait applies.
    pub fn rejected(retry_after: Option<Nanos>, reason: FailureReason) -> ErrorResponse {
        let retry = Retry::After(retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
        ErrorResponse { cause: ErrorCause::Rejected(reason), retry }
    }

    /// The error of a request that was aborted.
    pub fn aborted(reason: FailureReason) -> ErrorResponse {
        ErrorResponse { cause: ErrorCause::Aborted(reason), retry: Retry::Never }
    }

    /// The error of a final answer; none for a completed one.
    pub fn from_final_answer(answer: &FinalAnswer) -> Option<ErrorResponse> {
        match answer {
            FinalAnswer::Completed { .. } => None,
            FinalAnswer::Rejected { retry_after, reason } => {
                Some(ErrorResponse::rejected(*retry_after, *reason))
            }
            FinalAnswer::Aborted { reason } => Some(ErrorResponse::aborted(*reason)),
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
            FailureReason::AtCapacity => "no model server has capacity for the request in time",
            FailureReason::AttemptsExhausted => "all attempts at model servers failed",
            FailureReason::DeadlineExceeded => "the request was not answered before its deadline",
            FailureReason::StreamBroken => "the answer was interrupted",
            FailureReason::ClientStalled => "the client did not read its answer",
            FailureReason::ShuttingDown => "the gateway is shutting down",
            FailureReason::AnswerTooLarge => "the answer exceeds the size limit of a buffered answer",
            FailureReason::AlreadyRan => {
                "an earlier request with this idempotency key has ended, and its answer is not stored"
            }
        })
    }
}

impl fmt::Display for ErrorResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.cause {
            ErrorCause::Rejected(reason) => write!(f, "rejected: {reason}; a retry is safe"),
            ErrorCause::Aborted(reason) => write!(f, "aborted: {reason}; the request may have run"),
            ErrorCause::GatewayAtCapacity => {
                f.write_str("the gateway has reached its limit of requests in flight")
            }
            ErrorCause::ClientAtCapacity => f.write_str("the client has too many requests in flight"),
            ErrorCause::TooManyCancelled => {
                f.write_str("the client cancelled too many requests before their answer")
            }
            ErrorCause::IngressAtCapacity => f.write_str("the gateway is receiving too many request bodies"),
            ErrorCause::Draining => f.write_str("the gateway is shutting down"),
            ErrorCause::KeyInFlight => f.write_str("a request with this idempotency key is still in flight"),
            ErrorCause::KeyReused => f.write_str("this idempotency key belongs to a different request"),
            ErrorCause::DeadlineTooShort => f.write_str("the deadline is too short for any answer"),
            ErrorCause::TooLarge => f.write_str("the request exceeds the size limit"),
        }
    }
}
