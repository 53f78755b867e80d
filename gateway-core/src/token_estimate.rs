//! Estimates the number of tokens of a conversation and of the prefix that it shares with other conversations.

use crate::fingerprint::Fnv1a;
use petrelshore::interface::PrefixId;

/// Approximate number of bytes of text per token. The gateway has no tokeniser.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Number of tokens that delimit one message.
const TOKENS_PER_MESSAGE: f64 = 4.0;

/// Estimated number of tokens of a text. All token estimates of the gateway use this function, so a tokeniser would
/// replace only this one.
pub fn text_tokens(text: &str) -> f64 {
    (text.len() as f64 / BYTES_PER_TOKEN).ceil()
}

/// One message of a conversation.
pub struct Message<'a> {
    /// The role of the message's author, as named in the API.
    pub role: &'a str,
    /// The text of the message.
    pub text: &'a str,
}

/// Estimated size of a conversation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptEstimate {
    /// Tokens of the whole conversation.
    pub prompt_tokens: f64,
    /// Identifies the prefix that the conversation shares with others; none without such a prefix.
    pub prefix: Option<PrefixId>,
    /// Tokens of the shared prefix.
    pub prefix_tokens: f64,
}

/// Estimates the size of a conversation. Its leading system and developer messages are the shared prefix.
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
