//! The records of a settings file. Their outer names are the keys in `schema.ncl`.

use serde::Deserialize;
use std::collections::BTreeMap;

/// The complete settings file.
#[derive(Deserialize)]
pub(crate) struct GatewayRecord {
    pub(crate) name: String,
    pub(crate) gateways: f64,
    pub(crate) zone: String,
    pub(crate) listen: ListenRecord,
    pub(crate) inventory: InventoryRecord,
    pub(crate) kinds: BTreeMap<String, KindRecord>,
    pub(crate) traffic: BTreeMap<String, TrafficRecord>,
    pub(crate) tenants: BTreeMap<String, TenantRecord>,
    #[serde(rename = "open")]
    pub(crate) allow_anonymous: bool,
    #[serde(rename = "over_share_utility")]
    pub(crate) over_quota_factor: f64,
    #[serde(rename = "writers_read")]
    pub(crate) decode_servers_prefill: bool,
    #[serde(rename = "attempts")]
    pub(crate) max_attempts: f64,
    #[serde(rename = "longest_retry_after")]
    pub(crate) max_retry_after: String,
    #[serde(rename = "release_within")]
    pub(crate) release_timeout: String,
    #[serde(rename = "cold")]
    pub(crate) slow_start: SlowStartRecord,
    pub(crate) limits: LimitsRecord,
    pub(crate) drain_time: String,
}

/// The addresses that the gateway listens on.
#[derive(Deserialize)]
pub(crate) struct ListenRecord {
    pub(crate) chat: String,
    pub(crate) grpc: Option<String>,
    pub(crate) operator: Option<String>,
}

/// The files of the endpoint list.
#[derive(Deserialize)]
pub(crate) struct InventoryRecord {
    pub(crate) file: String,
    #[serde(rename = "kept")]
    pub(crate) cached_list: String,
}

/// The role of a server kind.
#[derive(Clone, Copy, Deserialize)]
pub(crate) enum RoleRecord {
    #[serde(rename = "reader")]
    Prefill,
    #[serde(rename = "writer")]
    Decode,
    #[serde(rename = "mixed")]
    Combined,
}

/// The idempotency of a traffic type, which determines if a request may run more than once.
#[derive(Clone, Copy, PartialEq, Deserialize)]
pub(crate) enum IdempotencyRecord {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "tokened")]
    Keyed,
    #[serde(rename = "once_only")]
    AtMostOnce,
}

/// The servers that share their idempotency keys.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum KeyScopeRecord {
    #[serde(rename = "all")]
    Fleet,
    Zone,
    Cell,
}

/// A kind of model server.
#[derive(Deserialize)]
pub(crate) struct KindRecord {
    pub(crate) role: RoleRecord,
    pub(crate) memory_tokens: f64,
}

/// A traffic type.
#[derive(Deserialize)]
pub(crate) struct TrafficRecord {
    pub(crate) models: Vec<String>,
    #[serde(rename = "utility")]
    pub(crate) priority_weight: f64,
    pub(crate) latency_slo: String,
    pub(crate) slo_per_1000_prompt_tokens: String,
    #[serde(rename = "token_pace")]
    pub(crate) token_interval: String,
    pub(crate) abandon_time: String,
    pub(crate) max_tokens: f64,
    #[serde(rename = "effect")]
    pub(crate) idempotency: IdempotencyRecord,
    #[serde(rename = "repeats")]
    pub(crate) idempotency_keys: Option<KeysRecord>,
}

/// The servers that remember an idempotency key, and the time for which they remember the key.
#[derive(Deserialize)]
pub(crate) struct KeysRecord {
    pub(crate) scope: KeyScopeRecord,
    pub(crate) window: String,
}

/// A tenant and its quota.
#[derive(Deserialize)]
pub(crate) struct TenantRecord {
    pub(crate) keys: Vec<String>,
    pub(crate) per_second: f64,
}

/// The slow start of servers that have just started.
#[derive(Deserialize)]
pub(crate) struct SlowStartRecord {
    #[serde(rename = "lasts")]
    pub(crate) duration: String,
    #[serde(rename = "from")]
    pub(crate) initial_share: f64,
    #[serde(rename = "multiple")]
    pub(crate) overload_factor: f64,
    pub(crate) window: String,
}

/// The limits on what the gateway admits.
#[derive(Deserialize)]
pub(crate) struct LimitsRecord {
    pub(crate) sequences: f64,
    pub(crate) connections: f64,
    pub(crate) streams: f64,
    pub(crate) body_bytes: f64,
    pub(crate) body_time: String,
}
