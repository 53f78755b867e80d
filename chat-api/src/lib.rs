//! The OpenAI-style chat API, by its public specification, over the gateway.
//!
//! [`serve`] takes connections; `request` turns a body into a call, which `petrelshore_ingress` checks and hands on;
//! `reply` words texts and final answers, whole or as events. Nothing is taken by the gateway before a request is
//! whole and understood.

mod reply;
mod request;
mod serve;

pub use petrelshore_ingress::listener::{Ingress, Listener, bind};
pub use serve::serve;
