//! The interface of a request table that the event loop uses.

use petrelshore::interface::{Nanos, SequenceId};
use petrelshore_gateway_core::buffered::{self, BufferedRequests};
use petrelshore_gateway_core::passthrough::{self, PassthroughRequests};

/// A state machine of requests that does no I/O: it receives events with their times and returns commands.
pub trait RequestTable {
    /// An operation that the gateway executes on its sockets.
    type Command;

    /// Returns the time at which [`RequestTable::on_timeout`] must be called next, or `None` if no timeout is pending.
    fn next_timeout(&self) -> Option<Nanos>;

    /// Handles all timeouts that have been reached at `now`.
    fn on_timeout(&mut self, now: Nanos, commands: &mut Vec<Self::Command>);

    /// Records that the client has stopped reading its answer.
    fn client_stalled(&mut self, now: Nanos, id: SequenceId);

    /// Records that the client reads its answer again.
    fn client_stall_ended(&mut self, now: Nanos, id: SequenceId);
}

impl<P: Clone> RequestTable for BufferedRequests<P> {
    type Command = buffered::Command<P>;

    fn next_timeout(&self) -> Option<Nanos> {
        self.next_timeout()
    }

    fn on_timeout(&mut self, now: Nanos, commands: &mut Vec<Self::Command>) {
        self.on_timeout(now, commands);
    }

    fn client_stalled(&mut self, now: Nanos, id: SequenceId) {
        self.client_stalled(now, id);
    }

    fn client_stall_ended(&mut self, now: Nanos, id: SequenceId) {
        self.client_stall_ended(now, id);
    }
}

impl<M: Clone> RequestTable for PassthroughRequests<M> {
    type Command = passthrough::Command<M>;

    fn next_timeout(&self) -> Option<Nanos> {
        self.next_timeout()
    }

    fn on_timeout(&mut self, now: Nanos, commands: &mut Vec<Self::Command>) {
        self.on_timeout(now, commands);
    }

    fn client_stalled(&mut self, now: Nanos, id: SequenceId) {
        self.client_stalled(now, id);
    }

    fn client_stall_ended(&mut self, now: Nanos, id: SequenceId) {
        self.client_stall_ended(now, id);
    }
}
