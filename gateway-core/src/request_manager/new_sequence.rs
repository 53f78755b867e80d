//! A new sequence, as an API passes it to the request manager.

use petrelshore::interface::{Nanos, PrefixId, SequenceId, SessionId, TenantId, TrafficTypeId};

/// The way in which the answer of a decode server reaches the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relay {
    /// Token by token. A broken stream can only be resumed after the tokens that the client has received.
    Streamed,
    /// As one complete answer. A broken stream may be decoded again from its start, which makes its text void.
    Buffered,
    /// As the unchanged events of one decode server. A broken stream ends the sequence.
    Passthrough,
}

/// A new sequence, as an API passes it to the request manager.
#[derive(Clone, Debug)]
pub struct NewSequence {
    /// The id of the sequence at this gateway.
    pub id: SequenceId,
    /// The traffic type of the sequence.
    pub traffic: TrafficTypeId,
    /// The tenant whose quota the sequence counts against.
    pub tenant: Option<TenantId>,
    /// The conversation that the sequence belongs to.
    pub session: Option<SessionId>,
    /// The prefix that the prompt shares with other sequences.
    pub prefix: Option<PrefixId>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Length of the shared prefix, in tokens.
    pub prefix_tokens: f64,
    /// The maximum number of tokens of the answer.
    pub max_output_tokens: f64,
    /// Rough length of the answer, as the time that it takes at the token interval of the traffic type.
    pub output_length_hint: Option<Nanos>,
    /// True if the sequence asks for the rest of an answer whose stream broke.
    pub resumed: bool,
    /// The way in which the answer reaches the client.
    pub relay: Relay,
    /// Time at which the sequence fails if no token has arrived.
    pub first_token_deadline: Nanos,
    /// The client's deadline for the complete answer, if the client has one.
    pub completion_deadline: Option<Nanos>,
}
