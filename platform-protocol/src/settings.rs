//! Decodes the settings object, whose keys are those of the bench's wire protocol.

use crate::error::DecodeError;
use crate::json::{
    array, boolean, decode_each, integer, invalid, non_negative, number, string, strings, value_at,
};
use crate::load_report::{Field, fields};
use crate::tenants::Tenants;
use petrelshore::interface::{
    Delivery, Deployment, Discovery, Idempotency, KeyScope, Nanos, Role, ServerKind, StartTimeClock, Tenant,
    TrafficType, Weights, ZoneId,
};
use serde_json::Value;

const LATENCY_SLO_PER_TOKEN: &str = "specifics.aimUsPer1000PromptTokens";
const TOKEN_INTERVAL: &str = "specifics.tokenAim";
const KIND_ROLE: &str = "specifics.kindRole";
const KIND_MEMORY: &str = "specifics.memoryTokens";
/// The over-quota factor of a deployment without tenants, where no request exceeds a quota.
const NO_OVER_QUOTA_FACTOR: f64 = 1.0;

/// The names that the settings define and that endpoint lists, requests and load reports refer to.
#[derive(Debug)]
pub struct Names {
    /// The names of the traffic types, indexed by [`TrafficTypeId`](petrelshore::interface::TrafficTypeId).
    pub types: Vec<String>,
    /// The ids of the tenants by name.
    pub tenants: Tenants,
    /// The names of the zones, indexed by [`ZoneId`].
    pub zones: Vec<String>,
    /// The names of the server kinds, indexed by [`ServerKindId`](petrelshore::interface::ServerKindId).
    pub kinds: Vec<String>,
    /// The fields of load reports, in the order of their values in a report without names.
    pub report: Vec<Field>,
}

/// Decodes the settings of a gateway into the settings of the scheduler and the names that messages refer to.
///
/// # Errors
/// Returns an error for the first missing or malformed setting.
pub fn decode(settings: &Value) -> Result<(Deployment, Names), DecodeError> {
    let orgs = settings.get("orgs").map_or(Ok(&[][..]), |_| array(settings, "orgs"))?;
    let names = names(settings, orgs)?;
    let deployment = deployment(settings, orgs, &names)?;
    Ok((deployment, names))
}

fn names(settings: &Value, orgs: &[Value]) -> Result<Names, DecodeError> {
    let name = |entry: &Value| string(entry, "name").map(str::to_owned);
    Ok(Names {
        types: decode_each("lanes", array(settings, "lanes")?, name)?,
        tenants: decode_each("orgs", orgs, name)?.into_iter().collect(),
        zones: strings(settings, "dcs")?,
        kinds: strings(settings, "kinds")?,
        report: fields(settings)?,
    })
}

fn deployment(settings: &Value, orgs: &[Value], names: &Names) -> Result<Deployment, DecodeError> {
    let zone = own_zone(settings, names)?;
    let traffic_rows = traffic_rows(settings, names)?;
    let kind_rows = kind_rows(settings, names)?;
    let tenants = decode_each("orgs", orgs, |org| Ok(Tenant { per_second: number(org, "quotaRps")? }))?;
    let discovery = discovery(settings)?;
    Ok(Deployment {
        gateways: integer(settings, "balancers")?.max(1) as usize,
        zone,
        types: traffic_types(&traffic_rows)?,
        kinds: kind_rows.iter().map(server_kind).collect::<Result<_, _>>()?,
        tenants,
        over_quota_factor: over_quota_factor(settings, orgs)?,
        weights: weights(settings)?,
        discovery,
        max_poll_interval: max_poll_interval(settings, discovery)?,
        max_attempts: integer(settings, "allowed.maxAttempts")? as usize,
        max_retry_after: max_retry_after(settings)?,
        decode_servers_prefill: boolean(settings, "specifics.readInPlace")?,
        release_timeout: integer(settings, "specifics.releaseWithin")?,
        slow_start_duration: integer(settings, "rules.cold")?,
        slow_start_initial_share: number(settings, "rules.coldFrom")?,
        slow_start_overload_factor: number(settings, "rules.overloadFactor")?,
        slow_start_window: integer(settings, "rules.overloadFor")?.max(1),
        timer_resolution: integer(settings, "tick")?,
        start_time_clock: StartTimeClock::Local,
    })
}

fn own_zone(settings: &Value, names: &Names) -> Result<ZoneId, DecodeError> {
    let own = string(settings, "zone")?;
    let index = names.zones.iter().position(|zone| zone == own);
    index.map(ZoneId).ok_or_else(|| invalid("zone", &settings["zone"]))
}

/// Returns the array at a path, which must have one value for each of `names`.
fn one_per_name<'a>(settings: &'a Value, path: &str, names: &[String]) -> Result<&'a [Value], DecodeError> {
    let values = array(settings, path)?;
    if values.len() == names.len() { Ok(values) } else { Err(invalid(path, value_at(settings, path)?)) }
}

/// The settings of one traffic type, from three arrays: `lanes` and two arrays in the same order.
struct TrafficRow<'a> {
    lane: &'a Value,
    slo_us_per_1000_tokens: &'a Value,
    token_interval: &'a Value,
}

fn traffic_rows<'a>(settings: &'a Value, names: &Names) -> Result<Vec<TrafficRow<'a>>, DecodeError> {
    let slos = one_per_name(settings, LATENCY_SLO_PER_TOKEN, &names.types)?;
    let intervals = one_per_name(settings, TOKEN_INTERVAL, &names.types)?;
    let rows = array(settings, "lanes")?.iter().zip(slos.iter().zip(intervals));
    Ok(rows
        .map(|(lane, (slo, interval))| TrafficRow {
            lane,
            slo_us_per_1000_tokens: slo,
            token_interval: interval,
        })
        .collect())
}

fn traffic_types(rows: &[TrafficRow]) -> Result<Vec<TrafficType>, DecodeError> {
    let decode = |(index, row)| traffic_type(row).map_err(|error| error.in_entry("lanes", index));
    rows.iter().enumerate().map(decode).collect()
}

fn traffic_type(row: &TrafficRow) -> Result<TrafficType, DecodeError> {
    let TrafficRow { lane, slo_us_per_1000_tokens: slo, token_interval: interval } = row;
    let idempotency = idempotency(lane)?;
    // Microseconds per 1,000 tokens equal nanoseconds per token.
    let slo_per_prompt_token = |slo| non_negative(slo).map(|nanos| nanos as Nanos);
    Ok(TrafficType {
        priority_weight: number(lane, "worth")?,
        latency_slo: integer(lane, "aim")?,
        slo_per_prompt_token: slo_per_prompt_token(slo)
            .ok_or_else(|| invalid(LATENCY_SLO_PER_TOKEN, lane))?,
        token_interval: interval.as_u64().ok_or_else(|| invalid(TOKEN_INTERVAL, interval))?,
        idempotency,
        delivery: if boolean(lane, "streamed")? { Delivery::Streamed } else { Delivery::Buffered },
    })
}

fn idempotency(lane: &Value) -> Result<Idempotency, DecodeError> {
    match string(lane, "semantics")? {
        "free" => Ok(Idempotency::Idempotent),
        "single_shot" => Ok(Idempotency::AtMostOnce),
        "guarded" => Ok(Idempotency::Keyed { scope: key_scope(lane)?, window: integer(lane, "window")? }),
        _ => Err(invalid("semantics", &lane["semantics"])),
    }
}

fn key_scope(lane: &Value) -> Result<KeyScope, DecodeError> {
    match string(lane, "dedupScope")? {
        "all" => Ok(KeyScope::Fleet),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        _ => Err(invalid("dedupScope", &lane["dedupScope"])),
    }
}

/// The settings of one server kind, from two arrays in the order of `kinds`.
struct KindRow<'a> {
    role: &'a Value,
    memory_tokens: &'a Value,
}

fn kind_rows<'a>(settings: &'a Value, names: &Names) -> Result<Vec<KindRow<'a>>, DecodeError> {
    let roles = one_per_name(settings, KIND_ROLE, &names.kinds)?;
    let memories = one_per_name(settings, KIND_MEMORY, &names.kinds)?;
    Ok(roles.iter().zip(memories).map(|(role, memory_tokens)| KindRow { role, memory_tokens }).collect())
}

fn server_kind(row: &KindRow) -> Result<ServerKind, DecodeError> {
    let role = match row.role.as_str() {
        Some("read") => Role::Prefill,
        Some("write") => Role::Decode,
        Some("both") => Role::Combined,
        _ => return Err(invalid(KIND_ROLE, row.role)),
    };
    let memory_tokens = row.memory_tokens.as_f64().filter(|tokens| *tokens >= 1.0);
    let memory_tokens = memory_tokens.ok_or_else(|| invalid(KIND_MEMORY, row.memory_tokens))?;
    Ok(ServerKind { role, memory_tokens })
}

fn over_quota_factor(settings: &Value, orgs: &[Value]) -> Result<f64, DecodeError> {
    if orgs.is_empty() { Ok(NO_OVER_QUOTA_FACTOR) } else { number(settings, "overShareWorth") }
}

fn weights(settings: &Value) -> Result<Weights, DecodeError> {
    match string(settings, "weights")? {
        "nominal" | "rough" => Ok(Weights::Size),
        // Live weights are not used: they reflect the load of some time ago, and load reports already contain the load.
        "off" | "live" => Ok(Weights::Unused),
        _ => Err(invalid("weights", &settings["weights"])),
    }
}

fn discovery(settings: &Value) -> Result<Discovery, DecodeError> {
    match string(settings, "membershipMode")? {
        "pushed" => Ok(Discovery::Pushed),
        "on_request" => Ok(Discovery::Polled),
        _ => Err(invalid("membershipMode", &settings["membershipMode"])),
    }
}

fn max_poll_interval(settings: &Value, discovery: Discovery) -> Result<Nanos, DecodeError> {
    match discovery {
        Discovery::Pushed => Ok(0),
        Discovery::Polled => integer(settings, "rules.askEvery"),
    }
}

fn max_retry_after(settings: &Value) -> Result<Option<Nanos>, DecodeError> {
    match boolean(settings, "allowed.retryAfter")? {
        true => integer(settings, "allowed.maxRetryAfter").map(Some),
        false => Ok(None),
    }
}
