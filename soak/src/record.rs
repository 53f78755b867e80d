//! The record of a run: the observations on sockets and the injected faults, all timed by one clock.
//!
//! The oracle uses no other input.

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
    /// The number of the process among the gateway's processes, starting at one.
    pub run: usize,
}

/// Identifies one exchange at a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Exchange(pub u64);

/// The idempotency class of a request: how often the request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// At most once. The request may be retried within one zone for a limited time, in which the servers of the zone
    /// recognize the retry by its idempotency key.
    Keyed,
}

impl fmt::Display for Class {
    /// Writes the name that reports use.
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
    /// Processes the prompt.
    Prefill,
    /// Generates the response.
    Decode,
}

/// The end of an exchange as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// The server sent a complete response with any status.
    Completed,
    /// The server rejected the request with the response header that proves that nothing was executed.
    Declined,
    /// The server or the network broke the connection.
    Broken,
    /// The gateway closed the connection or the gateway's sending half of the connection. A faulty server that closes
    /// the connection in place of a response is recorded in the same way.
    Abandoned,
}

impl fmt::Display for ExchangeOutcome {
    /// Writes the name that reports use.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ExchangeOutcome::Completed => "Answered",
            ExchangeOutcome::Declined => "Declined",
            ExchangeOutcome::Broken => "Broken",
            ExchangeOutcome::Abandoned => "GivenUp",
        })
    }
}

/// The end of a request as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The client read a complete response with this status.
    Complete(u16),
    /// The client could not read the response to its end.
    Truncated,
    /// The connection ended before the first byte of a response.
    NoResponse {
        /// True if the connection had served an earlier request.
        reused: bool,
    },
    /// The client received no data within its read timeout.
    TimedOut,
}

impl fmt::Display for ClientOutcome {
    /// Writes the text that reports use.
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
    /// Is listed, but accepts no new requests.
    Draining,
    /// Is not listed.
    Removed,
}

/// One observation or one injected fault.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client wrote the last byte of a request on a connection that a gateway's host had accepted.
    RequestSent {
        /// The request.
        request: u64,
        /// The gateway process that the client was connected to.
        process: Process,
        /// The idempotency class of the request.
        class: Class,
        /// The deadline that the client announces, as a remaining time.
        deadline: Duration,
        /// The time at which the client started to write the request.
        started_at: Time,
    },
    /// A client read the first byte of a response.
    ResponseStarted {
        /// The request.
        request: u64,
    },
    /// A client read a whole response, reached the end of its connection, or timed out.
    ResponseEnded {
        /// The request.
        request: u64,
        /// The end of the request as the client saw it.
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
        /// The time that the event was in transit.
        delay: Duration,
    },
    /// A client that sent an invalid request finished.
    InvalidRequestFinished {
        /// The gateway process that the client was connected to.
        process: Process,
        /// True if the client read a response or the end of the connection in time.
        answered: bool,
        /// True if the gateway served the request, that is, if the response has status 200.
        served: bool,
    },
    /// A model server that is running has read the last byte of a request.
    ExchangeStarted {
        /// The exchange.
        exchange: Exchange,
        /// The request.
        request: u64,
        /// The model server.
        server: usize,
        /// The step that the model server executes.
        role: Role,
        /// The gateway that sent the request.
        gateway: usize,
        /// The time at which the first byte of the request was read.
        started_at: Time,
        /// The time at which the last byte of the request reached the server's host. A server process that is stopped
        /// at that time reads the request later.
        received_at: Time,
        /// The deadline that the gateway sent to the server, as a remaining time.
        deadline: Duration,
    },
    /// An exchange ended.
    ExchangeEnded {
        /// The exchange.
        exchange: Exchange,
        /// The end of the exchange as the server saw it.
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
    /// A gateway's discovery agent received a new state of a model server.
    EndpointUpdated {
        /// The gateway.
        gateway: usize,
        /// The model server.
        server: usize,
        /// The state of the model server.
        status: EndpointStatus,
    },
    /// A gateway's discovery agent stopped responding or resumed responding.
    DiscoveryAvailability {
        /// The gateway.
        gateway: usize,
        /// True if the agent responds again; false if it stopped responding.
        available: bool,
    },
    /// A gateway's discovery agent delays its responses from now on.
    DiscoveryDelayed {
        /// The gateway.
        gateway: usize,
        /// The delay; zero if responses are no longer delayed.
        delay: Duration,
    },
    /// A fault that breaks a gateway's outgoing connections began or ended.
    ConnectionsBreaking {
        /// The gateway.
        gateway: usize,
        /// True if the fault began; false if it ended.
        active: bool,
    },
    /// Network links to model servers were cut or restored.
    LinksCut {
        /// The model servers.
        servers: Vec<usize>,
        /// True if the links were cut; false if they were restored.
        cut: bool,
    },
    /// The open polls of a gateway at its discovery agent were stalled: the agent never answers these polls.
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
        /// The time from the spawn of the process to the first health check that passed.
        startup_time: Duration,
    },
    /// A gateway process did not become ready: the process exited or timed out.
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
    /// A gateway process exited without being killed.
    ProcessExited {
        /// The process.
        process: Process,
        /// True if the exit status is success.
        clean: bool,
    },
    /// A fault began or ended.
    Fault {
        /// The name of the fault's kind in reports.
        kind: String,
        /// The gateway that was drawn for the fault.
        gateway: usize,
        /// Identifies the fault within the run.
        number: usize,
        /// True if the fault began; false if it ended.
        began: bool,
    },
    /// The scheduling of the soak's own tasks was delayed.
    SchedulingDelay {
        /// The duration of the delay.
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
    /// Returns the time since the start of the run.
    pub fn now(&self) -> Time {
        self.started.elapsed()
    }

    /// Appends an event with the current time.
    pub fn write(&self, event: Event) {
        let now = self.now();
        self.events.borrow_mut().push((now, event));
    }

    /// Returns a copy of all recorded events.
    pub fn events(&self) -> Vec<(Time, Event)> {
        self.events.borrow().clone()
    }
}
