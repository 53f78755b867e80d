//! Why a call failed, independent of the protocol that reports it.

use petrelshore_gateway_core::error_response::ErrorResponse;
use std::fmt;

/// A request that is invalid, with the message for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// What is wrong with it.
    pub kind: RequestErrorKind,
    /// The field to blame, as its protocol names it.
    pub field: Option<String>,
    /// The explanation for the client.
    pub message: String,
}

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestErrorKind {
    /// There is no API key, or it is unknown.
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
    /// An error that no single field is to blame for.
    pub fn new(kind: RequestErrorKind, message: impl Into<String>) -> Self {
        RequestError { kind, field: None, message: message.into() }
    }

    /// A field that is missing or out of its range.
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

/// Why a call got no answer, whatever API it came by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request is invalid; it was not admitted.
    InvalidRequest(RequestError),
    /// The gateway rejected or aborted it.
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
