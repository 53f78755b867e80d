//! The settings object, by the names of the simulator's wire.

use crate::Malformed;
use crate::load::{Field, fields};
use crate::tenants::Tenants;
use petrelshore::interface::*;
use serde_json::Value;

/// The names that settings give to what the wire then calls by name.
#[derive(Debug)]
pub struct Names {
    pub types: Vec<String>,
    pub tenants: Tenants,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report: Vec<Field>,
}

pub(crate) fn at<'a>(value: &'a Value, path: &str) -> Result<&'a Value, Malformed> {
    let found = path.split('.').try_fold(value, |value, key| value.get(key));
    found.ok_or_else(|| format!("setting {path} is missing"))
}

pub(crate) fn wrong(path: &str, value: &Value) -> Malformed {
    format!("setting {path} is malformed or out of range: {value}")
}

pub(crate) fn nanos(value: &Value, path: &str) -> Result<Nanos, Malformed> {
    let value = at(value, path)?;
    value.as_u64().filter(|&n| n < u64::MAX / 8).ok_or_else(|| wrong(path, value))
}

pub(crate) fn number(value: &Value, path: &str) -> Result<f64, Malformed> {
    let value = at(value, path)?;
    value.as_f64().filter(|n| n.is_finite() && *n >= 0.0).ok_or_else(|| wrong(path, value))
}

pub(crate) fn flag(value: &Value, path: &str) -> Result<bool, Malformed> {
    let value = at(value, path)?;
    value.as_bool().ok_or_else(|| wrong(path, value))
}

pub(crate) fn word<'a>(value: &'a Value, path: &str) -> Result<&'a str, Malformed> {
    let value = at(value, path)?;
    value.as_str().ok_or_else(|| wrong(path, value))
}

pub(crate) fn list<'a>(value: &'a Value, path: &str) -> Result<&'a [Value], Malformed> {
    let value = at(value, path)?;
    value.as_array().map(Vec::as_slice).ok_or_else(|| wrong(path, value))
}

pub(crate) fn words(value: &Value, path: &str) -> Result<Vec<String>, Malformed> {
    let all = list(value, path)?.iter();
    all.map(|v| v.as_str().map(str::to_owned).ok_or_else(|| wrong(path, v))).collect()
}

/// What each entry of a list gives; what is wrong in one is told with its place.
pub(crate) fn each<T>(
    path: &str,
    entries: &[Value],
    read: impl Fn(&Value) -> Result<T, Malformed>,
) -> Result<Vec<T>, Malformed> {
    let read = |(n, entry)| read(entry).map_err(|what| format!("{path}[{n}]: {what}"));
    entries.iter().enumerate().map(read).collect()
}

fn name(entry: &Value) -> Result<String, Malformed> {
    word(entry, "name").map(str::to_owned)
}

fn traffic_type(lane: &Value, per_1000_us: &Value, pace: &Value) -> Result<TrafficType, Malformed> {
    let effect = match word(lane, "semantics")? {
        "free" => Idempotency::Idempotent,
        "single_shot" => Idempotency::AtMostOnce,
        "guarded" => {
            let scope = match word(lane, "dedupScope")? {
                "all" => KeyScope::Fleet,
                "zone" => KeyScope::Zone,
                "cell" => KeyScope::Cell,
                _ => return Err(wrong("dedupScope", &lane["dedupScope"])),
            };
            Idempotency::Keyed { scope, window: nanos(lane, "window")? }
        }
        _ => return Err(wrong("semantics", &lane["semantics"])),
    };
    let per_1000_us = per_1000_us.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
    Ok(TrafficType {
        priority_weight: number(lane, "worth")?,
        latency_slo: nanos(lane, "aim")?,
        slo_per_prompt_token: per_1000_us.ok_or_else(|| wrong("specifics.aimUsPer1000PromptTokens", lane))?
            as Nanos,
        token_interval: pace.as_u64().ok_or_else(|| wrong("specifics.tokenAim", pace))?,
        idempotency: effect,
        delivery: if flag(lane, "streamed")? { Delivery::Streamed } else { Delivery::Buffered },
    })
}

/// The settings of a gateway: what the decisions read, and the names that lists and requests then use.
pub fn settings(s: &Value) -> Result<(Deployment, Names), Malformed> {
    let orgs = s.get("orgs").map_or(Ok(&[][..]), |_| list(s, "orgs"))?;
    let names = Names {
        types: each("lanes", list(s, "lanes")?, name)?,
        tenants: each("orgs", orgs, name)?.into_iter().collect(),
        zones: words(s, "dcs")?,
        kinds: words(s, "kinds")?,
        report: fields(s)?,
    };
    let zone = word(s, "zone")?;
    let zone = names.zones.iter().position(|z| z == zone).ok_or_else(|| wrong("zone", &s["zone"]))?;

    let one_each = |path: &str, of: &[String]| -> Result<&[Value], Malformed> {
        let values = list(s, path)?;
        if values.len() == of.len() { Ok(values) } else { Err(wrong(path, at(s, path)?)) }
    };
    let aims = one_each("specifics.aimUsPer1000PromptTokens", &names.types)?.iter();
    let paces = one_each("specifics.tokenAim", &names.types)?.iter();
    let lanes = list(s, "lanes")?.iter();
    let types = lanes.zip(aims.zip(paces)).enumerate().map(|(n, (lane, (aim, pace)))| {
        traffic_type(lane, aim, pace).map_err(|what| format!("lanes[{n}]: {what}"))
    });

    let roles = one_each("specifics.kindRole", &names.kinds)?.iter();
    let memories = one_each("specifics.memoryTokens", &names.kinds)?;
    let kinds = roles.zip(memories).map(|(role, memory)| {
        let role = match role.as_str() {
            Some("read") => Role::Prefill,
            Some("write") => Role::Decode,
            Some("both") => Role::Combined,
            _ => return Err(wrong("specifics.kindRole", role)),
        };
        let memory_tokens =
            memory.as_f64().filter(|m| *m >= 1.0).ok_or_else(|| wrong("specifics.memoryTokens", memory))?;
        Ok(ServerKind { role, memory_tokens })
    });
    let tenants = each("orgs", orgs, |org| Ok(Tenant { per_second: number(org, "quotaRps")? }))?;
    let discovery = match word(s, "membershipMode")? {
        "pushed" => Discovery::Pushed,
        "on_request" => Discovery::Polled,
        _ => return Err(wrong("membershipMode", &s["membershipMode"])),
    };

    let deployment = Deployment {
        gateways: nanos(s, "balancers")?.max(1) as usize,
        zone: ZoneId(zone),
        types: types.collect::<Result<_, _>>()?,
        kinds: kinds.collect::<Result<_, Malformed>>()?,
        tenants,
        over_quota_factor: if orgs.is_empty() { 1.0 } else { number(s, "overShareWorth")? },
        weights: match word(s, "weights")? {
            "nominal" | "rough" => Weights::Size,
            // Live ones hold load that the reports tell already, as it was a while back.
            "off" | "live" => Weights::Unused,
            _ => return Err(wrong("weights", &s["weights"])),
        },
        discovery,
        max_poll_interval: match discovery {
            Discovery::Pushed => 0,
            Discovery::Polled => nanos(s, "rules.askEvery")?,
        },
        max_attempts: nanos(s, "allowed.maxAttempts")? as usize,
        max_retry_after: match flag(s, "allowed.retryAfter")? {
            true => Some(nanos(s, "allowed.maxRetryAfter")?),
            false => None,
        },
        decode_servers_prefill: flag(s, "specifics.readInPlace")?,
        release_timeout: nanos(s, "specifics.releaseWithin")?,
        slow_start_duration: nanos(s, "rules.cold")?,
        slow_start_initial_share: number(s, "rules.coldFrom")?,
        slow_start_overload_factor: number(s, "rules.overloadFactor")?,
        slow_start_window: nanos(s, "rules.overloadFor")?.max(1),
        timer_resolution: nanos(s, "tick")?,
        start_time_clock: StartTimeClock::Local,
    };
    Ok((deployment, names))
}
