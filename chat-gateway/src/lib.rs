//! The gateway of the chat APIs: executes on sockets the commands of the request table in
//! [`petrelshore_gateway_core::buffered`]. The gateway on the operators' platform is in `platform-gateway/`.
//!
//! An ingress passes a [`GenerationRequest`] to [`Gateway::accept`] and reads the returned [`Answer`]. This package
//! makes no routing decisions.
//!
//! The gateway runs on one thread, in these tasks: the *timeout task* applies timeouts, an *attempt task* for each
//! attempt in flight exchanges messages with its model server, a *release task* for each release request sends that
//! request once, and the *store task* retries storing the endpoint list while writing its file fails. The tasks of an
//! ingress call [`Gateway`] and [`Answer`].

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

pub use answer::{Answer, AnswerItem, CompleteAnswer};
pub use gateway::Gateway;
pub use generation_request::GenerationRequest;
pub use petrelshore::interface::Idempotency;
pub use petrelshore_gateway_core::PolicyKind;
pub use petrelshore_gateway_core::buffered::{FinalAnswer, Rejection, Request, Usage};
pub use petrelshore_runtime::{Clock, Spawner};
pub use reload_error::ReloadError;
