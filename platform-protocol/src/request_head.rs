//! The head of a client's request.

use crate::error::RequestHeadError;
use crate::settings::Names;
use petrelshore::interface::{Nanos, PrefixId, SequenceId, SessionId, TenantId, TrafficTypeId};
use petrelshore_gateway_core::{NewSequence, Relay, timeouts};

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// No client waits longer than this.
const MAX_DEADLINE_MS: u64 = 600_000;
/// No prompt or answer has more tokens.
const MAX_TOKENS: f64 = 1e7;

const ID: &str = "Req-Id";
const KIND: &str = "Req-Kind";
const OWNER: &str = "Req-Owner";
const KEY: &str = "Req-Key";
const DEADLINE: &str = "Req-Deadline-Ms";
const EXTRA: &str = "Req-Extra";
const RETRY: &str = "Req-Retry";
/// The value of `Req-Retry` for the rest of a stream that broke.
const RESUMED: &str = "again";

/// Decodes the sequence that a head requests. `header` gives a header's value by its name. Whatever a model server would
/// have to guess at is rejected here.
///
/// # Errors
/// The first header that is missing or malformed.
pub fn decode<'a>(
    header: impl Fn(&str) -> Option<&'a str>,
    names: &Names,
    now: Nanos,
) -> Result<NewSequence, RequestHeadError> {
    let required = |name: &'static str| header(name).ok_or(RequestHeadError::Missing { header: name });
    let id = hex_id(ID, required(ID)?)?;
    let traffic = traffic_type(required(KIND)?, names)?;
    let tenant = header(OWNER).filter(|_| !names.tenants.is_empty()).map(|owner| tenant(owner, names));
    let session = header(KEY).map(|key| hex_id(KEY, key)).transpose()?;
    let deadline = deadline(required(DEADLINE)?)?;
    let extra_text = required(EXTRA)?;
    let extra = Extra::decode(extra_text)?;
    let invalid_extra = || RequestHeadError::invalid(EXTRA, extra_text);
    Ok(NewSequence {
        id: SequenceId(id),
        traffic,
        tenant: tenant.transpose()?,
        session: session.map(SessionId),
        prefix: extra.prefix.filter(|id| *id != 0).map(PrefixId),
        prompt_tokens: extra.prompt_tokens.ok_or_else(invalid_extra)?,
        prefix_tokens: extra.prefix_tokens,
        max_output_tokens: extra.max_output_tokens.ok_or_else(invalid_extra)?,
        output_length_hint: None,
        resumed: header(RETRY) == Some(RESUMED),
        relay: Relay::Passthrough,
        first_token_deadline: timeouts::first_token_deadline(now, deadline),
        completion_deadline: None,
    })
}

fn traffic_type(kind: &str, names: &Names) -> Result<TrafficTypeId, RequestHeadError> {
    let index = names.types.iter().position(|name| name == kind);
    index.map(TrafficTypeId).ok_or_else(|| RequestHeadError::invalid(KIND, kind))
}

fn tenant(owner: &str, names: &Names) -> Result<TenantId, RequestHeadError> {
    names.tenants.id(owner).ok_or_else(|| RequestHeadError::invalid(OWNER, owner))
}

/// The time from now on that a client waits.
fn deadline(text: &str) -> Result<Nanos, RequestHeadError> {
    // A sign would be parsed as well.
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let deadline = text.parse::<u64>().ok().filter(|ms| digits && (1..=MAX_DEADLINE_MS).contains(ms));
    deadline.map(|ms| ms * NANOS_PER_MILLISECOND).ok_or_else(|| RequestHeadError::invalid(DEADLINE, text))
}

/// An id of 16 hex digits.
fn hex_id(header: &'static str, text: &str) -> Result<u64, RequestHeadError> {
    parse_hex_id(text).ok_or_else(|| RequestHeadError::invalid(header, text))
}

fn parse_hex_id(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// The `name=value` pairs of `Req-Extra`.
#[derive(Default)]
struct Extra {
    prefix: Option<u64>,
    prompt_tokens: Option<f64>,
    prefix_tokens: f64,
    max_output_tokens: Option<f64>,
}

impl Extra {
    /// Decodes the pairs; unknown names are skipped, and of a name that comes twice the last pair counts.
    fn decode(text: &str) -> Result<Self, RequestHeadError> {
        let invalid = || RequestHeadError::invalid(EXTRA, text);
        let tokens = |value: &str| {
            value.parse().ok().filter(|tokens| (0.0..=MAX_TOKENS).contains(tokens)).ok_or_else(invalid)
        };
        let mut extra = Extra::default();
        for pair in text.split(',') {
            let (name, value) = pair.trim().split_once('=').ok_or_else(invalid)?;
            match name {
                "prefix" => extra.prefix = Some(parse_hex_id(value).ok_or_else(invalid)?),
                "prompt_len" => extra.prompt_tokens = Some(tokens(value)?),
                "prefix_len" => extra.prefix_tokens = tokens(value)?,
                "max_out" => extra.max_output_tokens = Some(tokens(value)?),
                _ => {}
            }
        }
        Ok(extra)
    }
}
