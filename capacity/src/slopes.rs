//! Measures the cost of one gateway for fleets of growing size: the time to handle a request, the size and the
//! processing time of an endpoint list, and the memory of the process.

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

/// Number of gateways of the whole service. A gateway limits its calls to a server in slow start to its share
/// among all gateways.
const GATEWAYS: usize = 990;
/// Mean number of requests per second at one gateway.
const MEAN_RATE: f64 = 64.0;
/// Number of requests per second at a busy gateway: five times the mean.
const BUSY_GATEWAY_RATE: f64 = 320.0;
/// Number of endpoint list changes per day: 2,300 configuration changes and about 800 restarts and failures.
const CHANGES_PER_DAY: f64 = 3_100.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// A slow start that lasts longer than any measurement, in nanoseconds.
const UNENDING_SLOW_START: Nanos = 1_000_000 * SECOND;
/// Number of model servers of the whole service.
const SERVICE_SERVERS: u64 = 4_200;
/// The slow start duration in measurements whose servers are all warm, in nanoseconds.
const SLOW_START_DURATION: Nanos = 10 * SECOND;
const SESSIONS: u64 = 5_000;
const PREFIXES: u64 = 700;
/// Number of iterations of the reference loop.
const REFERENCE_ITERATIONS: u64 = 1_000_000;
/// Number of times that each list is decoded and applied; the row contains the median times.
const LIST_REPETITIONS: usize = 9;

/// The cases to measure, and the limits of each measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The numbers of model servers to measure.
    pub servers: Vec<u64>,
    /// The numbers of tenants to measure.
    pub tenants: Vec<usize>,
    /// The shares of the servers that are in slow start.
    pub slow_start_shares: Vec<f64>,
    /// The shares of the servers that accept requests but never respond.
    pub silent_shares: Vec<f64>,
    /// The number of requests to measure for each row.
    pub requests: u64,
    /// The maximum time to measure one row. A row that reaches this limit covers fewer requests.
    pub row_time: Duration,
    /// The numbers of requests after which the resident memory is read.
    pub memory_at: Vec<u64>,
    /// The policy by which the gateway finds a server for a request.
    pub policy_kind: PolicyKind,
}

/// The conditions under which one row is measured.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Number of model servers.
    pub servers: u64,
    /// Number of tenants.
    pub tenants: usize,
    /// The share of servers in slow start.
    pub slow_start_share: f64,
    /// The share of servers that accept requests but never respond.
    pub silent_share: f64,
    /// Number of requests per second at the gateway.
    pub rate: f64,
}

impl Case {
    /// Returns a case in which all servers are warm and responsive and the gateway receives its mean rate of requests.
    fn ordinary(servers: u64, tenants: usize) -> Case {
        Case { servers, tenants, slow_start_share: 0.0, silent_share: 0.0, rate: MEAN_RATE }
    }

    fn load(&self) -> Load {
        let slow_start = if self.slow_start_share > 0.0 { UNENDING_SLOW_START } else { SLOW_START_DURATION };
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

/// A row with the cost of a request in one case.
#[derive(Clone, Debug, Serialize)]
pub struct CostRow {
    /// Number of model servers.
    pub servers: u64,
    /// Number of tenants.
    pub tenants: usize,
    /// The share of servers in slow start.
    #[serde(rename = "slow_start")]
    pub slow_start_share: f64,
    /// The share of servers that accept requests but never respond.
    #[serde(rename = "silent")]
    pub silent_share: f64,
    /// Number of requests per second at the gateway.
    pub rate: f64,
    /// Mean time to handle a request, in microseconds.
    pub us_per_request: f64,
    /// The ratio of `us_per_request` to the time of the reference loop, measured in the same run.
    pub against_reference: f64,
    /// Mean number of servers examined per request.
    pub examined: f64,
    /// The maximum number of servers examined for one request.
    #[serde(rename = "examined_most")]
    pub max_examined: u64,
    /// Mean number of attempts per request.
    pub attempts: f64,
    /// The share of one processor core that the gateway uses at this rate.
    pub core_share: f64,
}

/// A row with the cost of a full endpoint list and of a list with one changed endpoint.
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
    /// Time of the first request after a change, which rebuilds the index, in microseconds.
    next_request_us: f64,
    /// Bytes per second of an endpoint list watch that delivers every change.
    watch_bytes_per_second: f64,
}

/// A row with the memory of the process after a number of requests.
#[derive(Clone, Debug, Serialize)]
struct MemoryRow {
    #[serde(rename = "memory_after")]
    requests: u64,
    servers: u64,
    tenants: usize,
    grown_mib: f64,
    resident_mib: f64,
}

/// A row with the line fitted to the costs of fleets of growing size.
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

/// Measures the time of a fixed loop of integer operations, in microseconds, as an indicator of the machine's speed.
pub fn reference_us() -> f64 {
    let start = Instant::now();
    let mut bits = 1u64;
    for iteration in 0..REFERENCE_ITERATIONS {
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9).wrapping_add(iteration);
    }
    black_box(bits);
    start.elapsed().as_secs_f64() * 1e6
}

/// Measures all rows of a plan and prints each row as soon as it is measured.
pub fn run(plan: &Plan, printer: &mut Printer) -> Result<(), LimitError> {
    let largest = plan.servers.iter().copied().max().unwrap_or(0);
    limits::check_fleet(1, largest, limits::machine_memory())?;
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
        let case = Case { rate: BUSY_GATEWAY_RATE, ..Case::ordinary(SERVICE_SERVERS, tenants) };
        printer.print_row(&measure_cost(plan, case));
    }
    for &servers in &plan.servers {
        printer.print_row(&measure_list(servers));
    }
    measure_memory(plan, printer);
    Ok(())
}

/// Measures and prints one row for each fleet size, then the line fitted to the rows.
fn measure_series(plan: &Plan, case: Case, printer: &mut Printer) {
    let mut points = Vec::new();
    for &servers in &plan.servers {
        let row = measure_cost(plan, Case { servers, ..case });
        printer.print_row(&row);
        points.push(Point { size: row.servers as f64, cost: row.us_per_request });
    }
    if let Some(line) = fit::least_squares(&points) {
        printer.print_row(&FitRow {
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

/// Measures the cost of a complete request: the gateway schedules a prefill and a decode, and receives ten tokens.
pub fn measure_cost(plan: &Plan, case: Case) -> CostRow {
    let reference = reference_us();
    let list = inventory::fleet(case.servers, case.slow_start_share, SECOND / 2);
    let mut gateway = MeasuredGateway::new(case.load(), &list, plan.policy_kind);
    let deadline = Instant::now() + plan.row_time;
    (0..WARM_UP_REQUESTS).take_while(|_| Instant::now() < deadline).for_each(|_| gateway.handle_request());
    let (start, attempts_before) = (Instant::now(), gateway.attempts());
    let deadline = start + plan.row_time;
    let (mut requests, mut max_examined) = (0, 0);
    let examined_before = gateway.manager().servers_examined();
    while requests < plan.requests && (requests == 0 || Instant::now() < deadline) {
        let before = gateway.manager().servers_examined();
        gateway.handle_request();
        max_examined = max_examined.max(gateway.manager().servers_examined() - before);
        requests += 1;
    }
    let us_per_request = start.elapsed().as_secs_f64() * 1e6 / requests as f64;
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

/// Returns the names that appear in the generated endpoint lists.
fn list_names() -> Names {
    let zones = (0..inventory::ZONES).map(|zone| format!("zone-{zone}")).collect();
    Names {
        types: vec!["chat".into()],
        tenants: Tenants::default(),
        zones,
        kinds: vec!["prefill".into(), "decode".into()],
        report: vec![],
    }
}

/// Returns an endpoint list entry in the format of the discovery service.
fn list_entry(endpoint: &Endpoint) -> Value {
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

/// Returns the median, in seconds.
fn median(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times[times.len() / 2].as_secs_f64()
}

/// Median times to process an endpoint list, in seconds.
struct ListTimes {
    decode: f64,
    apply: f64,
    /// The time of the first request after the list was applied.
    next_request: f64,
}

/// Decodes and applies an endpoint list several times, and returns the median times.
fn time_list(text: &str, gateway: &mut MeasuredGateway) -> ListTimes {
    let names = list_names();
    let (mut decode, mut apply, mut next_request) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..LIST_REPETITIONS {
        let start = Instant::now();
        let list = serde_json::from_str(text).ok().and_then(|json| endpoint_list::decode(&json, &names).ok());
        decode.push(start.elapsed());
        let Some(list) = list else { continue };
        let endpoints: Vec<Endpoint> = list.entries.into_iter().map(|listed| listed.endpoint).collect();
        let (now, start) = (gateway.now(), Instant::now());
        gateway.manager().update_endpoints(now, list.scope, &endpoints);
        apply.push(start.elapsed());
        let start = Instant::now();
        gateway.handle_request();
        next_request.push(start.elapsed());
    }
    ListTimes { decode: median(decode), apply: median(apply), next_request: median(next_request) }
}

/// Measures the cost of the full endpoint list and of a change of one endpoint.
fn measure_list(servers: u64) -> ListRow {
    let list = inventory::fleet(servers, 0.0, 0);
    let entries: Vec<Value> = list.iter().map(list_entry).collect();
    let full = json!({ "index": 1, "snapshot": true, "endpoints": entries }).to_string();
    let change = json!({ "index": 2, "snapshot": false, "endpoints": [list_entry(&list[0])] }).to_string();
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

/// Measures the memory of one gateway that handles requests. Each request has a new session and a new prefix.
fn measure_memory(plan: &Plan, printer: &mut Printer) {
    let (Some(&servers), Some(&tenants)) = (plan.servers.iter().max(), plan.tenants.iter().max()) else {
        return;
    };
    let servers = servers.min(SERVICE_SERVERS);
    let initial_resident = limits::resident_memory().unwrap_or(0);
    let load = Load { sessions: u64::MAX, prefixes: u64::MAX, ..Case::ordinary(servers, tenants).load() };
    let mut gateway = MeasuredGateway::new(load, &inventory::fleet(servers, 0.0, 0), plan.policy_kind);
    let mut requests = 0;
    for &request_count in &plan.memory_at {
        while requests < request_count {
            gateway.handle_request();
            requests += 1;
        }
        let resident = limits::resident_memory().unwrap_or(0);
        let mib = |bytes: u64| bytes as f64 / (1 << 20) as f64;
        printer.print_row(&MemoryRow {
            requests: request_count,
            servers,
            tenants,
            grown_mib: mib(resident.saturating_sub(initial_resident)),
            resident_mib: mib(resident),
        });
    }
}
