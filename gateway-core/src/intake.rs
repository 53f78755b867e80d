//! What a request is to the decisions: its weight, its shared text, its session, and what tells it from another.

use petrelshore::interface::{PrefixId, SessionId};

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

/// Tells one request from another under the same key.
pub fn fingerprint(model: &str, prompt: &str, max_tokens: u32) -> u64 {
    fold(fold(fold(FNV, model.as_bytes()), &max_tokens.to_le_bytes()), prompt.as_bytes())
}
