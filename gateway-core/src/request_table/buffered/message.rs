//! What an API hands to the buffered request table, and what it gets back.

use crate::request_manager::{FailureReason, Relay};
use crate::token_estimate::PromptEstimate;
use petrelshore::interface::{Nanos, SequenceId, SessionId, TenantId, TrafficTypeId};
use std::rc::Rc;

/// A request as an API parsed it. It is not accepted before the request table says so.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its traffic type.
    pub traffic: TrafficTypeId,
    /// Whose quota it counts against.
    pub tenant: Option<TenantId>,
    /// The conversation that it belongs to.
    pub session: Option<SessionId>,
    /// Estimated lengths of its prompt and its shared prefix.
    pub estimate: PromptEstimate,
    /// The model that it names.
    pub model: Rc<str>,
    /// Its prompt.
    pub prompt: Rc<str>,
    /// Most tokens that its answer may have.
    pub max_tokens: u32,
    /// The client's idempotency key.
    pub idempotency_key: Option<Rc<str>>,
    /// How its answer reaches the client.
    pub relay: Relay,
    /// Identifies the client for the limits on one client.
    pub client: u64,
    /// How long the client waits for a first token, from `arrived_at` on.
    pub first_token_budget: Nanos,
    /// How long it waits for the complete answer, if it said so.
    pub completion_budget: Option<Nanos>,
    /// When it arrived.
    pub arrived_at: Nanos,
}

/// Tokens of a request, as the decode server counted them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

/// Why a request was not accepted. Nothing ran: a retry is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The gateway's capacity is in use.
    GatewayAtCapacity {
        /// How long the client is asked to wait before a retry.
        retry_after: Nanos,
    },
    /// This client's share of the capacity is in use.
    ClientAtCapacity {
        /// How long the client is asked to wait before a retry.
        retry_after: Nanos,
    },
    /// The gateway is draining.
    Draining {
        /// How long the client is asked to wait before a retry.
        retry_after: Nanos,
    },
    /// A request with the same idempotency key is in flight.
    KeyInFlight {
        /// How long the client is asked to wait before a retry.
        retry_after: Nanos,
    },
    /// The idempotency key was used for another request.
    KeyReused,
    /// This client cancels too many of its requests.
    TooManyCancelled {
        /// How long the client is asked to wait before a retry.
        retry_after: Nanos,
    },
    /// The client's deadline is too short for any answer.
    DeadlineTooShort,
}

/// The one final answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The answer is complete.
    Completed {
        /// Why it ended, in the API's words.
        finish_reason: String,
        /// Its tokens.
        usage: Usage,
    },
    /// Nothing ran that must not run again: a retry of the client is harmless.
    Rejected {
        /// How long the client is asked to wait before a retry.
        retry_after: Option<Nanos>,
        /// Why it failed.
        reason: FailureReason,
    },
    /// The request may have run, or its stream broke.
    Aborted {
        /// Why it failed.
        reason: FailureReason,
    },
}

/// The result of a request's admission.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It is in flight and gets a final answer.
    Accepted(SequenceId),
    /// A request with its idempotency key completed before; this is its stored answer.
    Replayed {
        /// An id for the replayed answer.
        id: SequenceId,
        /// Its complete text.
        text: Rc<str>,
        /// Its final answer.
        last: FinalAnswer,
    },
    /// It was not accepted.
    Rejected(Rejection),
}

/// A piece of an answer, as a decode server sent it.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Further text.
    Text(String),
    /// Why the answer ended, in the API's words.
    Finish(String),
    /// Tokens of the request.
    Usage(Usage),
}
