//! The platform's clients.
//!
//! [`House`] takes their connections, bounds what comes on them before it is held, and hands each whole and readable
//! request to the service. Whom a full house closes is decided in the conductor's `lobby`.

mod connection;
mod house;
mod reply;

pub use house::House;
