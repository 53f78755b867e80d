//! The messages of the wire that a gateway sends to the bench.

use crate::event::POLL_MARK;
use petrelshore::interface::{Nanos, SequenceId};
use std::fmt;

/// A request of a gateway to the bench, without the gateway's number.
pub(crate) enum Command<'a> {
    /// Send the endpoint list.
    PollEndpoints,
    /// Send a sequence to a server, and end the attempt after the timeout, in nanoseconds.
    Forward { id: SequenceId, timeout: Nanos, server: &'a str },
    /// Send a timer message at the given time, to schedule a sequence again.
    WakeAt { id: SequenceId, at: Nanos },
    /// Send a timer message at the given time, to poll the endpoint list.
    PollAt { at: Nanos },
    /// Reject a sequence; `retry_after` is the time until the client may retry it, in nanoseconds.
    Reject { id: SequenceId, retry_after: Option<Nanos> },
    /// Abort a sequence that may have run.
    Abort { id: SequenceId },
    /// Release the KV caches of a sequence.
    Release { id: SequenceId },
}

/// A command of one gateway, displayed as a line of the wire.
pub(crate) struct Reply<'a> {
    pub(crate) instance: u64,
    pub(crate) command: Command<'a>,
}

impl fmt::Display for Reply<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let i = self.instance;
        match &self.command {
            Command::PollEndpoints => write!(f, "SUBSCRIBE i={i} want=1"),
            Command::Forward { id, timeout, server } => {
                write!(f, "FORWARD i={i} ticket={:016x} tryFor={timeout} server={server}", id.0)
            }
            Command::WakeAt { id, at } => write!(f, "REMIND i={i} mark={:016x} fireAt={at}", id.0),
            Command::PollAt { at } => write!(f, "REMIND i={i} mark={POLL_MARK} fireAt={at}"),
            Command::Reject { id, retry_after: Some(delay) } => {
                write!(f, "NOT_NOW i={i} ticket={:016x} coolDown={delay}", id.0)
            }
            Command::Reject { id, retry_after: None } => write!(f, "NOT_NOW i={i} ticket={:016x}", id.0),
            Command::Abort { id } => write!(f, "GIVE_UP i={i} ticket={:016x}", id.0),
            Command::Release { id } => write!(f, "FREE_STATE i={i} ticket={:016x}", id.0),
        }
    }
}
