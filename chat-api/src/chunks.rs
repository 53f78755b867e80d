//! Chat completion objects: the chunks of a stream, and the complete object of a buffered answer.

use crate::error::ApiError;
use petrelshore_chat_gateway::{FinalAnswer, Usage};
use serde_json::{Value, json};
use std::rc::Rc;

/// The fields that every object of one answer repeats.
pub struct CompletionInfo {
    /// The answer's id.
    pub id: String,
    /// The arrival time of the request, in seconds since the Unix epoch.
    pub created: u64,
    /// The model name from the request.
    pub model: Rc<str>,
}

/// Encodes the chunks of one stream as server-sent events. The fields that all chunks share are encoded once.
pub struct ChunkEncoder {
    /// The start of every chunk, with the shared fields.
    prefix: String,
    include_usage: bool,
}

impl ChunkEncoder {
    /// Creates an encoder for one answer. `include_usage` adds a last chunk with the token usage.
    pub fn new(info: &CompletionInfo, include_usage: bool) -> Self {
        let CompletionInfo { id, created, model } = info;
        let model = Value::from(&**model);
        let prefix = format!(
            r#"data: {{"id":"{id}","object":"chat.completion.chunk","created":{created},"model":{model},"#
        );
        ChunkEncoder { prefix, include_usage }
    }

    fn chunk(&self, delta: &str, finish_reason: &str) -> String {
        let prefix = &self.prefix;
        let usage = if self.include_usage { r#","usage":null"# } else { "" };
        format!(
            "{prefix}\"choices\":[{{\"index\":0,\"delta\":{delta},\"logprobs\":null,\"finish_reason\":{finish_reason}}}]{usage}}}\n\n"
        )
    }

    /// Encodes the first chunk, which gives the role and no text.
    pub fn role_chunk(&self) -> String {
        self.chunk(r#"{"role":"assistant","content":""}"#, "null")
    }

    /// Encodes a chunk with the next part of the answer's text.
    pub fn text_chunk(&self, text: &str) -> String {
        self.chunk(&format!(r#"{{"content":{}}}"#, Value::from(text)), "null")
    }

    /// Encodes the events after the last text: the finish reason, the token usage if requested, and the end marker; for
    /// an answer that has failed, an event with the error.
    pub fn final_events(&self, answer: &FinalAnswer) -> String {
        if let FinalAnswer::Completed { finish_reason, usage } = answer {
            return self.completed_events(finish_reason, *usage);
        }
        match ApiError::from_final_answer(answer) {
            Some(error) => format!("data: {}\n\n", error.body()),
            None => String::new(),
        }
    }

    fn completed_events(&self, finish_reason: &str, usage: Usage) -> String {
        let mut events = self.chunk("{}", &Value::from(finish_reason).to_string());
        if self.include_usage {
            let usage = usage_object(usage);
            events.push_str(&format!("{}\"choices\":[],\"usage\":{usage}}}\n\n", self.prefix));
        }
        events.push_str("data: [DONE]\n\n");
        events
    }
}

/// Returns the object of a complete answer.
pub fn completion(info: &CompletionInfo, text: &str, finish_reason: &str, usage: Usage) -> Value {
    json!({
        "id": info.id, "object": "chat.completion", "created": info.created, "model": &*info.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text, "refusal": null },
            "logprobs": null,
            "finish_reason": finish_reason,
        }],
        "usage": usage_object(usage),
    })
}

fn usage_object(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    })
}
