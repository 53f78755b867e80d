//! What one gateway costs as its fleet grows: processor time for a request, bytes and time of a list, memory.

use crate::fit;
use crate::inventory::{self, SECOND, Size};
use crate::limits;
use crate::report::Printer;
use crate::warm::{Load, WARM_UP, Warm};
use petrelshore::interface::*;
use petrelshore_gateway_core::Chooser;
use petrelshore_platform_protocol::endpoint_list;
use petrelshore_platform_protocol::settings::Names;
use petrelshore_platform_protocol::tenants::Tenants;
use serde::Serialize;
use serde_json::{Value, json};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Gateways of the service, whose part of a cold server each one keeps to.
const GATEWAYS: usize = 990;
/// Requests a second at a gateway in the mean, and at one with five times that.
const MEAN_RATE: f64 = 64.0;
const BUSY_RATE: f64 = 320.0;
/// Changes of the list of model servers on a day: 2,300 changes of configuration and some 800 restarts and failures.
const CHANGES_A_DAY: f64 = 3_100.0;
const SECONDS_A_DAY: f64 = 86_400.0;
/// Long enough that a server which starts cold stays cold for all that is measured.
const STAYS_COLD: Nanos = 1_000_000 * SECOND;
const SESSIONS: u64 = 5_000;
const PREFIXES: u64 = 700;
/// Rounds of the loop that times are told against.
const REFERENCE_ROUNDS: u64 = 1_000_000;
/// Times that a list is decoded and applied; the median counts.
const LIST_ROUNDS: usize = 9;

/// What is measured, and for how long.
#[derive(Clone, Debug)]
pub struct Plan {
    pub servers: Vec<u64>,
    pub tenants: Vec<usize>,
    /// Parts of the servers that are in slow start.
    pub slow_start: Vec<f64>,
    /// Parts of the servers that answer nothing.
    pub silent: Vec<f64>,
    /// Requests measured for each row, and the time after which a row ends with fewer.
    pub requests: u64,
    pub row_time: Duration,
    /// After how many requests memory is read.
    pub memory_at: Vec<u64>,
    pub chooser: Chooser,
}

#[derive(Clone, Debug, Serialize)]
pub struct CostRow {
    pub servers: u64,
    pub tenants: usize,
    pub slow_start: f64,
    pub silent: f64,
    pub rate: f64,
    pub us_per_request: f64,
    /// That time over the time of the reference loop in the same run.
    pub against_reference: f64,
    /// Servers looked at for a request in the mean, and for the request that looked at the most.
    pub examined: f64,
    pub examined_most: u64,
    pub attempts: f64,
    /// Part of a core at this rate.
    pub core_share: f64,
}

#[derive(Clone, Debug, Serialize)]
struct ListRow {
    list_of: u64,
    whole_bytes: usize,
    whole_decode_ms: f64,
    whole_apply_ms: f64,
    change_bytes: usize,
    change_decode_us: f64,
    change_apply_us: f64,
    /// The first request after a change: it makes the index anew.
    next_request_us: f64,
    /// Bytes a second of a watch that brings each change of a day.
    watch_bytes_per_second: f64,
}

#[derive(Clone, Debug, Serialize)]
struct MemoryRow {
    memory_after: u64,
    servers: u64,
    tenants: usize,
    grown_mib: f64,
    resident_mib: f64,
}

#[derive(Clone, Debug, Serialize)]
struct FitRow {
    fit_of: &'static str,
    tenants: usize,
    slow_start: f64,
    silent: f64,
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

/// Measures all rows of a plan and prints them as they come.
pub fn run(plan: &Plan, printer: &mut Printer) -> Result<(), limits::Refused> {
    let largest = plan.servers.iter().copied().max().unwrap_or(0);
    limits::check(1, largest, limits::machine_memory())?;
    for &tenants in &plan.tenants {
        for &slow_start in &plan.slow_start {
            for &silent in &plan.silent {
                series(plan, tenants, slow_start, silent, printer);
            }
        }
    }
    if let Some(&servers) = plan.servers.iter().find(|servers| **servers == 4_200) {
        let tenants = plan.tenants.iter().copied().max().unwrap_or(0);
        printer.row(&cost(plan, servers, tenants, 0.0, 0.0, BUSY_RATE));
    }
    for &servers in &plan.servers {
        printer.row(&list_row(servers));
    }
    memory(plan, printer);
    Ok(())
}

/// One row for each size of fleet, and the line through them.
fn series(plan: &Plan, tenants: usize, slow_start: f64, silent: f64, printer: &mut Printer) {
    let rows: Vec<CostRow> = plan
        .servers
        .iter()
        .map(|&servers| {
            let row = cost(plan, servers, tenants, slow_start, silent, MEAN_RATE);
            printer.row(&row);
            row
        })
        .collect();
    let points: Vec<(f64, f64)> = rows.iter().map(|row| (row.servers as f64, row.us_per_request)).collect();
    if let Some(line) = fit::line(&points) {
        printer.row(&FitRow {
            fit_of: "us_per_request",
            tenants,
            slow_start,
            silent,
            base: line.base,
            per_1000_servers: line.slope * 1_000.0,
            r_squared: line.r_squared,
        });
    }
}

fn load(servers: u64, tenants: usize, slow_start: f64, silent: f64, rate: f64) -> Load {
    let cold_for = if slow_start > 0.0 { STAYS_COLD } else { 10 * SECOND };
    let tenant_rate = MEAN_RATE * GATEWAYS as f64 / tenants.max(1) as f64;
    let size = Size { gateways: GATEWAYS, servers, tenants, tenant_rate, slow_start: cold_for };
    Load { size, rate, sessions: SESSIONS, prefixes: PREFIXES, silent }
}

/// The cost of a whole request at one size: prefill and decode scheduled, ten tokens passed on.
pub fn cost(plan: &Plan, servers: u64, tenants: usize, slow_start: f64, silent: f64, rate: f64) -> CostRow {
    let reference = reference_us();
    let load = load(servers, tenants, slow_start, silent, rate);
    let mut warm = Warm::new(load, &inventory::fleet(servers, slow_start, SECOND / 2), plan.chooser);
    let until = Instant::now() + plan.row_time;
    (0..WARM_UP).take_while(|_| Instant::now() < until).for_each(|_| warm.request());
    let (from, sent) = (Instant::now(), warm.sent());
    let until = from + plan.row_time;
    let (mut done, mut most) = (0, 0);
    let first = warm.manager().servers_examined();
    while done < plan.requests && (done == 0 || Instant::now() < until) {
        let before = warm.manager().servers_examined();
        warm.request();
        most = most.max(warm.manager().servers_examined() - before);
        done += 1;
    }
    let us_per_request = from.elapsed().as_secs_f64() * 1e6 / done as f64;
    CostRow {
        servers,
        tenants,
        slow_start,
        silent,
        rate,
        us_per_request,
        against_reference: us_per_request / reference,
        examined: (warm.manager().servers_examined() - first) as f64 / done as f64,
        examined_most: most,
        attempts: (warm.sent() - sent) as f64 / done as f64,
        core_share: us_per_request * rate / 1e6,
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

/// Seconds in the median to decode a list, to apply it, and for the first request after it.
fn decoded_and_applied(text: &str, warm: &mut Warm) -> (f64, f64, f64) {
    let names = names();
    let (mut decode, mut apply, mut next) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..LIST_ROUNDS {
        let from = Instant::now();
        let list = serde_json::from_str(text).ok().and_then(|json| endpoint_list::decode(&json, &names).ok());
        decode.push(from.elapsed());
        let Some(list) = list else { continue };
        let endpoints: Vec<Endpoint> = list.entries.into_iter().map(|(endpoint, _)| endpoint).collect();
        let (now, from) = (warm.now(), Instant::now());
        warm.manager().update_endpoints(now, list.scope, &endpoints);
        apply.push(from.elapsed());
        let from = Instant::now();
        warm.request();
        next.push(from.elapsed());
    }
    (median(decode), median(apply), median(next))
}

fn list_row(servers: u64) -> ListRow {
    let list = inventory::fleet(servers, 0.0, 0);
    let entries: Vec<Value> = list.iter().map(entry).collect();
    let whole = json!({ "index": 1, "snapshot": true, "endpoints": entries }).to_string();
    let change = json!({ "index": 2, "snapshot": false, "endpoints": [entry(&list[0])] }).to_string();
    let mut warm = Warm::new(load(servers, 0, 0.0, 0.0, MEAN_RATE), &list, Chooser::Decisions);
    (0..WARM_UP).for_each(|_| warm.request());
    let (whole_decode, whole_apply, _) = decoded_and_applied(&whole, &mut warm);
    let (change_decode, change_apply, next_request) = decoded_and_applied(&change, &mut warm);
    ListRow {
        list_of: servers,
        whole_bytes: whole.len(),
        whole_decode_ms: whole_decode * 1e3,
        whole_apply_ms: whole_apply * 1e3,
        change_bytes: change.len(),
        change_decode_us: change_decode * 1e6,
        change_apply_us: change_apply * 1e6,
        next_request_us: next_request * 1e6,
        watch_bytes_per_second: change.len() as f64 * CHANGES_A_DAY / SECONDS_A_DAY,
    }
}

/// Memory of one gateway as requests of ever new sessions and prefixes pass.
fn memory(plan: &Plan, printer: &mut Printer) {
    let (Some(&servers), Some(&tenants)) = (plan.servers.iter().max(), plan.tenants.iter().max()) else {
        return;
    };
    let servers = servers.min(4_200);
    let start = limits::resident().unwrap_or(0);
    let load = Load { sessions: u64::MAX, prefixes: u64::MAX, ..load(servers, tenants, 0.0, 0.0, MEAN_RATE) };
    let mut warm = Warm::new(load, &inventory::fleet(servers, 0.0, 0), plan.chooser);
    let mut done = 0;
    for &at in &plan.memory_at {
        while done < at {
            warm.request();
            done += 1;
        }
        let resident = limits::resident().unwrap_or(0);
        let mib = |bytes: u64| bytes as f64 / (1 << 20) as f64;
        printer.row(&MemoryRow {
            memory_after: at,
            servers,
            tenants,
            grown_mib: mib(resident.saturating_sub(start)),
            resident_mib: mib(resident),
        });
    }
}
