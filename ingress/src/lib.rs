//! The parts that all client-facing APIs of the gateway share, independent of their protocols.
//!
//! [`listener`] accepts connections and limits the bytes that they send before the bytes are parsed; [`metadata`] reads
//! the header fields of a call and authenticates it; [`call`] validates a decoded call and turns it into a
//! [`GenerationRequest`](petrelshore_chat_gateway::GenerationRequest); [`error`] defines the errors of calls; [`stall`]
//! guards against clients that stop reading. An API decodes its own protocol into a [`call::Call`] and encodes the
//! answer, and makes no other decisions.

pub mod call;
pub mod error;
pub mod listener;
pub mod metadata;
pub mod stall;
