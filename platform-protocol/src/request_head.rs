//! Decodes the head of a client's request.

use crate::error::RequestHeadError;
use crate::settings::Names;
use petrelshore::interface::{Nanos, PrefixId, SequenceId, SessionId, TenantId, TrafficTypeId};
use petrelshore_gateway_core::{NewSequence, Relay, timeouts};

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// The maximum time for which a client may wait, in milliseconds.
const MAX_CLIENT_TIMEOUT_MS: u64 = 600_000;
/// The maximum number of tokens of a prompt or an answer.
const MAX_TOKENS: f64 = 1e7;

const ID: &str = "Req-Id";
/// The header with the name of the traffic type.
const KIND: &str = "Req-Kind";
/// The header with the name of the tenant.
const OWNER: &str = "Req-Owner";
/// The header with the session id.
const KEY: &str = "Req-Key";
const DEADLINE: &str = "Req-Deadline-Ms";
const EXTRA: &str = "Req-Extra";
const RETRY: &str = "Req-Retry";
/// The value of `Req-Retry` in a request for the rest of an answer whose stream broke.
const RESUMED: &str = "again";

/// Decodes the head of a request into a new sequence. `header` returns the value of a header by its name. A head that a
/// model server could not interpret without guessing is rejected here.
///
/// # Errors
/// Returns an error for the first missing or malformed header.
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
    let client_timeout = client_timeout(required(DEADLINE)?)?;
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
        first_token_deadline: timeouts::first_token_deadline(now, client_timeout),
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

/// Decodes the time for which the client waits from now on, in nanoseconds.
fn client_timeout(text: &str) -> Result<Nanos, RequestHeadError> {
    // `parse` alone would also accept a plus sign.
    let only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let timeout_ms =
        text.parse::<u64>().ok().filter(|ms| only_digits && (1..=MAX_CLIENT_TIMEOUT_MS).contains(ms));
    timeout_ms.map(|ms| ms * NANOS_PER_MILLISECOND).ok_or_else(|| RequestHeadError::invalid(DEADLINE, text))
}

/// Decodes an id of 16 lowercase hex digits.
fn hex_id(header: &'static str, text: &str) -> Result<u64, RequestHeadError> {
    parse_hex_id(text).ok_or_else(|| RequestHeadError::invalid(header, text))
}

fn parse_hex_id(text: &str) -> Option<u64> {
    let well_formed = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| well_formed)
}

/// The values of the `name=value` pairs in `Req-Extra`.
#[derive(Default)]
struct Extra {
    prefix: Option<u64>,
    prompt_tokens: Option<f64>,
    prefix_tokens: f64,
    max_output_tokens: Option<f64>,
}

impl Extra {
    /// Decodes the pairs. Pairs with unknown names are skipped. If a name occurs more than once, the last pair counts.
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
