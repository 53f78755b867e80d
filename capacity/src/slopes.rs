//! What one gateway costs as its fleet grows: processor time for a request, bytes and time of an endpoint list, memory.

use crate::fit::{self, Point};
use crate::gateway::{Load, MeasuredGateway, WARM_UP_REQUESTS};
use crate::inventory::{self, SECOND, Size};
use crate::limits::{self, LimitError};
use crate::report::Printer;
use petrelshore::interface::{Endpoint, Nanos};
use petrelshore_gateway_core::PolicyKind;
use petrelshore_platform_protocol::endpoint_list;
use petrelshore_platform_protocol::settings::Names;
use petrelshore_platform_protocol::tenants::Tenants;
use serde::Serialize;
use serde_json::{Value, json};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Gateways of the service: each one keeps to its part of a server in slow start.
const GATEWAYS: usize = 990;
/// Mean requests per second of a gateway.
const MEAN_RATE: f64 = 64.0;
/// Requests per second of a gateway with five times that.
const BUSY_RATE: f64 = 320.0;
/// Changes of the endpoint list on a day: 2,300 changes of configuration and some 800 restarts and failures.
const CHANGES_PER_DAY: f64 = 3_100.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Long enough that a server stays in slow start for all that is measured.
const LASTING_SLOW_START: Nanos = 1_000_000 * SECOND;
/// The size of the whole service.
const SERVICE_SERVERS: u64 = 4_200;
/// The slow start of a deployment whose servers are warm.
const SLOW_START: Nanos = 10 * SECOND;
const SESSIONS: u64 = 5_000;
const PREFIXES: u64 = 700;
/// Rounds of the loop that times are compared with.
const REFERENCE_ROUNDS: u64 = 1_000_000;
/// How often a list is decoded and applied; the median counts.
const LIST_ROUNDS: usize = 9;

/// What is measured, and for how long.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Numbers of model servers.
    pub servers: Vec<u64>,
    /// Numbers of tenants.
    pub tenants: Vec<usize>,
    /// Shares of the servers that are in slow start.
    pub slow_start_shares: Vec<f64>,
    /// Shares of the servers that respond to nothing.
    pub silent_shares: Vec<f64>,
    /// Requests measured for each row.
    pub requests: u64,
    /// The time after which a row ends with fewer.
    pub row_time: Duration,
    /// The numbers of requests after which memory is read.
    pub memory_at: Vec<u64>,
    /// How servers are found.
    pub policy_kind: PolicyKind,
}

/// What is measured in one row.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Model servers.
    pub servers: u64,
    /// Tenants.
    pub tenants: usize,
    /// The share of servers in slow start.
    pub slow_start_share: f64,
    /// The share of servers that respond to nothing.
    pub silent_share: f64,
    /// Requests per second at the gateway.
    pub rate: f64,
}

impl Case {
    /// All servers warm and responding, the gateway at its mean rate.
    fn ordinary(servers: u64, tenants: usize) -> Case {
        Case { servers, tenants, slow_start_share: 0.0, silent_share: 0.0, rate: MEAN_RATE }
    }

    fn load(&self) -> Load {
        let slow_start = if self.slow_start_share > 0.0 { LASTING_SLOW_START } else { SLOW_START };
        let tenant_rate = MEAN_RATE * GATEWAYS as f64 / self.tenants.max(1) as f64;
        let size = Size {
            gateways: GATEWAYS,
            servers: self.servers,
            tenants: self.tenants,
            tenant_rate,
            slow_start,
        };
        Load {
            size,
            rate: self.rate,
            sessions: SESSIONS,
            prefixes: PREFIXES,
            silent_share: self.silent_share,
        }
    }
}

/// The cost of a request in one case.
#[derive(Clone, Debug, Serialize)]
pub struct CostRow {
    /// Model servers.
    pub servers: u64,
    /// Tenants.
    pub tenants: usize,
    /// The share of servers in slow start.
    #[serde(rename = "slow_start")]
    pub slow_start_share: f64,
    /// The share of servers that respond to nothing.
    #[serde(rename = "silent")]
    pub silent_share: f64,
    /// Requests per second at the gateway.
    pub rate: f64,
    /// Microseconds of a request.
    pub us_per_request: f64,
    /// That time over the time of the reference loop in the same run.
    pub against_reference: f64,
    /// Servers examined per request.
    pub examined: f64,
    /// The most servers examined for one request.
    #[serde(rename = "examined_most")]
    pub max_examined: u64,
    /// Attempts per request.
    pub attempts: f64,
    /// The share of a core at this rate.
    pub core_share: f64,
}

/// The cost of an endpoint list.
#[derive(Clone, Debug, Serialize)]
struct ListRow {
    #[serde(rename = "list_of")]
    servers: u64,
    #[serde(rename = "whole_bytes")]
    full_bytes: usize,
    #[serde(rename = "whole_decode_ms")]
    full_decode_ms: f64,
    #[serde(rename = "whole_apply_ms")]
    full_apply_ms: f64,
    change_bytes: usize,
    change_decode_us: f64,
    change_apply_us: f64,
    /// The first request after a change: it rebuilds the index.
    next_request_us: f64,
    /// Bytes per second of a watch that delivers each change of a day.
    watch_bytes_per_second: f64,
}

/// The memory of a gateway after so many requests.
#[derive(Clone, Debug, Serialize)]
struct MemoryRow {
    #[serde(rename = "memory_after")]
    requests: u64,
    servers: u64,
    tenants: usize,
    grown_mib: f64,
    resident_mib: f64,
}

/// The line through the costs of growing fleets.
#[derive(Clone, Debug, Serialize)]
struct FitRow {
    fit_of: &'static str,
    tenants: usize,
    #[serde(rename = "slow_start")]
    slow_start_share: f64,
    #[serde(rename = "silent")]
    silent_share: f64,
    base: f64,
    per_1000_servers: f64,
    r_squared: f64,
}

/// Microseconds that a fixed loop of integer work takes: a measure of the machine.
pub fn reference_us() -> f64 {
    let from = Instant::now();
    let mut bits = 1u64;
    for round in 0..REFERENCE_ROUNDS {
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9).wrapping_add(round);
    }
    black_box(bits);
    from.elapsed().as_secs_f64() * 1e6
}

/// Measures all rows of a plan and prints each once it is measured.
pub fn run(plan: &Plan, printer: &mut Printer) -> Result<(), LimitError> {
    let largest = plan.servers.iter().copied().max().unwrap_or(0);
    limits::check(1, largest, limits::machine_memory())?;
    for &tenants in &plan.tenants {
        for &slow_start_share in &plan.slow_start_shares {
            for &silent_share in &plan.silent_shares {
                let case = Case { slow_start_share, silent_share, ..Case::ordinary(0, tenants) };
                measure_series(plan, case, printer);
            }
        }
    }
    if plan.servers.contains(&SERVICE_SERVERS) {
        let tenants = plan.tenants.iter().copied().max().unwrap_or(0);
        let case = Case { rate: BUSY_RATE, ..Case::ordinary(SERVICE_SERVERS, tenants) };
        printer.row(&measure_cost(plan, case));
    }
    for &servers in &plan.servers {
        printer.row(&measure_list(servers));
    }
    measure_memory(plan, printer);
    Ok(())
}

/// One row for each size of fleet, and the line through them.
fn measure_series(plan: &Plan, case: Case, printer: &mut Printer) {
    let mut points = Vec::new();
    for &servers in &plan.servers {
        let row = measure_cost(plan, Case { servers, ..case });
        printer.row(&row);
        points.push(Point { size: row.servers as f64, cost: row.us_per_request });
    }
    if let Some(line) = fit::least_squares(&points) {
        printer.row(&FitRow {
            fit_of: "us_per_request",
            tenants: case.tenants,
            slow_start_share: case.slow_start_share,
            silent_share: case.silent_share,
            base: line.base,
            per_1000_servers: line.slope * 1_000.0,
            r_squared: line.r_squared,
        });
    }
}

/// The cost of a complete request: prefill and decode scheduled, ten tokens forwarded.
pub fn measure_cost(plan: &Plan, case: Case) -> CostRow {
    let reference = reference_us();
    let list = inventory::fleet(case.servers, case.slow_start_share, SECOND / 2);
    let mut gateway = MeasuredGateway::new(case.load(), &list, plan.policy_kind);
    let until = Instant::now() + plan.row_time;
    (0..WARM_UP_REQUESTS).take_while(|_| Instant::now() < until).for_each(|_| gateway.handle_request());
    let (from, attempts_before) = (Instant::now(), gateway.attempts());
    let until = from + plan.row_time;
    let (mut requests, mut max_examined) = (0, 0);
    let examined_before = gateway.manager().servers_examined();
    while requests < plan.requests && (requests == 0 || Instant::now() < until) {
        let before = gateway.manager().servers_examined();
        gateway.handle_request();
        max_examined = max_examined.max(gateway.manager().servers_examined() - before);
        requests += 1;
    }
    let us_per_request = from.elapsed().as_secs_f64() * 1e6 / requests as f64;
    CostRow {
        servers: case.servers,
        tenants: case.tenants,
        slow_start_share: case.slow_start_share,
        silent_share: case.silent_share,
        rate: case.rate,
        us_per_request,
        against_reference: us_per_request / reference,
        examined: (gateway.manager().servers_examined() - examined_before) as f64 / requests as f64,
        max_examined,
        attempts: (gateway.attempts() - attempts_before) as f64 / requests as f64,
        core_share: us_per_request * case.rate / 1e6,
    }
}

fn names() -> Names {
    let zones = (0..inventory::ZONES).map(|zone| format!("zone-{zone}")).collect();
    Names {
        types: vec!["chat".into()],
        tenants: Tenants::default(),
        zones,
        kinds: vec!["prefill".into(), "decode".into()],
        report: vec![],
    }
}

/// An entry as discovery sends it.
fn entry(endpoint: &Endpoint) -> Value {
    json!({
        "name": format!("s-{:016x}", endpoint.server.0),
        "address": "127.0.0.1:9000",
        "zone": format!("zone-{}", endpoint.zone.0),
        "type": if endpoint.kind.0 == 0 { "prefill" } else { "decode" },
        "group": endpoint.cell.0,
        "status": "active",
        "weight": 1.0,
        "since_ms": endpoint.started_at / inventory::MILLISECOND,
    })
}

fn median(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times[times.len() / 2].as_secs_f64()
}

/// Median times, in seconds.
struct ListTimes {
    decode: f64,
    apply: f64,
    /// The first request after it.
    next_request: f64,
}

/// Decodes and applies a list several times.
fn time_list(text: &str, gateway: &mut MeasuredGateway) -> ListTimes {
    let names = names();
    let (mut decode, mut apply, mut next_request) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..LIST_ROUNDS {
        let from = Instant::now();
        let list = serde_json::from_str(text).ok().and_then(|json| endpoint_list::decode(&json, &names).ok());
        decode.push(from.elapsed());
        let Some(list) = list else { continue };
        let endpoints: Vec<Endpoint> = list.entries.into_iter().map(|listed| listed.endpoint).collect();
        let (now, from) = (gateway.now(), Instant::now());
        gateway.manager().update_endpoints(now, list.scope, &endpoints);
        apply.push(from.elapsed());
        let from = Instant::now();
        gateway.handle_request();
        next_request.push(from.elapsed());
    }
    ListTimes { decode: median(decode), apply: median(apply), next_request: median(next_request) }
}

fn measure_list(servers: u64) -> ListRow {
    let list = inventory::fleet(servers, 0.0, 0);
    let entries: Vec<Value> = list.iter().map(entry).collect();
    let full = json!({ "index": 1, "snapshot": true, "endpoints": entries }).to_string();
    let change = json!({ "index": 2, "snapshot": false, "endpoints": [entry(&list[0])] }).to_string();
    let load = Case::ordinary(servers, 0).load();
    let mut gateway = MeasuredGateway::new(load, &list, PolicyKind::Scheduler);
    (0..WARM_UP_REQUESTS).for_each(|_| gateway.handle_request());
    let full_times = time_list(&full, &mut gateway);
    let change_times = time_list(&change, &mut gateway);
    ListRow {
        servers,
        full_bytes: full.len(),
        full_decode_ms: full_times.decode * 1e3,
        full_apply_ms: full_times.apply * 1e3,
        change_bytes: change.len(),
        change_decode_us: change_times.decode * 1e6,
        change_apply_us: change_times.apply * 1e6,
        next_request_us: change_times.next_request * 1e6,
        watch_bytes_per_second: change.len() as f64 * CHANGES_PER_DAY / SECONDS_PER_DAY,
    }
}

/// The memory of one gateway as it handles requests of ever new sessions and prefixes.
fn measure_memory(plan: &Plan, printer: &mut Printer) {
    let (Some(&servers), Some(&tenants)) = (plan.servers.iter().max(), plan.tenants.iter().max()) else {
        return;
    };
    let servers = servers.min(SERVICE_SERVERS);
    let start = limits::resident().unwrap_or(0);
    let load = Load { sessions: u64::MAX, prefixes: u64::MAX, ..Case::ordinary(servers, tenants).load() };
    let mut gateway = MeasuredGateway::new(load, &inventory::fleet(servers, 0.0, 0), plan.policy_kind);
    let mut requests = 0;
    for &at in &plan.memory_at {
        while requests < at {
            gateway.handle_request();
            requests += 1;
        }
        let resident = limits::resident().unwrap_or(0);
        let mib = |bytes: u64| bytes as f64 / (1 << 20) as f64;
        printer.row(&MemoryRow {
            requests: at,
            servers,
            tenants,
            grown_mib: mib(resident.saturating_sub(start)),
            resident_mib: mib(resident),
        });
    }
}
