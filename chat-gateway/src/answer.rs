//! The answer to a request, as the ingress reads it.

use crate::state::GatewayState;
use async_channel::{Receiver, TryRecvError};
use event_listener::Event;
use petrelshore::interface::SequenceId;
use petrelshore_gateway_core::buffered::FinalAnswer;
use petrelshore_runtime::{EventDriven, wait_for};
use std::rc::Rc;

/// What an ingress reads of its answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerItem {
    /// The next part of the generated text.
    Text(String),
    /// The end: nothing follows.
    FinalAnswer(FinalAnswer),
}

/// An answer on its way. Dropping it before its end reports to the gateway that the client has left.
pub struct Answer {
    pub(crate) id: SequenceId,
    pub(crate) state: Rc<GatewayState>,
    pub(crate) texts: Receiver<String>,
    /// Notified when the final answer is there.
    pub(crate) completed: Rc<Event>,
    /// Whether the final answer was read.
    pub(crate) final_answer_read: bool,
    /// The final answer of an earlier request with the same idempotency key, replayed.
    pub(crate) replayed: Option<FinalAnswer>,
}

impl Answer {
    /// The id of the request.
    pub fn id(&self) -> SequenceId {
        self.id
    }

    /// The next text, or the final answer; none after that.
    pub async fn next(&mut self) -> Option<AnswerItem> {
        if self.final_answer_read {
            return None;
        }
        // The channel is closed when the final answer is there; texts before it are read first.
        if let Ok(text) = self.texts.recv().await {
            return Some(AnswerItem::Text(text));
        }
        self.take_final_answer()
    }

    /// The next text or the final answer, if it is there by now.
    pub fn try_next(&mut self) -> Option<AnswerItem> {
        if self.final_answer_read {
            return None;
        }
        match self.texts.try_recv() {
            Ok(text) => Some(AnswerItem::Text(text)),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Closed) => self.take_final_answer(),
        }
    }

    /// Returns once the request has failed, though texts before that may wait to be read: an ingress that cannot send
    /// those on can report the failure at once.
    pub async fn wait_for_failure(&mut self) -> FinalAnswer {
        let failure = wait_for(&self.completed, || self.state.failure(self.id)).await;
        self.final_answer_read = true;
        failure
    }

    fn take_final_answer(&mut self) -> Option<AnswerItem> {
        self.final_answer_read = true;
        let replayed = self.replayed.take();
        replayed.or_else(|| self.state.take_final_answer(self.id)).map(AnswerItem::FinalAnswer)
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.state.answer_dropped(self.id, self.final_answer_read);
    }
}

impl GatewayState {
    fn take_final_answer(&self, id: SequenceId) -> Option<FinalAnswer> {
        self.entries.borrow_mut().get_mut(&id).and_then(|entry| entry.final_answer.take())
    }

    /// The final answer, where it is there and the request was not completed.
    fn failure(&self, id: SequenceId) -> Option<FinalAnswer> {
        let entries = self.entries.borrow();
        let final_answer = entries.get(&id).and_then(|entry| entry.final_answer.clone());
        final_answer.filter(|answer| !matches!(answer, FinalAnswer::Completed { .. }))
    }

    /// The ingress has dropped its answer, with its final answer read or not.
    fn answer_dropped(self: &Rc<Self>, id: SequenceId, final_answer_read: bool) {
        self.apply(|requests, now, commands| {
            if final_answer_read {
                requests.answer_consumed(now, id);
            } else {
                requests.client_cancelled(now, id, commands);
            }
        });
        // Dropping the entry cancels whatever of it still runs.
        let entry = self.entries.borrow_mut().remove(&id);
        drop(entry);
        self.request_finished.notify(usize::MAX);
    }
}
