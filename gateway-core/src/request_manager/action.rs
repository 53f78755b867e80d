//! The messages of the request manager: what it asks its caller to do, and its counters.

use petrelshore::interface::{Nanos, Outcome, SequenceId, ServerId, Step};

/// An attempt to send now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    /// The sequence that it belongs to.
    pub id: SequenceId,
    /// Number of the attempt within its sequence, from zero.
    pub attempt: usize,
    /// The server to send it to.
    pub server: ServerId,
    /// What the server is to do.
    pub step: Step,
    /// The prefill server from which a decode server fetches the KV cache.
    pub prefill_server: Option<ServerId>,
    /// Time until the end of a prefill or until the first token.
    pub timeout: Nanos,
    /// Tokens of earlier attempts that the client has received; the answer continues after them.
    pub tokens_delivered: u32,
    /// Time to establish a new connection, if one is needed.
    pub connect_timeout: Nanos,
    /// Not to be sent later: servers forget the sequence's idempotency key then.
    pub send_deadline: Nanos,
    /// A KV cache is reserved meanwhile: a reused connection must prove within the connect timeout that its server is
    /// there.
    pub holds_cache: bool,
    /// To be sent on a new connection: if a pooled one closed under it, at-most-once work might have run.
    pub new_connection: bool,
}

/// Why a sequence failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FailureReason {
    /// No server had capacity, or none in time.
    AtCapacity,
    /// The limit on attempts was reached.
    AttemptsExhausted,
    /// The client's deadline was about to pass.
    DeadlineExceeded,
    /// The stream broke after the client had received part of it.
    StreamBroken,
    /// The client did not read its stream.
    ClientStalled,
    /// The gateway is shutting down.
    ShuttingDown,
    /// The answer is larger than a buffered one may be.
    AnswerTooLarge,
    /// A request with the same idempotency key ran before, and its answer is not stored.
    AlreadyRan,
}

/// Why an attempt was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Its time was over, or its stream was silent for too long.
    TimedOut,
    /// The client read nothing of its stream for too long.
    ClientStalled,
    /// The client left.
    ClientLeft,
    /// The gateway shuts down.
    ShuttingDown,
}

/// What the caller is to do, in this order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send(Dispatch),
    /// Cancel an attempt; of a prefill, also release the KV cache that it may have left.
    Cancel {
        /// The sequence.
        id: SequenceId,
        /// The attempt to cancel.
        attempt: usize,
        /// The server that it was sent to.
        server: ServerId,
        /// What that server was to do.
        step: Step,
        /// Why it is cancelled.
        reason: CancelReason,
    },
    /// Release every KV cache reserved for the sequence that no attempt is to fetch.
    Release {
        /// The sequence.
        id: SequenceId,
    },
    /// Final answer: a retry of the client is harmless.
    Reject {
        /// The sequence.
        id: SequenceId,
        /// How long the client is asked to wait before a retry.
        retry_after: Option<Nanos>,
        /// Why it failed.
        reason: FailureReason,
    },
    /// Final answer: the request may have run.
    Abort {
        /// The sequence.
        id: SequenceId,
        /// Why it failed.
        reason: FailureReason,
    },
    /// Final answer: the outcome of the last attempt completed the sequence.
    Complete {
        /// The sequence.
        id: SequenceId,
        /// That outcome.
        outcome: Outcome,
        /// Why it failed, unless the answer is complete.
        reason: Option<FailureReason>,
    },
    /// Schedule the sequence again at that time. Callers that run [`RequestManager::on_timeout`] may ignore it.
    ///
    /// [`RequestManager::on_timeout`]: crate::RequestManager::on_timeout
    WakeAt {
        /// The sequence.
        id: SequenceId,
        /// When.
        at: Nanos,
    },
    /// Poll the endpoint list at that time.
    PollEndpoints {
        /// When.
        at: Nanos,
    },
}

/// Whether the outcome of an attempt completes its sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finality {
    /// It does: no further attempt may follow.
    Final,
    /// It does not by itself: the scheduler decides what follows.
    Retryable,
}

impl Finality {
    /// [`Finality::Final`] where the condition holds.
    pub fn final_if(condition: bool) -> Self {
        if condition { Finality::Final } else { Finality::Retryable }
    }

    pub(super) fn is_final(self) -> bool {
        self == Finality::Final
    }
}

/// Counts of events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sequences accepted.
    pub accepted: u64,
    /// Sequences answered completely.
    pub completed: u64,
    /// Sequences rejected.
    pub rejected: u64,
    /// Sequences aborted.
    pub aborted: u64,
    /// Sequences cancelled by their clients.
    pub cancelled: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
}
