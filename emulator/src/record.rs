//! What passed on the sockets, as the stand-ins and the clients saw it. The auditor judges from this alone.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

pub type Nanos = u64;

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Passed {
    /// A client's request went out to a gateway; the client's time ends at `until`.
    Asked {
        client: u64,
        gateway: String,
        traffic: String,
        until: Nanos,
    },
    /// A client's final answer: the status, whether a retry is said to be harmless, and whether it came whole.
    Answered {
        client: u64,
        answer: FinalSeen,
        first_token: Option<Nanos>,
        tokens: u64,
    },
    /// Anything after a final answer.
    AfterFinal {
        client: u64,
    },
    /// A work request was read whole from a socket; `gateway` is how its sender names itself.
    Arrived {
        server: String,
        gateway: String,
        request: String,
        mark: Option<String>,
        work: String,
        client: Option<u64>,
    },
    /// A work request was turned away before anything ran.
    Turned {
        server: String,
        request: String,
        code: String,
    },
    /// The box began work that has an effect.
    Ran {
        server: String,
        request: String,
    },
    /// A work request is over, however it ended.
    Over {
        server: String,
        request: String,
    },
    StateHeld {
        server: String,
        request: String,
    },
    /// Fetched, or let go.
    StateGone {
        server: String,
        request: String,
    },
    /// A box was pushed over while cold.
    FellOver {
        server: String,
    },
    /// A box, its cell, and how it misbehaves from now on.
    Box {
        server: String,
        cell: String,
        fault: String,
    },
    /// A gateway was told that a server drains or is gone, or that it is open.
    Told {
        gateway: String,
        server: String,
        open: bool,
    },
    /// A gateway was killed outright, or is back: what it held is no longer its duty.
    Killed {
        gateway: String,
    },
    Back {
        gateway: String,
    },
}

/// How a client's request ended, by what it saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalSeen {
    Generated,
    Rejected,
    Aborted,
    /// The request was refused before it was taken.
    Refused,
    /// The connection ended without a final answer.
    Nothing,
    /// The client itself left.
    Left,
}

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    pub at: Nanos,
    #[serde(flatten)]
    pub passed: Passed,
}

/// A record that all witnesses of one process write to, with one clock.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    entries: Rc<RefCell<Vec<Entry>>>,
    forgets: Rc<Cell<bool>>,
}

impl Default for Record {
    fn default() -> Self {
        Record { started: Instant::now(), entries: Rc::default(), forgets: Rc::default() }
    }
}

impl Record {
    pub fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Keeps nothing from now on.
    pub fn forget(&self) {
        self.forgets.set(true);
    }

    pub fn write(&self, passed: Passed) {
        if self.forgets.get() {
            return;
        }
        self.entries.borrow_mut().push(Entry { at: self.now(), passed });
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.entries.borrow().clone()
    }
}
