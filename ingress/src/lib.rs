//! What every client-facing API of the gateway shares, whatever its protocol.
//!
//! [`listener`] accepts connections and limits what they send before it is understood; [`metadata`] reads a call's
//! header fields and authenticates it; [`call`] validates a decoded call and turns it into an
//! [`GenerationRequest`](petrelshore_chat_gateway::GenerationRequest); [`error`] says why a call failed; [`stall`] guards sockets of clients that
//! stop reading. An API decodes its own protocol into a [`call::Call`] and encodes the answer; it decides nothing.

pub mod call;
pub mod error;
pub mod listener;
pub mod metadata;
pub mod stall;
