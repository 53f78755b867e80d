//! The gateway of the chat APIs: executes on sockets what the request table of
//! [`petrelshore_gateway_core::buffered`] commands. The gateway on the operators' platform is in `platform-gateway/`.
//!
//! An ingress hands a [`GenerationRequest`] to [`Gateway::accept`] and reads its [`Answer`]. No routing decision is made
//! here.
//!
//! All of it runs on one thread, in these tasks: the *timeout task* applies timeouts, an *attempt task* for each attempt
//! in flight speaks to its model server, a *release task* for each release request sends it once, and the *store task*
//! retries to store the endpoint list while its disk does not take it. The tasks of an ingress call [`Gateway`] and
//! [`Answer`].

mod answer;
mod attempts;
mod commands;
mod endpoints;
mod event_log;
mod gateway;
mod generation_request;
mod releases;
mod reload_error;
mod state;

pub use answer::{Answer, AnswerItem};
pub use gateway::Gateway;
pub use generation_request::GenerationRequest;
pub use petrelshore::interface::Idempotency;
pub use petrelshore_gateway_core::PolicyKind;
pub use petrelshore_gateway_core::buffered::{FinalAnswer, Rejection, Request, Usage};
pub use petrelshore_runtime::{Clock, Spawner};
pub use reload_error::ReloadError;
