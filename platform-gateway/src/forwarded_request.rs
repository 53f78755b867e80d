//! A client's request in the form that is forwarded to model servers.

use bytes::Bytes;
use petrelshore_ingress::listener::BodyReservation;
use std::rc::Rc;

/// A client's request in the form that is forwarded to model servers. The request table keeps the request, and with it
/// the memory reservation, until the first event of the answer.
pub struct ForwardedRequest {
    /// The request id, in the platform's format.
    pub id: Rc<str>,
    /// The request target: path and query.
    pub target: Bytes,
    /// Header lines that are forwarded unchanged, including the client's idempotency key.
    pub fields: Bytes,
    /// The request body.
    pub body: Bytes,
    /// The memory reserved for the body.
    pub reservation: BodyReservation,
    /// Checks whether the client has left.
    pub has_client_left: HasClientLeft,
}

/// Returns whether a client has left, according to the state of its connection at the time of the call.
pub type HasClientLeft = Rc<dyn Fn() -> bool>;
