//! Messages between an API and the buffered request table: requests, results of admission, and answers.

use crate::request_manager::{FailureReason, Relay};
use crate::token_estimate::PromptEstimate;
use petrelshore::interface::{Nanos, SequenceId, SessionId, TenantId, TrafficTypeId};
use std::rc::Rc;

/// A request as parsed by an API, before the request table accepts or rejects it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The traffic type of the request.
    pub traffic: TrafficTypeId,
    /// The tenant whose quota the request counts against.
    pub tenant: Option<TenantId>,
    /// The conversation that the request belongs to.
    pub session: Option<SessionId>,
    /// The estimated lengths of the prompt and its shared prefix.
    pub estimate: PromptEstimate,
    /// The name of the requested model.
    pub model: Rc<str>,
    /// The prompt text.
    pub prompt: Rc<str>,
    /// The maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// The client's idempotency key.
    pub idempotency_key: Option<Rc<str>>,
    /// The way in which the answer is relayed to the client.
    pub relay: Relay,
    /// Identifies the client for the limits per client.
    pub client: u64,
    /// The time that the client waits for the first token, counted from `arrived_at`.
    pub first_token_budget: Nanos,
    /// The time that the client waits for the complete answer, if the request specifies it.
    pub completion_budget: Option<Nanos>,
    /// The arrival time of the request.
    pub arrived_at: Nanos,
}

/// Token counts of a request, as reported by the decode server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens in the answer.
    pub completion_tokens: u64,
}

/// The reason for not accepting a request. No work ran, so a retry is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The gateway's capacity is in use.
    GatewayAtCapacity {
        /// The time that the client is asked to wait before a retry.
        retry_after: Nanos,
    },
    /// This client's share of the capacity is in use.
    ClientAtCapacity {
        /// The time that the client is asked to wait before a retry.
        retry_after: Nanos,
    },
    /// The gateway is draining.
    Draining {
        /// The time that the client is asked to wait before a retry.
        retry_after: Nanos,
    },
    /// A request with the same idempotency key is in flight.
    KeyInFlight {
        /// The time that the client is asked to wait before a retry.
        retry_after: Nanos,
    },
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// This client cancels too many of its requests.
    TooManyCancelled {
        /// The time that the client is asked to wait before a retry.
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
        /// The finish reason, as spelled in the API.
        finish_reason: String,
        /// The token counts.
        usage: Usage,
    },
    /// No work ran that must not run twice, so a retry by the client is harmless.
    Rejected {
        /// The time that the client is asked to wait before a retry.
        retry_after: Option<Nanos>,
        /// The reason for the failure.
        reason: FailureReason,
    },
    /// The request may have run, or its stream broke.
    Aborted {
        /// The reason for the failure.
        reason: FailureReason,
    },
}

/// The result of a request's admission.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The request is in flight and gets a final answer.
    Accepted(SequenceId),
    /// An earlier request with the same idempotency key has ended. Its stored answer is replayed, or an abort if the
    /// answer is not stored.
    Replayed {
        /// The id of the replayed answer, which no request has. The request table does not track it.
        id: SequenceId,
        /// The complete text of the stored answer; empty if the answer is not stored.
        text: Rc<str>,
        /// The final answer that is replayed.
        last: FinalAnswer,
    },
    /// The request was not accepted.
    Rejected(Rejection),
}

/// The relation of an attempt's output to the text that earlier attempts of its request have produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "text that was passed on before may be void"]
pub enum OutputStart {
    /// The output follows the earlier text, if there is any.
    Continues,
    /// The attempt generates the answer from its start. The earlier text is not part of the answer.
    Restarts,
}

/// A piece of an answer, as received from a decode server.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Further text.
    Text(String),
    /// The finish reason of the answer, as spelled in the API.
    Finish(String),
    /// Token counts of the request.
    Usage(Usage),
}
