//! Emulates the operators' platform for tests: its model servers, with faults, and its discovery agent.
//!
//! The servers use threads and write HTTP as text, because an HTTP library would not send invalid messages.

mod config;
mod discovery_agent;
mod http;
mod model_server;

pub use config::{config, entry};
pub use discovery_agent::DiscoveryAgent;
pub use model_server::{ModelServer, ServerBehavior, events};
