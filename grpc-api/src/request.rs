//! From a request's metadata and message to a call.

use crate::status::Told;
use crate::v1;
use http::HeaderMap;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::Relay;
use petrelshore_ingress::call::{Call, ChatMessage};
use petrelshore_ingress::error::RequestError;
use petrelshore_ingress::metadata::CallMetadata;
use serde_json::{Map, Value};
use tonic::Status;

const MOST_DIGITS: usize = 8;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// What a call's metadata tells. Its whole time is also how long it waits for a first token.
pub fn head(headers: &HeaderMap) -> Result<CallMetadata<'_>, Told> {
    let completion_budget = text(headers, "grpc-timeout").map(timeout).transpose()?;
    let packed = text(headers, "grpc-encoding").is_some_and(|encoding| encoding != "identity");
    if packed {
        return Err(Told::Status(Status::unimplemented("messages can't be compressed here")));
    }
    Ok(CallMetadata {
        first_token_budget: completion_budget,
        completion_budget,
        ..CallMetadata::from_fields(|name| text(headers, name))
    })
}

/// A time as the protocol gives it: up to eight digits and a unit.
fn timeout(text: &str) -> Result<Nanos, RequestError> {
    let wrong =
        || RequestError::invalid_field("grpc-timeout", "must be 1 to 8 digits and one of H, M, S, m, u, n");
    let (digits, unit) = text.split_at_checked(text.len().saturating_sub(1)).ok_or_else(wrong)?;
    let unit: Nanos = match unit {
        "H" => 3_600_000_000_000,
        "M" => 60_000_000_000,
        "S" => 1_000_000_000,
        "m" => 1_000_000,
        "u" => 1_000,
        "n" => 1,
        _ => return Err(wrong()),
    };
    if digits.len() > MOST_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(wrong());
    }
    digits.parse::<Nanos>().map(|number| number.saturating_mul(unit)).map_err(|_| wrong())
}

pub fn call(request: v1::ChatRequest, relay: Relay) -> Result<Call, RequestError> {
    if request.model.is_empty() {
        return Err(RequestError::invalid_field("model", "'model' is missing"));
    }
    if request.max_tokens == Some(0) {
        return Err(RequestError::invalid_field(
            "max_tokens",
            "'max_tokens' must be a whole number of 1 or more",
        ));
    }
    let messages = request.messages.into_iter().enumerate().map(|(index, message)| {
        let role = match message.role() {
            v1::Role::System => "system",
            v1::Role::Developer => "developer",
            v1::Role::User => "user",
            v1::Role::Assistant => "assistant",
            v1::Role::Tool => "tool",
            v1::Role::Unspecified => {
                let place = format!("messages[{index}].role");
                return Err(RequestError::invalid_field(&place, "'role' is missing or unknown"));
            }
        };
        Ok(ChatMessage { role: role.to_owned(), text: message.text })
    });
    let mut sampling = Map::new();
    let numbers = [
        ("temperature", request.temperature),
        ("top_p", request.top_p),
        ("presence_penalty", request.presence_penalty),
        ("frequency_penalty", request.frequency_penalty),
    ];
    for (name, number) in numbers {
        let Some(number) = number else { continue };
        let value = serde_json::Number::from_f64(number)
            .ok_or_else(|| RequestError::invalid_field(name, format!("'{name}' must be a number")))?;
        sampling.insert(name.to_owned(), Value::Number(value));
    }
    if let Some(seed) = request.seed {
        sampling.insert("seed".to_owned(), Value::from(seed));
    }
    Ok(Call {
        model: request.model,
        messages: messages.collect::<Result<_, _>>()?,
        max_tokens: request.max_tokens.map(u64::from),
        stop: request.stop,
        sampling,
        session: Some(request.session).filter(|session| !session.is_empty()),
        relay,
    })
}

#[cfg(test)]
mod tests;
