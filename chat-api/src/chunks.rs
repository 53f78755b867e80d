//! Chat completion objects: the chunks of a stream, and the complete object of a buffered answer.

use crate::error::ApiError;
use petrelshore_chat_gateway::{FinalAnswer, Usage};
use serde_json::{Value, json};
use std::rc::Rc;

/// What every object of one answer repeats.
pub struct CompletionInfo {
    /// The answer's id.
    pub id: String,
    /// When the request arrived, in seconds since the Unix epoch.
    pub created: u64,
    /// The model as the client named it.
    pub model: Rc<str>,
}

/// Encodes the chunks of one stream as server-sent events. What all its chunks share is encoded once.
pub struct ChunkEncoder {
    head: String,
    include_usage: bool,
}

impl ChunkEncoder {
    /// An encoder for one answer. `include_usage` adds a last chunk with the token usage.
    pub fn new(info: &CompletionInfo, include_usage: bool) -> Self {
        let CompletionInfo { id, created, model } = info;
        let model = Value::from(&**model);
        let head = format!(
            r#"data: {{"id":"{id}","object":"chat.completion.chunk","created":{created},"model":{model},"#
        );
        ChunkEncoder { head, include_usage }
    }

    fn chunk(&self, delta: &str, finish_reason: &str) -> String {
        let head = &self.head;
        let usage = if self.include_usage { r#","usage":null"# } else { "" };
        format!(
            "{head}\"choices\":[{{\"index\":0,\"delta\":{delta},\"logprobs\":null,\"finish_reason\":{finish_reason}}}]{usage}}}\n\n"
        )
    }

    /// What comes before the first text.
    pub fn opening(&self) -> String {
        self.chunk(r#"{"role":"assistant","content":""}"#, "null")
    }

    /// One text of the answer.
    pub fn text(&self, text: &str) -> String {
        self.chunk(&format!(r#"{{"content":{}}}"#, Value::from(text)), "null")
    }

    /// What follows the last text.
    pub fn closing(&self, answer: &FinalAnswer) -> String {
        if let FinalAnswer::Completed { finish_reason, usage } = answer {
            return self.completed(finish_reason, *usage);
        }
        match ApiError::from_final_answer(answer) {
            Some(error) => format!("data: {}\n\n", error.body()),
            None => String::new(),
        }
    }

    fn completed(&self, finish_reason: &str, usage: Usage) -> String {
        let mut events = self.chunk("{}", &Value::from(finish_reason).to_string());
        if self.include_usage {
            let usage = usage_object(usage);
            events.push_str(&format!("{}\"choices\":[],\"usage\":{usage}}}\n\n", self.head));
        }
        events.push_str("data: [DONE]\n\n");
        events
    }
}

/// The object of a complete answer.
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
