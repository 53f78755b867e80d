//! Rule 4 under the sum of all gateways: what reaches a cold server in any window, counted over many modules.

mod common;

use common::*;
use oorandom::Rand64;
use petrelshore::Scheduler;
use petrelshore::interface::*;
use std::collections::BTreeMap;

const READERS: u64 = 24;
const WINDOW: Nanos = 1500 * MS;
const COLD_FOR: Nanos = 10_000 * MS;

/// What happens to readers at once, and whether gateways restart while they are cold.
#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    /// As many decode servers are there.
    readers: u64,
    /// So many of the readers are replaced by new ones.
    new: u64,
    restarts: bool,
    /// Reads a second over the fleet before and, as a burst, after.
    rates: [f64; 2],
}

/// Calls that a cold server whose settings allow `allowed` in a window takes before it falls.
fn budget(allowed: f64) -> f64 {
    let (deviations, more) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + deviations * allowed.sqrt() + more
}

/// For each cold reader, when it was sent something after its start.
fn sends(case: Case, seed: u64) -> (Nanos, BTreeMap<ServerId, Vec<Nanos>>) {
    let settings = Deployment { gateways: case.gateways, ..deployment() };
    let pair = |n: u64| Endpoint { zone: ZoneId(0), ..entry(n, (n % 2) as usize, (n / 2) as i64) };
    let fleet: Vec<Endpoint> = (0..2 * case.readers).map(pair).collect();
    let mut chance = Rand64::new(seed.into());
    let start = |now, list: &[Endpoint], seed: u64| {
        let mut scheduler = Scheduler::new(now, settings.clone(), seed);
        scheduler.update_endpoints(now, SnapshotKind::Cached, list);
        scheduler
    };
    let mut schedulers: Vec<Scheduler> =
        (0..case.gateways as u64).map(|n| start(START, &fleet, seed + n)).collect();
    let told = START + 6000 * MS;
    let cold = |n: u64| Endpoint { started_at: told, ..pair(1000 + 2 * n) };
    let mut after: Vec<Endpoint> =
        fleet.iter().filter(|l| l.server.0 % 2 == 1 || l.server.0 >= 2 * case.new).cloned().collect();
    after.extend((0..case.new).map(|n| Endpoint { cell: CellId(n as i64), ..cold(n) }));
    let (mut now, mut changed, mut next_restart) = (START, false, told + 500 * MS);
    let mut sent_at: BTreeMap<ServerId, Vec<Nanos>> = BTreeMap::new();
    for id in 0.. {
        let rate = case.rates[usize::from(changed)];
        now += (-chance.rand_float().max(1e-12).ln() / rate * 1e9) as Nanos;
        if now > told + 8000 * MS {
            break;
        }
        if now >= told && !changed {
            changed = true;
            schedulers
                .iter_mut()
                .for_each(|scheduler| scheduler.update_endpoints(now, SnapshotKind::Full, &after));
        }
        if case.restarts && now >= next_restart {
            next_restart += 200 * MS;
            let at = chance.rand_range(0..case.gateways as u64) as usize;
            schedulers[at] = start(now, &after, seed + 10_000 + id);
        }
        // A fifth of the gateways get half of the traffic.
        let few = (case.gateways as u64).div_ceil(5);
        let most = if chance.rand_float() < 0.5 { few } else { case.gateways as u64 };
        let at = chance.rand_range(0..most) as usize;
        let mut sequence = Sequence { session: Some(SessionId(id)), ..new_sequence(id, 0, now) };
        if let Decision::Send(server) = schedulers[at].schedule(now, &mut sequence) {
            if server.0 >= 1000 {
                sent_at.entry(server).or_default().push(now);
            }
            close(&mut schedulers[at], now, &mut sequence, Outcome::PrefillDone { cached_tokens: 0.0 });
            sequence.completed = true;
        }
    }
    (told, sent_at)
}

/// The most that any cold server was sent in a window, over its budget for that window.
fn worst_window(case: Case, seed: u64) -> f64 {
    let (told, sends) = sends(case, seed);
    let each = case.rates[1].max(case.rates[0]) / case.readers as f64;
    let mut worst: f64 = 0.0;
    for sends in sends.values() {
        for (n, first) in sends.iter().enumerate() {
            let present = 0.3 + 0.7 * ((first - told) as f64 / COLD_FOR as f64).min(1.0);
            let allowed = 2.5 * present * each * WINDOW as f64 / 1e9;
            let count = sends[n..].iter().take_while(|at| **at < first + WINDOW).count() as f64;
            worst = worst.max(count / budget(allowed));
        }
    }
    worst
}

/// The fleet here is one zone: all of its readers come back cold at once, or half of them, while gateways restart and a
/// fifth of these takes half of the traffic.
#[test]
fn from_one_gateway_to_the_whole_fleet_of_them_no_cold_server_gets_more_than_its_budget() {
    for gateways in [1, 3, 30, 300, 990] {
        for (new, restarts, rates) in [
            (READERS, true, [150.0, 150.0]),
            (READERS / 2, true, [150.0, 300.0]),
            (READERS / 2, false, [24.0, 24.0]),
            (2, true, [600.0, 600.0]),
        ] {
            let case = Case { gateways, readers: READERS, new, restarts, rates };
            for seed in 0..3 {
                let worst = worst_window(case, seed * 10_000);
                assert!(worst <= 1.0, "{case:?} {seed}: {worst} of the budget");
            }
        }
    }
}

/// Past the size that is looked at whole.
#[test]
fn a_large_fleet_keeps_cold_servers_within_their_budget_and_uses_their_part() {
    for gateways in [3, 30, 300, 990] {
        for (new, restarts) in [(100, false), (50, true), (5, true)] {
            let case = Case { gateways, readers: 100, new, restarts, rates: [600.0, 800.0] };
            let worst = worst_window(case, 7);
            assert!(worst <= 1.0, "{case:?}: {worst} of the budget");
            // Of what their present capacity would carry of an even share.
            let even = new as f64 * 8.0 * (0.3 + 0.7 * 0.4) * 8.0;
            let all: usize = sends(case, 7).1.values().map(Vec::len).sum();
            assert!(all as f64 >= 0.3 * even || new == case.readers, "{case:?}: {all} of {even}");
        }
    }
}

#[test]
fn all_gateways_together_keep_cold_servers_within_their_budget_and_do_not_starve_them() {
    let cases = [3, 20, 30, 300].into_iter().flat_map(|gateways| {
        [
            (2, false, [150.0, 150.0]),
            (12, false, [150.0, 150.0]),
            (12, true, [150.0, 150.0]),
            (24, false, [150.0, 150.0]),
            (12, false, [100.0, 200.0]),
            (12, false, [24.0, 24.0]),
        ]
        .map(|(new, restarts, rates)| Case { gateways, readers: READERS, new, restarts, rates })
    });
    for case in cases {
        for seed in 0..3 {
            let (told, sends) = sends(case, seed * 1000);
            let each = case.rates[1].max(case.rates[0]) / case.readers as f64;
            for (server, sends) in &sends {
                for (n, first) in sends.iter().enumerate() {
                    let present = 0.3 + 0.7 * ((first - told) as f64 / COLD_FOR as f64).min(1.0);
                    let budget = 2.5 * present * each * WINDOW as f64 / 1e9;
                    let count = sends[n..].iter().take_while(|at| **at < first + WINDOW).count() as f64;
                    assert!(
                        count <= budget + 2.0 * budget.sqrt() + 2.0,
                        "{case:?} {seed} {server:?}: {count} of {budget}"
                    );
                }
            }
            // Of what their present capacity would carry of an even share.
            let even = case.new as f64 * each * (0.3 + 0.7 * 0.4) * 8.0;
            let all: usize = sends.values().map(Vec::len).sum();
            let least = if case.new == READERS || case.rates[0] < 100.0 { 0.0 } else { 0.3 };
            assert!(all as f64 >= least * even, "{case:?} {seed}: {all} of {even}");
        }
    }
}
