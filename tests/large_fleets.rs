//! Decisions in fleets larger than the size up to which a decision examines all servers.

mod common;

use common::*;
use petrelshore::Scheduler;
use petrelshore::interface::*;

/// Returns cells of 20 servers each, 5 of them prefill servers, spread over seven zones.
fn large_fleet(servers: u64) -> Vec<Endpoint> {
    let endpoint = |n: u64| Endpoint {
        zone: ZoneId((n / 20 % 7) as usize),
        ..ready_endpoint(n, usize::from(!n.is_multiple_of(4)), (n / 20) as i64)
    };
    (0..servers).map(endpoint).collect()
}

/// Returns a deployment with many gateways.
fn large_deployment(tenants: usize) -> Deployment {
    Deployment { gateways: 990, tenants: vec![Tenant { per_second: 100.0 }; tenants], ..deployment() }
}

/// Returns a sequence with its own session, one of 500 shared prefixes and one of the tenants.
fn request(id: u64, traffic: usize, tenants: usize, now: Nanos) -> Sequence {
    Sequence {
        session: Some(SessionId(id * 31)),
        prefix: Some(PrefixId(1 + id % 500)),
        prefix_tokens: 300.0,
        tenant: (tenants > 0).then(|| TenantId(id as usize % tenants)),
        ..new_sequence(id, traffic, now)
    }
}

/// Runs a sequence until it is complete or a decision doesn't send it. Returns the largest number of servers that one
/// decision examined.
fn serve(scheduler: &mut Scheduler, now: Nanos, sequence: &mut Sequence) -> u64 {
    let mut max_examined = 0;
    while !sequence.completed {
        let before = scheduler.servers_examined();
        let decision = scheduler.schedule(now, sequence);
        max_examined = max_examined.max(scheduler.servers_examined() - before);
        let Decision::Send(_) = decision else { break };
        let n = sequence.attempts.len() - 1;
        let is_prefill = sequence.attempts[n].step == Step::Prefill;
        if !is_prefill {
            scheduler.first_token(now + 5 * MILLISECOND, sequence, n);
        }
        let outcome = if is_prefill { PREFILL_DONE } else { Outcome::Completed };
        scheduler.attempt_finished(now + 5 * MILLISECOND, sequence, n, outcome, !is_prefill);
    }
    max_examined
}

/// Returns the largest number of servers that one decision examines. The first sequence is not counted.
fn max_examined(servers: u64, tenants: usize, in_slow_start: impl Fn(u64) -> bool) -> u64 {
    let mut list = large_fleet(servers);
    list.iter_mut().filter(|e| in_slow_start(e.server.0)).for_each(|e| e.started_at = START);
    let slow_start = Deployment { slow_start_duration: 1_000_000 * MILLISECOND, ..large_deployment(tenants) };
    let mut scheduler = new_scheduler(slow_start, &list);
    serve(&mut scheduler, START, &mut request(0, 0, tenants, START));
    let served = (1..600).map(|id| {
        let now = START + id * 15 * MILLISECOND;
        serve(&mut scheduler, now, &mut request(id, 0, tenants, now))
    });
    served.max().unwrap()
}

#[test]
fn examined_servers_are_bounded_at_any_fleet_size() {
    // The worst case is a decision that finds no available server. It examines candidates and four batches of 64 among
    // the prefill servers, the same number among the combined servers, and 256 servers in a scan for quotas.
    const MAX_EXAMINED: u64 = 2 * (30 + 4 * 64) + 256;
    for tenants in [0, 640] {
        for (name, one_in) in [("none", 0), ("one in seven", 7), ("all", 1)] {
            let examined = [1_000, 4_200, 10_000]
                .map(|servers| max_examined(servers, tenants, |n| one_in > 0 && n.is_multiple_of(one_in)));
            assert!(
                examined.iter().all(|count| *count <= MAX_EXAMINED),
                "{name} in slow start, {tenants} tenants: {examined:?}"
            );
            assert!(
                examined[2] <= examined[0] + examined[0] / 2,
                "{name} in slow start, {tenants} tenants: {examined:?}"
            );
        }
    }
    let scan = |servers| {
        let mut scheduler = Scheduler::scanning(START, large_deployment(0), 7);
        scheduler.update_endpoints(START, SnapshotKind::Full, &large_fleet(servers));
        serve(&mut scheduler, START, &mut request(0, 0, 0, START));
        serve(&mut scheduler, START + 300 * MILLISECOND, &mut request(1, 0, 0, START + 300 * MILLISECOND))
    };
    assert!(scan(4_200) > 4_200, "the count must include the servers of a full scan");
}

#[test]
fn only_available_server_is_found_by_fallback_batches() {
    let list = large_fleet(4_000);
    let mut scheduler = new_scheduler(large_deployment(0), &list);
    let available = ServerId(2_468);
    let (mut now, mut waiting, mut found) = (START, Vec::new(), 0);
    for id in 0..8_000 {
        now += MILLISECOND / 5;
        let mut sequence = request(id, 0, 0, now);
        match scheduler.schedule(now, &mut sequence) {
            Decision::Send(server) if server == available => {
                found += 1;
                finish_last_attempt(&mut scheduler, now, &mut sequence, PREFILL_DONE);
            }
            // All prefill servers but one refuse connections, and each refusal ejects the server for two seconds.
            Decision::Send(_) => {
                finish_last_attempt(&mut scheduler, now, &mut sequence, Outcome::ConnectFailed);
            }
            Decision::Wait => waiting.push(sequence),
            other => panic!("neither sent nor waiting: {other:?}"),
        }
    }
    assert!(found > 0, "the available server must be found while the others are tried");
    // A waiting sequence is scheduled every 20 ms, and must be sent to the available server before its wait ends.
    let mut sequence =
        waiting.pop().expect("some sequences must wait while no server is known to be available");
    sequence.arrived_at = now;
    sequence.first_token_deadline = now + 4_000 * MILLISECOND;
    let mut calls = 0;
    loop {
        calls += 1;
        match scheduler.schedule(now, &mut sequence) {
            Decision::Send(server) => break assert_eq!(server, available),
            decision => assert!(
                decision == Decision::Wait && calls < 25,
                "{decision:?} after {calls} scheduling calls"
            ),
        }
        now += 20 * MILLISECOND;
    }
}

#[test]
fn retry_of_keyed_sequence_stays_in_its_scope() {
    let mut scheduler = new_scheduler(large_deployment(0), &large_fleet(4_200));
    let (mut retries, mut now) = (0, START);
    for id in 0..300 {
        for traffic in [3, 4] {
            now += 20 * MILLISECOND;
            let mut sequence = request(id * 2 + traffic as u64 % 2, traffic, 0, now);
            prefill(&mut scheduler, now, &mut sequence, 5 * MILLISECOND);
            let first = sent_to(scheduler.schedule(now + 5 * MILLISECOND, &mut sequence));
            finish_last_attempt(&mut scheduler, now + 10 * MILLISECOND, &mut sequence, Outcome::Error);
            if let Decision::Send(next) = scheduler.schedule(now + 10 * MILLISECOND, &mut sequence) {
                retries += 1;
                let [a, b] = [first, next].map(|server| server.0 / 20);
                assert!(
                    if traffic == 3 { a == b } else { a % 7 == b % 7 },
                    "first sent to {first:?}, then to {next:?}"
                );
            }
        }
    }
    assert!(retries > 300, "only {retries} retries");
}

#[test]
fn prefill_stays_in_zone_and_decode_in_cell() {
    let mut scheduler = new_scheduler(large_deployment(0), &large_fleet(4_200));
    let (mut in_cell, mut in_zone) = (0, 0);
    for id in 0..500 {
        let now = START + id * 15 * MILLISECOND;
        let mut sequence = request(id, 0, 0, now);
        let prefill_server = prefill(&mut scheduler, now, &mut sequence, 5 * MILLISECOND);
        in_zone += u64::from((prefill_server.0 / 20).is_multiple_of(7));
        let decode_server = sent_to(scheduler.schedule(now + 5 * MILLISECOND, &mut sequence));
        assert!(prefill_server.0.is_multiple_of(4) && !decode_server.0.is_multiple_of(4));
        in_cell += u64::from(prefill_server.0 / 20 == decode_server.0 / 20);
        finish_last_attempt(&mut scheduler, now + 9 * MILLISECOND, &mut sequence, Outcome::Completed);
    }
    assert!(
        in_zone > 350 && in_cell > 450,
        "of 500: {in_zone} prefilled in the gateway's zone, {in_cell} decoded in the cell of their prefill"
    );
}

#[test]
fn sessions_share_replicas_across_gateways() {
    let mut schedulers: Vec<Scheduler> = (0..40)
        .map(|n| {
            let mut scheduler = Scheduler::new(START, large_deployment(0), n);
            scheduler.update_endpoints(START, SnapshotKind::Cached, &large_fleet(4_200));
            scheduler
        })
        .collect();
    let mut at_main_server = 0;
    for session in 0..50 {
        let mut prefill_servers = std::collections::BTreeMap::<ServerId, u64>::new();
        for scheduler in &mut schedulers {
            let mut sequence = Sequence { prefix: None, ..request(session, 0, 0, START) };
            *prefill_servers.entry(sent_to(scheduler.schedule(START, &mut sequence))).or_default() += 1;
        }
        at_main_server += prefill_servers.values().max().unwrap();
    }
    assert!(
        at_main_server > 50 * 40 / 2,
        "only {at_main_server} of 2,000 requests were sent to their session's most frequent server"
    );
}

#[test]
fn decisions_follow_from_seed_and_differ_between_seeds() {
    let attempt_servers = |seed: u64| -> Vec<ServerId> {
        let mut scheduler = Scheduler::new(START, large_deployment(64), seed);
        scheduler.update_endpoints(START, SnapshotKind::Full, &large_fleet(2_000));
        let served = (0..400).flat_map(|id| {
            let now = START + id * 10 * MILLISECOND;
            let mut sequence = request(id, 0, 64, now);
            serve(&mut scheduler, now, &mut sequence);
            sequence.attempts.into_iter().map(|attempt| attempt.server).collect::<Vec<_>>()
        });
        served.collect()
    };
    assert!(attempt_servers(1) == attempt_servers(1) && attempt_servers(1) != attempt_servers(2));
}

#[test]
fn unusual_endpoint_lists_end_in_answers() {
    let twice: Vec<Endpoint> = large_fleet(5_000).into_iter().chain(large_fleet(5_000)).collect();
    let no_decode_in_zone =
        large_fleet(4_200).into_iter().filter(|e| e.zone.0 != 0 || e.kind.0 == 0).collect();
    let no_prefill_in_zone =
        large_fleet(4_200).into_iter().filter(|e| e.zone.0 != 0 || e.kind.0 == 1).collect();
    let one_cell = large_fleet(4_200).into_iter().map(|e| Endpoint { cell: CellId(0), ..e }).collect();
    let combined = large_fleet(1_000).into_iter().map(|e| Endpoint { kind: ServerKindId(2), ..e }).collect();
    let completed = |list: Vec<Endpoint>| -> usize {
        let mut scheduler = new_scheduler(large_deployment(640), &list);
        let sequences = (0..200).map(|id| {
            let now = START + id * 15 * MILLISECOND;
            let mut sequence = request(id, 0, 640, now);
            serve(&mut scheduler, now, &mut sequence);
            // A waiting sequence must get its final answer by its deadline.
            if !sequence.completed {
                sequence.first_token_deadline = now;
                assert!(!matches!(
                    scheduler.schedule(now, &mut sequence),
                    Decision::Send(_) | Decision::Wait
                ));
            }
            usize::from(
                sequence
                    .attempts
                    .last()
                    .is_some_and(|a| a.status == AttemptStatus::Finished(Outcome::Completed)),
            )
        });
        sequences.sum()
    };
    for list in [large_fleet(10_000), twice, no_decode_in_zone, no_prefill_in_zone, one_cell, combined] {
        let servers = list.len();
        assert_eq!(completed(list), 200, "with a list of {servers} entries");
    }
    let prefill_only = large_fleet(4_200).into_iter().filter(|e| e.kind.0 == 0).collect();
    assert_eq!(completed(prefill_only) + completed(vec![]), 0);
}
