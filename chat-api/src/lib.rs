//! The OpenAI-style chat API, by its public specification, over the gateway.
//!
//! [`serve()`] accepts connections and routes requests; `body` receives a request body within its limits; `request`
//! decodes it into a call, which `petrelshore_ingress` validates; `chat` has the gateway answer it; `chunks`, `error` and
//! `response` encode the answer, buffered or as server-sent events. The gateway admits nothing before a request is
//! received in full and understood.

mod body;
mod chat;
mod chunks;
mod error;
mod fields;
mod headers;
mod models;
mod request;
mod response;
mod serve;

pub use petrelshore_ingress::listener::{Ingress, Listener, bind};
pub use serve::serve;
