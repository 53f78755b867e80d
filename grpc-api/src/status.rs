//! Words for what was not answered: status codes and details. The table in `docs/grpc-api.md` says the same.
//!
//! Clients of this protocol send again by themselves after the codes that their service configuration names, most
//! often UNAVAILABLE and RESOURCE_EXHAUSTED. Those two are given with RetryInfo only where nothing ran; everything
//! else carries a pushback that forbids a retry, which clients obey whatever the code.

use petrelshore_gateway_core::FailureReason;
use petrelshore_gateway_core::error_response::{ErrorCause, ErrorResponse, Retry};
use petrelshore_ingress::error::{CallError, RequestError, RequestErrorKind};
use std::time::Duration;
use tonic::metadata::{MetadataMap, MetadataValue};
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, StatusExt};

const DOMAIN: &str = "petrelshore";
const PUSHBACK: &str = "grpc-retry-pushback-ms";

/// Why a call ends without an answer.
pub enum Told {
    Failed(CallError),
    /// What only this protocol knows.
    Status(Status),
    /// Nobody is there to be told.
    Gone,
}

impl<F: Into<CallError>> From<F> for Told {
    fn from(failed: F) -> Told {
        Told::Failed(failed.into())
    }
}

pub fn status_of(failed: &CallError) -> Status {
    match failed {
        CallError::InvalidRequest(wrong) => of_wrong(wrong),
        CallError::Unanswered(unanswered) => of_unanswered(unanswered),
    }
}

fn of_wrong(wrong: &RequestError) -> Status {
    let (code, reason) = match wrong.kind {
        RequestErrorKind::Unauthenticated => (Code::Unauthenticated, "INVALID_API_KEY"),
        RequestErrorKind::UnknownModel => (Code::NotFound, "MODEL_NOT_FOUND"),
        RequestErrorKind::InvalidField => (Code::InvalidArgument, "INVALID_FIELD"),
        // As the protocol has it for messages that can't be parsed.
        RequestErrorKind::Malformed => (Code::Internal, "MALFORMED"),
        RequestErrorKind::ReceiveTimeout => (Code::DeadlineExceeded, "REQUEST_LATE"),
        RequestErrorKind::UnknownPath | RequestErrorKind::UnknownMethod => {
            (Code::Unimplemented, "NO_SUCH_METHOD")
        }
    };
    let mut details = ErrorDetails::with_error_info(reason, DOMAIN, []);
    if let Some(field) = &wrong.field {
        details.set_bad_request(vec![tonic_types::FieldViolation::new(field, &wrong.message)]);
    }
    Status::with_error_details_and_metadata(code, &wrong.message, details, pushback(Retry::Mended))
}

fn of_unanswered(unanswered: &ErrorResponse) -> Status {
    let code = match unanswered.cause {
        ErrorCause::Rejected(_)
        | ErrorCause::GatewayAtCapacity
        | ErrorCause::IngressAtCapacity
        | ErrorCause::Draining
        | ErrorCause::KeyInFlight => Code::Unavailable,
        ErrorCause::ClientAtCapacity | ErrorCause::TooManyCancelled | ErrorCause::TooLarge => {
            Code::ResourceExhausted
        }
        ErrorCause::Aborted(FailureReason::DeadlineExceeded) | ErrorCause::DeadlineTooShort => {
            Code::DeadlineExceeded
        }
        ErrorCause::Aborted(FailureReason::AlreadyRan) => Code::AlreadyExists,
        // Not ABORTED: that code tells callers to try again.
        ErrorCause::Aborted(_) => Code::Internal,
        ErrorCause::KeyReused => Code::InvalidArgument,
    };
    let message = unanswered.to_string();
    let reason = unanswered.cause.code().to_uppercase();
    let mut details = ErrorDetails::with_error_info(reason, DOMAIN, []);
    if let Retry::After(wait) = unanswered.retry {
        details.set_retry_info(Some(Duration::from_nanos(wait)));
    }
    if let Some(field) = unanswered.cause.field() {
        details.set_bad_request(vec![tonic_types::FieldViolation::new(field, &message)]);
    }
    Status::with_error_details_and_metadata(code, message, details, pushback(unanswered.retry))
}

/// When a client may send again by itself; below zero it may not.
fn pushback(retry: Retry) -> MetadataMap {
    let millis = match retry {
        Retry::After(wait) => i64::try_from(wait.div_ceil(1_000_000)).unwrap_or(i64::MAX),
        Retry::Mended | Retry::Never => -1,
    };
    let mut metadata = MetadataMap::new();
    metadata.insert(PUSHBACK, MetadataValue::from(millis));
    metadata
}

#[cfg(test)]
mod tests;
