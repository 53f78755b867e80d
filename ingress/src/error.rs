//! Errors of calls, independent of the protocol that reports them.

use petrelshore_gateway_core::error_response::ErrorResponse;
use std::fmt;

/// An error in a request, with the message for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// The kind of error.
    pub kind: RequestErrorKind,
    /// The name of the invalid field in its protocol. `None` if no single field is to blame.
    pub field: Option<String>,
    /// The explanation for the client.
    pub message: String,
}

/// The kind of error in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestErrorKind {
    /// The request has no API key, or its API key is unknown.
    Unauthenticated,
    /// No such model is served.
    UnknownModel,
    /// A field is missing or out of its range.
    InvalidField,
    /// The request can't be parsed.
    Malformed,
    /// The request was not received in full in time.
    ReceiveTimeout,
    /// Nothing is served at this path.
    UnknownPath,
    /// The path or service has no such method.
    UnknownMethod,
}

impl RequestError {
    /// Returns an error that no single field is to blame for.
    pub fn new(kind: RequestErrorKind, message: impl Into<String>) -> Self {
        RequestError { kind, field: None, message: message.into() }
    }

    /// Returns the error for a field that is missing or out of its range.
    pub fn invalid_field(field: &str, message: impl Into<String>) -> Self {
        RequestError {
            kind: RequestErrorKind::InvalidField,
            field: Some(field.to_owned()),
            message: message.into(),
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for RequestError {}

/// The reason why a call got no answer, independent of its API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request is invalid and was not admitted.
    InvalidRequest(RequestError),
    /// The gateway rejected or aborted the request.
    Unanswered(ErrorResponse),
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::InvalidRequest(error) => error.fmt(formatter),
            CallError::Unanswered(response) => response.fmt(formatter),
        }
    }
}

impl std::error::Error for CallError {}

impl From<RequestError> for CallError {
    fn from(error: RequestError) -> CallError {
        CallError::InvalidRequest(error)
    }
}

impl<R: Into<ErrorResponse>> From<R> for CallError {
    fn from(response: R) -> CallError {
        CallError::Unanswered(response.into())
    }
}
