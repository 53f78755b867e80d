//! What crosses between the fronts and the gateway.

use crate::gateway::Inner;
use async_channel::Receiver;
use petrelshore::interface::*;
use petrelshore_conductor::intake::Weighed;
use petrelshore_conductor::{Reason, Relay};
use petrelshore_engine::Usage;
use std::rc::Rc;

/// A request as a front understood it. Nothing is taken before the gateway says so.
#[derive(Clone, Debug)]
pub struct Ask {
    pub traffic: TypeId,
    pub tenant: Option<TenantId>,
    pub session: Option<SessionId>,
    pub weighed: Weighed,
    pub model: Rc<str>,
    pub prompt: Rc<str>,
    pub max_tokens: u32,
    pub stop: Rc<[String]>,
    pub sampling: Rc<serde_json::Map<String, serde_json::Value>>,
    pub idempotency_key: Option<Rc<str>>,
    pub relay: Relay,
    /// Who asks, as far as bounds for one client go.
    pub client: u64,
    /// How long the client waits for a first token, from `arrived` on.
    pub budget: Nanos,
    pub arrived: Nanos,
}

/// Why a request was not taken. Nothing ran: coming again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The gateway holds all that it may.
    GatewayFull {
        retry_after: Nanos,
    },
    /// This client holds all that one may.
    ClientFull {
        retry_after: Nanos,
    },
    Draining {
        retry_after: Nanos,
    },
    /// A sequence with the same idempotency key is in hand.
    KeyInHand {
        retry_after: Nanos,
    },
    /// The idempotency key stands for another request.
    KeyReused,
}

/// The one final answer of a sequence.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Generated { finish: String, usage: Usage },
    Rejected { retry_after: Option<Nanos>, reason: Reason },
    Aborted { reason: Reason },
}

/// What a front reads of its answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    Text(String),
    Final(Final),
}

/// An answer on its way. Dropping it before its end tells the gateway that the client has left.
pub struct Answer {
    pub(crate) id: SeqId,
    pub(crate) gateway: Rc<Inner>,
    pub(crate) texts: Receiver<String>,
    pub(crate) over: bool,
    /// The end of an earlier request with the same key, told again.
    pub(crate) replayed: Option<Final>,
}

impl Answer {
    pub fn id(&self) -> SeqId {
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
        self.over = true;
        self.replayed.take().or_else(|| self.gateway.take_final(self.id)).map(Next::Final)
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.gateway.left(self.id, self.over);
    }
}
