//! The actions that the request manager returns to its caller, and its counters.

use petrelshore::interface::{Nanos, Outcome, SequenceId, ServerId, Step};

/// An attempt that the caller sends now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    /// The sequence that the attempt belongs to.
    pub id: SequenceId,
    /// Index of the attempt within its sequence, starting at zero.
    pub attempt: usize,
    /// The server that the attempt is sent to.
    pub server: ServerId,
    /// The step that the server performs.
    pub step: Step,
    /// The prefill server from which a decode server fetches the KV cache.
    pub prefill_server: Option<ServerId>,
    /// Time limit for the end of a prefill or for the first token, in nanoseconds.
    pub timeout: Nanos,
    /// Number of tokens that the client has received from earlier attempts. The answer continues after these tokens.
    pub tokens_delivered: u32,
    /// Time limit for establishing a new connection if the attempt needs one, in nanoseconds.
    pub connect_timeout: Nanos,
    /// Time from which the attempt must not be sent: servers may have forgotten the sequence's idempotency key by then.
    pub send_deadline: Nanos,
    /// True if a KV cache is reserved while the attempt is sent. A reused connection must then prove within the connect
    /// timeout that its server is there.
    pub holds_cache: bool,
    /// True if the attempt must be sent on a new connection. If a pooled connection closed after the attempt was
    /// written, at-most-once work might have run.
    pub new_connection: bool,
}

/// The reason why a sequence failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FailureReason {
    /// No server had capacity in time.
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
    /// The answer exceeds the size limit of buffered answers.
    AnswerTooLarge,
    /// A request with the same idempotency key ran before, and its answer is not stored.
    AlreadyRan,
}

/// The reason why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The attempt exceeded its time limit, or its stream was silent for too long.
    TimedOut,
    /// The client read nothing of its stream for too long.
    ClientStalled,
    /// The client disconnected or cancelled its request.
    ClientLeft,
    /// The gateway is shutting down.
    ShuttingDown,
}

/// An action that the caller executes. Actions are executed in the order in which they are returned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send(Dispatch),
    /// Cancel an attempt. If the attempt is a prefill, also release the KV cache that it may have left.
    Cancel {
        /// The sequence.
        id: SequenceId,
        /// The attempt to cancel.
        attempt: usize,
        /// The server that the attempt was sent to.
        server: ServerId,
        /// The step that the server was to perform.
        step: Step,
        /// The reason for the cancellation.
        reason: CancelReason,
    },
    /// Release every KV cache that is reserved for the sequence and that no attempt is to fetch.
    Release {
        /// The sequence.
        id: SequenceId,
    },
    /// Give the final answer that the request failed and that the client may safely retry it.
    Reject {
        /// The sequence.
        id: SequenceId,
        /// Time that the client is asked to wait before a retry, in nanoseconds.
        retry_after: Option<Nanos>,
        /// The reason for the failure.
        reason: FailureReason,
    },
    /// Give the final answer that the request failed but may have run.
    Abort {
        /// The sequence.
        id: SequenceId,
        /// The reason for the failure.
        reason: FailureReason,
    },
    /// Give the final answer: the outcome of the last attempt completed the sequence.
    Complete {
        /// The sequence.
        id: SequenceId,
        /// The outcome of the last attempt.
        outcome: Outcome,
        /// The reason for the failure; `None` if the answer is complete.
        reason: Option<FailureReason>,
    },
    /// Schedule the sequence again at the given time, by [`RequestManager::retry_scheduling`]. Callers that run
    /// [`RequestManager::on_timeout`] may ignore this action.
    ///
    /// [`RequestManager::retry_scheduling`]: crate::RequestManager::retry_scheduling
    /// [`RequestManager::on_timeout`]: crate::RequestManager::on_timeout
    WakeAt {
        /// The sequence.
        id: SequenceId,
        /// The time to schedule the sequence.
        at: Nanos,
    },
    /// Poll the endpoint list at the given time.
    PollEndpoints {
        /// The time of the poll.
        at: Nanos,
    },
}

/// The effect of an attempt's outcome on its sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finality {
    /// The outcome completes the sequence: no further attempt may follow.
    Final,
    /// The outcome does not complete the sequence by itself: the scheduler decides what follows.
    Retryable,
}

impl Finality {
    /// Returns [`Finality::Final`] if the condition holds, else [`Finality::Retryable`].
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
