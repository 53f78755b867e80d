//! From a decoded call to what the gateway is asked. What is wrong is named by its field.

use petrelshore::interface::*;
use petrelshore_chat_gateway::{GenerationRequest, Request};
use petrelshore_gateway_core::Relay;
use petrelshore_gateway_core::error_response::ErrorResponse;
use petrelshore_gateway_core::fingerprint;
use petrelshore_gateway_core::token_estimate::{self, Message};
use petrelshore_settings::Settings;
use serde_json::{Map, Value};
use std::rc::Rc;

/// Sampling fields that are handed on to the model server, with the range that the chat API gives them.
pub const SAMPLING: [(&str, f64, f64); 4] = [
    ("temperature", 0.0, 2.0),
    ("top_p", 0.0, 1.0),
    ("presence_penalty", -2.0, 2.0),
    ("frequency_penalty", -2.0, 2.0),
];
const MOST_MESSAGES: usize = 4096;
const MOST_STOPS: usize = 4;
const LONGEST_NAME: usize = 255;
/// A client's own words in a message are cut to this, so that an answer is never larger than its question.
const SHORT: usize = 64;

/// What is wrong with a request, for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    pub what: Fault,
    /// The field to blame, as its protocol names it.
    pub field: Option<String>,
    pub message: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No key, or one that is not known.
    Unauthenticated,
    UnknownModel,
    /// A field is missing or out of its range.
    Field,
    /// The whole can't be read.
    Malformed,
    /// It was not whole in time.
    Late,
    NoSuchPath,
    NoSuchMethod,
}

impl Wrong {
    pub fn new(what: Fault, message: impl Into<String>) -> Self {
        Wrong { what, field: None, message: message.into() }
    }

    pub fn field(field: &str, message: impl Into<String>) -> Self {
        Wrong { what: Fault::Field, field: Some(field.to_owned()), message: message.into() }
    }
}

/// Why a call got no answer, whatever front it came by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failed {
    Wrong(Wrong),
    ErrorResponse(ErrorResponse),
}

impl From<Wrong> for Failed {
    fn from(wrong: Wrong) -> Failed {
        Failed::Wrong(wrong)
    }
}

impl<U: Into<ErrorResponse>> From<U> for Failed {
    fn from(unanswered: U) -> Failed {
        Failed::ErrorResponse(unanswered.into())
    }
}

/// What a call's head told, by the same names in every front.
#[derive(Clone, Copy, Default)]
pub struct Head<'a> {
    pub authorization: Option<&'a str>,
    pub idempotency_key: Option<&'a str>,
    pub session: Option<&'a str>,
    /// Names the traffic type, where one model serves several.
    pub traffic: Option<&'a str>,
    /// The client waits for a first token for so long; it may only shorten what the traffic type allows.
    pub abandon_time: Option<Nanos>,
    /// It waits for the whole answer for so long.
    pub whole_within: Option<Nanos>,
}

impl<'a> Head<'a> {
    /// From a lookup of header or metadata fields; times are each front's own.
    pub fn of(field: impl Fn(&str) -> Option<&'a str>) -> Self {
        Head {
            authorization: field("authorization"),
            idempotency_key: field("idempotency-key"),
            session: field("x-session-id"),
            traffic: field("x-traffic-type"),
            abandon_time: None,
            whole_within: None,
        }
    }
}

/// A chat call, as its front decoded it.
pub struct Call {
    pub model: String,
    /// Roles and texts.
    pub messages: Vec<(String, String)>,
    pub max_tokens: Option<u64>,
    pub stop: Vec<String>,
    /// By the names of the chat API.
    pub sampling: Map<String, Value>,
    /// Comes before what the head tells.
    pub session: Option<String>,
    pub relay: Relay,
}

/// Who calls: a tenant, or nobody in particular where the settings are open.
pub fn caller(settings: &Settings, head: &Head) -> Result<Option<TenantId>, Wrong> {
    let key = head.authorization.and_then(|value| value.strip_prefix("Bearer ")).map(str::trim);
    match key.and_then(|key| settings.tenant(key)) {
        Some(tenant) => Ok(Some(tenant)),
        None if settings.allow_anonymous => Ok(None),
        None => Err(Wrong::new(
            Fault::Unauthenticated,
            match key {
                Some(_) => "this API key is not known here",
                None => "an API key is needed: Authorization: Bearer KEY",
            },
        )),
    }
}

/// Checks a call and makes it ready for the gateway.
pub fn ask(
    settings: &Settings,
    head: &Head,
    tenant: Option<TenantId>,
    client: u64,
    arrived: Nanos,
    call: Call,
) -> Result<GenerationRequest, Wrong> {
    let by_model = settings.model(&call.model).ok_or_else(|| Wrong {
        what: Fault::UnknownModel,
        field: Some("model".to_owned()),
        message: format!("the model '{}' does not exist here", shortened(&call.model)),
    })?;
    let traffic = match head.traffic {
        None => by_model,
        Some(name) => settings.traffic_type(name).ok_or_else(|| {
            Wrong::field("x-traffic-type", format!("'{}' is no traffic type here", shortened(name)))
        })?,
    };
    check(&call)?;
    let idempotency_key = match head.idempotency_key {
        Some(key) if key.is_empty() || key.len() > LONGEST_NAME => {
            return Err(Wrong::field("Idempotency-Key", "must have 1 to 255 characters"));
        }
        key => key.map(Rc::from),
    };
    let tenant_name = tenant.map_or("", |TenantId(tenant)| &settings.tenants[tenant]);
    let named = call.session.as_deref().or(head.session);
    let session = named.filter(|key| !key.is_empty() && key.len() <= LONGEST_NAME);
    let kind = &settings.traffic[traffic.0];
    let most = u64::from(kind.max_tokens);
    let estimate: Vec<Message> = call.messages.iter().map(|(role, text)| Message { role, text }).collect();
    let request = Request {
        traffic,
        tenant,
        session: session.map(|key| fingerprint::session_id(tenant_name, key)),
        estimate: token_estimate::estimate_prompt(&estimate),
        model: Rc::from(call.model.as_str()),
        prompt: Rc::from(rendered(&call.messages)),
        max_tokens: call.max_tokens.unwrap_or(most).min(most) as u32,
        idempotency_key,
        relay: call.relay,
        client,
        first_token_budget: head.abandon_time.map_or(kind.abandon_time, |asked| asked.min(kind.abandon_time)),
        completion_budget: head.whole_within,
        arrived_at: arrived,
    };
    Ok(GenerationRequest { request, stop: call.stop.into(), sampling: Rc::new(call.sampling) })
}

fn check(call: &Call) -> Result<(), Wrong> {
    if call.messages.is_empty() {
        return Err(Wrong::field("messages", "'messages' is empty"));
    }
    if call.messages.len() > MOST_MESSAGES {
        return Err(Wrong::field("messages", format!("more than {MOST_MESSAGES} messages")));
    }
    if call.stop.len() > MOST_STOPS
        || call.stop.iter().any(|stop| stop.is_empty() || stop.len() > LONGEST_NAME)
    {
        return Err(Wrong::field("stop", "'stop' must be up to four strings of 1 to 255 characters"));
    }
    for (name, least, most) in SAMPLING {
        if call.sampling.get(name).and_then(Value::as_f64).is_some_and(|n| !(least..=most).contains(&n)) {
            return Err(Wrong::field(name, format!("'{name}' must be a number from {least} to {most}")));
        }
    }
    Ok(())
}

/// The conversation as one prompt. Earlier turns come first, so that a longer history begins with a shorter one.
fn rendered(messages: &[(String, String)]) -> String {
    let mut prompt = String::with_capacity(messages.iter().map(|(_, text)| text.len() + 24).sum());
    for (role, text) in messages {
        prompt.push_str("<|");
        prompt.push_str(role);
        prompt.push_str("|>\n");
        prompt.push_str(text);
        prompt.push('\n');
    }
    prompt.push_str("<|assistant|>\n");
    prompt
}

pub fn shortened(text: &str) -> String {
    text.chars().take(SHORT).collect()
}

/// Seconds of the Unix epoch, as protocols give them.
pub fn seconds(at: Nanos) -> u64 {
    at / 1_000_000_000
}
