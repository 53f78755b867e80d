//! The settings object, by the names of the simulator's wire.

use crate::Malformed;
use petrelshore::interface::*;
use serde_json::Value;

/// The names that settings give to what the wire then calls by name.
#[derive(Debug)]
pub struct Names {
    pub types: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report: Vec<String>,
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

fn words(value: &Value, path: &str) -> Result<Vec<String>, Malformed> {
    let all = list(value, path)?.iter();
    all.map(|v| v.as_str().map(str::to_owned).ok_or_else(|| wrong(path, v))).collect()
}

fn named(value: &Value, path: &str) -> Result<Vec<String>, Malformed> {
    list(value, path)?.iter().map(|entry| word(entry, "name").map(str::to_owned)).collect()
}

fn traffic_type(lane: &Value, per_1000_us: &Value, pace: &Value) -> Result<TrafficType, Malformed> {
    let effect = match word(lane, "semantics")? {
        "free" => Effect::Repeatable,
        "single_shot" => Effect::OnceOnly,
        "guarded" => {
            let scope = match word(lane, "dedupScope")? {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                _ => return Err(wrong("lanes.dedupScope", lane)),
            };
            Effect::Tokened { scope, window: nanos(lane, "window")? }
        }
        _ => return Err(wrong("lanes.semantics", lane)),
    };
    let per_1000_us = per_1000_us.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
    Ok(TrafficType {
        utility: number(lane, "worth")?,
        latency_slo: nanos(lane, "aim")?,
        slo_per_prompt_token: per_1000_us.ok_or_else(|| wrong("specifics.aimUsPer1000PromptTokens", lane))?
            as Nanos,
        token_pace: pace.as_u64().ok_or_else(|| wrong("specifics.tokenAim", pace))?,
        effect,
    })
}

/// The settings of a gateway: what the decisions read, and the names that lists and requests then use.
pub fn settings(s: &Value) -> Result<(Deployment, Names), Malformed> {
    let names = Names {
        types: named(s, "lanes")?,
        tenants: named(s, "orgs")?,
        zones: words(s, "dcs")?,
        kinds: words(s, "kinds")?,
        report: words(s, "report.fields")?,
    };
    let zone = word(s, "zone")?;
    let zone = names.zones.iter().position(|z| z == zone).ok_or_else(|| wrong("zone", &s["zone"]))?;

    let per_type = |path: &str| -> Result<&[Value], Malformed> {
        let values = list(s, path)?;
        if values.len() == names.types.len() { Ok(values) } else { Err(wrong(path, at(s, path)?)) }
    };
    let aims = per_type("specifics.aimUsPer1000PromptTokens")?.iter();
    let paces = per_type("specifics.tokenAim")?.iter();
    let lanes = list(s, "lanes")?.iter();
    let types = lanes.zip(aims.zip(paces)).map(|(lane, (aim, pace))| traffic_type(lane, aim, pace));

    let (roles, memories) = (words(s, "specifics.kindRole")?, list(s, "specifics.memoryTokens")?);
    if roles.len() != names.kinds.len() || memories.len() != names.kinds.len() {
        return Err(wrong("specifics.kindRole", at(s, "specifics.kindRole")?));
    }
    let kinds = roles.iter().zip(memories).map(|(role, memory)| {
        let role = match role.as_str() {
            "read" => Role::Reader,
            "write" => Role::Writer,
            "both" => Role::Mixed,
            _ => return Err(wrong("specifics.kindRole", &s["specifics"]["kindRole"])),
        };
        let memory_tokens =
            memory.as_f64().filter(|m| *m >= 1.0).ok_or_else(|| wrong("specifics.memoryTokens", memory))?;
        Ok(Kind { role, memory_tokens })
    });
    let tenants = list(s, "orgs")?.iter().map(|org| Ok(Tenant { per_second: number(org, "quotaRps")? }));

    let deployment = Deployment {
        gateways: nanos(s, "balancers")?.max(1) as usize,
        zone: ZoneId(zone),
        types: types.collect::<Result<_, _>>()?,
        kinds: kinds.collect::<Result<_, Malformed>>()?,
        tenants: tenants.collect::<Result<_, Malformed>>()?,
        over_share_utility: number(s, "overShareWorth")?,
        weights: match word(s, "weights")? {
            "nominal" | "rough" => Weights::Size,
            _ => Weights::Unused,
        },
        discovery: match word(s, "membershipMode")? {
            "pushed" => Discovery::Pushed,
            "on_request" => Discovery::Asked,
            _ => return Err(wrong("membershipMode", &s["membershipMode"])),
        },
        ask_within: nanos(s, "rules.askEvery")?,
        max_attempts: nanos(s, "allowed.maxAttempts")? as usize,
        longest_retry_after: match flag(s, "allowed.retryAfter")? {
            true => Some(nanos(s, "allowed.maxRetryAfter")?),
            false => None,
        },
        writers_read: flag(s, "specifics.readInPlace")?,
        release_within: nanos(s, "specifics.releaseWithin")?,
        cold_for: nanos(s, "rules.cold")?,
        cold_from: number(s, "rules.coldFrom")?,
        cold_multiple: number(s, "rules.overloadFactor")?,
        cold_window: nanos(s, "rules.overloadFor")?.max(1),
    };
    Ok((deployment, names))
}
