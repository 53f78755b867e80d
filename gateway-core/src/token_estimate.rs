//! Estimates how many tokens a conversation has, and which of them it shares with others.

use crate::fingerprint::Fnv1a;
use petrelshore::interface::PrefixId;

/// Bytes of text that make a token, roughly, while the gateway has no tokeniser.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Tokens that delimit one message.
const TOKENS_PER_MESSAGE: f64 = 4.0;

/// Estimated tokens of a text. The one place where the gateway guesses; a tokeniser goes here.
pub fn text_tokens(text: &str) -> f64 {
    (text.len() as f64 / BYTES_PER_TOKEN).ceil()
}

/// One message of a conversation.
pub struct Message<'a> {
    /// The role of its author, as the API names it.
    pub role: &'a str,
    /// Its text.
    pub text: &'a str,
}

/// Estimated size of a conversation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptEstimate {
    /// All of it.
    pub prompt_tokens: f64,
    /// Names the prefix that it shares with others.
    pub prefix: Option<PrefixId>,
    /// Length of that prefix.
    pub prefix_tokens: f64,
}

/// Estimates a conversation. Its leading system messages are the prefix that others share.
pub fn estimate_prompt(messages: &[Message]) -> PromptEstimate {
    let tokens = |message: &Message| text_tokens(message.text) + TOKENS_PER_MESSAGE;
    let shared = messages.iter().take_while(|message| matches!(message.role, "system" | "developer"));
    let mut hash = Fnv1a::default();
    let mut prefix_tokens = 0.0;
    for message in shared {
        hash.write(message.role.as_bytes());
        hash.write(message.text.as_bytes());
        prefix_tokens += tokens(message);
    }
    PromptEstimate {
        prompt_tokens: messages.iter().map(tokens).sum(),
        prefix: (prefix_tokens > 0.0).then_some(PrefixId(hash.finish())),
        prefix_tokens,
    }
}
