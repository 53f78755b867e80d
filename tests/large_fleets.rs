//! Decisions over fleets past the size that is looked at whole.

mod common;

use common::*;
use petrelshore::Scheduler;
use petrelshore::interface::*;

/// Cells of 20 servers, 5 of which are prefill servers, over seven zones.
fn large(servers: u64) -> Vec<Endpoint> {
    let endpoint = |n: u64| Endpoint {
        zone: ZoneId((n / 20 % 7) as usize),
        ..entry(n, usize::from(!n.is_multiple_of(4)), (n / 20) as i64)
    };
    (0..servers).map(endpoint).collect()
}

fn at_size(tenants: usize) -> Deployment {
    Deployment { gateways: 990, tenants: vec![Tenant { per_second: 100.0 }; tenants], ..deployment() }
}

/// A request of ever other sessions, texts and tenants.
fn request(id: u64, traffic: usize, tenants: usize, now: Nanos) -> Sequence {
    Sequence {
        session: Some(SessionId(id * 31)),
        prefix: Some(PrefixId(1 + id % 500)),
        prefix_tokens: 300.0,
        tenant: (tenants > 0).then(|| TenantId(id as usize % tenants)),
        ..new_sequence(id, traffic, now)
    }
}

/// A request whole, as far as it is sent; the most servers that one decision looked at.
fn serve(scheduler: &mut Scheduler, now: Nanos, sequence: &mut Sequence) -> u64 {
    let mut most = 0;
    while !sequence.completed {
        let before = scheduler.servers_examined();
        let answer = scheduler.schedule(now, sequence);
        most = most.max(scheduler.servers_examined() - before);
        let Decision::Send(_) = answer else { break };
        let n = sequence.attempts.len() - 1;
        let read = sequence.attempts[n].step == Step::Prefill;
        if !read {
            scheduler.first_token(now + 5 * MS, sequence, n);
        }
        let outcome = if read { Outcome::PrefillDone { cached_tokens: 0.0 } } else { Outcome::Completed };
        scheduler.attempt_finished(now + 5 * MS, sequence, n, outcome, !read);
    }
    most
}

/// The most servers that one decision looks at, after the first one.
fn most_examined(servers: u64, tenants: usize, cold: impl Fn(u64) -> bool) -> u64 {
    let mut list = large(servers);
    list.iter_mut().filter(|l| cold(l.server.0)).for_each(|l| l.started_at = START);
    let slow_start = Deployment { slow_start_duration: 1_000_000 * MS, ..at_size(tenants) };
    let mut scheduler = scheduler(slow_start, &list);
    serve(&mut scheduler, START, &mut request(0, 0, tenants, START));
    let served = (1..600).map(|id| {
        let now = START + id * 15 * MS;
        serve(&mut scheduler, now, &mut request(id, 0, tenants, now))
    });
    served.max().unwrap()
}

#[test]
fn a_decision_looks_at_a_bounded_number_of_servers_however_many_there_are() {
    // Where nobody is ready: candidates and four steps of 64 of prefill servers, the same of those that take requests
    // whole, and 256 of a survey.
    const BOUND: u64 = 2 * (30 + 4 * 64) + 256;
    for tenants in [0, 640] {
        for (name, cold) in [("none", 0), ("one in seven", 7), ("all", 1)] {
            let most = [1_000, 4_200, 10_000]
                .map(|servers| most_examined(servers, tenants, |n| cold > 0 && n.is_multiple_of(cold)));
            assert!(most.iter().all(|most| *most <= BOUND), "{name} cold, {tenants} tenants: {most:?}");
            assert!(most[2] <= most[0] + most[0] / 2, "{name} cold, {tenants} tenants: {most:?}");
        }
    }
    let scan = |servers| {
        let mut scheduler = Scheduler::scanning(START, at_size(0), 7);
        scheduler.update_endpoints(START, SnapshotKind::Full, &large(servers));
        serve(&mut scheduler, START, &mut request(0, 0, 0, START));
        serve(&mut scheduler, START + 300 * MS, &mut request(1, 0, 0, START + 300 * MS))
    };
    assert!(scan(4_200) > 4_200, "the count tells a look at all of them");
}

#[test]
fn a_ready_server_that_exists_is_found_although_none_that_is_named_is_ready() {
    let list = large(4_000);
    let mut scheduler = scheduler(at_size(0), &list);
    let last = ServerId(2_468);
    let (mut now, mut waits, mut found) = (START, Vec::new(), 0);
    for id in 0..8_000 {
        now += MS / 5;
        let mut sequence = request(id, 0, 0, now);
        match scheduler.schedule(now, &mut sequence) {
            Decision::Send(server) if server == last => {
                found += 1;
                close(&mut scheduler, now, &mut sequence, Outcome::PrefillDone { cached_tokens: 0.0 });
            }
            // All prefill servers but one refuse their connections, and are passed over for two seconds.
            Decision::Send(_) => {
                close(&mut scheduler, now, &mut sequence, Outcome::ConnectFailed);
            }
            Decision::Wait => waits.push(sequence),
            other => panic!("{other:?}"),
        }
    }
    assert!(found > 0, "the one that is ready is found while the others are tried");
    // What was held is asked about every 20 ms, and comes to the one within its time to be held.
    let mut held = waits.pop().expect("some are held while nobody is known to be ready");
    held.arrived_at = now;
    held.first_token_deadline = now + 4_000 * MS;
    let mut looks = 0;
    loop {
        looks += 1;
        match scheduler.schedule(now, &mut held) {
            Decision::Send(server) => break assert_eq!(server, last),
            answer => assert!(answer == Decision::Wait && looks < 25, "{answer:?} after {looks} looks"),
        }
        now += 20 * MS;
    }
}

#[test]
fn where_a_group_knows_the_repeats_a_further_attempt_stays_in_it() {
    let mut scheduler = scheduler(at_size(0), &large(4_200));
    let (mut further, mut now) = (0, START);
    for id in 0..300 {
        for traffic in [3, 4] {
            now += 20 * MS;
            let mut sequence = request(id * 2 + traffic as u64 % 2, traffic, 0, now);
            read(&mut scheduler, now, &mut sequence, 5 * MS);
            let first = sent(scheduler.schedule(now + 5 * MS, &mut sequence));
            close(&mut scheduler, now + 10 * MS, &mut sequence, Outcome::Error);
            if let Decision::Send(next) = scheduler.schedule(now + 10 * MS, &mut sequence) {
                further += 1;
                let [a, b] = [first, next].map(|server| server.0 / 20);
                assert!(if traffic == 3 { a == b } else { a % 7 == b % 7 }, "{first:?}, then {next:?}");
            }
        }
    }
    assert!(further > 300, "{further} further attempts");
}

#[test]
fn the_prefill_goes_to_the_zone_and_the_decode_stays_in_the_cell() {
    let mut scheduler = scheduler(at_size(0), &large(4_200));
    let (mut beside, mut here) = (0, 0);
    for id in 0..500 {
        let now = START + id * 15 * MS;
        let mut sequence = request(id, 0, 0, now);
        let reader = read(&mut scheduler, now, &mut sequence, 5 * MS);
        here += u64::from((reader.0 / 20).is_multiple_of(7));
        let writer = sent(scheduler.schedule(now + 5 * MS, &mut sequence));
        assert!(reader.0.is_multiple_of(4) && !writer.0.is_multiple_of(4));
        beside += u64::from(reader.0 / 20 == writer.0 / 20);
        close(&mut scheduler, now + 9 * MS, &mut sequence, Outcome::Completed);
    }
    assert!(
        here > 350 && beside > 450,
        "of 500: {here} in the own zone, {beside} decoded beside their prefill"
    );
}

#[test]
fn sessions_come_to_the_same_few_servers_from_every_gateway() {
    let mut schedulers: Vec<Scheduler> = (0..40)
        .map(|n| {
            let mut scheduler = Scheduler::new(START, at_size(0), n);
            scheduler.update_endpoints(START, SnapshotKind::Cached, &large(4_200));
            scheduler
        })
        .collect();
    let mut same = 0;
    for session in 0..50 {
        let mut readers = std::collections::BTreeMap::<ServerId, u64>::new();
        for scheduler in &mut schedulers {
            let mut sequence = Sequence { prefix: None, ..request(session, 0, 0, START) };
            *readers.entry(sent(scheduler.schedule(START, &mut sequence))).or_default() += 1;
        }
        same += readers.values().max().unwrap();
    }
    assert!(same > 50 * 40 / 2, "{same} of 2,000 requests at the server where most of their session's were");
}

#[test]
fn the_same_seed_decides_the_same_and_gateways_do_not_all_draw_alike() {
    let course = |seed: u64| -> Vec<ServerId> {
        let mut scheduler = Scheduler::new(START, at_size(64), seed);
        scheduler.update_endpoints(START, SnapshotKind::Full, &large(2_000));
        let served = (0..400).flat_map(|id| {
            let now = START + id * 10 * MS;
            let mut sequence = request(id, 0, 64, now);
            serve(&mut scheduler, now, &mut sequence);
            sequence.attempts.into_iter().map(|attempt| attempt.server).collect::<Vec<_>>()
        });
        served.collect()
    };
    assert!(course(1) == course(1) && course(1) != course(2));
}

#[test]
fn odd_lists_of_any_size_end_in_answers() {
    let twice: Vec<Endpoint> = large(5_000).into_iter().chain(large(5_000)).collect();
    let no_decode = large(4_200).into_iter().filter(|l| l.zone.0 != 0 || l.kind.0 == 0).collect();
    let no_prefill = large(4_200).into_iter().filter(|l| l.zone.0 != 0 || l.kind.0 == 1).collect();
    let one_cell = large(4_200).into_iter().map(|l| Endpoint { cell: CellId(0), ..l }).collect();
    let mixed = large(1_000).into_iter().map(|l| Endpoint { kind: ServerKindId(2), ..l }).collect();
    let served = |list: Vec<Endpoint>| -> usize {
        let mut scheduler = scheduler(at_size(640), &list);
        let answers = (0..200).map(|id| {
            let now = START + id * 15 * MS;
            let mut sequence = request(id, 0, 640, now);
            serve(&mut scheduler, now, &mut sequence);
            // What is held is given up in its time.
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
        answers.sum()
    };
    for list in [large(10_000), twice, no_decode, no_prefill, one_cell, mixed] {
        let servers = list.len();
        assert_eq!(served(list), 200, "{servers} entries");
    }
    let readers_only = large(4_200).into_iter().filter(|l| l.kind.0 == 0).collect();
    assert_eq!(served(readers_only) + served(vec![]), 0);
}
