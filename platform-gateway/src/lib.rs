//! The gateway on the operators' platform: a shell on async-io round the request manager, beside the one in `chat-gateway/`.
//!
//! A front hands a sequence to [`Service::take`] and reads its [`Answer`]; the service tells the request manager what
//! happens on its sockets and carries out what it answers. [`discovery`] follows the list. It decides nothing.

pub mod discovery;
mod releases;
mod gateway;

pub use gateway::{Answer, Message, Next, Service};
