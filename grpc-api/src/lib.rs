//! The gRPC chat service over the gateway, with the published health and reflection services beside it.
//!
//! [`serve`] takes connections, and holds each to its manners (`connection`, told by `frame_observer` what came). A call's way
//! is in `exchange`: its message whole (`message`), understood (`request`), taken, answered, worded (`status`).
//! Everything that is decided stands in `petrelshore_gateway_core`; what is checked of a call, in `petrelshore_ingress`.
//!
//! It stands on the `h2` crate itself: a stream whose client does not read must still be told its end, and one whose
//! connection stands still must be ended by itself, which takes windows, resets and trailers in one's own hand.

mod connection;
mod exchange;
mod frame_observer;
mod health;
mod message;
mod reflection;
mod request;
mod status;

/// The messages of the chat service, version 1.
#[allow(clippy::all)]
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/petrelshore.chat.v1.rs"));
}

pub use connection::serve;
pub use petrelshore_ingress::listener::{Ingress, Listener, bind};

/// The chat service's full name.
pub const SERVICE: &str = "petrelshore.chat.v1.ChatService";
