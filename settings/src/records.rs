//! From the text of a settings file to settings.

use crate::{Limits, Settings, Traffic};
use nickel_lang_core::error::report::{ColorOpt, report_as_str};
use nickel_lang_core::eval::cache::CacheImpl;
use nickel_lang_core::program::{Program, ProgramBuilder};
use petrelshore::interface::*;
use petrelshore_gateway_core::settings_validation::{self, SettingProblem};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

const SCHEMA: &str = include_str!("schema.ncl");
/// Evaluation needs a deep stack for nested records.
const STACK: usize = 64 << 20;

/// What is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    pub file: PathBuf,
    /// The field's path, where one is to blame.
    pub field: Option<String>,
    /// One line, or for the evaluator's findings a report with the place.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file.display())?;
        if let Some(field) = &self.field {
            write!(f, "field {field}: ")?;
        }
        f.write_str(&self.what)
    }
}

impl std::error::Error for Problem {}

#[derive(Deserialize)]
struct Record {
    name: String,
    gateways: f64,
    zone: String,
    listen: ListenRecord,
    inventory: InventoryRecord,
    kinds: BTreeMap<String, KindRecord>,
    traffic: BTreeMap<String, TrafficRecord>,
    tenants: BTreeMap<String, TenantRecord>,
    open: bool,
    over_share_utility: f64,
    writers_read: bool,
    attempts: f64,
    longest_retry_after: String,
    release_within: String,
    cold: ColdRecord,
    limits: LimitsRecord,
    drain_time: String,
}

#[derive(Deserialize)]
struct ListenRecord {
    chat: String,
    grpc: Option<String>,
    operator: Option<String>,
}

#[derive(Deserialize)]
struct InventoryRecord {
    file: String,
    kept: String,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RoleRecord {
    Reader,
    Writer,
    Mixed,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EffectRecord {
    Repeatable,
    Tokened,
    OnceOnly,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ScopeRecord {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
struct KindRecord {
    role: RoleRecord,
    memory_tokens: f64,
}

#[derive(Deserialize)]
struct TrafficRecord {
    models: Vec<String>,
    utility: f64,
    latency_slo: String,
    slo_per_1000_prompt_tokens: String,
    token_pace: String,
    abandon_time: String,
    max_tokens: f64,
    effect: EffectRecord,
    repeats: Option<RepeatsRecord>,
}

#[derive(Deserialize)]
struct RepeatsRecord {
    scope: ScopeRecord,
    window: String,
}

#[derive(Deserialize)]
struct TenantRecord {
    keys: Vec<String>,
    per_second: f64,
}

#[derive(Deserialize)]
struct ColdRecord {
    lasts: String,
    from: f64,
    multiple: f64,
    window: String,
}

#[derive(Deserialize)]
struct LimitsRecord {
    sequences: f64,
    connections: f64,
    streams: f64,
    body_bytes: f64,
    body_time: String,
}

/// Reads a settings file. Relative paths in it are relative to its folder.
pub fn read(file: &Path) -> Result<Settings, Vec<Problem>> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        vec![Problem { file: file.to_owned(), field: None, what: format!("can't be read: {error}") }]
    })?;
    read_text(file, &text)
}

/// Reads settings from a text, as if it stood in `file`.
pub fn read_text(file: &Path, text: &str) -> Result<Settings, Vec<Problem>> {
    let record = evaluate(file, text, SCHEMA, "Gateway").map_err(|problem| vec![problem])?;
    decode(file, record)
}

/// Evaluates a text as a Nickel record, checked by the contract `name` of a schema.
///
/// # Errors
/// What the evaluator finds, with its place in the text.
pub fn evaluate<T>(file: &Path, text: &str, schema: &str, name: &str) -> Result<T, Problem>
where
    T: serde::de::DeserializeOwned + Send + 'static,
{
    // On one line with the text's own first, so that reports tell the text's own lines.
    let schema: Vec<&str> = schema.lines().filter(|line| !line.trim_start().starts_with('#')).collect();
    let main = format!("let schema = {} in ({text}\n) | schema.{name}", schema.join(" "));
    let said = file.display().to_string();
    let folder = file.parent().unwrap_or(Path::new("")).to_owned();
    let work = move || -> Result<T, String> {
        let builder = ProgramBuilder::new().add_source_string(main.as_str(), said).add_import_paths([folder]);
        let mut program: Program<CacheImpl> = builder.build().map_err(|error| error.to_string())?;
        match program.eval_full_for_export() {
            Ok(value) => T::deserialize(value).map_err(|error| error.to_string()),
            Err(error) => Err(report_as_str(&mut program.files(), error, ColorOpt::Never)),
        }
    };
    // On a thread with a deep stack: a nested file must not overflow the caller's.
    let thread = std::thread::Builder::new().stack_size(STACK).spawn(work);
    let outcome = thread.map_err(|error| error.to_string()).and_then(|thread| {
        thread.join().unwrap_or_else(|_| Err("the evaluator gave up on this file".to_owned()))
    });
    outcome.map_err(|what| Problem { file: file.to_owned(), field: None, what })
}

/// The field that a finding is about.
fn place(problem: &SettingProblem, traffic: &[Traffic]) -> String {
    let of = |id: &TrafficTypeId, field: &str| format!("traffic.{}.{field}", traffic[id.0].name);
    match problem {
        SettingProblem::AbandonTooShort { traffic, .. } | SettingProblem::AbandonBeforeSlo { traffic } => {
            of(traffic, "abandon_time")
        }
        SettingProblem::IdempotencyWindowTooShort { traffic, .. } => of(traffic, "repeats.window"),
        SettingProblem::NoPrefillServer | SettingProblem::NoDecodeServer => "kinds".to_owned(),
        SettingProblem::TooFewAttempts { .. } => "attempts".to_owned(),
        SettingProblem::ReleaseTimeoutTooShort { .. } => "release_within".to_owned(),
        SettingProblem::SlowStartWithoutCapacity { .. } => "cold".to_owned(),
    }
}

/// Collects every problem, so that an operator mends a file once.
struct Decoding<'a> {
    file: &'a Path,
    problems: Vec<Problem>,
}

impl Decoding<'_> {
    fn wrong(&mut self, field: &str, what: impl Into<String>) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            field: Some(field.to_owned()),
            what: what.into(),
        });
    }

    /// A time, in nanoseconds.
    fn time(&mut self, field: &str, text: &str) -> Nanos {
        let split = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (number, unit) = text.split_at(split);
        let unit: Nanos = match unit {
            "ns" => 1,
            "us" => 1_000,
            "ms" => 1_000_000,
            "s" => 1_000_000_000,
            "m" => 60_000_000_000,
            "h" => 3_600_000_000_000,
            _ => 0,
        };
        let nanos = number.parse::<Nanos>().ok().and_then(|n| n.checked_mul(unit)).filter(|_| unit > 0);
        nanos.filter(|n| *n < Nanos::MAX / 8).unwrap_or_else(|| {
            self.wrong(field, format!("'{text}' is not a time that can be told"));
            0
        })
    }

    fn address(&mut self, field: &str, text: &str) -> std::net::SocketAddr {
        let text = text.replace("localhost", "127.0.0.1");
        text.parse().unwrap_or_else(|_| {
            self.wrong(field, format!("'{text}' is not an address with a port"));
            ([127, 0, 0, 1], 0).into()
        })
    }
}

fn decode(file: &Path, record: Record) -> Result<Settings, Vec<Problem>> {
    let mut d = Decoding { file, problems: Vec::new() };
    let (mut types, mut traffic): (Vec<TrafficType>, Vec<Traffic>) = (Vec::new(), Vec::new());
    let mut models: BTreeMap<String, String> = BTreeMap::new();
    for (name, t) in &record.traffic {
        let at = |field: &str| format!("traffic.{name}.{field}");
        let latency_slo = d.time(&at("latency_slo"), &t.latency_slo);
        let abandon_time = d.time(&at("abandon_time"), &t.abandon_time);
        let effect = match (t.effect, &t.repeats) {
            (EffectRecord::Tokened, Some(repeats)) => Idempotency::Keyed {
                scope: match repeats.scope {
                    ScopeRecord::Zone => KeyScope::Zone,
                    ScopeRecord::Cell => KeyScope::Cell,
                    ScopeRecord::All => KeyScope::Fleet,
                },
                window: d.time(&at("repeats.window"), &repeats.window),
            },
            (EffectRecord::Tokened, None) => {
                d.wrong(&at("repeats"), "is missing: tokened work needs to know who drops its repeats");
                Idempotency::AtMostOnce
            }
            (_, Some(_)) => {
                d.wrong(&at("repeats"), "only tokened work has it");
                Idempotency::AtMostOnce
            }
            (EffectRecord::OnceOnly, None) => Idempotency::AtMostOnce,
            (EffectRecord::Repeatable, None) => Idempotency::Idempotent,
        };
        for model in &t.models {
            if let Some(other) = models.insert(model.clone(), name.clone()) {
                d.wrong(&at("models"), format!("'{model}' already names traffic type {other}"));
            }
        }
        types.push(TrafficType {
            priority_weight: t.utility,
            latency_slo,
            slo_per_prompt_token: d.time(&at("slo_per_1000_prompt_tokens"), &t.slo_per_1000_prompt_tokens)
                / 1000,
            token_interval: d.time(&at("token_pace"), &t.token_pace),
            idempotency: effect,
            delivery: Delivery::Streamed,
        });
        traffic.push(Traffic {
            name: name.clone(),
            models: t.models.clone(),
            abandon_time,
            max_tokens: t.max_tokens as u32,
            effect,
        });
    }
    if types.is_empty() {
        d.wrong("traffic", "names no traffic type");
    }
    if record.kinds.is_empty() {
        d.wrong("kinds", "names no kind of model server");
    }
    let mut keys = BTreeMap::new();
    for (index, (name, tenant)) in record.tenants.iter().enumerate() {
        for key in &tenant.keys {
            if key.is_empty() || keys.insert(key.clone(), TenantId(index)).is_some() {
                d.wrong(&format!("tenants.{name}.keys"), "holds an empty key, or one that stands twice");
            }
        }
    }
    if keys.is_empty() && !record.open {
        d.wrong("tenants", "nobody may call: name keys, or set open");
    }
    let kinds = record.kinds.values().map(|kind| ServerKind {
        role: match kind.role {
            RoleRecord::Reader => Role::Prefill,
            RoleRecord::Writer => Role::Decode,
            RoleRecord::Mixed => Role::Combined,
        },
        memory_tokens: kind.memory_tokens,
    });
    let deployment = Deployment {
        gateways: record.gateways as usize,
        zone: ZoneId(0),
        types,
        kinds: kinds.collect(),
        tenants: record.tenants.values().map(|t| Tenant { per_second: t.per_second }).collect(),
        over_quota_factor: record.over_share_utility,
        weights: Weights::Size,
        discovery: Discovery::Pushed,
        max_poll_interval: 1_000_000_000,
        max_attempts: record.attempts as usize,
        max_retry_after: Some(d.time("longest_retry_after", &record.longest_retry_after)),
        decode_servers_prefill: record.writers_read,
        release_timeout: d.time("release_within", &record.release_within),
        slow_start_duration: d.time("cold.lasts", &record.cold.lasts),
        slow_start_initial_share: record.cold.from,
        slow_start_overload_factor: record.cold.multiple,
        slow_start_window: d.time("cold.window", &record.cold.window).max(1),
        timer_resolution: 0,
        start_time_clock: StartTimeClock::Local,
    };
    let abandon_times: Vec<Nanos> = traffic.iter().map(|t| t.abandon_time).collect();
    for finding in settings_validation::check(&deployment, &abandon_times) {
        let broken = finding.rule.map_or(String::new(), |rule| format!(" (rule {rule} could not be kept)"));
        d.wrong(&place(&finding.problem, &traffic), format!("{}{broken}", finding.problem));
    }
    let folder = file.parent().unwrap_or(Path::new(""));
    let limits = Limits {
        sequences: record.limits.sequences as usize,
        connections: record.limits.connections as usize,
        streams: record.limits.streams as u32,
        body_bytes: record.limits.body_bytes as usize,
        body_time: d.time("limits.body_time", &record.limits.body_time),
    };
    let settings = Settings {
        chat: d.address("listen.chat", &record.listen.chat),
        grpc: record.listen.grpc.map(|text| d.address("listen.grpc", &text)),
        operator: record.listen.operator.map(|text| d.address("listen.operator", &text)),
        inventory: folder.join(record.inventory.file),
        kept: folder.join(record.inventory.kept),
        kinds: record.kinds.into_keys().collect(),
        zone: record.zone,
        traffic,
        tenants: record.tenants.into_keys().collect(),
        keys,
        open: record.open,
        limits,
        drain_time: d.time("drain_time", &record.drain_time),
        deployment,
        name: record.name,
    };
    if d.problems.is_empty() { Ok(settings) } else { Err(d.problems) }
}
