//! Why a request is rejected, and why a connection closes.

use petrelshore::interface::Nanos;
use petrelshore_gateway_core::ingress_limits::IngressError;

/// A request that is rejected with an error response. Its connection closes then: what follows on it can't be trusted,
/// or is not wanted.
#[derive(Debug)]
pub(crate) struct RequestRejection {
    pub(crate) status: u16,
    /// The body of the error response.
    pub(crate) message: String,
    pub(crate) retry_after: Option<Nanos>,
    /// The id that the request gave, for the log.
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
            IngressError::AtCapacity | IngressError::AddressAtCapacity => {
                RequestRejection::new(503, "too much in hand")
            }
        }
    }
}

/// Why a connection closes. It is logged with the connection's ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The client has closed it, shut down its sending side, or it broke.
    ClientClosed,
    /// No request came for too long.
    IdleTimeout,
    /// Another connection got its place in the table.
    Evicted,
    /// The gateway shuts down.
    ShuttingDown,
    /// A request was rejected.
    Rejected,
    /// The response announced it.
    Announced,
    /// The client has to see that its response is incomplete.
    Truncated,
    /// The client read nothing for too long, or broke the connection under its response.
    Unwritable,
}

impl CloseReason {
    /// Whether the gateway closes the connection for a reason of its own, on which its client has no say.
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

/// Why no further request is served on a connection.
#[derive(Debug)]
pub(crate) enum RequestFailure {
    /// An error response is still to be written.
    Rejected(RequestRejection),
    /// The connection closes without a further response.
    Close(CloseReason),
}

impl RequestFailure {
    /// Notes the id of the request that failed.
    pub(crate) fn of_request(self, request_id: Option<&str>) -> Self {
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
