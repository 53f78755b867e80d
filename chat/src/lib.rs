//! The OpenAI-style chat API, by its public specification, over the gateway.
//!
//! [`serve`] takes connections; `request` turns a body into an [`Ask`](petrelshore_gateway::Ask) or says what is
//! wrong with it; `reply` words texts and final answers, whole or as events. Nothing is taken by the gateway before
//! a request is whole and understood.

mod reply;
mod request;
mod serve;
mod stall;

pub use serve::{Listening, bind, serve};
