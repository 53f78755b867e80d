//! Speaks to model servers in the platform's protocol.
//!
//! [`Client::read`] and [`Client::write`] make one exchange each and say how it ended; what an ending proves is
//! decided in the request manager. Dropping either future, or a [`Stream`], gives the attempt up by closing its connection.

mod client;
mod stream;

pub use client::{AttemptRequest, Client, Reply, SET, SendCheck, SendPermission};
pub use stream::Stream;
