//! Decodes the records of a settings file into settings.

use crate::problem::Problem;
use crate::records::{
    GatewayRecord, IdempotencyRecord, KeyScopeRecord, KeysRecord, KindRecord, LimitsRecord, RoleRecord,
    TenantRecord, TrafficRecord,
};
use crate::rules::broken_rules;
use crate::settings::{Limits, Settings, Traffic};
use petrelshore::interface::{
    Delivery, Deployment, Discovery, Idempotency, KeyScope, Nanos, Role, ServerKind, StartTimeClock, Tenant,
    TenantId, TrafficType, Weights, ZoneId,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// The limit that every time must stay below, in nanoseconds. Longer times are treated as mistakes, so that the sum of
/// two times cannot overflow.
const MAX_TIME: Nanos = Nanos::MAX / 8;
/// The maximum poll interval of the scheduler, in nanoseconds. The endpoint list is not polled, but the scheduler
/// limits its backoff by this interval.
const POLL_INTERVAL: Nanos = 1_000_000_000;

/// Decodes the record of a settings file. Fails with every problem that was found.
pub(crate) fn decode(file: &Path, record: GatewayRecord) -> Result<Settings, Vec<Problem>> {
    let mut decoder = Decoder { file, problems: Vec::new() };
    let (types, traffic): (Vec<_>, Vec<_>) = decoder.traffic_types(&record.traffic).into_iter().unzip();
    decoder.check_not_empty(&record);
    let keys = decoder.keys(&record);
    let deployment = decoder.deployment(&record, types);
    decoder.check_rules(&deployment, &traffic);
    let folder = file.parent().unwrap_or(Path::new(""));
    let settings = Settings {
        limits: decoder.limits(&record.limits),
        chat: decoder.address("listen.chat", &record.listen.chat),
        grpc: record.listen.grpc.map(|text| decoder.address("listen.grpc", &text)),
        operator: record.listen.operator.map(|text| decoder.address("listen.operator", &text)),
        inventory: folder.join(record.inventory.file),
        cached_list: folder.join(record.inventory.cached_list),
        kinds: record.kinds.into_keys().collect(),
        zone: record.zone,
        traffic,
        tenants: record.tenants.into_keys().collect(),
        keys,
        allow_anonymous: record.allow_anonymous,
        drain_time: decoder.time("drain_time", &record.drain_time),
        deployment,
        name: record.name,
    };
    if decoder.problems.is_empty() { Ok(settings) } else { Err(decoder.problems) }
}

/// Collects every problem, so that an operator can correct all of them at once.
struct Decoder<'a> {
    file: &'a Path,
    problems: Vec<Problem>,
}

impl Decoder<'_> {
    fn reject(&mut self, field: &str, message: impl Into<String>) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            field: Some(field.to_owned()),
            message: message.into(),
        });
    }

    /// Parses a time into nanoseconds. An invalid time is reported and replaced by 0.
    fn time(&mut self, field: &str, text: &str) -> Nanos {
        parse_time(text).unwrap_or_else(|| {
            self.reject(field, format!("'{text}' is not a valid time or is too long"));
            0
        })
    }

    fn address(&mut self, field: &str, text: &str) -> SocketAddr {
        let text = text.replace("localhost", "127.0.0.1");
        text.parse().unwrap_or_else(|_| {
            self.reject(field, format!("'{text}' is not an address with a port"));
            (Ipv4Addr::LOCALHOST, 0).into()
        })
    }

    /// Decodes the traffic types, each for the scheduler and for the ingress.
    fn traffic_types(&mut self, records: &BTreeMap<String, TrafficRecord>) -> Vec<(TrafficType, Traffic)> {
        let mut type_of_model = BTreeMap::new();
        records.iter().map(|(name, record)| self.traffic_type(name, record, &mut type_of_model)).collect()
    }

    fn traffic_type<'r>(
        &mut self,
        name: &'r str,
        record: &'r TrafficRecord,
        type_of_model: &mut BTreeMap<&'r str, &'r str>,
    ) -> (TrafficType, Traffic) {
        let path = |field: &str| format!("traffic.{name}.{field}");
        let latency_slo = self.time(&path("latency_slo"), &record.latency_slo);
        let abandon_time = self.time(&path("abandon_time"), &record.abandon_time);
        let idempotency = self.idempotency(name, record);
        for model in &record.models {
            if let Some(other) = type_of_model.insert(model, name) {
                self.reject(
                    &path("models"),
                    format!("the model '{model}' already belongs to traffic type {other}"),
                );
            }
        }
        let slo_per_1000_tokens =
            self.time(&path("slo_per_1000_prompt_tokens"), &record.slo_per_1000_prompt_tokens);
        let traffic_type = TrafficType {
            priority_weight: record.priority_weight,
            latency_slo,
            slo_per_prompt_token: slo_per_1000_tokens / 1000,
            token_interval: self.time(&path("token_pace"), &record.token_interval),
            idempotency,
            delivery: Delivery::Streamed,
        };
        let traffic = Traffic {
            name: name.to_owned(),
            models: record.models.clone(),
            abandon_time,
            max_tokens: record.max_tokens as u32,
            idempotency,
        };
        (traffic_type, traffic)
    }

    fn idempotency(&mut self, traffic: &str, record: &TrafficRecord) -> Idempotency {
        let path = format!("traffic.{traffic}.repeats");
        match (record.idempotency, &record.idempotency_keys) {
            (IdempotencyRecord::Keyed, Some(keys)) => self.keyed(&path, keys),
            (IdempotencyRecord::Keyed, None) => {
                self.reject(
                    &path,
                    "is missing: effect 'tokened requires the scope and window in which repeats are dropped",
                );
                Idempotency::AtMostOnce
            }
            (_, Some(_)) => {
                self.reject(&path, "is allowed only with effect 'tokened");
                Idempotency::AtMostOnce
            }
            (IdempotencyRecord::AtMostOnce, None) => Idempotency::AtMostOnce,
            (IdempotencyRecord::Idempotent, None) => Idempotency::Idempotent,
        }
    }

    fn keyed(&mut self, path: &str, keys: &KeysRecord) -> Idempotency {
        let scope = match keys.scope {
            KeyScopeRecord::Fleet => KeyScope::Fleet,
            KeyScopeRecord::Zone => KeyScope::Zone,
            KeyScopeRecord::Cell => KeyScope::Cell,
        };
        Idempotency::Keyed { scope, window: self.time(&format!("{path}.window"), &keys.window) }
    }

    fn check_not_empty(&mut self, record: &GatewayRecord) {
        if record.traffic.is_empty() {
            self.reject("traffic", "must contain at least one traffic type");
        }
        if record.kinds.is_empty() {
            self.reject("kinds", "must contain at least one kind of model server");
        }
    }

    /// Returns the tenant of each bearer key. Each key may be listed only once.
    fn keys(&mut self, record: &GatewayRecord) -> BTreeMap<String, TenantId> {
        let mut keys = BTreeMap::new();
        for (index, (name, tenant)) in record.tenants.iter().enumerate() {
            for key in &tenant.keys {
                if key.is_empty() || keys.insert(key.clone(), TenantId(index)).is_some() {
                    let field = format!("tenants.{name}.keys");
                    self.reject(&field, "contains an empty key, or a key that is listed more than once");
                }
            }
        }
        if keys.is_empty() && !record.allow_anonymous {
            self.reject("tenants", "no client can authenticate: list keys, or set open = true");
        }
        keys
    }

    fn deployment(&mut self, record: &GatewayRecord, types: Vec<TrafficType>) -> Deployment {
        let slow_start = &record.slow_start;
        Deployment {
            gateways: record.gateways as usize,
            zone: ZoneId(0),
            types,
            kinds: record.kinds.values().map(server_kind).collect(),
            tenants: record.tenants.values().map(tenant).collect(),
            over_quota_factor: record.over_quota_factor,
            weights: Weights::Size,
            discovery: Discovery::Pushed,
            max_poll_interval: POLL_INTERVAL,
            max_attempts: record.max_attempts as usize,
            max_retry_after: Some(self.time("longest_retry_after", &record.max_retry_after)),
            decode_servers_prefill: record.decode_servers_prefill,
            release_timeout: self.time("release_within", &record.release_timeout),
            slow_start_duration: self.time("cold.lasts", &slow_start.duration),
            slow_start_initial_share: slow_start.initial_share,
            slow_start_overload_factor: slow_start.overload_factor,
            slow_start_window: self.time("cold.window", &slow_start.window).max(1),
            timer_resolution: 0,
            start_time_clock: StartTimeClock::Local,
        }
    }

    fn check_rules(&mut self, deployment: &Deployment, traffic: &[Traffic]) {
        for broken in broken_rules(deployment, traffic) {
            self.reject(&broken.field, broken.message);
        }
    }

    fn limits(&mut self, record: &LimitsRecord) -> Limits {
        Limits {
            sequences: record.sequences as usize,
            connections: record.connections as usize,
            streams: record.streams as u32,
            body_bytes: record.body_bytes as usize,
            body_time: self.time("limits.body_time", &record.body_time),
        }
    }
}

fn server_kind(record: &KindRecord) -> ServerKind {
    let role = match record.role {
        RoleRecord::Prefill => Role::Prefill,
        RoleRecord::Decode => Role::Decode,
        RoleRecord::Combined => Role::Combined,
    };
    ServerKind { role, memory_tokens: record.memory_tokens }
}

fn tenant(record: &TenantRecord) -> Tenant {
    Tenant { per_second: record.per_second }
}

/// Parses digits and a unit into nanoseconds. Returns `None` for any other text, and for a time of [`MAX_TIME`] or
/// more.
fn parse_time(text: &str) -> Option<Nanos> {
    let split = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let nanos_per_unit: Nanos = match unit {
        "ns" => 1,
        "us" => 1_000,
        "ms" => 1_000_000,
        "s" => 1_000_000_000,
        "m" => 60_000_000_000,
        "h" => 3_600_000_000_000,
        _ => return None,
    };
    number.parse::<Nanos>().ok()?.checked_mul(nanos_per_unit).filter(|nanos| *nanos < MAX_TIME)
}
