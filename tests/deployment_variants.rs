//! Tests of deployments and events other than streamed answers from separate prefill and decode servers: buffered
//! answers, coarse timers, combined servers, tight limits and servers that change their role.

mod common;

use common::*;
use petrelshore::Scheduler;
use petrelshore::interface::*;

/// Returns the Retry-After of a `Reject` decision and fails the test on any other decision.
fn expect_rejection(decision: Decision) -> Option<Nanos> {
    match decision {
        Decision::Reject { retry_after, .. } => retry_after,
        other => panic!("not rejected: {other:?}"),
    }
}

/// Returns two cells with two combined servers each.
fn all_combined() -> Vec<Endpoint> {
    (0..4).map(|n| ready_endpoint(n, 2, (n / 2) as i64)).collect()
}

#[test]
fn completed_buffered_answer_releases_earlier_prefills() {
    for (delivery, releases) in [(Delivery::Buffered, true), (Delivery::Streamed, false)] {
        let mut settings = deployment();
        settings.types[0].delivery = delivery;
        let (mut scheduler, mut sequence) =
            (new_scheduler(settings, &two_cell_fleet()), new_sequence(1, 0, START));
        sent_to(scheduler.schedule(START, &mut sequence));
        finish_last_attempt(&mut scheduler, START + 500 * MILLISECOND, &mut sequence, Outcome::TimedOut);
        prefill(&mut scheduler, START + 500 * MILLISECOND, &mut sequence, 50 * MILLISECOND);
        sent_to(scheduler.schedule(START + 550 * MILLISECOND, &mut sequence));
        if delivery == Delivery::Streamed {
            scheduler.first_token(START + 600 * MILLISECOND, &mut sequence, 2);
        }
        let end =
            finish_last_attempt(&mut scheduler, START + 700 * MILLISECOND, &mut sequence, Outcome::Completed);
        assert_eq!(end, NextStep::Complete { release: releases }, "{delivery:?}");
    }
}

#[test]
fn buffered_answer_has_no_early_timeout_and_no_silence_verdict() {
    let mut settings = deployment();
    settings.types[0].delivery = Delivery::Buffered;
    let mut scheduler = new_scheduler(settings, &all_combined());
    for id in 0..12 {
        let mut answered = new_sequence(id, 2, START);
        sent_to(scheduler.schedule(START, &mut answered));
        scheduler.first_token(START + 20 * MILLISECOND, &mut answered, 0);
        finish_last_attempt(&mut scheduler, START + 30 * MILLISECOND, &mut answered, Outcome::Completed);
    }
    let (now, mut sequence) = (START + 40 * MILLISECOND, new_sequence(20, 0, START + 40 * MILLISECOND));
    let server = sent_to(scheduler.schedule(now, &mut sequence));
    assert_eq!(scheduler.next_timeout(now, &sequence), sequence.first_token_deadline - now);
    // The gateway has seen no token for a second, which is usual for a buffered answer. The server must still get
    // traffic, although it has one more sequence in flight than the others.
    let mut selected: Vec<ServerId> = Vec::new();
    for id in 30..34 {
        let mut sequence = new_sequence(id, 2, now + 1000 * MILLISECOND);
        selected.push(sent_to(scheduler.schedule(now + 1000 * MILLISECOND, &mut sequence)));
        scheduler.first_token(now + 1001 * MILLISECOND, &mut sequence, 0);
    }
    assert!(selected.contains(&server), "sent to {selected:?}, but not to {server:?}");
}

#[test]
fn coarse_timer_reschedules_before_client_deadline() {
    for resolution in [4 * MILLISECOND, 15 * MILLISECOND, 60 * MILLISECOND, 200 * MILLISECOND] {
        for budget in (20..400).step_by(7) {
            let mut scheduler =
                new_scheduler(Deployment { timer_resolution: resolution, ..deployment() }, &[]);
            let (mut now, mut sequence) = (START, new_sequence(1, 0, START));
            sequence.first_token_deadline = START + budget * MILLISECOND;
            while scheduler.schedule(now, &mut sequence) == Decision::Wait {
                now += scheduler.next_timeout(now, &sequence) + resolution - 1;
            }
            assert!(
                now < sequence.first_token_deadline,
                "timer resolution {resolution} ns, client time {budget} ms"
            );
        }
    }
}

#[test]
fn wait_without_servers_ends_at_half_the_client_time() {
    let (mut scheduler, mut now) = (new_scheduler(deployment(), &[]), START);
    let mut sequence = new_sequence(1, 0, START);
    sequence.first_token_deadline = START + 400 * MILLISECOND;
    while scheduler.schedule(now, &mut sequence) == Decision::Wait {
        now += scheduler.next_timeout(now, &sequence);
    }
    assert!(
        now <= START + 220 * MILLISECOND,
        "the wait must end after half of the client's time, which is shorter than the latency objective"
    );
}

#[test]
fn sequence_without_enough_attempts_is_rejected_at_once() {
    // An answer needs a prefill attempt and a decode attempt here, as no server kind is combined.
    let two_kinds = vec![deployment().kinds[0].clone(), deployment().kinds[1].clone()];
    let one_attempt = Deployment { max_attempts: 1, kinds: two_kinds.clone(), ..deployment() };
    expect_rejection(
        new_scheduler(one_attempt.clone(), &two_cell_fleet()).schedule(START, &mut new_sequence(1, 0, START)),
    );
    let combined = Deployment { decode_servers_prefill: true, ..one_attempt };
    let mut sequence = new_sequence(1, 0, START);
    let decode_server = sent_to(new_scheduler(combined, &two_cell_fleet()).schedule(START, &mut sequence));
    assert!(!decode_server.0.is_multiple_of(3) && sequence.attempts[0].step == Step::Combined);
    // The KV cache is lost, and only one attempt is left.
    let three_attempts = Deployment { max_attempts: 3, kinds: two_kinds, ..deployment() };
    let (mut scheduler, mut sequence) =
        (new_scheduler(three_attempts, &two_cell_fleet()), new_sequence(1, 0, START));
    prefill(&mut scheduler, START, &mut sequence, 10 * MILLISECOND);
    sent_to(scheduler.schedule(START + 10 * MILLISECOND, &mut sequence));
    finish_last_attempt(&mut scheduler, START + 20 * MILLISECOND, &mut sequence, Outcome::KvCacheMissing);
    expect_rejection(scheduler.schedule(START + 20 * MILLISECOND, &mut sequence));
}

#[test]
fn keyed_sequence_and_its_retry_after_end_with_the_window() {
    for (traffic, before_end, at_end) in [(2, 1900, 2000), (3, 1999, 2000)] {
        let (mut scheduler, mut sequence) =
            (new_scheduler(deployment(), &two_cell_fleet()), new_sequence(1, traffic, START));
        sequence.first_token_deadline = START + 9000 * MILLISECOND;
        prefill(&mut scheduler, START, &mut sequence, 0);
        let decode_server = sent_to(scheduler.schedule(START, &mut sequence));
        finish_last_attempt(&mut scheduler, START + 100 * MILLISECOND, &mut sequence, Outcome::Error);
        let mut sequence_at_end = sequence.clone();
        // All servers drain, so the sequence can't be sent before its window ends.
        let draining: Vec<Endpoint> = two_cell_fleet()
            .iter()
            .map(|e| Endpoint { state: EndpointState::Draining, ..e.clone() })
            .collect();
        scheduler.update_endpoints(START + 100 * MILLISECOND, SnapshotKind::Delta, &draining);
        let decision = scheduler.schedule(START + before_end * MILLISECOND, &mut sequence);
        if traffic == 2 {
            let retry_after = expect_rejection(decision).unwrap();
            assert!(
                before_end * MILLISECOND + retry_after < 2000 * MILLISECOND,
                "a retry after {retry_after} ns is past the window"
            );
        }
        scheduler.update_endpoints(START + 200 * MILLISECOND, SnapshotKind::Delta, &two_cell_fleet());
        assert!(
            scheduler.schedule(START + at_end * MILLISECOND, &mut sequence_at_end)
                == Decision::Abort { release: true },
            "not aborted at the end of the window, first sent to {decode_server:?}"
        );
    }
}

#[test]
fn short_release_timeout_still_allows_decode() {
    for release_timeout in [30 * MILLISECOND, 60 * MILLISECOND, 100 * MILLISECOND] {
        let mut scheduler = new_scheduler(Deployment { release_timeout, ..deployment() }, &two_cell_fleet());
        let mut sequence = new_sequence(1, 0, START);
        prefill(&mut scheduler, START, &mut sequence, 50 * MILLISECOND);
        sent_to(scheduler.schedule(START + 50 * MILLISECOND, &mut sequence));
    }
}

#[test]
fn prefill_slow_start_budget_ignores_combined_traffic() {
    let mut list: Vec<Endpoint> = (2..6).map(|n| ready_endpoint(n, 2, 0)).collect();
    list.extend([ready_endpoint(0, 0, 0), ready_endpoint(1, 0, 0), ready_endpoint(6, 1, 0)]);
    let (mut scheduler, mut prefills, mut in_slow_start) =
        (new_scheduler(deployment(), &list), 0, Vec::new());
    // At first combined servers take nine of ten sequences. These must not count as traffic of the prefill servers.
    for id in 0..400u64 {
        let now = START + id * 20 * MILLISECOND;
        let busy = id % 10 == 0 || id >= 200;
        for combined in 2..6 {
            let share = if busy { 0.9 } else { 0.0 };
            scheduler.load_reported(now, ServerId(combined), memory_report(share));
        }
        scheduler.load_reported(now, ServerId(6), memory_report(0.5));
        if id == 200 {
            scheduler.update_endpoints(
                now,
                SnapshotKind::Delta,
                &[
                    Endpoint { started_at: now, ..ready_endpoint(0, 0, 0) },
                    Endpoint { state: EndpointState::Gone, ..ready_endpoint(1, 0, 0) },
                ],
            );
        }
        let mut sequence = new_sequence(id, 0, now);
        let Decision::Send(server) = scheduler.schedule(now, &mut sequence) else { continue };
        if sequence.attempts[0].step == Step::Combined {
            scheduler.first_token(now, &mut sequence, 0);
            finish_last_attempt(&mut scheduler, now + MILLISECOND, &mut sequence, Outcome::Completed);
            continue;
        }
        prefills += u64::from(id < 200);
        in_slow_start.extend((id >= 200 && server == ServerId(0)).then_some(now));
        finish_last_attempt(&mut scheduler, now + MILLISECOND, &mut sequence, PREFILL_DONE);
        if let Decision::Send(_) = scheduler.schedule(now + MILLISECOND, &mut sequence) {
            scheduler.first_token(now + MILLISECOND, &mut sequence, 1);
            finish_last_attempt(&mut scheduler, now + 2 * MILLISECOND, &mut sequence, Outcome::Completed);
        }
    }
    assert!((15..40).contains(&prefills), "{prefills} prefills in the first four seconds");
    let max_sends = max_in_window(&in_slow_start, 1500 * MILLISECOND);
    // The prefills of both servers in a window, times the overload factor and the initial capacity share.
    let budget = 2.5 * 0.3 * (prefills as f64 / 4.0) * 1.5;
    assert!(
        max_sends.is_some_and(|max| max as f64 <= budget + 1.0),
        "{max_sends:?} sends in a window, budget {budget}"
    );
}

#[test]
fn kv_cache_stays_in_cell_where_only_combined_servers_decode() {
    let list =
        [ready_endpoint(0, 0, 0), ready_endpoint(1, 2, 0), ready_endpoint(2, 0, 1), ready_endpoint(3, 2, 1)]
            .map(|e| Endpoint { zone: ZoneId(0), ..e });
    let mut scheduler = new_scheduler(deployment(), &list);
    for id in 0..8 {
        let mut sequence = new_sequence(id, 0, START);
        // Both combined servers also prefill. The combined server in the other cell has a slightly lower load.
        for combined in [1, 3] {
            let share = if combined == 3 { 0.3 } else { 0.4 };
            scheduler.load_reported(START, ServerId(combined), memory_report(share));
        }
        sequence.attempts.push(Attempt {
            server: ServerId(0),
            sent_at: START,
            step: Step::Prefill,
            status: AttemptStatus::Finished(PREFILL_DONE),
            delivered: true,
            load_tokens: 0.0,
            expected_cached_tokens: 0.0,
        });
        (sequence.kv_cache, sequence.cache_held_since) =
            (Some(KvCacheLocation { server: ServerId(0), since: START }), Some(START));
        assert_eq!(sent_to(scheduler.schedule(START, &mut sequence)), ServerId(1));
        scheduler.first_token(START, &mut sequence, 1);
        finish_last_attempt(&mut scheduler, START, &mut sequence, Outcome::Completed);
    }
}

#[test]
fn relisted_server_serves_its_new_kind() {
    let (mut scheduler, mut first) = (
        new_scheduler(deployment(), &[ready_endpoint(0, 0, 0), ready_endpoint(1, 1, 0)]),
        new_sequence(1, 0, START),
    );
    prefill(&mut scheduler, START, &mut first, 10 * MILLISECOND);
    scheduler.update_endpoints(
        START,
        SnapshotKind::Delta,
        &[ready_endpoint(0, 1, 0), ready_endpoint(1, 0, 0)],
    );
    assert_eq!(
        sent_to(scheduler.schedule(START + 10 * MILLISECOND, &mut first)),
        ServerId(0),
        "server 0 is a decode server now"
    );
    let mut sequence = new_sequence(2, 1, START + 10 * MILLISECOND);
    assert_eq!(sent_to(scheduler.schedule(START + 10 * MILLISECOND, &mut sequence)), ServerId(1));
    assert_eq!(sequence.attempts[0].step, Step::Prefill);
}

#[test]
fn failed_endpoint_polls_always_back_off() {
    let mut scheduler = Scheduler::new(
        START,
        Deployment { max_poll_interval: 0, discovery: Discovery::Polled, ..deployment() },
        7,
    );
    assert!((0..10).all(|_| scheduler.endpoint_poll_failed() >= 20 * MILLISECOND));
}

#[test]
fn losing_the_last_server_of_a_role_moves_the_sequence_elsewhere() {
    let kind_mixes: [&[usize]; 4] = [&[0, 1], &[0, 2], &[0, 1, 2], &[2]];
    for kinds in kind_mixes {
        let list: Vec<Endpoint> = (0..2)
            .flat_map(|cell| {
                kinds.iter().map(move |kind| ready_endpoint((cell * 3 + kind) as u64, *kind, cell as i64))
            })
            .collect();
        for lost_kind in 0..3 {
            let (mut scheduler, mut sequence) =
                (new_scheduler(deployment(), &list), new_sequence(1, 0, START));
            let first = sent_to(scheduler.schedule(START, &mut sequence));
            let cell = first.0 / 3;
            let gone = Endpoint {
                state: EndpointState::Gone,
                ..ready_endpoint(cell * 3 + lost_kind, lost_kind as usize, cell as i64)
            };
            scheduler.update_endpoints(START, SnapshotKind::Delta, &[gone]);
            let is_prefill = sequence.attempts[0].step == Step::Prefill;
            finish_last_attempt(
                &mut scheduler,
                START + 10 * MILLISECOND,
                &mut sequence,
                if is_prefill { PREFILL_DONE } else { Outcome::Reset },
            );
            let next = sent_to(scheduler.schedule(START + 10 * MILLISECOND, &mut sequence));
            assert_ne!(
                next,
                ServerId(cell * 3 + lost_kind),
                "server kinds {kinds:?}, without the server of kind {lost_kind} in cell {cell}"
            );
        }
    }
}

#[test]
fn unreported_load_ranks_as_mean_of_reported_loads() {
    let list =
        [ready_endpoint(0, 0, 0), ready_endpoint(1, 1, 0), ready_endpoint(2, 1, 0), ready_endpoint(3, 1, 0)];
    let selected = |first_share: f64, second_share: f64| {
        let mut scheduler = new_scheduler(deployment(), &list);
        for (decode_server, share) in [(1, first_share), (2, second_share)] {
            scheduler.load_reported(START, ServerId(decode_server), memory_report(share));
        }
        let mut sequence = new_sequence(1, 0, START);
        prefill(&mut scheduler, START, &mut sequence, 0);
        sent_to(scheduler.schedule(START, &mut sequence))
    };
    assert_eq!(selected(0.2, 0.6), ServerId(1), "server 3 reports no load, and must not rank as empty");
    assert_eq!(selected(1.0, 1.0), ServerId(3), "server 3 must not count as full because the others are");
    // Without any reports, only this gateway's own attempts count as load.
    let (mut scheduler, mut decode_servers) = (new_scheduler(deployment(), &list), [0; 4]);
    for id in 0..9 {
        let mut sequence = new_sequence(id, 0, START);
        prefill(&mut scheduler, START, &mut sequence, 0);
        decode_servers[sent_to(scheduler.schedule(START, &mut sequence)).0 as usize] += 1;
    }
    assert_eq!(decode_servers, [0, 3, 3, 3]);
}

/// Runs a sequence through every path of attempt outcomes up to its final answer, and calls `check` with the sequence
/// and its last decision.
fn for_each_outcome_path(
    settings: &Deployment,
    list: &[Endpoint],
    traffic: usize,
    check: &mut impl FnMut(&Sequence, Decision),
) {
    use Outcome::{
        AtCapacity, ConnectFailed, Error, KvCacheMissing, NeverSent, PrefillDone, Reset, TimedOut,
    };
    let outcomes =
        [Error, AtCapacity, KvCacheMissing, TimedOut, ConnectFailed, Reset, NeverSent, PREFILL_DONE];
    let mut paths: Vec<Vec<Outcome>> = vec![Vec::new()];
    while let Some(path) = paths.pop() {
        let (mut scheduler, mut sequence, mut now) =
            (new_scheduler(settings.clone(), list), new_sequence(1, traffic, START), START);
        let mut decision = scheduler.schedule(now, &mut sequence);
        for outcome in &path {
            // A reset is caused by a restart of the server.
            if *outcome == Reset {
                let server = sequence.attempts[sequence.attempts.len() - 1].server;
                let listed = list.iter().find(|e| e.server == server).unwrap();
                scheduler.update_endpoints(
                    now,
                    SnapshotKind::Delta,
                    &[Endpoint { started_at: now, ..listed.clone() }],
                );
            }
            now += 10 * MILLISECOND;
            finish_last_attempt(&mut scheduler, now, &mut sequence, *outcome);
            decision = scheduler.schedule(now, &mut sequence);
            while decision == Decision::Wait {
                now += scheduler.next_timeout(now, &sequence);
                decision = scheduler.schedule(now, &mut sequence);
            }
        }
        if !matches!(decision, Decision::Send(_)) {
            check(&sequence, decision);
            continue;
        }
        let is_prefill = sequence.attempts[sequence.attempts.len() - 1].step == Step::Prefill;
        let fits = |outcome: &&Outcome| match outcome {
            PrefillDone { .. } => is_prefill,
            KvCacheMissing => !is_prefill,
            _ => true,
        };
        paths.extend(outcomes.iter().filter(fits).map(|outcome| [&path[..], &[*outcome]].concat()));
    }
}

#[test]
fn at_most_once_sequence_has_one_possible_run_on_every_course() {
    use Outcome::{Error, Reset, TimedOut};
    let may_have_run = |a: &&Attempt| {
        a.step != Step::Prefill && matches!(a.status, AttemptStatus::Finished(Error | TimedOut | Reset))
    };
    let mut answer_counts = [0; 2];
    for (list, max_attempts) in [(two_cell_fleet(), 4), (all_combined(), 3), (all_combined(), 1)] {
        let settings = Deployment { max_attempts, ..deployment() };
        for_each_outcome_path(&settings, &list, 1, &mut |sequence, decision| {
            let possible_runs = sequence.attempts.iter().filter(may_have_run).count();
            let last = sequence.attempts.last().unwrap();
            assert!(
                possible_runs <= 1 && (possible_runs == 0 || may_have_run(&last)),
                "sent again after a possible run: {:?}",
                sequence.attempts
            );
            assert!(sequence.attempts.len() <= max_attempts);
            match decision {
                Decision::Reject { .. } => {
                    assert_eq!(possible_runs, 0, "rejected after a possible run: {:?}", sequence.attempts)
                }
                _ => assert_eq!(
                    possible_runs, 1,
                    "not rejected without a possible run: {:?}",
                    sequence.attempts
                ),
            }
            answer_counts[possible_runs] += 1;
        });
    }
    assert!(
        answer_counts.iter().all(|count| *count > 50),
        "too few answers without or with a possible run: {answer_counts:?}"
    );
}

#[test]
fn simultaneous_start_keeps_slow_start_budget() {
    for gateways in [20, 274] {
        let list: Vec<Endpoint> = (0..8)
            .map(|n| Endpoint {
                started_at: if n % 4 == 0 { START } else { 0 },
                ..ready_endpoint(n, usize::from(n > 3), 0)
            })
            .collect();
        let settings = Deployment { gateways, ..deployment() };
        let mut schedulers: Vec<Scheduler> = (0..gateways)
            .map(|seed| {
                let mut scheduler = Scheduler::new(START, settings.clone(), seed as u64);
                scheduler.update_endpoints(START, SnapshotKind::Cached, &list);
                scheduler
            })
            .collect();
        let (gap, mut sends) = (4 * MILLISECOND, [Vec::new(), Vec::new()]);
        for id in 0..2000u64 {
            let (now, gateway) = (START + id * gap, (id * 101 % gateways as u64) as usize);
            let mut sequence = new_sequence(id, 0, now);
            sequence.session = None;
            while let Decision::Send(server) = schedulers[gateway].schedule(now, &mut sequence) {
                let is_prefill = sequence.attempts[sequence.attempts.len() - 1].step == Step::Prefill;
                if server.0.is_multiple_of(4) {
                    sends[usize::from(!is_prefill)].push(now);
                }
                finish_last_attempt(
                    &mut schedulers[gateway],
                    now,
                    &mut sequence,
                    if is_prefill { PREFILL_DONE } else { Outcome::Completed },
                );
            }
        }
        // One of four prefill servers and one of four decode servers started at the same time as the gateways.
        let budget = 2.5 * 0.3 * 1.5 * (1e9 / gap as f64 / 4.0);
        for sends in sends {
            let max_sends = max_in_window(&sends, 1500 * MILLISECOND);
            assert!(
                max_sends.is_some_and(|max| max as f64 <= budget),
                "{gateways} gateways: {max_sends:?} sends in a window, budget {budget}"
            );
        }
    }
}
