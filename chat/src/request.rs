//! From the body of a chat request to what the gateway is asked. What is wrong is named by its field.

use petrelshore::interface::*;
use petrelshore_conductor::Relay;
use petrelshore_conductor::intake::{self, Message};
use petrelshore_gateway::{Ask, Request};
use petrelshore_settings::Settings;
use serde_json::{Map, Value};
use std::rc::Rc;

/// What is wrong with a request, for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    pub status: u16,
    pub message: String,
    pub param: Option<String>,
    pub code: Option<&'static str>,
}

impl Wrong {
    fn field(param: &str, message: impl Into<String>) -> Self {
        Wrong { status: 400, message: message.into(), param: Some(param.to_owned()), code: None }
    }
}

/// What the request's head told.
pub struct Head<'a> {
    pub authorization: Option<&'a str>,
    pub idempotency_key: Option<&'a str>,
    pub session: Option<&'a str>,
    /// Names the traffic type, where one model serves several.
    pub traffic: Option<&'a str>,
    /// The client gives up after so many milliseconds; it may only shorten what the traffic type allows.
    pub abandon_ms: Option<&'a str>,
}

/// A request that is understood.
pub struct Chat {
    pub ask: Ask,
    pub include_usage: bool,
}

/// Fields that are handed on to the model server, with the range that the API gives them.
const SAMPLING: [(&str, f64, f64); 4] = [
    ("temperature", 0.0, 2.0),
    ("top_p", 0.0, 1.0),
    ("presence_penalty", -2.0, 2.0),
    ("frequency_penalty", -2.0, 2.0),
];
/// Fields whose wishes can't be met here; better refused than ignored.
const UNMET: [&str; 8] =
    ["tools", "tool_choice", "functions", "function_call", "logprobs", "top_logprobs", "audio", "modalities"];
const MOST_MESSAGES: usize = 4096;
const MOST_STOPS: usize = 4;
const LONGEST_NAME: usize = 255;

/// Who calls: a tenant, or nobody in particular where the settings are open.
pub fn caller(settings: &Settings, head: &Head) -> Result<Option<TenantId>, Wrong> {
    let key = head.authorization.and_then(|value| value.strip_prefix("Bearer ")).map(str::trim);
    match key.and_then(|key| settings.tenant(key)) {
        Some(tenant) => Ok(Some(tenant)),
        None if settings.open => Ok(None),
        None => Err(Wrong {
            status: 401,
            message: match key {
                Some(_) => "this API key is not known here".to_owned(),
                None => "an API key is needed: Authorization: Bearer KEY".to_owned(),
            },
            param: None,
            code: Some("invalid_api_key"),
        }),
    }
}

pub fn decode(
    settings: &Settings,
    head: &Head,
    tenant: Option<TenantId>,
    client: u64,
    arrived: Nanos,
    body: &[u8],
) -> Result<Chat, Wrong> {
    let json: Value = serde_json::from_slice(body).map_err(|error| Wrong {
        status: 400,
        message: format!("the body is not JSON: {error}"),
        param: None,
        code: None,
    })?;
    let Value::Object(fields) = json else {
        return Err(Wrong {
            status: 400,
            message: "the body is not a JSON object".to_owned(),
            param: None,
            code: None,
        });
    };
    let model = match fields.get("model") {
        Some(Value::String(model)) => model.as_str(),
        Some(_) => return Err(Wrong::field("model", "'model' must be a string")),
        None => return Err(Wrong::field("model", "'model' is missing")),
    };
    let by_model = settings.model(model).ok_or_else(|| Wrong {
        status: 404,
        message: format!("the model '{}' does not exist here", shortened(model)),
        param: Some("model".to_owned()),
        code: Some("model_not_found"),
    })?;
    let traffic = match head.traffic {
        None => by_model,
        Some(name) => settings.traffic_type(name).ok_or_else(|| {
            Wrong::field("x-traffic-type", format!("'{}' is no traffic type here", shortened(name)))
        })?,
    };
    for name in UNMET {
        let asked = |value: &Value| match value {
            Value::Null | Value::Bool(false) => false,
            Value::Array(values) => !values.is_empty() && *value != serde_json::json!(["text"]),
            Value::String(word) => word != "none",
            _ => true,
        };
        if fields.get(name).is_some_and(asked) {
            return Err(Wrong::field(name, format!("'{name}' is not supported here")));
        }
    }
    let text_only = |format: &Value| format.get("type").and_then(Value::as_str) == Some("text");
    if fields.get("response_format").is_some_and(|format| !format.is_null() && !text_only(format)) {
        return Err(Wrong::field("response_format", "only the type 'text' is supported here"));
    }
    if whole(&fields, "n", 1, u64::MAX)?.is_some_and(|n| n != 1) {
        return Err(Wrong::field("n", "only one choice is supported here: 'n' must be 1"));
    }
    let messages = messages(&fields)?;
    let kind = &settings.traffic[traffic.0];
    let most = u64::from(kind.max_tokens);
    let asked = match whole(&fields, "max_completion_tokens", 1, u64::from(u32::MAX))? {
        Some(tokens) => Some(tokens),
        None => whole(&fields, "max_tokens", 1, u64::from(u32::MAX))?,
    };
    let stream = flag(&fields, "stream")?;
    let include_usage = match fields.get("stream_options") {
        None | Some(Value::Null) => false,
        Some(Value::Object(_)) if !stream => {
            return Err(Wrong::field("stream_options", "'stream_options' needs 'stream' to be true"));
        }
        Some(Value::Object(options)) => flag(options, "include_usage")
            .map_err(|_| Wrong::field("stream_options.include_usage", "must be true or false"))?,
        Some(_) => return Err(Wrong::field("stream_options", "'stream_options' must be an object")),
    };
    let idempotency_key = match head.idempotency_key {
        Some(key) if key.is_empty() || key.len() > LONGEST_NAME => {
            return Err(Wrong::field("Idempotency-Key", "must have 1 to 255 characters"));
        }
        key => key.map(Rc::from),
    };
    let tenant_name = tenant.map_or("", |TenantId(tenant)| &settings.tenants[tenant]);
    let cache_key = word(&fields, "prompt_cache_key")?;
    let session = cache_key.or(head.session).filter(|key| !key.is_empty() && key.len() <= LONGEST_NAME);
    let budget = match head.abandon_ms.map(str::parse::<u64>) {
        None => kind.abandon_time,
        Some(Ok(millis)) if millis > 0 => kind.abandon_time.min(millis.saturating_mul(1_000_000)),
        Some(_) => return Err(Wrong::field("x-abandon-ms", "must be a whole number of milliseconds")),
    };
    let weighed: Vec<Message> = messages.iter().map(|(role, text)| Message { role, text }).collect();
    let request = Request {
        traffic,
        tenant,
        session: session.map(|key| intake::session(tenant_name, key)),
        weighed: intake::weigh(&weighed),
        model: Rc::from(model),
        prompt: Rc::from(rendered(&messages)),
        max_tokens: asked.unwrap_or(most).min(most) as u32,
        idempotency_key,
        relay: if stream { Relay::Streamed } else { Relay::Whole },
        client,
        budget,
        arrived,
    };
    let ask = Ask { request, stop: stops(&fields)?, sampling: Rc::new(sampling(&fields)?) };
    Ok(Chat { ask, include_usage })
}

fn messages(fields: &Map<String, Value>) -> Result<Vec<(String, String)>, Wrong> {
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        Some(Value::Array(_)) => return Err(Wrong::field("messages", "'messages' is empty")),
        Some(_) => return Err(Wrong::field("messages", "'messages' must be an array")),
        None => return Err(Wrong::field("messages", "'messages' is missing")),
    };
    if messages.len() > MOST_MESSAGES {
        return Err(Wrong::field("messages", format!("more than {MOST_MESSAGES} messages")));
    }
    messages.iter().enumerate().map(|(index, message)| one_message(index, message)).collect()
}

fn one_message(index: usize, message: &Value) -> Result<(String, String), Wrong> {
    let at = |field: &str| format!("messages[{index}].{field}");
    let role = message.get("role").and_then(Value::as_str);
    let role = role.ok_or_else(|| Wrong::field(&at("role"), "'role' is missing or not a string"))?;
    if !matches!(role, "system" | "developer" | "user" | "assistant" | "tool") {
        let message = format!("'{}' is not a role of this API", shortened(role));
        return Err(Wrong::field(&at("role"), message));
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
                        return Err(Wrong::field(&place, "a text part needs 'text'"));
                    }
                    _ => {
                        return Err(Wrong::field(&place, "only parts of the type 'text' are supported here"));
                    }
                }
            }
            text
        }
        Some(Value::Null) if role == "assistant" => String::new(),
        _ => return Err(Wrong::field(&at("content"), "'content' must be a string or an array of parts")),
    };
    Ok((role.to_owned(), text))
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

fn stops(fields: &Map<String, Value>) -> Result<Rc<[String]>, Wrong> {
    let wrong = || Wrong::field("stop", "'stop' must be a string or up to four strings");
    let stops: Vec<String> = match fields.get("stop") {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::String(stop)) => vec![stop.clone()],
        Some(Value::Array(all)) if all.len() <= MOST_STOPS => {
            let texts = all.iter().map(|stop| stop.as_str().map(str::to_owned).ok_or_else(wrong));
            texts.collect::<Result<_, _>>()?
        }
        Some(_) => return Err(wrong()),
    };
    if stops.iter().any(|stop| stop.is_empty() || stop.len() > LONGEST_NAME) {
        Err(wrong())
    } else {
        Ok(stops.into())
    }
}

fn sampling(fields: &Map<String, Value>) -> Result<Map<String, Value>, Wrong> {
    let mut chosen = Map::new();
    for (name, least, most) in SAMPLING {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) if value.as_f64().is_some_and(|number| (least..=most).contains(&number)) => {
                chosen.insert(name.to_owned(), value.clone());
            }
            Some(_) => {
                return Err(Wrong::field(name, format!("'{name}' must be a number from {least} to {most}")));
            }
        }
    }
    if let Some(seed) = fields.get("seed").filter(|seed| !seed.is_null()) {
        if !seed.is_i64() && !seed.is_u64() {
            return Err(Wrong::field("seed", "'seed' must be a whole number"));
        }
        chosen.insert("seed".to_owned(), seed.clone());
    }
    Ok(chosen)
}

fn whole(fields: &Map<String, Value>, name: &str, least: u64, most: u64) -> Result<Option<u64>, Wrong> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().filter(|number| (least..=most).contains(number)) {
            Some(number) => Ok(Some(number)),
            None => Err(Wrong::field(name, format!("'{name}' must be a whole number of {least} or more"))),
        },
    }
}

fn flag(fields: &Map<String, Value>, name: &str) -> Result<bool, Wrong> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(Wrong::field(name, format!("'{name}' must be true or false"))),
    }
}

fn word<'a>(fields: &'a Map<String, Value>, name: &str) -> Result<Option<&'a str>, Wrong> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(word)) => Ok(Some(word)),
        Some(_) => Err(Wrong::field(name, format!("'{name}' must be a string"))),
    }
}

/// A client's own words in a message, cut so that an answer is never larger than its question.
fn shortened(text: &str) -> String {
    text.chars().take(64).collect()
}
