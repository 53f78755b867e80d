//! What the event loop needs of a request table.

use petrelshore::interface::{Nanos, SequenceId};
use petrelshore_gateway_core::buffered::{self, BufferedRequests};
use petrelshore_gateway_core::passthrough::{self, PassthroughRequests};

/// A state machine of requests without I/O: it takes events with their time and returns commands.
pub trait RequestTable {
    /// What the gateway is to execute on its sockets.
    type Command;

    /// When [`RequestTable::on_timeout`] is to be called next.
    fn next_timeout(&self) -> Option<Nanos>;

    /// Acts on all timeouts that have passed.
    fn on_timeout(&mut self, now: Nanos, commands: &mut Vec<Self::Command>);

    /// The client has stopped reading its answer.
    fn client_stalled(&mut self, now: Nanos, id: SequenceId);

    /// The client reads its answer again.
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
