//! Emulates the operators' platform: model servers and the discovery agent in its protocol, with faults.
//!
//! Plain threads and plain text, so that they can write what no library would.

mod config;
mod discovery_agent;
mod http;
mod model_server;

pub use config::{config, entry};
pub use discovery_agent::DiscoveryAgent;
pub use model_server::{ModelServer, ServerBehavior, events};
