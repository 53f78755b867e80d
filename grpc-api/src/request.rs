//! Converts a request's metadata and message to a call. An error names the invalid field.

use crate::error::RpcError;
use crate::v1;
use http::HeaderMap;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::Relay;
use petrelshore_ingress::call::{Call, ChatMessage};
use petrelshore_ingress::error::RequestError;
use petrelshore_ingress::metadata::CallMetadata;
use serde_json::{Map, Number, Value};
use tonic::Status;

const MAX_TIMEOUT_DIGITS: usize = 8;

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads a call's metadata. The gRPC timeout bounds the first token as well as the complete answer.
pub fn call_metadata(headers: &HeaderMap) -> Result<CallMetadata<'_>, RpcError> {
    let timeout = header_text(headers, "grpc-timeout").map(parse_timeout).transpose()?;
    let compressed = header_text(headers, "grpc-encoding").is_some_and(|encoding| encoding != "identity");
    if compressed {
        return Err(RpcError::Status(Status::unimplemented("compressed messages are not supported")));
    }
    let metadata = CallMetadata::from_fields(|name| header_text(headers, name));
    Ok(CallMetadata { first_token_budget: timeout, completion_budget: timeout, ..metadata })
}

/// Parses a gRPC timeout of up to eight digits and a unit. Returns nanoseconds.
fn parse_timeout(text: &str) -> Result<Nanos, RequestError> {
    let invalid = || {
        let message = "'grpc-timeout' must be 1 to 8 digits followed by one of the units H, M, S, m, u, n";
        RequestError::invalid_field("grpc-timeout", message)
    };
    let (digits, unit) = text.split_at_checked(text.len().saturating_sub(1)).ok_or_else(invalid)?;
    let unit: Nanos = match unit {
        "H" => 3_600_000_000_000,
        "M" => 60_000_000_000,
        "S" => 1_000_000_000,
        "m" => 1_000_000,
        "u" => 1_000,
        "n" => 1,
        _ => return Err(invalid()),
    };
    if digits.len() > MAX_TIMEOUT_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(invalid());
    }
    digits.parse::<Nanos>().map(|number| number.saturating_mul(unit)).map_err(|_| invalid())
}

/// Validates the fields of a chat request and converts it to a call.
pub fn decode(request: v1::ChatRequest, relay: Relay) -> Result<Call, RequestError> {
    if request.model.is_empty() {
        return Err(RequestError::invalid_field("model", "'model' is missing"));
    }
    if request.max_tokens == Some(0) {
        let message = "'max_tokens' must be a whole number of 1 or more";
        return Err(RequestError::invalid_field("max_tokens", message));
    }
    let sampling = sampling(&request)?;
    let messages = request.messages.into_iter().enumerate();
    Ok(Call {
        model: request.model,
        messages: messages
            .map(|(index, message)| decode_message(index, message))
            .collect::<Result<_, _>>()?,
        max_tokens: request.max_tokens.map(u64::from),
        stop: request.stop,
        sampling,
        session: Some(request.session).filter(|session| !session.is_empty()),
        relay,
    })
}

fn decode_message(index: usize, message: v1::Message) -> Result<ChatMessage, RequestError> {
    let role = match message.role() {
        v1::Role::System => "system",
        v1::Role::Developer => "developer",
        v1::Role::User => "user",
        v1::Role::Assistant => "assistant",
        v1::Role::Tool => "tool",
        v1::Role::Unspecified => {
            let field = format!("messages[{index}].role");
            return Err(RequestError::invalid_field(&field, "'role' is missing or unknown"));
        }
    };
    Ok(ChatMessage { role: role.to_owned(), text: message.text })
}

/// The sampling parameters, by their names in the chat API.
fn sampling(request: &v1::ChatRequest) -> Result<Map<String, Value>, RequestError> {
    let mut sampling = Map::new();
    let numbers = [
        ("temperature", request.temperature),
        ("top_p", request.top_p),
        ("presence_penalty", request.presence_penalty),
        ("frequency_penalty", request.frequency_penalty),
    ];
    for (name, number) in numbers {
        let Some(number) = number else { continue };
        let value = Number::from_f64(number)
            .ok_or_else(|| RequestError::invalid_field(name, format!("'{name}' must be a finite number")))?;
        sampling.insert(name.to_owned(), Value::Number(value));
    }
    if let Some(seed) = request.seed {
        sampling.insert("seed".to_owned(), Value::from(seed));
    }
    Ok(sampling)
}

#[cfg(test)]
mod tests;
