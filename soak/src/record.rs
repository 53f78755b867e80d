//! The record of a run: what was observed on sockets and which faults were injected, all on one clock.
//!
//! The oracle judges from this record alone.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time since the start of a run.
pub type Time = Duration;

/// One of a gateway's processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Process {
    /// The gateway's number.
    pub gateway: usize,
    /// Counts the gateway's processes from one.
    pub run: usize,
}

/// Identifies one exchange at a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Exchange(pub u64);

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// Servers of one zone recognize a retry by its idempotency key, for a limited time.
    Keyed,
}

impl fmt::Display for Class {
    /// Writes the word that reports use.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Class::Idempotent => "Repeatable",
            Class::AtMostOnce => "OnceOnly",
            Class::Keyed => "Tokened",
        })
    }
}

/// The step of a request that a model server executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Processes prompts.
    Prefill,
    /// Generates answers.
    Decode,
}

/// How an exchange ended, as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// The server sent a complete response, of whatever status.
    Completed,
    /// The server rejected the request with the header that proves that nothing was executed.
    Declined,
    /// The server or the network broke the connection.
    Broken,
    /// The gateway closed the connection, or its sending half.
    Abandoned,
}

impl fmt::Display for ExchangeOutcome {
    /// Writes the word that reports use.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ExchangeOutcome::Completed => "Answered",
            ExchangeOutcome::Declined => "Declined",
            ExchangeOutcome::Broken => "Broken",
            ExchangeOutcome::Abandoned => "GivenUp",
        })
    }
}

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A complete response of this status.
    Complete(u16),
    /// The response ended before its end was announced.
    Truncated,
    /// The connection ended before the first byte of a response.
    NoResponse {
        /// Whether the connection had served a request before.
        reused: bool,
    },
    /// Nothing arrived for a long time.
    TimedOut,
}

impl fmt::Display for ClientOutcome {
    /// Writes the words that reports use.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientOutcome::Complete(status) => write!(formatter, "Whole({status})"),
            ClientOutcome::Truncated => formatter.write_str("CutShort"),
            ClientOutcome::NoResponse { reused } => write!(formatter, "Nothing {{ reused: {reused} }}"),
            ClientOutcome::TimedOut => formatter.write_str("Silence"),
        }
    }
}

/// The state of a model server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Accepts new requests.
    Active,
    /// Listed, but accepts no new requests.
    Draining,
    /// Not listed.
    Removed,
}

/// One observation or one injected fault.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client wrote the last byte of a request on a connection that a gateway's host had accepted.
    RequestSent {
        /// The request.
        request: u64,
        /// The process that received it.
        process: Process,
        /// How often it may be executed.
        class: Class,
        /// How long its client waits.
        deadline: Duration,
        /// When its first byte was written.
        started_at: Time,
    },
    /// A client read the first byte of a response.
    ResponseStarted {
        /// The request.
        request: u64,
    },
    /// A client has its response, or the end of its connection.
    ResponseEnded {
        /// The request.
        request: u64,
        /// What the client saw.
        outcome: ClientOutcome,
    },
    /// A client closed its connection without waiting for the response.
    ClientDisconnected {
        /// The request.
        request: u64,
    },
    /// A client read one event of a stream.
    StreamEventReceived {
        /// The request.
        request: u64,
        /// How long the event was in transit.
        delay: Duration,
    },
    /// A client that sent an invalid request has finished.
    InvalidRequestFinished {
        /// The process that received it.
        process: Process,
        /// Whether an error or a close arrived in time.
        answered: bool,
        /// Whether the request was served.
        served: bool,
    },
    /// A running model server has the last byte of a request.
    ExchangeStarted {
        /// The exchange.
        exchange: Exchange,
        /// The request.
        request: u64,
        /// The model server.
        server: usize,
        /// The step that it executes.
        role: Role,
        /// The gateway that sent it.
        gateway: usize,
        /// When its first byte was read.
        started_at: Time,
        /// When its last byte had reached the server's host; the server may have been stopped then, and have it later.
        received_at: Time,
        /// The time left, as the server was notified.
        deadline: Duration,
    },
    /// An exchange ended.
    ExchangeEnded {
        /// The exchange.
        exchange: Exchange,
        /// How it ended.
        outcome: ExchangeOutcome,
    },
    /// A model server reserved KV cache for a request.
    CacheReserved {
        /// The request.
        request: u64,
        /// The model server.
        server: usize,
    },
    /// A model server released the KV cache of a request.
    CacheReleased {
        /// The request.
        request: u64,
        /// The model server.
        server: usize,
    },
    /// A model server restarted and is warming up.
    ServerStarted {
        /// The model server.
        server: usize,
    },
    /// A gateway's discovery agent has a new state of a model server.
    EndpointUpdated {
        /// The gateway.
        gateway: usize,
        /// The model server.
        server: usize,
        /// Its state.
        status: EndpointStatus,
    },
    /// A gateway's discovery agent stopped responding, or responds again.
    DiscoveryAvailability {
        /// The gateway.
        gateway: usize,
        /// Whether it responds.
        available: bool,
    },
    /// A gateway's discovery agent delays its responses from now on.
    DiscoveryDelayed {
        /// The gateway.
        gateway: usize,
        /// The delay; zero ends it.
        delay: Duration,
    },
    /// A gateway's outgoing connections break from now on, or do so no more.
    ConnectionsBreaking {
        /// The gateway.
        gateway: usize,
        /// Whether they break.
        active: bool,
    },
    /// Links to model servers were cut, or restored.
    LinksCut {
        /// The model servers.
        servers: Vec<usize>,
        /// Whether they are cut.
        cut: bool,
    },
    /// A gateway's open discovery polls will never be answered.
    WatchesStalled {
        /// The gateway.
        gateway: usize,
    },
    /// A gateway process was spawned.
    ProcessSpawned {
        /// The process.
        process: Process,
    },
    /// A gateway process passed its first health check.
    ProcessReady {
        /// The process.
        process: Process,
        /// How long its start took.
        startup_time: Duration,
    },
    /// A gateway process did not become ready.
    ProcessNotReady {
        /// The process.
        process: Process,
    },
    /// A gateway process was sent the stop signal.
    StopSignalSent {
        /// The process.
        process: Process,
    },
    /// A gateway process was sent the reload signal.
    ReloadSignalSent {
        /// The process.
        process: Process,
    },
    /// A gateway process was killed.
    ProcessKilled {
        /// The process.
        process: Process,
    },
    /// A gateway process ended by itself.
    ProcessExited {
        /// The process.
        process: Process,
        /// Whether it reported success.
        clean: bool,
    },
    /// A fault began or ended.
    Fault {
        /// The kind, by its name in reports.
        kind: String,
        /// The gateway that it was drawn for.
        gateway: usize,
        /// Identifies the fault within the run.
        number: usize,
        /// Whether it began.
        began: bool,
    },
    /// The soak itself was delayed.
    SchedulingDelay {
        /// By how much.
        delay: Duration,
    },
}

/// All events of a run, in order.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    events: Rc<RefCell<Vec<(Time, Event)>>>,
}

impl Default for Record {
    fn default() -> Self {
        Record { started: Instant::now(), events: Rc::default() }
    }
}

impl Record {
    /// Time since the start of the run.
    pub fn now(&self) -> Time {
        self.started.elapsed()
    }

    /// Appends an event, as of now.
    pub fn write(&self, event: Event) {
        let now = self.now();
        self.events.borrow_mut().push((now, event));
    }

    /// A copy of all events so far.
    pub fn events(&self) -> Vec<(Time, Event)> {
        self.events.borrow().clone()
    }
}
