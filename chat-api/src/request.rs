//! From the body of a chat request to a call. What is wrong is named by its field.

use petrelshore::interface::Nanos;
use petrelshore_gateway_core::Relay;
use petrelshore_ingress::call::{Call, ChatMessage, SAMPLING_FIELDS, truncated};
use petrelshore_ingress::error::{RequestError, RequestErrorKind};
use petrelshore_ingress::metadata::CallMetadata;
use serde_json::{Map, Value};

/// A body that is understood.
pub struct Chat {
    pub call: Call,
    pub include_usage: bool,
}

/// Fields whose wishes can't be met here; better refused than ignored.
const UNMET: [&str; 8] =
    ["tools", "tool_choice", "functions", "function_call", "logprobs", "top_logprobs", "audio", "modalities"];

/// The client gives up after so many milliseconds: the head's own field for it.
pub fn abandon_time<'a>(
    head: CallMetadata<'a>,
    told: Option<&str>,
) -> Result<CallMetadata<'a>, RequestError> {
    match told.map(str::parse::<u64>) {
        None => Ok(head),
        Some(Ok(millis)) if millis > 0 => {
            let asked: Nanos = millis.saturating_mul(1_000_000);
            Ok(CallMetadata { first_token_budget: Some(asked), ..head })
        }
        Some(_) => Err(RequestError::invalid_field("x-abandon-ms", "must be a whole number of milliseconds")),
    }
}

pub fn decode(body: &[u8]) -> Result<Chat, RequestError> {
    let json: Value = serde_json::from_slice(body).map_err(|error| {
        RequestError::new(RequestErrorKind::Malformed, format!("the body is not JSON: {error}"))
    })?;
    let Value::Object(fields) = json else {
        return Err(RequestError::new(RequestErrorKind::Malformed, "the body is not a JSON object"));
    };
    let model = match fields.get("model") {
        Some(Value::String(model)) => model.clone(),
        Some(_) => return Err(RequestError::invalid_field("model", "'model' must be a string")),
        None => return Err(RequestError::invalid_field("model", "'model' is missing")),
    };
    for name in UNMET {
        let asked = |value: &Value| match value {
            Value::Null | Value::Bool(false) => false,
            Value::Array(values) => !values.is_empty() && *value != serde_json::json!(["text"]),
            Value::String(word) => word != "none",
            _ => true,
        };
        if fields.get(name).is_some_and(asked) {
            return Err(RequestError::invalid_field(name, format!("'{name}' is not supported here")));
        }
    }
    let text_only = |format: &Value| format.get("type").and_then(Value::as_str) == Some("text");
    if fields.get("response_format").is_some_and(|format| !format.is_null() && !text_only(format)) {
        return Err(RequestError::invalid_field("response_format", "only the type 'text' is supported here"));
    }
    if whole(&fields, "n", 1, u64::MAX)?.is_some_and(|n| n != 1) {
        return Err(RequestError::invalid_field("n", "only one choice is supported here: 'n' must be 1"));
    }
    let messages = messages(&fields)?;
    let asked = match whole(&fields, "max_completion_tokens", 1, u64::from(u32::MAX))? {
        Some(tokens) => Some(tokens),
        None => whole(&fields, "max_tokens", 1, u64::from(u32::MAX))?,
    };
    let stream = flag(&fields, "stream")?;
    let include_usage = match fields.get("stream_options") {
        None | Some(Value::Null) => false,
        Some(Value::Object(_)) if !stream => {
            return Err(RequestError::invalid_field(
                "stream_options",
                "'stream_options' needs 'stream' to be true",
            ));
        }
        Some(Value::Object(options)) => flag(options, "include_usage").map_err(|_| {
            RequestError::invalid_field("stream_options.include_usage", "must be true or false")
        })?,
        Some(_) => {
            return Err(RequestError::invalid_field("stream_options", "'stream_options' must be an object"));
        }
    };
    let session = word(&fields, "prompt_cache_key")?.map(str::to_owned);
    let call = Call {
        model,
        messages,
        max_tokens: asked,
        stop: stops(&fields)?,
        sampling: sampling(&fields)?,
        session,
        relay: if stream { Relay::Streamed } else { Relay::Buffered },
    };
    Ok(Chat { call, include_usage })
}

fn messages(fields: &Map<String, Value>) -> Result<Vec<ChatMessage>, RequestError> {
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        Some(Value::Array(_)) => return Err(RequestError::invalid_field("messages", "'messages' is empty")),
        Some(_) => return Err(RequestError::invalid_field("messages", "'messages' must be an array")),
        None => return Err(RequestError::invalid_field("messages", "'messages' is missing")),
    };
    messages.iter().enumerate().map(|(index, message)| one_message(index, message)).collect()
}

fn one_message(index: usize, message: &Value) -> Result<ChatMessage, RequestError> {
    let at = |field: &str| format!("messages[{index}].{field}");
    let role = message.get("role").and_then(Value::as_str);
    let role =
        role.ok_or_else(|| RequestError::invalid_field(&at("role"), "'role' is missing or not a string"))?;
    if !matches!(role, "system" | "developer" | "user" | "assistant" | "tool") {
        let message = format!("'{}' is not a role of this API", truncated(role));
        return Err(RequestError::invalid_field(&at("role"), message));
    }
    let text = match message.get("content") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(parts)) => {
            let mut text = String::new();
            for (number, part) in parts.iter().enumerate() {
                let place = format!("messages[{index}].content[{number}]");
                match (part.get("type").and_then(Value::as_str), part.get("text").and_then(Value::as_str)) {
                    (Some("text"), Some(words)) => text.push_str(words),
                    (Some("text"), None) => {
                        return Err(RequestError::invalid_field(&place, "a text part needs 'text'"));
                    }
                    _ => {
                        return Err(RequestError::invalid_field(
                            &place,
                            "only parts of the type 'text' are supported here",
                        ));
                    }
                }
            }
            text
        }
        Some(Value::Null) if role == "assistant" => String::new(),
        _ => {
            return Err(RequestError::invalid_field(
                &at("content"),
                "'content' must be a string or an array of parts",
            ));
        }
    };
    Ok(ChatMessage { role: role.to_owned(), text })
}

fn stops(fields: &Map<String, Value>) -> Result<Vec<String>, RequestError> {
    let wrong = || RequestError::invalid_field("stop", "'stop' must be a string or up to four strings");
    match fields.get("stop") {
        None | Some(Value::Null) => Ok(Vec::new()),
        Some(Value::String(stop)) => Ok(vec![stop.clone()]),
        Some(Value::Array(all)) => {
            all.iter().map(|stop| stop.as_str().map(str::to_owned).ok_or_else(wrong)).collect()
        }
        Some(_) => Err(wrong()),
    }
}

fn sampling(fields: &Map<String, Value>) -> Result<Map<String, Value>, RequestError> {
    let mut chosen = Map::new();
    for field in SAMPLING_FIELDS {
        match fields.get(field.name) {
            None | Some(Value::Null) => {}
            Some(value) if value.is_number() => {
                chosen.insert(field.name.to_owned(), value.clone());
            }
            Some(_) => return Err(field.error()),
        }
    }
    if let Some(seed) = fields.get("seed").filter(|seed| !seed.is_null()) {
        if !seed.is_i64() && !seed.is_u64() {
            return Err(RequestError::invalid_field("seed", "'seed' must be a whole number"));
        }
        chosen.insert("seed".to_owned(), seed.clone());
    }
    Ok(chosen)
}

fn whole(
    fields: &Map<String, Value>,
    name: &str,
    least: u64,
    most: u64,
) -> Result<Option<u64>, RequestError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().filter(|number| (least..=most).contains(number)) {
            Some(number) => Ok(Some(number)),
            None => Err(RequestError::invalid_field(
                name,
                format!("'{name}' must be a whole number of {least} or more"),
            )),
        },
    }
}

fn flag(fields: &Map<String, Value>, name: &str) -> Result<bool, RequestError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(RequestError::invalid_field(name, format!("'{name}' must be true or false"))),
    }
}

fn word<'a>(fields: &'a Map<String, Value>, name: &str) -> Result<Option<&'a str>, RequestError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(word)) => Ok(Some(word)),
        Some(_) => Err(RequestError::invalid_field(name, format!("'{name}' must be a string"))),
    }
}
