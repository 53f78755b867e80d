//! Maps failed calls to status codes and error details. `docs/grpc-api.md` has the same table.
//!
//! gRPC clients retry automatically after the codes that their service configuration names, usually UNAVAILABLE and
//! RESOURCE_EXHAUSTED. The gateway sends RetryInfo, with one of these two codes, only if nothing ran. A status without
//! RetryInfo carries a pushback that forbids a retry, which clients obey whatever the code is.

use petrelshore_gateway_core::FailureReason;
use petrelshore_gateway_core::error_response::{ErrorCause, ErrorResponse, Retry};
use petrelshore_ingress::error::{CallError, RequestError, RequestErrorKind};
use std::time::Duration;
use tonic::metadata::{MetadataMap, MetadataValue};
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, FieldViolation, StatusExt};

const ERROR_DOMAIN: &str = "petrelshore";
const RETRY_PUSHBACK: &str = "grpc-retry-pushback-ms";
/// A negative pushback forbids a retry.
const NO_RETRY: i64 = -1;
const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// The status of a failed call.
pub fn from_call_error(error: &CallError) -> Status {
    match error {
        CallError::InvalidRequest(error) => from_request_error(error),
        CallError::Unanswered(response) => from_error_response(response),
    }
}

fn from_request_error(error: &RequestError) -> Status {
    let (code, reason) = match error.kind {
        RequestErrorKind::Unauthenticated => (Code::Unauthenticated, "INVALID_API_KEY"),
        RequestErrorKind::UnknownModel => (Code::NotFound, "MODEL_NOT_FOUND"),
        RequestErrorKind::InvalidField => (Code::InvalidArgument, "INVALID_FIELD"),
        // gRPC specifies INTERNAL for messages that can't be parsed.
        RequestErrorKind::Malformed => (Code::Internal, "MALFORMED"),
        RequestErrorKind::ReceiveTimeout => (Code::DeadlineExceeded, "REQUEST_LATE"),
        RequestErrorKind::UnknownPath | RequestErrorKind::UnknownMethod => {
            (Code::Unimplemented, "NO_SUCH_METHOD")
        }
    };
    let mut details = ErrorDetails::with_error_info(reason, ERROR_DOMAIN, []);
    if let Some(field) = &error.field {
        details.set_bad_request(vec![FieldViolation::new(field, &error.message)]);
    }
    Status::with_error_details_and_metadata(
        code,
        &error.message,
        details,
        retry_pushback(Retry::AfterCorrection),
    )
}

fn from_error_response(response: &ErrorResponse) -> Status {
    let message = response.to_string();
    let reason = response.cause.code().to_uppercase();
    let mut details = ErrorDetails::with_error_info(reason, ERROR_DOMAIN, []);
    if let Retry::After(delay) = response.retry {
        details.set_retry_info(Some(Duration::from_nanos(delay)));
    }
    if let Some(field) = response.cause.field() {
        details.set_bad_request(vec![FieldViolation::new(field, &message)]);
    }
    let metadata = retry_pushback(response.retry);
    Status::with_error_details_and_metadata(status_code(response.cause), message, details, metadata)
}

fn status_code(cause: ErrorCause) -> Code {
    match cause {
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
        // The code is not ABORTED, since ABORTED tells callers to retry.
        ErrorCause::Aborted(_) => Code::Internal,
        ErrorCause::KeyReused => Code::InvalidArgument,
    }
}

/// Metadata with the delay after which a client may retry automatically, in milliseconds, or with `NO_RETRY`.
fn retry_pushback(retry: Retry) -> MetadataMap {
    let millis = match retry {
        Retry::After(delay) => i64::try_from(delay.div_ceil(NANOS_PER_MILLISECOND)).unwrap_or(i64::MAX),
        Retry::AfterCorrection | Retry::Never => NO_RETRY,
    };
    let mut metadata = MetadataMap::new();
    metadata.insert(RETRY_PUSHBACK, MetadataValue::from(millis));
    metadata
}

#[cfg(test)]
mod tests;
