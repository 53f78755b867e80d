//! The request tables: all that a gateway keeps for its requests round the request manager.

pub mod buffered;
pub mod passthrough;
