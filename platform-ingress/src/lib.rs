//! The platform's clients.
//!
//! [`Clients`] takes their connections, bounds what comes on them before it is held, and hands each whole and readable
//! request to the service. Whom a full table closes is decided in the request manager's `connection_table`.

mod connection;
mod registry;
mod response;

pub use registry::Clients;
