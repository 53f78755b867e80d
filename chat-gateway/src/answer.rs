//! The answer to a request, as read by an ingress.

use crate::state::GatewayState;
use async_channel::{Receiver, RecvError, TryRecvError};
use event_listener::Event;
use futures_lite::future;
use petrelshore::interface::SequenceId;
use petrelshore_gateway_core::FailureReason;
use petrelshore_gateway_core::buffered::{FinalAnswer, Usage};
use petrelshore_gateway_core::capacity::MAX_BUFFERED_ANSWER_BYTES;
use petrelshore_gateway_core::error_response::ErrorResponse;
use petrelshore_runtime::{EventDriven, wait_for};
use std::rc::Rc;

/// An item that an ingress reads from an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerItem {
    /// The next part of the generated text.
    Text(String),
    /// The final answer. No item follows.
    FinalAnswer(FinalAnswer),
}

/// An answer that was read to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct CompleteAnswer {
    /// The whole generated text.
    pub text: String,
    /// The finish reason, as spelled in the API.
    pub finish_reason: String,
    /// The token counts.
    pub usage: Usage,
}

/// A part of an answer in the channel from the attempt tasks to the [`Answer`].
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// Further text.
    Text(String),
    /// All earlier texts are void: another attempt generates the answer from its start. Sent only for
    /// [`Relay::Buffered`](petrelshore_gateway_core::Relay::Buffered), of which the client has received nothing.
    Restart,
}

/// The place that an answer's final answer comes from.
pub(crate) enum AnswerSource {
    /// A request in the request table, which has to learn when its answer is dropped.
    Request {
        /// The gateway that tracks the request.
        state: Rc<GatewayState>,
        /// Notified when the final answer is set.
        final_answer_set: Rc<Event>,
    },
    /// The stored answer of an earlier request with the same idempotency key. The request table does not track it.
    Stored(FinalAnswer),
}

/// The answer to a request, as a stream of texts and a final answer. Dropping the `Answer` of a request before its final
/// answer was read reports to the gateway that the client has left.
pub struct Answer {
    id: SequenceId,
    parts: Receiver<AnswerPart>,
    source: AnswerSource,
    /// True once the ingress has read the final answer.
    final_answer_read: bool,
}

impl Answer {
    /// Creates an answer of which nothing was read yet.
    pub(crate) fn new(id: SequenceId, parts: Receiver<AnswerPart>, source: AnswerSource) -> Self {
        Answer { id, parts, source, final_answer_read: false }
    }

    /// The id of the request.
    pub fn id(&self) -> SequenceId {
        self.id
    }

    /// Waits for the next text or the final answer, and returns it. Returns `None` after the final answer.
    pub async fn next(&mut self) -> Option<AnswerItem> {
        while !self.final_answer_read {
            // The channel is closed once the final answer is set. Parts that were queued before are still received.
            match self.parts.recv().await {
                Ok(AnswerPart::Text(text)) => return Some(AnswerItem::Text(text)),
                Ok(AnswerPart::Restart) => {}
                Err(RecvError) => return self.take_final_answer(),
            }
        }
        None
    }

    /// Returns the next text or the final answer if either is available, without waiting.
    pub fn try_next(&mut self) -> Option<AnswerItem> {
        while !self.final_answer_read {
            match self.parts.try_recv() {
                Ok(AnswerPart::Text(text)) => return Some(AnswerItem::Text(text)),
                Ok(AnswerPart::Restart) => {}
                Err(TryRecvError::Empty) => return None,
                Err(TryRecvError::Closed) => return self.take_final_answer(),
            }
        }
        None
    }

    /// Reads the answer to its end. Returns the error for the client if the request fails, or if the text is longer than
    /// [`MAX_BUFFERED_ANSWER_BYTES`].
    pub async fn complete(self) -> Result<CompleteAnswer, ErrorResponse> {
        let mut text = String::new();
        loop {
            match self.parts.recv().await {
                Ok(AnswerPart::Text(part)) => text.push_str(&part),
                Ok(AnswerPart::Restart) => text.clear(),
                Err(RecvError) => return self.into_complete(text),
            }
            if text.len() > MAX_BUFFERED_ANSWER_BYTES {
                return Err(ErrorResponse::aborted(FailureReason::AnswerTooLarge));
            }
        }
    }

    fn into_complete(mut self, text: String) -> Result<CompleteAnswer, ErrorResponse> {
        let Some(AnswerItem::FinalAnswer(final_answer)) = self.take_final_answer() else {
            return Err(ErrorResponse::aborted(FailureReason::StreamBroken));
        };
        match final_answer {
            FinalAnswer::Completed { finish_reason, usage } => {
                Ok(CompleteAnswer { text, finish_reason, usage })
            }
            FinalAnswer::Rejected { retry_after, reason } => {
                Err(ErrorResponse::rejected(retry_after, reason))
            }
            FinalAnswer::Aborted { reason } => Err(ErrorResponse::aborted(reason)),
        }
    }

    /// Waits until the request has failed, and returns its final answer, even if unread texts are queued before the
    /// final answer. So an ingress that can't send those texts to its client can still report the failure at once. A
    /// stored answer can't fail any more, so its texts come first and this waits for ever.
    pub async fn wait_for_failure(&mut self) -> FinalAnswer {
        let AnswerSource::Request { state, final_answer_set } = &self.source else {
            return future::pending().await;
        };
        let failure = wait_for(final_answer_set, || state.failure(self.id)).await;
        self.final_answer_read = true;
        failure
    }

    fn take_final_answer(&mut self) -> Option<AnswerItem> {
        self.final_answer_read = true;
        let final_answer = match &self.source {
            AnswerSource::Request { state, .. } => state.take_final_answer(self.id),
            AnswerSource::Stored(final_answer) => Some(final_answer.clone()),
        };
        final_answer.map(AnswerItem::FinalAnswer)
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if let AnswerSource::Request { state, .. } = &self.source {
            state.answer_dropped(self.id, self.final_answer_read);
        }
    }
}

impl GatewayState {
    fn take_final_answer(&self, id: SequenceId) -> Option<FinalAnswer> {
        self.entries.borrow_mut().get_mut(&id).and_then(|entry| entry.final_answer.take())
    }

    /// Returns the final answer if it is set and is not [`FinalAnswer::Completed`].
    fn failure(&self, id: SequenceId) -> Option<FinalAnswer> {
        let entries = self.entries.borrow();
        let final_answer = entries.get(&id).and_then(|entry| entry.final_answer.clone());
        final_answer.filter(|answer| !matches!(answer, FinalAnswer::Completed { .. }))
    }

    /// Handles an ingress that dropped its [`Answer`]. `final_answer_read` is false if the client left before the final
    /// answer was read.
    fn answer_dropped(self: &Rc<Self>, id: SequenceId, final_answer_read: bool) {
        self.log_answer_dropped(id, final_answer_read);
        self.apply(|requests, now, commands| {
            if final_answer_read {
                requests.answer_consumed(now, id);
            } else {
                requests.client_cancelled(now, id, commands);
            }
        });
        // Dropping the entry cancels the attempt in flight, if there is one.
        let entry = self.entries.borrow_mut().remove(&id);
        drop(entry);
        self.request_finished.notify(usize::MAX);
    }
}
