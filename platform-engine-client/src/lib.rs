//! A client for model servers that speak the platform's protocol.
//!
//! [`Client::prefill`], [`Client::decode`] and [`Client::release`] each make one exchange and report how the exchange
//! ended. The request manager decides what such an end proves. Dropping the future of one of these calls, or a
//! [`Stream`], closes the connection and thereby aborts the attempt.

mod client;
mod connections;
mod exchange;
mod liveness;
mod request;
mod response;
mod stream;
mod trace;

pub use client::Client;
pub use connections::ConnectionCounts;
pub use liveness::LivenessProbe;
pub use request::{AttemptRequest, OVERRIDDEN_FIELDS, Reply, SendCheck, SendPermission};
pub use stream::Stream;
pub use trace::{ConnectionSource, Delivery, ExchangeTrace};
