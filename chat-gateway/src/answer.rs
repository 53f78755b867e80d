//! What crosses between the fronts and the gateway.

use crate::gateway::Inner;
use async_channel::{Receiver, TryRecvError};
use event_listener::Event;
use petrelshore::interface::SequenceId;
use petrelshore_gateway_core::buffered::{FinalAnswer, Request};
use std::rc::Rc;

/// A request as a front understood it, with what goes to the model servers as it is.
#[derive(Clone, Debug)]
pub struct Ask {
    pub request: Request,
    pub stop: Rc<[String]>,
    pub sampling: Rc<serde_json::Map<String, serde_json::Value>>,
}

/// What a front reads of its answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    Text(String),
    FinalAnswer(FinalAnswer),
}

/// An answer on its way. Dropping it before its end tells the gateway that the client has left.
pub struct Answer {
    pub(crate) id: SequenceId,
    pub(crate) gateway: Rc<Inner>,
    pub(crate) texts: Receiver<String>,
    pub(crate) ended: Rc<Event>,
    pub(crate) over: bool,
    /// The end of an earlier request with the same key, told again.
    pub(crate) replayed: Option<FinalAnswer>,
}

impl Answer {
    pub fn id(&self) -> SequenceId {
        self.id
    }

    /// The next text, or the final answer; none after that.
    pub async fn next(&mut self) -> Option<Next> {
        if self.over {
            return None;
        }
        // The channel is closed when the final answer is there; texts before it are read first.
        if let Ok(text) = self.texts.recv().await {
            return Some(Next::Text(text));
        }
        self.finish()
    }

    /// The next text or the final answer, if it is there by now.
    pub fn ready(&mut self) -> Option<Next> {
        if self.over {
            return None;
        }
        match self.texts.try_recv() {
            Ok(text) => Some(Next::Text(text)),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Closed) => self.finish(),
        }
    }

    /// Returns when the sequence has been given up, though texts before that may wait to be read: a front that
    /// cannot hand those on can tell the end at once.
    pub async fn given_up(&mut self) -> FinalAnswer {
        loop {
            let ended = self.ended.listen();
            if let Some(last) = self.gateway.early_final_answer(self.id) {
                self.over = true;
                return last;
            }
            ended.await;
        }
    }

    fn finish(&mut self) -> Option<Next> {
        self.over = true;
        self.replayed.take().or_else(|| self.gateway.take_final_answer(self.id)).map(Next::FinalAnswer)
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.gateway.client_left(self.id, self.over);
    }
}
