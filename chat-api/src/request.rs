//! Decodes the body of a chat request into a call. Errors name the invalid field.

use crate::fields::{Fields, boolean, integer, present, string};
use petrelshore_gateway_core::Relay;
use petrelshore_ingress::call::{Call, ChatMessage, SAMPLING_FIELDS, truncated};
use petrelshore_ingress::error::{RequestError, RequestErrorKind};
use serde_json::{Map, Value, json};

/// A decoded chat request.
pub struct ChatRequest {
    /// The call for the gateway.
    pub call: Call,
    /// True if a stream ends with a chunk that gives the token usage.
    pub include_usage: bool,
}

/// Fields that the gateway does not support. A request that uses one of these fields is rejected, because an answer
/// that ignores the field would be wrong.
const UNSUPPORTED_FIELDS: [&str; 8] =
    ["tools", "tool_choice", "functions", "function_call", "logprobs", "top_logprobs", "audio", "modalities"];
const MAX_TOKENS: u64 = u32::MAX as u64;

/// Decodes and checks the JSON body of a chat request.
pub fn decode(body: &[u8]) -> Result<ChatRequest, RequestError> {
    let fields = parse(body)?;
    let model = model(&fields)?;
    reject_unsupported(&fields)?;
    let messages = messages(&fields)?;
    let max_tokens = max_tokens(&fields)?;
    let streamed = boolean(&fields, "stream")?;
    let include_usage = include_usage(&fields, streamed)?;
    let session = string(&fields, "prompt_cache_key")?.map(str::to_owned);
    let call = Call {
        model,
        messages,
        max_tokens,
        stop: stop_sequences(&fields)?,
        sampling: sampling(&fields)?,
        session,
        relay: if streamed { Relay::Streamed } else { Relay::Buffered },
    };
    Ok(ChatRequest { call, include_usage })
}

fn parse(body: &[u8]) -> Result<Fields, RequestError> {
    let malformed = |message: String| RequestError::new(RequestErrorKind::Malformed, message);
    let json =
        serde_json::from_slice(body).map_err(|error| malformed(format!("the body is not JSON: {error}")))?;
    match json {
        Value::Object(fields) => Ok(fields),
        _ => Err(malformed("the body is not a JSON object".to_owned())),
    }
}

fn model(fields: &Fields) -> Result<String, RequestError> {
    match fields.get("model") {
        Some(Value::String(model)) => Ok(model.clone()),
        Some(_) => Err(RequestError::invalid_field("model", "'model' must be a string")),
        None => Err(RequestError::invalid_field("model", "'model' is missing")),
    }
}

fn reject_unsupported(fields: &Fields) -> Result<(), RequestError> {
    for name in UNSUPPORTED_FIELDS {
        if fields.get(name).is_some_and(requests_feature) {
            return Err(RequestError::invalid_field(name, format!("'{name}' is not supported here")));
        }
    }
    let format = present(fields, "response_format");
    if format.is_some_and(|format| format.get("type").and_then(Value::as_str) != Some("text")) {
        let message = "only the type 'text' is supported here";
        return Err(RequestError::invalid_field("response_format", message));
    }
    if integer(fields, "n", 1, u64::MAX)?.is_some_and(|choices| choices != 1) {
        let message = "only one choice is supported here: 'n' must be 1";
        return Err(RequestError::invalid_field("n", message));
    }
    Ok(())
}

/// Returns true if the value of an unsupported field requests the feature, and false if the value means the same as an
/// absent field.
fn requests_feature(value: &Value) -> bool {
    match value {
        Value::Null | Value::Bool(false) => false,
        Value::Array(values) => !values.is_empty() && *value != json!(["text"]),
        Value::String(choice) => choice != "none",
        _ => true,
    }
}

fn messages(fields: &Fields) -> Result<Vec<ChatMessage>, RequestError> {
    let invalid = |message| Err(RequestError::invalid_field("messages", message));
    match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => {
            messages.iter().enumerate().map(|(index, message)| decode_message(index, message)).collect()
        }
        Some(Value::Array(_)) => invalid("'messages' is empty"),
        Some(_) => invalid("'messages' must be an array"),
        None => invalid("'messages' is missing"),
    }
}

fn decode_message(index: usize, message: &Value) -> Result<ChatMessage, RequestError> {
    let invalid = |field: &str, message: String| {
        RequestError::invalid_field(&format!("messages[{index}].{field}"), message)
    };
    let role = message
        .get("role")
        .and_then(Value::as_str)
        .ok_or_else(|| invalid("role", "'role' is missing or not a string".to_owned()))?;
    if !matches!(role, "system" | "developer" | "user" | "assistant" | "tool") {
        return Err(invalid("role", format!("'{}' is not a role of this API", truncated(role))));
    }
    let text = match message.get("content") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(parts)) => joined_parts(index, parts)?,
        Some(Value::Null) if role == "assistant" => String::new(),
        _ => return Err(invalid("content", "'content' must be a string or an array of parts".to_owned())),
    };
    Ok(ChatMessage { role: role.to_owned(), text })
}

/// Joins the text parts of a message.
fn joined_parts(message: usize, parts: &[Value]) -> Result<String, RequestError> {
    let mut joined = String::new();
    for (index, part) in parts.iter().enumerate() {
        let error = match (part.get("type").and_then(Value::as_str), part.get("text").and_then(Value::as_str))
        {
            (Some("text"), Some(text)) => {
                joined.push_str(text);
                continue;
            }
            (Some("text"), None) => "a part of the type 'text' must have a string 'text'",
            _ => "only parts of the type 'text' are supported here",
        };
        return Err(RequestError::invalid_field(&format!("messages[{message}].content[{index}]"), error));
    }
    Ok(joined)
}

/// Reads the maximum length of the answer, in tokens. The older field `max_tokens` counts only if the newer field
/// `max_completion_tokens` is absent.
fn max_tokens(fields: &Fields) -> Result<Option<u64>, RequestError> {
    match integer(fields, "max_completion_tokens", 1, MAX_TOKENS)? {
        Some(tokens) => Ok(Some(tokens)),
        None => integer(fields, "max_tokens", 1, MAX_TOKENS),
    }
}

fn include_usage(fields: &Fields, streamed: bool) -> Result<bool, RequestError> {
    let invalid = |message| Err(RequestError::invalid_field("stream_options", message));
    match present(fields, "stream_options") {
        None => Ok(false),
        Some(Value::Object(_)) if !streamed => invalid("'stream_options' needs 'stream' to be true"),
        Some(Value::Object(options)) => boolean(options, "include_usage").map_err(|_| {
            RequestError::invalid_field("stream_options.include_usage", "must be true or false")
        }),
        Some(_) => invalid("'stream_options' must be an object"),
    }
}

fn stop_sequences(fields: &Fields) -> Result<Vec<String>, RequestError> {
    let invalid = || RequestError::invalid_field("stop", "'stop' must be a string or up to four strings");
    match present(fields, "stop") {
        None => Ok(Vec::new()),
        Some(Value::String(stop)) => Ok(vec![stop.clone()]),
        Some(Value::Array(all)) => {
            all.iter().map(|stop| stop.as_str().map(str::to_owned).ok_or_else(invalid)).collect()
        }
        Some(_) => Err(invalid()),
    }
}

fn sampling(fields: &Fields) -> Result<Map<String, Value>, RequestError> {
    let mut sampling = Map::new();
    for field in SAMPLING_FIELDS {
        let Some(value) = present(fields, field.name) else { continue };
        if !value.is_number() {
            return Err(field.error());
        }
        sampling.insert(field.name.to_owned(), value.clone());
    }
    if let Some(seed) = present(fields, "seed") {
        if !seed.is_i64() && !seed.is_u64() {
            return Err(RequestError::invalid_field("seed", "'seed' must be a whole number"));
        }
        sampling.insert("seed".to_owned(), seed.clone());
    }
    Ok(sampling)
}
