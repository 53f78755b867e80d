//! The gateway on the operators' platform. It executes the commands of the request table
//! ([`petrelshore_gateway_core::passthrough`]) on sockets. The gateway of the chat APIs is in `chat-gateway/`.
//!
//! An ingress submits a request through [`PlatformGateway::accept`] and reads the [`Answer`]. [`discovery`] watches the
//! endpoint list. This package makes no routing decisions.
//!
//! All code runs on one thread, in these tasks:
//!
//! - The *timeout task* applies the timeouts of the request table.
//! - An *attempt task* per attempt in flight exchanges messages with the model server.
//! - A *release task* per release request sends the request to the prefill server and, if needed, to relays.
//! - The *watch task* ([`discovery::watch`]) follows the endpoint list.
//! - The tasks of the ingress call [`PlatformGateway`] and [`Answer`].

mod answer;
mod attempts;
mod commands;
pub mod discovery;
mod endpoints;
mod event_log;
mod forwarded_request;
mod gateway;
mod known_servers;
mod releases;
mod shutdown;
mod state;

pub use answer::{Answer, AnswerItem};
pub use forwarded_request::{ForwardedRequest, HasClientLeft};
pub use gateway::{ConnectionCounts, PlatformGateway};
