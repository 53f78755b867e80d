//! The answer to a request, as the ingress reads it.

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

/// What an ingress reads of its answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerItem {
    /// Events of the model server, unchanged.
    Events(Bytes),
    /// The end: nothing follows.
    FinalAnswer(FinalAnswer),
}

/// An answer on its way. Dropping it before its end reports to the gateway that the client has left.
pub struct Answer {
    pub(crate) id: SequenceId,
    pub(crate) state: Rc<GatewayState>,
    pub(crate) events: Receiver<Bytes>,
    /// Shared with the entry of the request, which sets it before it closes `events`.
    pub(crate) final_answer: Rc<Cell<Option<FinalAnswer>>>,
    /// Whether the final answer was read.
    pub(crate) completed: bool,
}

impl Answer {
    /// The next events, or the final answer; events before it are read first.
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
        // Once this request is completed, its id may have been used for another: that one is another client's.
        let is_own = |entry: &RequestEntry| Rc::ptr_eq(&entry.final_answer, &self.final_answer);
        if !self.completed && self.state.entries.borrow().get(&self.id).is_some_and(is_own) {
            debug!(request_id = %RequestId(self.id), "client disconnected");
            self.state.apply(|requests, now, commands| requests.client_cancelled(now, self.id, commands));
        }
    }
}
