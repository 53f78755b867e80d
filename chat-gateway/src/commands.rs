//! Executes the commands of the request table.

use crate::state::{GatewayState, Requests};
use petrelshore::interface::SequenceId;
use petrelshore_gateway_core::CancelReason;
use petrelshore_gateway_core::buffered::{Command, FinalAnswer};
use petrelshore_runtime::{EventDriven, EventLoop};
use serde_json::value::RawValue;
use std::rc::Rc;

impl EventDriven for GatewayState {
    type Requests = Requests;

    fn event_loop(&self) -> &EventLoop<Requests> {
        &self.event_loop
    }

    fn execute(self: &Rc<Self>, command: Command<Rc<RawValue>>) {
        match command {
            Command::Send(outgoing) => self.send_attempt(*outgoing),
            Command::Cancel { id, attempt, reason } => self.cancel_attempt(id, attempt, reason),
            Command::Release(release) => self.send_release(release),
            Command::Answer { id, last } => self.finish_answer(id, last),
        }
    }
}

impl GatewayState {
    /// Cancels an attempt by closing its connection.
    fn cancel_attempt(self: &Rc<Self>, id: SequenceId, attempt: usize, reason: CancelReason) {
        self.log_attempt_cancelled(id, attempt, reason);
        let task = self.take_attempt_task(id, attempt);
        // Dropping the task closes the connection of the attempt.
        drop(task);
        self.apply(|requests, now, commands| requests.attempt_cancelled(now, id, attempt, commands));
    }

    /// Sets the final answer of a request. The ingress reads the final answer after all texts that precede it.
    fn finish_answer(&self, id: SequenceId, outcome: FinalAnswer) {
        self.log_final_answer(id, &outcome);
        if let Some(entry) = self.entries.borrow_mut().get_mut(&id) {
            entry.final_answer = Some(outcome);
            entry.parts.close();
            entry.final_answer_set.notify(usize::MAX);
        }
        self.request_finished.notify(usize::MAX);
    }
}
