//! Validates a decoded call and turns it into a request for the gateway. Errors name the field that is invalid.

use crate::error::{RequestError, RequestErrorKind};
use crate::metadata::CallMetadata;
use petrelshore::interface::{Nanos, SessionId, TenantId, TrafficTypeId};
use petrelshore_chat_gateway::{GenerationRequest, Request};
use petrelshore_gateway_core::Relay;
use petrelshore_gateway_core::fingerprint;
use petrelshore_gateway_core::token_estimate::{self, Message};
use petrelshore_settings::Settings;
use serde_json::{Map, Value};
use std::rc::Rc;

/// A sampling parameter that is passed to the model server, with the range that the chat API allows.
#[derive(Clone, Copy, Debug)]
pub struct SamplingField {
    /// The name of the parameter in the chat API.
    pub name: &'static str,
    /// The lowest value allowed.
    pub min: f64,
    /// The highest value allowed.
    pub max: f64,
}

impl SamplingField {
    /// Returns the error for a value that is not a number or is out of range.
    pub fn error(&self) -> RequestError {
        let SamplingField { name, min, max } = self;
        RequestError::invalid_field(name, format!("'{name}' must be a number from {min} to {max}"))
    }
}

/// The sampling parameters that have a range.
pub const SAMPLING_FIELDS: [SamplingField; 4] = [
    SamplingField { name: "temperature", min: 0.0, max: 2.0 },
    SamplingField { name: "top_p", min: 0.0, max: 1.0 },
    SamplingField { name: "presence_penalty", min: -2.0, max: 2.0 },
    SamplingField { name: "frequency_penalty", min: -2.0, max: 2.0 },
];
const MAX_MESSAGES: usize = 4096;
const MAX_STOP_SEQUENCES: usize = 4;
/// The maximum length of idempotency keys, session names and stop sequences, in bytes.
const MAX_IDENTIFIER_BYTES: usize = 255;
/// The maximum length of a client's own text in an error message, in characters. It keeps an answer from being larger
/// than its request.
const MAX_QUOTED_CHARS: usize = 64;
/// The approximate length of the markers that delimit one message in a prompt, in bytes.
const MESSAGE_MARKER_BYTES: usize = 24;
const NANOS_PER_SECOND: Nanos = 1_000_000_000;

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatMessage {
    /// The role of the author, as the chat API names it.
    pub role: String,
    /// The content of the message.
    pub text: String,
}

/// A chat call as decoded by its API.
pub struct Call {
    /// The name of the requested model.
    pub model: String,
    /// The conversation, oldest message first.
    pub messages: Vec<ChatMessage>,
    /// The requested maximum length of the answer, in tokens. The traffic type's maximum applies as well.
    pub max_tokens: Option<u64>,
    /// The stop sequences: the answer ends before the first of them.
    pub stop: Vec<String>,
    /// Sampling parameters by their names in the chat API.
    pub sampling: Map<String, Value>,
    /// The name of the session. It takes precedence over the session in the metadata.
    pub session: Option<String>,
    /// The way in which the answer is relayed to the client.
    pub relay: Relay,
}

/// The origin of a call, and the settings that the call is validated against.
pub struct CallContext<'a> {
    /// The gateway's settings.
    pub settings: &'a Settings,
    /// The header or metadata fields of the call.
    pub metadata: &'a CallMetadata<'a>,
    /// The authenticated tenant, if any.
    pub tenant: Option<TenantId>,
    /// A number that identifies the client's address.
    pub client: u64,
    /// The time when the call arrived.
    pub arrived_at: Nanos,
}

impl CallContext<'_> {
    /// Validates a call and turns it into a request for the gateway.
    pub fn prepare(&self, call: Call) -> Result<GenerationRequest, RequestError> {
        let traffic = self.traffic_type(&call.model)?;
        validate(&call)?;
        let idempotency_key = self.idempotency_key()?;
        let traffic_type = &self.settings.traffic[traffic.0];
        let max_tokens = u64::from(traffic_type.max_tokens);
        let first_token_budget = self.metadata.first_token_budget;
        let request = Request {
            traffic,
            tenant: self.tenant,
            session: self.session(&call),
            estimate: estimated_tokens(&call.messages),
            model: Rc::from(call.model.as_str()),
            prompt: Rc::from(render_prompt(&call.messages)),
            max_tokens: call.max_tokens.unwrap_or(max_tokens).min(max_tokens) as u32,
            idempotency_key,
            relay: call.relay,
            client: self.client,
            first_token_budget: first_token_budget
                .map_or(traffic_type.abandon_time, |budget| budget.min(traffic_type.abandon_time)),
            completion_budget: self.metadata.completion_budget,
            arrived_at: self.arrived_at,
        };
        Ok(GenerationRequest { request, stop: call.stop.into(), sampling: Rc::new(call.sampling) })
    }

    /// Returns the traffic type that the metadata names, or else the traffic type of the model. The model must exist in
    /// both cases.
    fn traffic_type(&self, model: &str) -> Result<TrafficTypeId, RequestError> {
        let by_model = self.settings.model(model).ok_or_else(|| RequestError {
            kind: RequestErrorKind::UnknownModel,
            field: Some("model".to_owned()),
            message: format!("the model '{}' does not exist", truncated(model)),
        })?;
        let Some(name) = self.metadata.traffic_type else { return Ok(by_model) };
        self.settings.traffic_type(name).ok_or_else(|| {
            let message = format!("the traffic type '{}' does not exist", truncated(name));
            RequestError::invalid_field("x-traffic-type", message)
        })
    }

    fn idempotency_key(&self) -> Result<Option<Rc<str>>, RequestError> {
        match self.metadata.idempotency_key {
            Some(key) if !is_valid_identifier(key) => {
                Err(RequestError::invalid_field("Idempotency-Key", "the key must be 1 to 255 bytes long"))
            }
            key => Ok(key.map(Rc::from)),
        }
    }

    /// Returns the id of the session that a call names. Sessions of different tenants differ even if they have the
    /// same name. An invalid name is ignored.
    fn session(&self, call: &Call) -> Option<SessionId> {
        let name = call.session.as_deref().or(self.metadata.session);
        let name = name.filter(|name| is_valid_identifier(name))?;
        let tenant = self.tenant.map_or("", |TenantId(tenant)| &self.settings.tenants[tenant]);
        Some(fingerprint::session_id(tenant, name))
    }
}

fn is_valid_identifier(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_IDENTIFIER_BYTES
}

fn validate(call: &Call) -> Result<(), RequestError> {
    if call.messages.is_empty() {
        return Err(RequestError::invalid_field("messages", "'messages' is empty"));
    }
    if call.messages.len() > MAX_MESSAGES {
        let message = format!("'messages' must have at most {MAX_MESSAGES} entries");
        return Err(RequestError::invalid_field("messages", message));
    }
    if call.stop.len() > MAX_STOP_SEQUENCES || !call.stop.iter().all(|stop| is_valid_identifier(stop)) {
        let message = "'stop' must be up to four strings of 1 to 255 bytes";
        return Err(RequestError::invalid_field("stop", message));
    }
    for field in SAMPLING_FIELDS {
        let value = call.sampling.get(field.name).and_then(Value::as_f64);
        if value.is_some_and(|value| !(field.min..=field.max).contains(&value)) {
            return Err(field.error());
        }
    }
    Ok(())
}

fn estimated_tokens(messages: &[ChatMessage]) -> token_estimate::PromptEstimate {
    let messages: Vec<Message> =
        messages.iter().map(|message| Message { role: &message.role, text: &message.text }).collect();
    token_estimate::estimate_prompt(&messages)
}

/// Renders the conversation as one prompt. Earlier turns come first, so that the prompt of a longer history begins with
/// the prompt of a shorter history.
fn render_prompt(messages: &[ChatMessage]) -> String {
    let bytes = messages.iter().map(|message| message.text.len() + MESSAGE_MARKER_BYTES).sum();
    let mut prompt = String::with_capacity(bytes);
    for message in messages {
        prompt.push_str("<|");
        prompt.push_str(&message.role);
        prompt.push_str("|>\n");
        prompt.push_str(&message.text);
        prompt.push('\n');
    }
    prompt.push_str("<|assistant|>\n");
    prompt
}

/// Returns a client's text, cut to a length that an error message may quote.
pub fn truncated(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

/// Converts nanoseconds since the Unix epoch to full seconds, the unit of times in the protocols.
pub fn unix_seconds(at: Nanos) -> u64 {
    at / NANOS_PER_SECOND
}
