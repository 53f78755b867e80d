//! The gRPC chat service over the gateway, with the published health and reflection services beside it.
//!
//! [`serve`] accepts connections. `connection` drives each and closes it on abuse, which it learns of by the frames
//! that `frame_observer` sees; `stream` is what the calls of a connection share. `dispatch` routes a call to its
//! handler: `chat` for answers, `services` for the rest, by `health` and `reflection`. A handler receives messages
//! (`message`), decodes them (`request`) and responds (`responder`); a failure (`error`) becomes a status (`status`).
//! All decisions are made in `petrelshore_gateway_core`; calls are validated in `petrelshore_ingress`.
//!
//! It uses the `h2` crate itself rather than a gRPC server: a stream whose client does not read must still get its
//! status, and one that blocks its connection must be reset alone, which takes control of windows, resets and trailers.

mod chat;
mod connection;
mod dispatch;
mod error;
mod frame_observer;
mod health;
mod message;
mod reflection;
mod request;
mod responder;
mod services;
mod status;
mod stream;

/// The messages of the chat service, version 1. Their fields are documented in `proto/petrelshore/chat/v1/chat.proto`.
// Generated code: its documentation is what the service definition has, its style is the generator's.
#[allow(missing_docs, clippy::all)]
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/petrelshore.chat.v1.rs"));
}

pub use connection::serve;
pub use petrelshore_ingress::listener::{Ingress, Listener, bind};

/// The chat service's full name.
pub const SERVICE: &str = "petrelshore.chat.v1.ChatService";
