//! What a request is to the decisions: its weight, its shared text, its session, and whether it is a repeat.

use petrelshore::interface::{PrefixId, SeqId, SessionId};
use std::collections::HashMap;

/// Bytes of text that make a token, roughly, while the gateway has no tokeniser.
const BYTES_A_TOKEN: f64 = 4.0;
/// Tokens that the marks round one message take.
const MARKS: f64 = 4.0;

/// Tokens of a text. The one place where the gateway guesses; a tokeniser goes here.
pub fn tokens(text: &str) -> f64 {
    (text.len() as f64 / BYTES_A_TOKEN).ceil()
}

/// One message of a conversation, as far as it is weighed.
pub struct Message<'a> {
    pub role: &'a str,
    pub text: &'a str,
}

/// What the decisions are told of a conversation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weighed {
    pub prompt_tokens: f64,
    pub prefix: Option<PrefixId>,
    pub prefix_tokens: f64,
}

/// Weighs a conversation. Its leading system messages are the text that others share.
pub fn weigh(messages: &[Message]) -> Weighed {
    let weight = |m: &Message| tokens(m.text) + MARKS;
    let shared = messages.iter().take_while(|m| matches!(m.role, "system" | "developer"));
    let (mut hash, mut prefix_tokens) = (FNV, 0.0);
    for message in shared {
        hash = fold(fold(hash, message.role.as_bytes()), message.text.as_bytes());
        prefix_tokens += weight(message);
    }
    Weighed {
        prompt_tokens: messages.iter().map(weight).sum(),
        prefix: (prefix_tokens > 0.0).then_some(PrefixId(hash)),
        prefix_tokens,
    }
}

/// The session that a tenant's own key names, the same at every gateway; tenants can't name each other's.
pub fn session(tenant: &str, key: &str) -> SessionId {
    SessionId(fold(fold(fold(FNV, tenant.as_bytes()), &[0]), key.as_bytes()))
}

/// A number for a name that is the same at every gateway (FNV-1a).
pub fn stable_id(name: &str) -> u64 {
    fold(FNV, name.as_bytes())
}

const FNV: u64 = 0xcbf2_9ce4_8422_2325;

fn fold(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Idempotency keys of the sequences in hand. A client that repeats a request while its first is still running
/// must not set a second one off beside it.
#[derive(Debug, Default)]
pub struct Keys {
    in_hand: HashMap<(String, String), SeqId>,
}

impl Keys {
    /// Holds a tenant's key for a sequence; false where another sequence has it in hand.
    pub fn hold(&mut self, tenant: &str, key: &str, seq: SeqId) -> bool {
        let slot = (tenant.to_owned(), key.to_owned());
        if self.in_hand.contains_key(&slot) {
            return false;
        }
        self.in_hand.insert(slot, seq);
        true
    }

    pub fn let_go(&mut self, tenant: &str, key: &str) {
        self.in_hand.remove(&(tenant.to_owned(), key.to_owned()));
    }
}
