//! Executes the commands of the request table.

use crate::forwarded_request::ForwardedRequest;
use crate::state::{GatewayState, Requests};
use petrelshore::interface::SequenceId;
use petrelshore_gateway_core::CancelReason;
use petrelshore_gateway_core::passthrough::{Command, FinalAnswer};
use petrelshore_runtime::{EventDriven, EventLoop};
use std::rc::Rc;

impl EventDriven for GatewayState {
    type Requests = Requests;

    fn event_loop(&self) -> &EventLoop<Requests> {
        &self.event_loop
    }

    fn execute(self: &Rc<Self>, command: Command<Rc<ForwardedRequest>>) {
        match command {
            Command::Send { dispatch, address, message } => self.send_attempt(dispatch, address, message),
            Command::Cancel { id, attempt, reason } => self.cancel_attempt(id, attempt, reason),
            Command::Release(release) => self.send_release(release),
            Command::Answer { id, last } => self.finish_answer(id, last),
            Command::Remove { id } => self.remove_request(id),
        }
    }
}

impl GatewayState {
    /// Cancels an attempt by closing its connection.
    fn cancel_attempt(&self, id: SequenceId, attempt: usize, reason: CancelReason) {
        let mut entries = self.entries.borrow_mut();
        let task = entries.get_mut(&id).and_then(|entry| entry.attempt.take(attempt));
        let log = entries.get(&id).and_then(|entry| entry.attempt_log.clone());
        drop(entries);
        if let Some(log) = log.filter(|log| log.dispatch.attempt == attempt) {
            self.log_attempt_cancelled(&log, reason);
        }
        // Dropping the attempt task closes the connection of the attempt.
        drop(task);
    }

    /// Gives a request its only final answer. The ingress reads the final answer after all queued events.
    fn finish_answer(&self, id: SequenceId, outcome: FinalAnswer) {
        if let Some(entry) = self.entries.borrow().get(&id) {
            self.log_final_answer(id, entry.accepted_at, outcome);
            entry.final_answer.set(Some(outcome));
            entry.events.close();
        }
    }

    fn remove_request(&self, id: SequenceId) {
        let entry = self.entries.borrow_mut().remove(&id);
        if let Some(entry) = entry {
            entry.events.close();
        }
        self.request_or_release_finished.notify(usize::MAX);
    }
}
