//! What was observed on the sockets, as emulated servers and clients saw it. The auditor judges from this alone.

use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Nanoseconds since the start of a record.
pub type Nanos = u64;

/// One observation. Records that were stored keep their words for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// A client sent a request to a gateway.
    #[serde(rename = "asked")]
    RequestSent {
        /// Numbers the request.
        client: u64,
        /// The gateway's name.
        gateway: String,
        /// The traffic type.
        traffic: String,
        /// When the client's deadline ends.
        #[serde(rename = "until")]
        deadline: Nanos,
    },
    /// A client's request ended.
    #[serde(rename = "answered")]
    ResponseReceived {
        /// The request.
        client: u64,
        /// How it ended.
        #[serde(rename = "answer")]
        outcome: FinalOutcome,
        /// Nanoseconds from the request to the first token.
        first_token: Option<Nanos>,
        /// Tokens received.
        tokens: u64,
    },
    /// A client received something after its final response.
    #[serde(rename = "after_final")]
    DataAfterFinal {
        /// The request.
        client: u64,
    },
    /// A server read a complete request for work.
    #[serde(rename = "arrived")]
    AttemptArrived {
        /// The server's name.
        server: String,
        /// How its sender names itself.
        gateway: String,
        /// The request ID of the attempt.
        request: String,
        /// Its idempotency key.
        #[serde(rename = "mark")]
        idempotency_key: Option<String>,
        /// The step, by its name in records.
        #[serde(rename = "work")]
        step: String,
        /// The client's request, where its prompt names it.
        client: Option<u64>,
    },
    /// A server rejected a request for work before executing anything.
    #[serde(rename = "turned")]
    AttemptRejected {
        /// The server's name.
        server: String,
        /// The request ID of the attempt.
        request: String,
        /// The error code.
        code: String,
    },
    /// A server began work that has an effect.
    #[serde(rename = "ran")]
    ExecutionStarted {
        /// The server's name.
        server: String,
        /// The request ID of the attempt.
        request: String,
    },
    /// A request for work is completed, however it ended.
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
    /// A KV cache was fetched or released.
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
        /// Its cell.
        cell: String,
        /// How it misbehaves from now on, by the name in records.
        fault: String,
    },
    /// A gateway was notified whether a server accepts new requests.
    #[serde(rename = "told")]
    GatewayNotified {
        /// The gateway's name.
        gateway: String,
        /// The server's name.
        server: String,
        /// Whether it accepts new requests.
        open: bool,
    },
    /// A gateway was killed: it need not release what it held.
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

/// How a client's request ended, by what the client saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalOutcome {
    /// A complete answer.
    #[serde(rename = "generated")]
    Completed,
    /// An error that says that the request was rejected and may be retried.
    Rejected,
    /// An error that says that the request was aborted.
    Aborted,
    /// Any other error, before the request was accepted.
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
    /// The word in records and reports.
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

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it was observed.
    pub at: Nanos,
    /// What was observed.
    #[serde(flatten)]
    pub event: Event,
}

/// A record that all observers of one process write to, on one clock.
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
    /// Time since the start of the record.
    pub fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Stores nothing from now on.
    pub fn disable(&self) {
        self.disabled.set(true);
    }

    /// Appends an event, as of now.
    pub fn write(&self, event: Event) {
        if self.disabled.get() {
            return;
        }
        self.entries.borrow_mut().push(Entry { at: self.now(), event });
    }

    /// A copy of all entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.borrow().clone()
    }
}
