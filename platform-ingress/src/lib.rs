//! The ingress of the platform's clients.
//!
//! [`Clients`] accepts their connections, bounds what is received before it is held, and submits each complete and valid
//! request to the gateway. Which connection a full table evicts is decided in the request manager's `connection_table`.

mod answer;
mod clients;
mod connection;
mod failure;
mod read;
mod registry;
mod request;
mod response;

pub use clients::Clients;
