//! Slow start (rule 4) over all gateways together: no window may have more sends to a server in slow start than its
//! budget allows, counted over the schedulers of all gateways.

mod common;

use common::*;
use oorandom::Rand64;
use petrelshore::Scheduler;
use petrelshore::interface::*;
use std::collections::BTreeMap;

const PREFILL_SERVERS: u64 = 24;
/// The window over which sends are counted.
const WINDOW: Nanos = 1500 * MILLISECOND;
const SLOW_START: Nanos = 10_000 * MILLISECOND;

/// A simulation in which several prefill servers are replaced at the same time.
#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    /// The number of prefill servers, and also of decode servers.
    prefill_servers: u64,
    /// The number of prefill servers that are replaced by new ones.
    replaced: u64,
    /// True if gateways restart while the new servers are in slow start.
    restarts: bool,
    /// Prefills per second over the fleet, before and after the replacement. A higher second rate is a burst.
    rates: [f64; 2],
}

/// Returns the sends in a window that a server in slow start takes without being overloaded, where its settings allow
/// `allowed` sends. The margin above `allowed` covers random variation, and is larger for small budgets.
fn max_sends(allowed: f64) -> f64 {
    let (deviations, margin) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + deviations * allowed.sqrt() + margin
}

/// Sends to the servers in slow start.
struct Sends {
    /// The time at which these servers started.
    started_at: Nanos,
    /// The times of the sends to each server.
    by_server: BTreeMap<ServerId, Vec<Nanos>>,
}

/// Simulates a case and returns the sends to its new servers.
fn simulate(case: Case, seed: u64) -> Sends {
    let settings = Deployment { gateways: case.gateways, ..deployment() };
    let pair = |n: u64| Endpoint { zone: ZoneId(0), ..ready_endpoint(n, (n % 2) as usize, (n / 2) as i64) };
    let fleet: Vec<Endpoint> = (0..2 * case.prefill_servers).map(pair).collect();
    let mut random = Rand64::new(seed.into());
    let start = |now, list: &[Endpoint], seed: u64| {
        let mut scheduler = Scheduler::new(now, settings.clone(), seed);
        scheduler.update_endpoints(now, SnapshotKind::Cached, list);
        scheduler
    };
    let mut schedulers: Vec<Scheduler> =
        (0..case.gateways as u64).map(|n| start(START, &fleet, seed + n)).collect();
    let started_at = START + 6000 * MILLISECOND;
    let new_server = |n: u64| Endpoint { started_at, ..pair(1000 + 2 * n) };
    let mut after: Vec<Endpoint> =
        fleet.iter().filter(|e| e.server.0 % 2 == 1 || e.server.0 >= 2 * case.replaced).cloned().collect();
    after.extend((0..case.replaced).map(|n| Endpoint { cell: CellId(n as i64), ..new_server(n) }));
    let (mut now, mut is_replaced, mut next_restart) = (START, false, started_at + 500 * MILLISECOND);
    let mut by_server: BTreeMap<ServerId, Vec<Nanos>> = BTreeMap::new();
    for id in 0.. {
        let rate = case.rates[usize::from(is_replaced)];
        now += (-random.rand_float().max(1e-12).ln() / rate * 1e9) as Nanos;
        if now > started_at + 8000 * MILLISECOND {
            break;
        }
        if now >= started_at && !is_replaced {
            is_replaced = true;
            schedulers
                .iter_mut()
                .for_each(|scheduler| scheduler.update_endpoints(now, SnapshotKind::Full, &after));
        }
        if case.restarts && now >= next_restart {
            next_restart += 200 * MILLISECOND;
            let at = random.rand_range(0..case.gateways as u64) as usize;
            schedulers[at] = start(now, &after, seed + 10_000 + id);
        }
        // Half of the traffic goes to a fifth of the gateways, and the other half to all gateways.
        let busy_gateways = (case.gateways as u64).div_ceil(5);
        let gateways = if random.rand_float() < 0.5 { busy_gateways } else { case.gateways as u64 };
        let at = random.rand_range(0..gateways) as usize;
        let mut sequence = Sequence { session: Some(SessionId(id)), ..new_sequence(id, 0, now) };
        if let Decision::Send(server) = schedulers[at].schedule(now, &mut sequence) {
            if server.0 >= 1000 {
                by_server.entry(server).or_default().push(now);
            }
            finish_last_attempt(&mut schedulers[at], now, &mut sequence, PREFILL_DONE);
            sequence.completed = true;
        }
    }
    Sends { started_at, by_server }
}

/// Returns the largest number of sends to any server in slow start in a window, as a multiple of the sends that it
/// takes without being overloaded.
fn worst_window(case: Case, seed: u64) -> f64 {
    let Sends { started_at, by_server } = simulate(case, seed);
    let rate_per_server = case.rates[1].max(case.rates[0]) / case.prefill_servers as f64;
    let mut worst: f64 = 0.0;
    for sends in by_server.values() {
        for (n, first) in sends.iter().enumerate() {
            let capacity_share = 0.3 + 0.7 * ((first - started_at) as f64 / SLOW_START as f64).min(1.0);
            let allowed = 2.5 * capacity_share * rate_per_server * WINDOW as f64 / 1e9;
            let count = sends[n..].iter().take_while(|at| **at < first + WINDOW).count() as f64;
            worst = worst.max(count / max_sends(allowed));
        }
    }
    worst
}

/// The fleet is a single zone. All, half or two of its prefill servers are replaced at once. In most cases gateways
/// restart meanwhile. A fifth of the gateways get more than half of the traffic.
#[test]
fn slow_start_budget_is_kept_by_1_to_990_gateways() {
    for gateways in [1, 3, 30, 300, 990] {
        for (replaced, restarts, rates) in [
            (PREFILL_SERVERS, true, [150.0, 150.0]),
            (PREFILL_SERVERS / 2, true, [150.0, 300.0]),
            (PREFILL_SERVERS / 2, false, [24.0, 24.0]),
            (2, true, [600.0, 600.0]),
        ] {
            let case = Case { gateways, prefill_servers: PREFILL_SERVERS, replaced, restarts, rates };
            for seed in 0..3 {
                let worst = worst_window(case, seed * 10_000);
                assert!(worst <= 1.0, "{case:?}, seed {seed}: {worst} times the allowed sends in a window");
            }
        }
    }
}

/// The fleet exceeds the size up to which a decision examines all servers.
#[test]
fn large_fleet_keeps_and_uses_slow_start_budget() {
    for gateways in [3, 30, 300, 990] {
        for (replaced, restarts) in [(100, false), (50, true), (5, true)] {
            let case = Case { gateways, prefill_servers: 100, replaced, restarts, rates: [600.0, 800.0] };
            let worst = worst_window(case, 7);
            assert!(worst <= 1.0, "{case:?}: {worst} times the allowed sends in a window");
            // Sends to the new servers in eight seconds at an even share of the traffic, times their mean capacity
            // share.
            let even_sends = replaced as f64 * 8.0 * (0.3 + 0.7 * 0.4) * 8.0;
            let total: usize = simulate(case, 7).by_server.values().map(Vec::len).sum();
            assert!(
                total as f64 >= 0.3 * even_sends || replaced == case.prefill_servers,
                "{case:?}: {total} sends, {even_sends} at an even share"
            );
        }
    }
}

#[test]
fn slow_start_budget_is_kept_and_used_by_all_gateways() {
    let cases = [3, 20, 30, 300].into_iter().flat_map(|gateways| {
        [
            (2, false, [150.0, 150.0]),
            (12, false, [150.0, 150.0]),
            (12, true, [150.0, 150.0]),
            (24, false, [150.0, 150.0]),
            (12, false, [100.0, 200.0]),
            (12, false, [24.0, 24.0]),
        ]
        .map(|(replaced, restarts, rates)| Case {
            gateways,
            prefill_servers: PREFILL_SERVERS,
            replaced,
            restarts,
            rates,
        })
    });
    for case in cases {
        for seed in 0..3 {
            let Sends { started_at, by_server } = simulate(case, seed * 1000);
            let rate_per_server = case.rates[1].max(case.rates[0]) / case.prefill_servers as f64;
            for (server, sends) in &by_server {
                for (n, first) in sends.iter().enumerate() {
                    let capacity_share =
                        0.3 + 0.7 * ((first - started_at) as f64 / SLOW_START as f64).min(1.0);
                    let budget = 2.5 * capacity_share * rate_per_server * WINDOW as f64 / 1e9;
                    let count = sends[n..].iter().take_while(|at| **at < first + WINDOW).count() as f64;
                    assert!(
                        count <= budget + 2.0 * budget.sqrt() + 2.0,
                        "{case:?}, seed {seed}: {count} sends to {server:?} in a window, budget {budget}"
                    );
                }
            }
            // Sends to the new servers in eight seconds at an even share of the traffic, times their mean capacity
            // share.
            let even_sends = case.replaced as f64 * rate_per_server * (0.3 + 0.7 * 0.4) * 8.0;
            let total: usize = by_server.values().map(Vec::len).sum();
            let min_share = if case.replaced == PREFILL_SERVERS || case.rates[0] < 100.0 { 0.0 } else { 0.3 };
            assert!(
                total as f64 >= min_share * even_sends,
                "{case:?}, seed {seed}: {total} sends, {even_sends} at an even share"
            );
        }
    }
}
