//! The ingress for the platform's clients.
//!
//! [`Clients`] accepts their connections, reserves memory for request bodies within a limit, and submits each complete
//! and valid request to the gateway. The `client_connections` module of `petrelshore-gateway-core` decides which
//! connection is evicted when the connection table is full.

mod answer;
mod clients;
mod connection;
mod failure;
mod read;
mod registry;
mod request;
mod response;

pub use clients::Clients;
