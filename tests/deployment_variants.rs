//! Deployments of other builds: what settings may say beside readers, writers and streamed answers.

mod common;

use common::*;
use petrelshore::Scheduler;
use petrelshore::interface::*;

fn rejected(answer: Decision) -> Option<Nanos> {
    match answer {
        Decision::Reject { retry_after, .. } => retry_after,
        other => panic!("not rejected: {other:?}"),
    }
}

/// Mixed servers alone, in two cells.
fn all_mixed() -> Vec<Endpoint> {
    (0..4).map(|n| entry(n, 2, (n / 2) as i64)).collect()
}

#[test]
fn the_end_of_an_answer_that_comes_whole_lets_go_of_what_earlier_reads_left() {
    for (delivery, lets_go) in [(Delivery::Buffered, true), (Delivery::Streamed, false)] {
        let mut settings = deployment();
        settings.types[0].delivery = delivery;
        let (mut scheduler, mut sequence) = (scheduler(settings, &fleet()), new_sequence(1, 0, START));
        sent(scheduler.schedule(START, &mut sequence));
        close(&mut scheduler, START + 500 * MS, &mut sequence, Outcome::TimedOut);
        read(&mut scheduler, START + 500 * MS, &mut sequence, 50 * MS);
        sent(scheduler.schedule(START + 550 * MS, &mut sequence));
        if delivery == Delivery::Streamed {
            scheduler.first_token(START + 600 * MS, &mut sequence, 2);
        }
        let end = close(&mut scheduler, START + 700 * MS, &mut sequence, Outcome::Completed);
        assert_eq!(end, NextStep::Complete { release: lets_go }, "{delivery:?}");
    }
}

#[test]
fn an_answer_that_comes_whole_has_its_clients_time_and_its_server_is_not_taken_for_silent() {
    let mut settings = deployment();
    settings.types[0].delivery = Delivery::Buffered;
    let mut scheduler = scheduler(settings, &all_mixed());
    for id in 0..12 {
        let mut known = new_sequence(id, 2, START);
        sent(scheduler.schedule(START, &mut known));
        scheduler.first_token(START + 20 * MS, &mut known, 0);
        close(&mut scheduler, START + 30 * MS, &mut known, Outcome::Completed);
    }
    let (now, mut sequence) = (START + 40 * MS, new_sequence(20, 0, START + 40 * MS));
    let server = sent(scheduler.schedule(now, &mut sequence));
    assert_eq!(scheduler.next_timeout(now, &sequence), sequence.first_token_deadline - now);
    // A second later nothing has shown; its server still takes its part, one stream behind the others.
    let mut next: Vec<ServerId> = Vec::new();
    for id in 30..34 {
        let mut sequence = new_sequence(id, 2, now + 1000 * MS);
        next.push(sent(scheduler.schedule(now + 1000 * MS, &mut sequence)));
        scheduler.first_token(now + 1001 * MS, &mut sequence, 0);
    }
    assert!(next.contains(&server), "{next:?} without {server:?}");
}

#[test]
fn a_look_that_comes_a_tick_late_still_comes_before_the_clients_time_is_up() {
    for tick in [4 * MS, 15 * MS, 60 * MS, 200 * MS] {
        for budget in (20..400).step_by(7) {
            let mut scheduler = scheduler(Deployment { timer_resolution: tick, ..deployment() }, &[]);
            let (mut now, mut sequence) = (START, new_sequence(1, 0, START));
            sequence.first_token_deadline = START + budget * MS;
            while scheduler.schedule(now, &mut sequence) == Decision::Wait {
                now += scheduler.next_timeout(now, &sequence) + tick - 1;
            }
            assert!(now < sequence.first_token_deadline, "{tick} {budget}");
        }
    }
}

#[test]
fn a_sequence_is_not_held_till_its_clients_short_time_is_nearly_up() {
    let (mut scheduler, mut now) = (scheduler(deployment(), &[]), START);
    let mut sequence = new_sequence(1, 0, START);
    sequence.first_token_deadline = START + 400 * MS;
    while scheduler.schedule(now, &mut sequence) == Decision::Wait {
        now += scheduler.next_timeout(now, &sequence);
    }
    assert!(now <= START + 220 * MS, "half of its time, not of its SLO");
}

#[test]
fn what_too_few_attempts_have_decided_is_answered_at_once_and_not_held() {
    // A read alone can't end in an answer, and no kind here does both.
    let two = vec![deployment().kinds[0].clone(), deployment().kinds[1].clone()];
    let one = Deployment { max_attempts: 1, kinds: two.clone(), ..deployment() };
    rejected(scheduler(one.clone(), &fleet()).schedule(START, &mut new_sequence(1, 0, START)));
    let whole = Deployment { decode_servers_prefill: true, ..one };
    let mut sequence = new_sequence(1, 0, START);
    let writer = sent(scheduler(whole, &fleet()).schedule(START, &mut sequence));
    assert!(!writer.0.is_multiple_of(3) && sequence.attempts[0].step == Step::Combined);
    // The state is gone, and one attempt is left.
    let three = Deployment { max_attempts: 3, kinds: two, ..deployment() };
    let (mut scheduler, mut sequence) = (scheduler(three, &fleet()), new_sequence(1, 0, START));
    read(&mut scheduler, START, &mut sequence, 10 * MS);
    sent(scheduler.schedule(START + 10 * MS, &mut sequence));
    close(&mut scheduler, START + 20 * MS, &mut sequence, Outcome::KvCacheMissing);
    rejected(scheduler.schedule(START + 20 * MS, &mut sequence));
}

#[test]
fn a_tokened_sequence_ends_with_its_window_and_sends_no_client_past_it() {
    for (traffic, first, second) in [(2, 1900, 2000), (3, 1999, 2000)] {
        let (mut scheduler, mut sequence) =
            (scheduler(deployment(), &fleet()), new_sequence(1, traffic, START));
        sequence.first_token_deadline = START + 9000 * MS;
        read(&mut scheduler, START, &mut sequence, 0);
        let writer = sent(scheduler.schedule(START, &mut sequence));
        close(&mut scheduler, START + 100 * MS, &mut sequence, Outcome::Error);
        let mut late = sequence.clone();
        // Nothing that may take it is left, until its window is over.
        let gone: Vec<Endpoint> =
            fleet().iter().map(|l| Endpoint { state: EndpointState::Draining, ..l.clone() }).collect();
        scheduler.update_endpoints(START + 100 * MS, SnapshotKind::Delta, &gone);
        let in_time = scheduler.schedule(START + first * MS, &mut sequence);
        if traffic == 2 {
            let pause = rejected(in_time).unwrap();
            assert!(first * MS + pause < 2000 * MS, "comes back {pause} later");
        }
        scheduler.update_endpoints(START + 200 * MS, SnapshotKind::Delta, &fleet());
        assert!(
            scheduler.schedule(START + second * MS, &mut late) == Decision::Abort { release: true },
            "{writer:?}"
        );
    }
}

#[test]
fn a_time_to_release_that_is_hardly_longer_than_a_look_still_lets_states_be_sent_on() {
    for release_within in [30 * MS, 60 * MS, 100 * MS] {
        let mut scheduler =
            scheduler(Deployment { release_timeout: release_within, ..deployment() }, &fleet());
        let mut sequence = new_sequence(1, 0, START);
        read(&mut scheduler, START, &mut sequence, 50 * MS);
        sent(scheduler.schedule(START + 50 * MS, &mut sequence));
    }
}

#[test]
fn a_cold_reader_beside_mixed_servers_gets_its_part_of_what_readers_read() {
    let mut list: Vec<Endpoint> = (2..6).map(|n| entry(n, 2, 0)).collect();
    list.extend([entry(0, 0, 0), entry(1, 0, 0), entry(6, 1, 0)]);
    let (mut scheduler, mut reads, mut cold) = (scheduler(deployment(), &list), 0, Vec::new());
    // Of nine in ten sequences that mixed servers take whole, readers know nothing.
    for id in 0..400u64 {
        let now = START + id * 20 * MS;
        let busy = id % 10 == 0 || id >= 200;
        for mixed in 2..6 {
            let share = if busy { 0.9 } else { 0.0 };
            scheduler.load_reported(
                now,
                ServerId(mixed),
                LoadReport { memory_share: Some(share), ..LoadReport::default() },
            );
        }
        scheduler.load_reported(
            now,
            ServerId(6),
            LoadReport { memory_share: Some(0.5), ..LoadReport::default() },
        );
        if id == 200 {
            scheduler.update_endpoints(
                now,
                SnapshotKind::Delta,
                &[
                    Endpoint { started_at: now, ..entry(0, 0, 0) },
                    Endpoint { state: EndpointState::Gone, ..entry(1, 0, 0) },
                ],
            );
        }
        let mut sequence = new_sequence(id, 0, now);
        let Decision::Send(server) = scheduler.schedule(now, &mut sequence) else { continue };
        if sequence.attempts[0].step == Step::Combined {
            scheduler.first_token(now, &mut sequence, 0);
            close(&mut scheduler, now + MS, &mut sequence, Outcome::Completed);
            continue;
        }
        reads += u64::from(id < 200);
        cold.extend((id >= 200 && server == ServerId(0)).then_some(now));
        close(&mut scheduler, now + MS, &mut sequence, Outcome::PrefillDone { cached_tokens: 0.0 });
        if let Decision::Send(_) = scheduler.schedule(now + MS, &mut sequence) {
            scheduler.first_token(now + MS, &mut sequence, 1);
            close(&mut scheduler, now + 2 * MS, &mut sequence, Outcome::Completed);
        }
    }
    assert!((15..40).contains(&reads), "{reads} reads in four seconds before");
    let most = cold.iter().map(|t| cold.iter().filter(|o| *o >= t && **o < t + 1500 * MS).count()).max();
    // What both readers read in a window, times the multiple and the share at the start.
    let budget = 2.5 * 0.3 * (reads as f64 / 4.0) * 1.5;
    assert!(most.is_some_and(|most| most as f64 <= budget + 1.0), "{most:?} of {budget}");
}

#[test]
fn where_mixed_servers_write_alone_a_state_stays_in_its_cell() {
    let list = [entry(0, 0, 0), entry(1, 2, 0), entry(2, 0, 1), entry(3, 2, 1)]
        .map(|l| Endpoint { zone: ZoneId(0), ..l });
    let mut scheduler = scheduler(deployment(), &list);
    for id in 0..8 {
        let mut sequence = new_sequence(id, 0, START);
        // Both mixed servers are reading; the one elsewhere holds somewhat less.
        for mixed in [1, 3] {
            let share = if mixed == 3 { 0.3 } else { 0.4 };
            scheduler.load_reported(
                START,
                ServerId(mixed),
                LoadReport { memory_share: Some(share), ..LoadReport::default() },
            );
        }
        sequence.attempts.push(Attempt {
            server: ServerId(0),
            sent_at: START,
            step: Step::Prefill,
            status: AttemptStatus::Finished(Outcome::PrefillDone { cached_tokens: 0.0 }),
            delivered: true,
            load_tokens: 0.0,
            expected_cached_tokens: 0.0,
        });
        (sequence.kv_cache, sequence.cache_held_since) =
            (Some(KvCacheLocation { server: ServerId(0), since: START }), Some(START));
        assert_eq!(sent(scheduler.schedule(START, &mut sequence)), ServerId(1));
        scheduler.first_token(START, &mut sequence, 1);
        close(&mut scheduler, START, &mut sequence, Outcome::Completed);
    }
}

#[test]
fn a_server_that_is_listed_as_another_kind_serves_as_that_from_then_on() {
    let (mut scheduler, mut first) =
        (scheduler(deployment(), &[entry(0, 0, 0), entry(1, 1, 0)]), new_sequence(1, 0, START));
    read(&mut scheduler, START, &mut first, 10 * MS);
    scheduler.update_endpoints(START, SnapshotKind::Delta, &[entry(0, 1, 0), entry(1, 0, 0)]);
    assert_eq!(sent(scheduler.schedule(START + 10 * MS, &mut first)), ServerId(0), "the one that writes now");
    let mut sequence = new_sequence(2, 1, START + 10 * MS);
    assert_eq!(sent(scheduler.schedule(START + 10 * MS, &mut sequence)), ServerId(1));
    assert_eq!(sequence.attempts[0].step, Step::Prefill);
}

#[test]
fn a_list_that_is_refused_again_and_again_is_never_asked_for_without_a_pause() {
    let mut scheduler = Scheduler::new(
        START,
        Deployment { max_poll_interval: 0, discovery: Discovery::Polled, ..deployment() },
        7,
    );
    assert!((0..10).all(|_| scheduler.endpoint_poll_failed() >= 20 * MS));
}

#[test]
fn a_cell_that_loses_its_last_server_of_a_role_in_the_middle_ends_in_an_answer_elsewhere() {
    let mixes: [&[usize]; 4] = [&[0, 1], &[0, 2], &[0, 1, 2], &[2]];
    for kinds in mixes {
        let list: Vec<Endpoint> = (0..2)
            .flat_map(|cell| {
                kinds.iter().map(move |kind| entry((cell * 3 + kind) as u64, *kind, cell as i64))
            })
            .collect();
        for lost in 0..3 {
            let (mut scheduler, mut sequence) = (scheduler(deployment(), &list), new_sequence(1, 0, START));
            let first = sent(scheduler.schedule(START, &mut sequence));
            let cell = first.0 / 3;
            let gone =
                Endpoint { state: EndpointState::Gone, ..entry(cell * 3 + lost, lost as usize, cell as i64) };
            scheduler.update_endpoints(START, SnapshotKind::Delta, &[gone]);
            let read = sequence.attempts[0].step == Step::Prefill;
            close(
                &mut scheduler,
                START + 10 * MS,
                &mut sequence,
                if read { Outcome::PrefillDone { cached_tokens: 0.0 } } else { Outcome::Reset },
            );
            let next = sent(scheduler.schedule(START + 10 * MS, &mut sequence));
            assert_ne!(next, ServerId(cell * 3 + lost), "{kinds:?} without {lost}");
        }
    }
}

#[test]
fn a_server_that_has_told_no_load_ranks_as_the_mean_of_those_that_have() {
    let list = [entry(0, 0, 0), entry(1, 1, 0), entry(2, 1, 0), entry(3, 1, 0)];
    let told = |share: f64, other: f64| {
        let mut scheduler = scheduler(deployment(), &list);
        for (writer, share) in [(1, share), (2, other)] {
            let memory_share = Some(share);
            scheduler.load_reported(
                START,
                ServerId(writer),
                LoadReport { memory_share, ..LoadReport::default() },
            );
        }
        let mut sequence = new_sequence(1, 0, START);
        read(&mut scheduler, START, &mut sequence, 0);
        sent(scheduler.schedule(START, &mut sequence))
    };
    assert_eq!(told(0.2, 0.6), ServerId(1), "not the one of which nothing is known");
    assert_eq!(told(1.0, 1.0), ServerId(3), "nor is it full because they are");
    // No loads at all: own streams alone.
    let (mut scheduler, mut writers) = (scheduler(deployment(), &list), [0; 4]);
    for id in 0..9 {
        let mut sequence = new_sequence(id, 0, START);
        read(&mut scheduler, START, &mut sequence, 0);
        writers[sent(scheduler.schedule(START, &mut sequence)).0 as usize] += 1;
    }
    assert_eq!(writers, [0, 3, 3, 3]);
}

/// Every course that outcomes can give a sequence, each attempt ended in each way, up to its final answer.
fn courses(
    settings: &Deployment,
    list: &[Endpoint],
    traffic: usize,
    judge: &mut impl FnMut(&Sequence, Decision),
) {
    use Outcome::*;
    let ends = [
        Error,
        AtCapacity,
        KvCacheMissing,
        TimedOut,
        ConnectFailed,
        Reset,
        NeverSent,
        PrefillDone { cached_tokens: 0.0 },
    ];
    let mut paths: Vec<Vec<Outcome>> = vec![Vec::new()];
    while let Some(path) = paths.pop() {
        let (mut scheduler, mut sequence, mut now) =
            (scheduler(settings.clone(), list), new_sequence(1, traffic, START), START);
        let mut answer = scheduler.schedule(now, &mut sequence);
        for end in &path {
            // Its server starts anew under it, as far as it is reset.
            if *end == Reset {
                let server = sequence.attempts[sequence.attempts.len() - 1].server;
                let listed = list.iter().find(|l| l.server == server).unwrap();
                scheduler.update_endpoints(
                    now,
                    SnapshotKind::Delta,
                    &[Endpoint { started_at: now, ..listed.clone() }],
                );
            }
            now += 10 * MS;
            close(&mut scheduler, now, &mut sequence, *end);
            answer = scheduler.schedule(now, &mut sequence);
            while answer == Decision::Wait {
                now += scheduler.next_timeout(now, &sequence);
                answer = scheduler.schedule(now, &mut sequence);
            }
        }
        if !matches!(answer, Decision::Send(_)) {
            judge(&sequence, answer);
            continue;
        }
        let read = sequence.attempts[sequence.attempts.len() - 1].step == Step::Prefill;
        let fits = |end: &&Outcome| match end {
            PrefillDone { .. } => read,
            KvCacheMissing => !read,
            _ => true,
        };
        paths.extend(ends.iter().filter(fits).map(|end| [&path[..], &[*end]].concat()));
    }
}

#[test]
fn once_only_work_has_one_attempt_that_may_have_run_whatever_each_one_meets() {
    use Outcome::*;
    let may_have_run = |a: &&Attempt| {
        a.step != Step::Prefill && matches!(a.status, AttemptStatus::Finished(Error | TimedOut | Reset))
    };
    let mut seen = [0; 2];
    for (list, max_attempts) in [(fleet(), 4), (all_mixed(), 3), (all_mixed(), 1)] {
        let settings = Deployment { max_attempts, ..deployment() };
        courses(&settings, &list, 1, &mut |sequence, answer| {
            let ran = sequence.attempts.iter().filter(may_have_run).count();
            let last = sequence.attempts.last().unwrap();
            assert!(ran <= 1 && (ran == 0 || may_have_run(&last)), "{:?}", sequence.attempts);
            assert!(sequence.attempts.len() <= max_attempts);
            match answer {
                Decision::Reject { .. } => assert_eq!(ran, 0, "{:?}", sequence.attempts),
                _ => assert_eq!(ran, 1, "{:?}", sequence.attempts),
            }
            seen[ran] += 1;
        });
    }
    assert!(seen.iter().all(|count| *count > 50), "{seen:?}");
}

#[test]
fn gateways_that_all_start_at_once_keep_a_server_that_started_with_them_within_its_budget() {
    for gateways in [20, 274] {
        let list: Vec<Endpoint> = (0..8)
            .map(|n| Endpoint {
                started_at: if n % 4 == 0 { START } else { 0 },
                ..entry(n, usize::from(n > 3), 0)
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
        let (gap, mut sends) = (4 * MS, [Vec::new(), Vec::new()]);
        for id in 0..2000u64 {
            let (now, at) = (START + id * gap, (id * 101 % gateways as u64) as usize);
            let mut sequence = new_sequence(id, 0, now);
            sequence.session = None;
            while let Decision::Send(server) = schedulers[at].schedule(now, &mut sequence) {
                let reads = sequence.attempts[sequence.attempts.len() - 1].step == Step::Prefill;
                if server.0.is_multiple_of(4) {
                    sends[usize::from(!reads)].push(now);
                }
                close(
                    &mut schedulers[at],
                    now,
                    &mut sequence,
                    if reads { Outcome::PrefillDone { cached_tokens: 0.0 } } else { Outcome::Completed },
                );
            }
        }
        // Of four servers that read, and four that write, one each started with the gateways.
        let budget = 2.5 * 0.3 * 1.5 * (1e9 / gap as f64 / 4.0);
        for sends in sends {
            let most =
                sends.iter().map(|t| sends.iter().filter(|o| *o >= t && **o < t + 1500 * MS).count()).max();
            assert!(most.is_some_and(|most| most as f64 <= budget), "{gateways}: {most:?} of {budget}");
        }
    }
}
