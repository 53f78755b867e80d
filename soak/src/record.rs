//! What passed on the sockets, and what was done to the world, with one clock. The oracle judges from this alone.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time since the start of a run.
pub type Time = Duration;

/// A gateway by its number, and which of its processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Process {
    pub gateway: usize,
    pub run: usize,
}

/// One exchange at a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Exchange(pub u64);

/// What a class of requests allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Repeatable,
    OnceOnly,
    /// Repeats are known within one zone, for a while.
    Tokened,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Prefill,
    Decode,
}

/// How an exchange ended, as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered to the end, whatever the answer was worth.
    Answered,
    /// Declined with the mark that proves that nothing ran.
    Declined,
    /// The server or the network broke the connection.
    Broken,
    /// The gateway closed its connection, or ended its sending.
    GivenUp,
}

/// What a client saw of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The whole answer, with this status.
    Whole(u16),
    /// The stream ended without its last chunk.
    CutShort,
    /// The connection ended before any byte of an answer; whether it had served a request before.
    Nothing { reused: bool },
    /// Nothing more came for a long time.
    Silence,
}

/// The condition of a server in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Active,
    Leaving,
    Left,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// The last byte of a request was written on a connection that its gateway's machine had taken.
    Asked {
        request: u64,
        to: Process,
        class: Class,
        deadline: Duration,
        began: Time,
    },
    /// The first byte of an answer.
    AnswerBegan {
        request: u64,
    },
    Answered {
        request: u64,
        seen: Seen,
    },
    /// The client closed its connection without waiting for the end.
    Left {
        request: u64,
    },
    /// How long an event of a stream was on its way.
    EventCame {
        request: u64,
        late: Duration,
    },
    /// What a bad client was told within its time: an error or a close, or nothing.
    BadClient {
        to: Process,
        answered: bool,
        served: bool,
    },
    /// The last byte of a request was read at a server.
    Arrived {
        exchange: Exchange,
        request: u64,
        server: usize,
        role: Role,
        from: usize,
        /// When its first byte was read.
        began: Time,
        /// The deadline that it was told.
        told: Duration,
    },
    Ended {
        exchange: Exchange,
        outcome: Outcome,
    },
    /// A state is held for a request, or not any more.
    Held {
        request: u64,
        server: usize,
    },
    Freed {
        request: u64,
        server: usize,
    },
    /// A server started anew, cold.
    Started {
        server: usize,
    },
    /// A gateway's agent has word of a server.
    Had {
        gateway: usize,
        server: usize,
        status: Status,
    },
    /// A gateway's agent has stopped answering, or answers again.
    Agent {
        gateway: usize,
        up: bool,
    },
    /// A gateway's agent answers so late from now on.
    AgentSlow {
        gateway: usize,
        slow: Duration,
    },
    /// Connections that a gateway has made break under it from now on, or do so no more.
    Breaks {
        gateway: usize,
        breaks: bool,
    },
    /// Ways to these servers are cut, or open again.
    Cut {
        servers: Vec<usize>,
        cut: bool,
    },
    /// A gateway's open watches have fallen silent.
    WatchesSilent {
        gateway: usize,
    },
    Spawned {
        process: Process,
    },
    Ready {
        process: Process,
        took: Duration,
    },
    NotReady {
        process: Process,
    },
    ToldToStop {
        process: Process,
    },
    ToldToReload {
        process: Process,
    },
    Killed {
        process: Process,
    },
    Exited {
        process: Process,
        clean: bool,
    },
    /// A trouble begins, or has ended; `gateway` is whose it is, where it is one gateway's.
    Trouble {
        kind: String,
        gateway: usize,
        number: usize,
        began: bool,
    },
    /// The soak itself was held up for so long.
    Lag {
        late: Duration,
    },
}

/// All that passed, in order.
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
    pub fn now(&self) -> Time {
        self.started.elapsed()
    }

    pub fn write(&self, event: Event) {
        let now = self.now();
        self.events.borrow_mut().push((now, event));
    }

    pub fn events(&self) -> Vec<(Time, Event)> {
        self.events.borrow().clone()
    }
}
