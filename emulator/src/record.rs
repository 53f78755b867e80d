//! Records the events that emulated servers and clients observed on their sockets. The auditor relies on these records
//! alone.

use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Nanoseconds since the start of a record.
pub type Nanos = u64;

/// An observed event. The serialized names stay as they are, so that stored records remain readable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// A client sent a request to a gateway.
    #[serde(rename = "asked")]
    RequestSent {
        /// The number of the client's request.
        client: u64,
        /// The gateway's name.
        gateway: String,
        /// The traffic type.
        traffic: String,
        /// The client's deadline.
        #[serde(rename = "until")]
        deadline: Nanos,
    },
    /// A client's request ended.
    #[serde(rename = "answered")]
    ResponseReceived {
        /// The request.
        client: u64,
        /// The outcome of the request, as the client saw it.
        #[serde(rename = "answer")]
        outcome: FinalOutcome,
        /// The time from the request to the first token, in nanoseconds; `None` if no token was received.
        first_token: Option<Nanos>,
        /// The number of tokens that the client received.
        tokens: u64,
    },
    /// A client received data after its final response.
    #[serde(rename = "after_final")]
    DataAfterFinal {
        /// The request.
        client: u64,
    },
    /// A server received the whole of a completion request.
    #[serde(rename = "arrived")]
    AttemptArrived {
        /// The server's name.
        server: String,
        /// The sender's `User-Agent` header.
        gateway: String,
        /// The request ID of the attempt.
        request: String,
        /// The idempotency key of the attempt.
        #[serde(rename = "mark")]
        idempotency_key: Option<String>,
        /// The name of the step in records.
        #[serde(rename = "work")]
        step: String,
        /// The number of the client's request, if the prompt contains it.
        client: Option<u64>,
    },
    /// A server rejected a completion request before executing any of it.
    #[serde(rename = "turned")]
    AttemptRejected {
        /// The server's name.
        server: String,
        /// The request ID of the attempt.
        request: String,
        /// The error code.
        code: String,
    },
    /// A server accepted a step that has an effect: a decode or combined step. The step may still wait for a slot.
    #[serde(rename = "ran")]
    ExecutionStarted {
        /// The server's name.
        server: String,
        /// The request ID of the attempt.
        request: String,
    },
    /// A completion request ended on its server, successfully or not.
    #[serde(rename = "over")]
    AttemptEnded {
        /// The server's name.
        server: String,
        /// The request ID of the attempt.
        request: String,
    },
    /// A server holds the KV cache of a request.
    #[serde(rename = "state_held")]
    CacheReserved {
        /// The server's name.
        server: String,
        /// The request ID of the attempt.
        request: String,
    },
    /// A server no longer holds a KV cache: the cache was fetched or released, it expired, or the server stopped.
    #[serde(rename = "state_gone")]
    CacheReleased {
        /// The server's name.
        server: String,
        /// The request ID of the attempt.
        request: String,
    },
    /// A server failed under overload while it was warming up.
    #[serde(rename = "fell_over")]
    ServerOverloaded {
        /// The server's name.
        server: String,
    },
    /// A server started, or its fault was changed.
    #[serde(rename = "box")]
    FaultSet {
        /// The server's name.
        server: String,
        /// The server's cell.
        cell: String,
        /// The name of the new fault in records.
        fault: String,
    },
    /// A gateway was notified that a server accepts new requests or no longer accepts them.
    #[serde(rename = "told")]
    GatewayNotified {
        /// The gateway's name.
        gateway: String,
        /// The server's name.
        server: String,
        /// True if the server accepts new requests.
        open: bool,
    },
    /// A gateway was killed. It is not expected to release the KV caches of its requests.
    #[serde(rename = "killed")]
    GatewayKilled {
        /// The gateway's name.
        gateway: String,
    },
    /// A killed gateway was started again.
    #[serde(rename = "back")]
    GatewayRestarted {
        /// The gateway's name.
        gateway: String,
    },
}

/// The outcome of a client's request, as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalOutcome {
    /// The client received a complete answer.
    #[serde(rename = "generated")]
    Completed,
    /// The client received an error that says that the request was rejected and may be retried.
    Rejected,
    /// The client received an error that says that the request was aborted.
    Aborted,
    /// The client received any other error, before the request was accepted.
    #[serde(rename = "refused")]
    NotAccepted,
    /// The connection ended without a final response.
    #[serde(rename = "nothing")]
    NoResponse,
    /// The client disconnected.
    #[serde(rename = "left")]
    Disconnected,
}

impl FinalOutcome {
    /// The name of the outcome in records and reports.
    pub fn name(self) -> &'static str {
        match self {
            FinalOutcome::Completed => "generated",
            FinalOutcome::Rejected => "rejected",
            FinalOutcome::Aborted => "aborted",
            FinalOutcome::NotAccepted => "refused",
            FinalOutcome::NoResponse => "nothing",
            FinalOutcome::Disconnected => "left",
        }
    }
}

/// An event with the time of its observation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The time of the observation.
    pub at: Nanos,
    /// The observed event.
    #[serde(flatten)]
    pub event: Event,
}

/// A record that all emulated servers and clients of a process share, with a single clock.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    entries: Rc<RefCell<Vec<Entry>>>,
    disabled: Rc<Cell<bool>>,
}

impl Default for Record {
    fn default() -> Self {
        Record { started: Instant::now(), entries: Rc::default(), disabled: Rc::default() }
    }
}

impl Record {
    /// The time since the start of the record.
    pub fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Makes the record ignore all events from now on.
    pub fn disable(&self) {
        self.disabled.set(true);
    }

    /// Appends an event with the current time, unless the record is disabled.
    pub fn write(&self, event: Event) {
        if self.disabled.get() {
            return;
        }
        self.entries.borrow_mut().push(Entry { at: self.now(), event });
    }

    /// Returns a copy of all entries.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.borrow().clone()
    }
}
