//! A sequence as an API hands it over.

use petrelshore::interface::{Nanos, PrefixId, SequenceId, SessionId, TenantId, TrafficTypeId};

/// How the answer of a decode server reaches the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relay {
    /// Token by token: a broken stream can only be resumed after the tokens that the client has.
    Streamed,
    /// All at once, when it is complete: a broken stream may be decoded again from its start.
    Buffered,
    /// As the unchanged events of one decode server: a broken stream has ended.
    Passthrough,
}

/// A sequence as an API hands it over.
#[derive(Clone, Debug)]
pub struct NewSequence {
    /// Its id at this gateway.
    pub id: SequenceId,
    /// Its traffic type.
    pub traffic: TrafficTypeId,
    /// Whose quota it counts against.
    pub tenant: Option<TenantId>,
    /// The conversation that it belongs to.
    pub session: Option<SessionId>,
    /// The prefix that its prompt shares with others.
    pub prefix: Option<PrefixId>,
    /// Length of its prompt.
    pub prompt_tokens: f64,
    /// Length of that prefix.
    pub prefix_tokens: f64,
    /// Most tokens that its answer may have.
    pub max_output_tokens: f64,
    /// Rough length of the answer, as time at the type's token interval.
    pub output_length_hint: Option<Nanos>,
    /// Whether it asks for the rest of an answer that broke off.
    pub resumed: bool,
    /// How its answer reaches the client.
    pub relay: Relay,
    /// When the sequence fails if no token has come.
    pub first_token_deadline: Nanos,
    /// When the client's deadline for the complete answer passes, if it has one.
    pub completion_deadline: Option<Nanos>,
}
