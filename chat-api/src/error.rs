//! Encodes errors as the API reports them: status, body and retry headers. `docs/chat-api.md` contains the same table.

use crate::response::{ApiResponse, json_response};
use hyper::StatusCode;
use hyper::header::{self, HeaderValue};
use petrelshore::interface::Nanos;
use petrelshore_chat_gateway::FinalAnswer;
use petrelshore_gateway_core::error_response::{ErrorCause, ErrorResponse, Retry};
use petrelshore_ingress::error::{CallError, RequestError, RequestErrorKind};
use serde_json::{Value, json};

const NANOS_PER_SECOND: Nanos = 1_000_000_000;
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
const AUTHENTICATION_ERROR: &str = "authentication_error";
const INVALID_REQUEST_ERROR: &str = "invalid_request_error";
const RATE_LIMIT_ERROR: &str = "rate_limit_error";
const SERVER_ERROR: &str = "server_error";

/// An error as the API reports it.
pub struct ApiError {
    status: StatusCode,
    error_type: &'static str,
    code: Option<&'static str>,
    param: Option<String>,
    message: String,
    retry: Retry,
}

impl ApiError {
    /// Returns the error object, which is the body of a response or an event of a stream.
    pub fn body(&self) -> Value {
        json!({ "error": {
            "message": self.message, "type": self.error_type, "param": self.param, "code": self.code,
        }})
    }

    /// Returns the response to a request that failed before any part of its answer was sent.
    pub fn response(&self) -> ApiResponse {
        let mut response = json_response(self.status, &self.body());
        let headers = response.headers_mut();
        // Clients of this API retry automatically after 409, 429 and 5xx unless this header is "false".
        let should_retry = if matches!(self.retry, Retry::After(_)) { "true" } else { "false" };
        headers.insert("x-should-retry", HeaderValue::from_static(should_retry));
        if let Retry::After(delay) = self.retry {
            let seconds = delay.div_ceil(NANOS_PER_SECOND).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
            let millis = delay.div_ceil(NANOS_PER_MILLISECOND);
            headers.insert("retry-after-ms", HeaderValue::from(millis));
        }
        response
    }

    /// Returns the error of a final answer; `None` if the answer was generated in full.
    pub fn from_final_answer(answer: &FinalAnswer) -> Option<ApiError> {
        ErrorResponse::from_final_answer(answer).map(ApiError::from)
    }
}

impl From<RequestError> for ApiError {
    fn from(error: RequestError) -> ApiError {
        let (status, error_type, code) = match error.kind {
            RequestErrorKind::Unauthenticated => {
                (StatusCode::UNAUTHORIZED, AUTHENTICATION_ERROR, Some("invalid_api_key"))
            }
            RequestErrorKind::UnknownModel => {
                (StatusCode::NOT_FOUND, INVALID_REQUEST_ERROR, Some("model_not_found"))
            }
            RequestErrorKind::InvalidField | RequestErrorKind::Malformed => {
                (StatusCode::BAD_REQUEST, INVALID_REQUEST_ERROR, None)
            }
            RequestErrorKind::ReceiveTimeout => (StatusCode::REQUEST_TIMEOUT, INVALID_REQUEST_ERROR, None),
            RequestErrorKind::UnknownPath => (StatusCode::NOT_FOUND, INVALID_REQUEST_ERROR, None),
            RequestErrorKind::UnknownMethod => (StatusCode::METHOD_NOT_ALLOWED, INVALID_REQUEST_ERROR, None),
        };
        let RequestError { field: param, message, .. } = error;
        ApiError { status, error_type, code, param, message, retry: Retry::AfterCorrection }
    }
}

impl From<ErrorResponse> for ApiError {
    fn from(response: ErrorResponse) -> ApiError {
        let cause = response.cause;
        let (status, error_type) = match cause {
            ErrorCause::Rejected(_)
            | ErrorCause::GatewayAtCapacity
            | ErrorCause::IngressAtCapacity
            | ErrorCause::Draining => (StatusCode::SERVICE_UNAVAILABLE, SERVER_ERROR),
            ErrorCause::Aborted(_) => (StatusCode::BAD_GATEWAY, SERVER_ERROR),
            ErrorCause::ClientAtCapacity | ErrorCause::TooManyCancelled => {
                (StatusCode::TOO_MANY_REQUESTS, RATE_LIMIT_ERROR)
            }
            ErrorCause::KeyInFlight => (StatusCode::CONFLICT, INVALID_REQUEST_ERROR),
            ErrorCause::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, INVALID_REQUEST_ERROR),
            ErrorCause::DeadlineTooShort => (StatusCode::REQUEST_TIMEOUT, INVALID_REQUEST_ERROR),
            ErrorCause::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, INVALID_REQUEST_ERROR),
        };
        ApiError {
            status,
            error_type,
            code: Some(cause.code()),
            param: cause.field().map(str::to_owned),
            message: response.to_string(),
            retry: response.retry,
        }
    }
}

impl From<CallError> for ApiError {
    fn from(error: CallError) -> ApiError {
        match error {
            CallError::InvalidRequest(error) => error.into(),
            CallError::Unanswered(response) => response.into(),
        }
    }
}
