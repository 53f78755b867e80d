//! Reasons for rejecting a request and for closing a connection.

use petrelshore::interface::Nanos;
use petrelshore_gateway_core::ingress_limits::IngressError;

/// A request that is rejected with an error response. The connection closes after this response, because the bytes that
/// follow on it can't be trusted or are not wanted.
#[derive(Debug)]
pub(crate) struct RequestRejection {
    pub(crate) status: u16,
    /// The body of the error response.
    pub(crate) message: String,
    pub(crate) retry_after: Option<Nanos>,
    /// The request ID that the client sent, for the log.
    pub(crate) request_id: Option<Box<str>>,
}

impl RequestRejection {
    pub(crate) fn new(status: u16, message: impl Into<String>) -> Self {
        RequestRejection { status, message: message.into(), retry_after: None, request_id: None }
    }
}

impl From<IngressError> for RequestRejection {
    fn from(error: IngressError) -> Self {
        match error {
            IngressError::TooLarge => RequestRejection::new(413, "the body is too large"),
            IngressError::AtCapacity | IngressError::AddressAtCapacity => RequestRejection::new(
                503,
                "the limit on memory for request bodies, or on the share of one address, is reached",
            ),
        }
    }
}

/// The reason for closing a connection. It is logged with the connection's ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The client closed the connection or shut down its sending side, or the connection broke.
    ClientClosed,
    /// No request arrived within the idle timeout.
    IdleTimeout,
    /// The connection's place in the table was given to another connection.
    Evicted,
    /// The gateway shuts down.
    ShuttingDown,
    /// A request was rejected.
    Rejected,
    /// The response announced that the connection closes.
    Announced,
    /// The response is incomplete. Closing the connection without the last chunk shows this to the client.
    Truncated,
    /// The client read nothing for too long, or the connection broke while a response was being written.
    Unwritable,
}

impl CloseReason {
    /// Returns true if the gateway closes the connection by its own decision. The other reasons are ordinary: the
    /// client closed the connection or left it idle, the response announced the close, or the gateway shuts down.
    pub(crate) fn is_own_decision(self) -> bool {
        match self {
            CloseReason::ClientClosed
            | CloseReason::IdleTimeout
            | CloseReason::Announced
            | CloseReason::ShuttingDown => false,
            CloseReason::Evicted
            | CloseReason::Rejected
            | CloseReason::Truncated
            | CloseReason::Unwritable => true,
        }
    }
}

/// The reason why no further request is served on a connection.
#[derive(Debug)]
pub(crate) enum RequestFailure {
    /// An error response has yet to be written.
    Rejected(RequestRejection),
    /// The connection closes without a further response.
    Close(CloseReason),
}

impl RequestFailure {
    /// Adds the ID of the failed request to a rejection, for the log.
    pub(crate) fn with_request_id(self, request_id: Option<&str>) -> Self {
        match self {
            RequestFailure::Rejected(rejection) => {
                let request_id = request_id.map(Box::from);
                RequestFailure::Rejected(RequestRejection { request_id, ..rejection })
            }
            RequestFailure::Close(reason) => RequestFailure::Close(reason),
        }
    }
}

impl From<RequestRejection> for RequestFailure {
    fn from(rejection: RequestRejection) -> Self {
        RequestFailure::Rejected(rejection)
    }
}

impl From<IngressError> for RequestFailure {
    fn from(error: IngressError) -> Self {
        RequestFailure::Rejected(error.into())
    }
}

impl From<CloseReason> for RequestFailure {
    fn from(reason: CloseReason) -> Self {
        RequestFailure::Close(reason)
    }
}
