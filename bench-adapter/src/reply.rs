//! Messages of the wire from a gateway.

use crate::event::POLL_MARK;
use petrelshore::interface::{Nanos, SequenceId};
use std::fmt;

/// What a gateway asks the bench to do, without the gateway's number.
pub(crate) enum Command<'a> {
    /// Send the endpoint list.
    PollEndpoints,
    /// Send a sequence to a server, and break it off after the timeout.
    Forward { id: SequenceId, timeout: Nanos, server: &'a str },
    /// Report when it is time to schedule a sequence again.
    WakeAt { id: SequenceId, at: Nanos },
    /// Report when it is time to poll the endpoint list.
    PollAt { at: Nanos },
    /// Reject a sequence, perhaps with a time to come back.
    Reject { id: SequenceId, retry_after: Option<Nanos> },
    /// Give a sequence up that has begun.
    Abort { id: SequenceId },
    /// Release a sequence's KV cache.
    Release { id: SequenceId },
}

/// A command of one gateway, as a line.
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
            Command::Reject { id, retry_after: Some(pause) } => {
                write!(f, "NOT_NOW i={i} ticket={:016x} coolDown={pause}", id.0)
            }
            Command::Reject { id, retry_after: None } => write!(f, "NOT_NOW i={i} ticket={:016x}", id.0),
            Command::Abort { id } => write!(f, "GIVE_UP i={i} ticket={:016x}", id.0),
            Command::Release { id } => write!(f, "FREE_STATE i={i} ticket={:016x}", id.0),
        }
    }
}
