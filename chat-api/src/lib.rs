//! The chat API of the gateway, which follows the public specification of OpenAI's chat API.
//!
//! [`serve()`] accepts connections and routes requests. `body` receives a request body within its limits, and `request`
//! decodes the body into a call, which `petrelshore_ingress` validates. `chat` submits the call to the gateway.
//! `chunks`, `error` and `response` encode the answer, buffered or as server-sent events. The gateway admits a request
//! only after the request has been received in full, decoded and validated.

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
