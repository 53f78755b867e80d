//! A client's request as it is forwarded to model servers.

use bytes::Bytes;
use petrelshore_ingress::listener::BodyReservation;
use std::rc::Rc;

/// A client's request as it is forwarded, with the memory that it reserves until its first event.
pub struct ForwardedRequest {
    /// The request id in the platform's form.
    pub id: Rc<str>,
    /// The request target: path and query.
    pub target: Bytes,
    /// Header lines that are forwarded as they came; a client's idempotency key is among them.
    pub fields: Bytes,
    /// The request body.
    pub body: Bytes,
    /// The memory reserved for the body.
    pub reservation: BodyReservation,
    /// Whether its client has left.
    pub has_client_left: HasClientLeft,
}

/// Tells whether a client has left, as its connection shows at that instant.
pub type HasClientLeft = Rc<dyn Fn() -> bool>;
