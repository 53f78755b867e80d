//! The requests that a caller passes to a client, and the replies that the client returns.

use crate::liveness::LivenessProbe;
use crate::trace::ExchangeTrace;
use bytes::Bytes;
use petrelshore::interface::{LoadReport, Nanos};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Names of the header fields that this client sets itself.
pub const OVERRIDDEN_FIELDS: [&str; 3] = ["Req-Id", "Req-Deadline-Ms", "Content-Type"];

/// One attempt to send a request to a model server. The target and the body are forwarded as the gateway's client sent
/// them.
pub struct AttemptRequest {
    /// The address of the model server.
    pub address: SocketAddr,
    /// The request target, as the gateway's client sent it.
    pub target: Bytes,
    /// The request ID.
    pub id: Rc<str>,
    /// The encoded header lines of the gateway's client, without the fields in [`OVERRIDDEN_FIELDS`].
    pub fields: Bytes,
    /// The body, as the gateway's client sent it.
    pub body: Bytes,
    /// Time for which the gateway waits from `decided_at` on, in nanoseconds.
    pub timeout: Nanos,
    /// Time at which the attempt was scheduled. The time since then is subtracted from `timeout`.
    pub decided_at: Nanos,
    /// Time limit for establishing the connection and writing the request.
    pub connect_timeout: Duration,
    /// True if a KV cache is reserved while the request is sent. The server must then prove that its process runs, both
    /// before and after the request is sent.
    pub holds_cache: bool,
    /// The request by which the server proves that its process runs. Without a probe, only the response proves it.
    pub probe: Option<LivenessProbe>,
    /// True if the request must not use a pooled connection.
    pub new_connection: bool,
    /// Checks whether the request may still be sent. The check is called at the start of the exchange and again right
    /// before the first byte is written.
    pub send_check: SendCheck,
    /// The progress of the exchange, which can still be read after the exchange has been cancelled.
    pub trace: Rc<ExchangeTrace>,
}

/// The decision on whether a request may be sent. It is made again right before the first byte is written, because the
/// connection may have been established late, and a busy event loop may not have handled all notifications yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    /// The request may be sent.
    Granted,
    /// The gateway's client has closed its connection.
    ClientLeft,
    /// The request must not be sent any more. For example, the server is draining, has restarted, has a new address or
    /// was removed from the endpoint list, the deadline has passed, or the release is no longer pending.
    Denied,
}

impl SendPermission {
    /// Returns an error with the end of the attempt if the request must not be sent.
    pub(crate) fn into_result(self) -> Result<(), AttemptEnd> {
        match self {
            SendPermission::Granted => Ok(()),
            SendPermission::ClientLeft => Err(AttemptEnd::ReturnedUnsent),
            SendPermission::Denied => Err(AttemptEnd::NotSent),
        }
    }
}

/// Checks whether a request may be sent now.
pub type SendCheck = Rc<dyn Fn() -> SendPermission>;

/// The result of an exchange, with the load report of the server.
#[derive(Debug)]
pub struct Reply<T> {
    /// The content of the response, or the end of the exchange if it failed.
    pub result: Result<T, AttemptEnd>,
    /// The load report in the head of the response, if the head has a valid one.
    pub load: Option<LoadReport>,
}

impl<T> Reply<T> {
    /// Creates the reply of an exchange that ended without a response.
    pub(crate) fn failed(end: AttemptEnd) -> Self {
        Reply { result: Err(end), load: None }
    }
}
