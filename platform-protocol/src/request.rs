//! The head of a client's request.

use crate::Malformed;
use crate::settings::Names;
use petrelshore::interface::*;
use petrelshore_gateway_core::{NewSequence, Relay, timeouts};

const MILLISECOND: Nanos = 1_000_000;
/// No client waits longer than this.
const LONGEST_DEADLINE_MS: u64 = 600_000;
/// No prompt or answer has more tokens.
const MOST_TOKENS: f64 = 1e7;
/// A client's own words in a message are cut to this.
const SHORT: usize = 40;

/// The sequence that a head asks for. Whatever a model server would have to guess at is refused here.
pub fn sequence<'a>(
    field: impl Fn(&str) -> Option<&'a str>,
    names: &Names,
    now: Nanos,
) -> Result<NewSequence, Malformed> {
    let need =
        |name: &str| field(name).ok_or_else(|| format!("{name} is missing, unreadable, or came twice"));
    let wrong = |name: &str, value: &str| {
        format!("{name} is malformed or out of range: '{}'", value.chars().take(SHORT).collect::<String>())
    };
    let id = need("Req-Id")?;
    let id = hex(id).ok_or_else(|| wrong("Req-Id", id))?;
    let kind = need("Req-Kind")?;
    let traffic = names.types.iter().position(|name| name == kind).ok_or_else(|| wrong("Req-Kind", kind))?;
    let owner = field("Req-Owner").filter(|_| !names.tenants.is_empty());
    let tenant = owner.map(|owner| names.tenants.place(owner).ok_or_else(|| wrong("Req-Owner", owner)));
    let key = field("Req-Key").map(|key| hex(key).ok_or_else(|| wrong("Req-Key", key))).transpose()?;
    let told = need("Req-Deadline-Ms")?;
    let digits = told.bytes().all(|byte| byte.is_ascii_digit());
    let deadline = told.parse().ok().filter(|ms| digits && (1..=LONGEST_DEADLINE_MS).contains(ms));
    let deadline: u64 = deadline.ok_or_else(|| wrong("Req-Deadline-Ms", told))?;

    let text = need("Req-Extra")?;
    let (mut prefix, mut prompt_tokens, mut prefix_tokens, mut max_out) = (None, None, 0.0, None);
    for pair in text.split(',') {
        let (name, value) = pair.trim().split_once('=').ok_or_else(|| wrong("Req-Extra", text))?;
        let number = value.parse().ok().filter(|n| (0.0..=MOST_TOKENS).contains(n));
        match name {
            "prefix" => prefix = Some(hex(value).ok_or_else(|| wrong("Req-Extra", text))?),
            "prompt_len" => prompt_tokens = Some(number.ok_or_else(|| wrong("Req-Extra", text))?),
            "prefix_len" => prefix_tokens = number.ok_or_else(|| wrong("Req-Extra", text))?,
            "max_out" => max_out = Some(number.ok_or_else(|| wrong("Req-Extra", text))?),
            _ => {}
        }
    }
    Ok(NewSequence {
        id: SequenceId(id),
        traffic: TrafficTypeId(traffic),
        tenant: tenant.transpose()?,
        session: key.map(SessionId),
        prefix: prefix.filter(|id| *id != 0).map(PrefixId),
        prompt_tokens: prompt_tokens.ok_or_else(|| wrong("Req-Extra", text))?,
        prefix_tokens,
        max_output_tokens: max_out.ok_or_else(|| wrong("Req-Extra", text))?,
        output_length_hint: None,
        resumed: field("Req-Retry") == Some("again"),
        relay: Relay::Passthrough,
        first_token_deadline: timeouts::first_token_deadline(now, deadline * MILLISECOND),
        completion_deadline: None,
    })
}

/// An id of 16 hex digits.
fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}
