//! The gRPC chat service of the gateway, with the standard gRPC health and reflection services.
//!
//! [`serve`] accepts connections. `connection` drives each connection and closes it on abuse, which `frame_observer`
//! detects from the client's frames. `stream` holds the state that the calls of a connection share. `dispatch` routes a
//! call to its handler: `chat` handles chat calls, and `services` handles the list of models, `health` and
//! `reflection`. A handler receives messages (`message`), decodes them (`request`) and responds (`responder`). A
//! failure (`error`) becomes a gRPC status (`status`). `petrelshore_gateway_core` makes all decisions, and
//! `petrelshore_ingress` validates the calls.
//!
//! This crate uses the `h2` crate directly instead of a gRPC server library, since it has to control flow-control
//! windows, resets and trailers: a stream whose client does not read must still get its status, and a stream that
//! blocks its connection must be reset without ending the other streams.

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
// Generated code: its documentation comes from the service definition, which leaves some items undocumented, and its
// style from the generator.
#[allow(missing_docs, clippy::all)]
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/petrelshore.chat.v1.rs"));
}

pub use connection::serve;
pub use petrelshore_ingress::listener::{Ingress, Listener, bind};

/// The full name of the chat service.
pub const SERVICE: &str = "petrelshore.chat.v1.ChatService";
