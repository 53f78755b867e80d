//! The answer to a request, which the ingress reads.

use crate::event_log::RequestId;
use crate::state::{GatewayState, RequestEntry};
use async_channel::Receiver;
use bytes::Bytes;
use petrelshore::interface::SequenceId;
use petrelshore_gateway_core::FailureReason;
use petrelshore_gateway_core::passthrough::FinalAnswer;
use petrelshore_runtime::EventDriven;
use std::cell::Cell;
use std::rc::Rc;
use tracing::debug;

/// An item of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerItem {
    /// Events from the model server, unchanged.
    Events(Bytes),
    /// The end of the answer. No item follows.
    FinalAnswer(FinalAnswer),
}

/// The answer to a request in flight. Dropping the answer before the final answer was read reports to the gateway that
/// the client has left.
pub struct Answer {
    pub(crate) id: SequenceId,
    pub(crate) state: Rc<GatewayState>,
    pub(crate) events: Receiver<Bytes>,
    /// Shared with the entry of the request. The gateway sets the final answer before it closes `events`.
    pub(crate) final_answer: Rc<Cell<Option<FinalAnswer>>>,
    /// True once the final answer was read.
    pub(crate) completed: bool,
}

impl Answer {
    /// Returns the next events, or the final answer once all events are read.
    pub async fn next(&mut self) -> AnswerItem {
        if let Ok(events) = self.events.recv().await {
            return AnswerItem::Events(events);
        }
        self.completed = true;
        let broken = FinalAnswer::Aborted { reason: FailureReason::StreamBroken };
        AnswerItem::FinalAnswer(self.final_answer.get().unwrap_or(broken))
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        // Once this request is completed, another client's request may have the same id, and must not be cancelled.
        let is_own = |entry: &RequestEntry| Rc::ptr_eq(&entry.final_answer, &self.final_answer);
        if !self.completed && self.state.entries.borrow().get(&self.id).is_some_and(is_own) {
            debug!(request_id = %RequestId(self.id), "client disconnected");
            self.state.apply(|requests, now, commands| requests.client_cancelled(now, self.id, commands));
        }
    }
}
