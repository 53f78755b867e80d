//! The gateway on the operators' platform: executes on sockets what the request table of
//! [`petrelshore_gateway_core::passthrough`] commands. The gateway of the chat APIs is in `chat-gateway/`.
//!
//! An ingress hands a request to [`PlatformGateway::accept`] and reads its [`Answer`]. [`discovery`] watches the
//! endpoint list. No routing decision is made here.
//!
//! All of it runs on one thread, in these tasks: the *timeout task* applies timeouts, an *attempt task* for each attempt
//! in flight speaks to its model server, a *release task* for each release request gets it answered, and the *watch
//! task* ([`discovery::watch`]) follows the endpoint list. The tasks of the ingress call [`PlatformGateway`] and
//! [`Answer`].

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
