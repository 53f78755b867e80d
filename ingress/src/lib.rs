//! What every front shares, whatever its protocol.
//!
//! [`listener`] takes connections and bounds what they bring; [`call`] turns a decoded call into a
//! [`GenerationRequest`](petrelshore_chat_gateway::GenerationRequest) or says which field is wrong; [`stall`] guards sockets
//! of clients that stop
//! reading. A front decodes its own protocol into a [`call::Call`] and words the answer; it decides nothing.

pub mod call;
pub mod listener;
pub mod stall;
