//! Recorded courses of events, played again: small fleets are decided on as they were when they were recorded.
//!
//! The recording is of the program before candidates (commit 40e7c4e), made by this file with `RECORD_DECISIONS` set.

mod common;

use common::*;
use oorandom::Rand64;
use petrelshore::Scheduler;
use petrelshore::interface::*;
use std::fmt::Write;
use std::path::PathBuf;

/// One course: a fleet, how its servers are weighted and told of, and how busy it is.
struct Course {
    name: &'static str,
    servers: u64,
    weights: Weights,
    gateways: usize,
    steps: usize,
    /// Of so many servers one is mixed.
    mixed: u64,
}

const COURSES: [Course; 5] = [
    Course { name: "tiny", servers: 6, weights: Weights::Unused, gateways: 2, steps: 1500, mixed: 6 },
    Course { name: "plain", servers: 24, weights: Weights::Unused, gateways: 3, steps: 2000, mixed: 1000 },
    Course { name: "weighted", servers: 40, weights: Weights::Size, gateways: 30, steps: 2000, mixed: 8 },
    Course { name: "wide", servers: 100, weights: Weights::Size, gateways: 300, steps: 2500, mixed: 1000 },
    Course { name: "bound", servers: 128, weights: Weights::Unused, gateways: 20, steps: 2500, mixed: 16 },
];

fn endpoint(course: &Course, chance: &mut Rand64, server: u64) -> Endpoint {
    let kind = match server {
        n if n % course.mixed == course.mixed - 1 => 2,
        n => usize::from(n % 4 > 0),
    };
    let weight = 0.5 + chance.rand_float();
    Endpoint { weight, zone: ZoneId((server / 4 % 3) as usize), ..entry(server, kind, (server / 4) as i64) }
}

fn change(chance: &mut Rand64, now: Nanos, list: &mut [Endpoint]) -> Vec<Endpoint> {
    let at = chance.rand_range(0..list.len() as u64) as usize;
    let entry = &mut list[at];
    match chance.rand_range(0..4) {
        0 => entry.state = EndpointState::Draining,
        1 => entry.state = EndpointState::Gone,
        2 => (entry.state, entry.started_at) = (EndpointState::Ready, now),
        _ => entry.state = EndpointState::Ready,
    }
    vec![entry.clone()]
}

fn report(chance: &mut Rand64) -> LoadReport {
    let share = (chance.rand_float() < 0.9).then(|| chance.rand_float().powi(2));
    let queue = (chance.rand_float() < 0.5).then(|| chance.rand_float() * 4000.0);
    LoadReport { memory_share: share, queued_prompt_tokens: queue, in_flight: None }
}

fn outcome(chance: &mut Rand64, step: Step, prefix: f64) -> Outcome {
    match chance.rand_range(0..20) {
        0 => Outcome::Error,
        1 => Outcome::AtCapacity,
        2 => Outcome::TimedOut,
        3 => Outcome::ConnectFailed,
        4 => Outcome::Reset,
        5 if step != Step::Prefill => Outcome::KvCacheMissing,
        _ if step == Step::Prefill => {
            Outcome::PrefillDone { cached_tokens: if chance.rand_float() < 0.5 { prefix } else { 0.0 } }
        }
        _ => Outcome::Completed,
    }
}

/// The recording's words for a decision: it keeps those of the program that made it.
fn recorded_decision(decision: Decision) -> String {
    match decision {
        Decision::Send(server) => format!("Send({server:?})"),
        Decision::Wait => "NotYet".to_owned(),
        Decision::Reject { retry_after, release } => {
            format!("Rejected {{ retry_after: {retry_after:?}, release: {release} }}")
        }
        Decision::Abort { release } => format!("Aborted {{ release: {release} }}"),
    }
}

/// The recording's words for what follows an outcome.
fn recorded_next_step(next_step: NextStep) -> String {
    match next_step {
        NextStep::Schedule => "Schedule".to_owned(),
        NextStep::Wait => "Wait".to_owned(),
        NextStep::Complete { release } => format!("Ended {{ release: {release} }}"),
    }
}

/// Plays a course and writes down all that was decided.
fn play(course: &Course, seed: u64) -> String {
    let mut chance = Rand64::new(seed.into());
    let settings = Deployment {
        gateways: course.gateways,
        weights: course.weights,
        tenants: vec![Tenant { per_second: 10.0 }; 5],
        ..deployment()
    };
    let mut list: Vec<Endpoint> = (0..course.servers).map(|n| endpoint(course, &mut chance, n)).collect();
    let mut scheduler = Scheduler::new(START, settings, seed);
    scheduler.update_endpoints(START, SnapshotKind::Cached, &list);
    let (mut now, mut hand, mut told) = (START, Vec::<Sequence>::new(), String::new());
    for step in 0..course.steps {
        now += (chance.rand_float() * 60.0) as Nanos * MS;
        match chance.rand_range(0..12) {
            0 => {
                let changed = change(&mut chance, now, &mut list);
                scheduler.update_endpoints(now, SnapshotKind::Delta, &changed);
            }
            1 if step % 50 == 0 => scheduler.update_endpoints(now, SnapshotKind::Full, &list),
            1..=3 => {
                let server = ServerId(chance.rand_range(0..course.servers));
                scheduler.load_reported(now, server, report(&mut chance));
            }
            4..=6 => {
                let id = step as u64;
                let prompt_tokens = 200.0 + 3000.0 * chance.rand_float();
                let mut sequence = Sequence {
                    prompt_tokens,
                    session: Some(SessionId(chance.rand_range(0..60))),
                    prefix: (chance.rand_float() < 0.7).then(|| PrefixId(1 + chance.rand_range(0..12))),
                    prefix_tokens: prompt_tokens / 2.0,
                    tenant: (chance.rand_float() < 0.8).then(|| TenantId(chance.rand_range(0..5) as usize)),
                    output_length_hint: (chance.rand_float() < 0.3)
                        .then(|| chance.rand_range(1..20) * 600 * MS),
                    ..new_sequence(id, chance.rand_range(0..5) as usize, now)
                };
                let answer = recorded_decision(scheduler.schedule(now, &mut sequence));
                let _ = writeln!(told, "{step} {id} {answer} {}", scheduler.next_timeout(now, &sequence));
                hand.push(sequence);
            }
            _ if !hand.is_empty() => {
                let at = chance.rand_range(0..hand.len() as u64) as usize;
                let sequence = &mut hand[at];
                let out =
                    sequence.attempts.iter().position(|a| !matches!(a.status, AttemptStatus::Finished(_)));
                if let Some(n) = out {
                    let (step_taken, begun) = (sequence.attempts[n].step, chance.rand_float() < 0.8);
                    let got = outcome(&mut chance, step_taken, sequence.prefix_tokens);
                    if got == Outcome::Completed && begun {
                        scheduler.first_token(now, sequence, n);
                    }
                    sequence.attempts[n].delivered = true;
                    let settled = recorded_next_step(scheduler.attempt_finished(
                        now,
                        sequence,
                        n,
                        got,
                        got == Outcome::Completed,
                    ));
                    let _ = writeln!(told, "{step} {} {settled}", sequence.id.0);
                }
                if !sequence.completed {
                    let answer = recorded_decision(scheduler.schedule(now, sequence));
                    let _ = writeln!(
                        told,
                        "{step} {} {answer} {}",
                        sequence.id.0,
                        scheduler.next_timeout(now, sequence)
                    );
                }
                if sequence.completed {
                    hand.swap_remove(at);
                }
            }
            _ => {}
        }
    }
    told
}

fn file(course: &Course) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "recorded", &format!("{}.txt", course.name)].iter().collect()
}

#[test]
fn fleets_within_the_bound_are_decided_on_as_before_event_for_event() {
    for course in &COURSES {
        let told = play(course, 11);
        if std::env::var_os("RECORD_DECISIONS").is_some() {
            std::fs::create_dir_all(file(course).parent().unwrap()).unwrap();
            std::fs::write(file(course), &told).unwrap();
        }
        let recorded = std::fs::read_to_string(file(course)).unwrap();
        let differs = told.lines().zip(recorded.lines()).position(|(now, before)| now != before);
        assert_eq!(differs.map(|line| (line, told.lines().nth(line), recorded.lines().nth(line))), None);
        assert_eq!(told.lines().count(), recorded.lines().count(), "{}", course.name);
        let sent = told.lines().filter(|line| line.contains("Send")).count();
        assert!(sent > course.steps / 8, "{}: {sent} sends", course.name);
    }
}
