//! Replay of recorded scenarios: decisions in small fleets must match the recorded decisions.
//!
//! The recordings come from commit 40e7c4e, in which decisions examined all servers of a fleet of any size, not a
//! sample of a large fleet. This file writes the recordings if the environment variable `RECORD_DECISIONS` is set.

mod common;

use common::*;
use oorandom::Rand64;
use petrelshore::Scheduler;
use petrelshore::interface::*;
use std::fmt::Write;
use std::path::PathBuf;

/// A scenario: a fleet, the weighting of its servers, and the number of random events.
struct Scenario {
    name: &'static str,
    servers: u64,
    weights: Weights,
    gateways: usize,
    steps: usize,
    /// One of this many servers is combined.
    combined_every: u64,
}

const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "tiny",
        servers: 6,
        weights: Weights::Unused,
        gateways: 2,
        steps: 1500,
        combined_every: 6,
    },
    Scenario {
        name: "plain",
        servers: 24,
        weights: Weights::Unused,
        gateways: 3,
        steps: 2000,
        combined_every: 1000,
    },
    Scenario {
        name: "weighted",
        servers: 40,
        weights: Weights::Size,
        gateways: 30,
        steps: 2000,
        combined_every: 8,
    },
    Scenario {
        name: "wide",
        servers: 100,
        weights: Weights::Size,
        gateways: 300,
        steps: 2500,
        combined_every: 1000,
    },
    Scenario {
        name: "bound",
        servers: 128,
        weights: Weights::Unused,
        gateways: 20,
        steps: 2500,
        combined_every: 16,
    },
];

fn endpoint(scenario: &Scenario, random: &mut Rand64, server: u64) -> Endpoint {
    let kind = match server {
        n if n % scenario.combined_every == scenario.combined_every - 1 => 2,
        n => usize::from(n % 4 > 0),
    };
    let weight = 0.5 + random.rand_float();
    Endpoint {
        weight,
        zone: ZoneId((server / 4 % 3) as usize),
        ..ready_endpoint(server, kind, (server / 4) as i64)
    }
}

/// Changes a random endpoint of the list, and returns the change.
fn change_random_endpoint(random: &mut Rand64, now: Nanos, list: &mut [Endpoint]) -> Vec<Endpoint> {
    let at = random.rand_range(0..list.len() as u64) as usize;
    let entry = &mut list[at];
    match random.rand_range(0..4) {
        0 => entry.state = EndpointState::Draining,
        1 => entry.state = EndpointState::Gone,
        2 => (entry.state, entry.started_at) = (EndpointState::Ready, now),
        _ => entry.state = EndpointState::Ready,
    }
    vec![entry.clone()]
}

fn random_report(random: &mut Rand64) -> LoadReport {
    let memory_share = (random.rand_float() < 0.9).then(|| random.rand_float().powi(2));
    let queued_prompt_tokens = (random.rand_float() < 0.5).then(|| random.rand_float() * 4000.0);
    LoadReport { memory_share, queued_prompt_tokens, in_flight: None }
}

fn random_outcome(random: &mut Rand64, step: Step, prefix: f64) -> Outcome {
    match random.rand_range(0..20) {
        0 => Outcome::Error,
        1 => Outcome::AtCapacity,
        2 => Outcome::TimedOut,
        3 => Outcome::ConnectFailed,
        4 => Outcome::Reset,
        5 if step != Step::Prefill => Outcome::KvCacheMissing,
        _ if step == Step::Prefill => {
            Outcome::PrefillDone { cached_tokens: if random.rand_float() < 0.5 { prefix } else { 0.0 } }
        }
        _ => Outcome::Completed,
    }
}

/// Returns a decision in the notation of the recordings, which has the names of the program version that made them.
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

/// Returns the next step after an outcome, in the notation of the recordings.
fn recorded_next_step(next_step: NextStep) -> String {
    match next_step {
        NextStep::Schedule => "Schedule".to_owned(),
        NextStep::Wait => "Wait".to_owned(),
        NextStep::Complete { release } => format!("Ended {{ release: {release} }}"),
    }
}

/// Runs a scenario and returns its trace, with one line for each decision and each next step.
fn run_scenario(scenario: &Scenario, seed: u64) -> String {
    let mut random = Rand64::new(seed.into());
    let settings = Deployment {
        gateways: scenario.gateways,
        weights: scenario.weights,
        tenants: vec![Tenant { per_second: 10.0 }; 5],
        ..deployment()
    };
    let mut list: Vec<Endpoint> = (0..scenario.servers).map(|n| endpoint(scenario, &mut random, n)).collect();
    let mut scheduler = Scheduler::new(START, settings, seed);
    scheduler.update_endpoints(START, SnapshotKind::Cached, &list);
    let (mut now, mut sequences, mut trace) = (START, Vec::<Sequence>::new(), String::new());
    for step in 0..scenario.steps {
        now += (random.rand_float() * 60.0) as Nanos * MILLISECOND;
        match random.rand_range(0..12) {
            0 => {
                let changed = change_random_endpoint(&mut random, now, &mut list);
                scheduler.update_endpoints(now, SnapshotKind::Delta, &changed);
            }
            1 if step % 50 == 0 => scheduler.update_endpoints(now, SnapshotKind::Full, &list),
            1..=3 => {
                let server = ServerId(random.rand_range(0..scenario.servers));
                scheduler.load_reported(now, server, random_report(&mut random));
            }
            4..=6 => {
                let id = step as u64;
                let prompt_tokens = 200.0 + 3000.0 * random.rand_float();
                let mut sequence = Sequence {
                    prompt_tokens,
                    session: Some(SessionId(random.rand_range(0..60))),
                    prefix: (random.rand_float() < 0.7).then(|| PrefixId(1 + random.rand_range(0..12))),
                    prefix_tokens: prompt_tokens / 2.0,
                    tenant: (random.rand_float() < 0.8).then(|| TenantId(random.rand_range(0..5) as usize)),
                    output_length_hint: (random.rand_float() < 0.3)
                        .then(|| random.rand_range(1..20) * 600 * MILLISECOND),
                    ..new_sequence(id, random.rand_range(0..5) as usize, now)
                };
                let decision = recorded_decision(scheduler.schedule(now, &mut sequence));
                let _ = writeln!(trace, "{step} {id} {decision} {}", scheduler.next_timeout(now, &sequence));
                sequences.push(sequence);
            }
            _ if !sequences.is_empty() => {
                let at = random.rand_range(0..sequences.len() as u64) as usize;
                let sequence = &mut sequences[at];
                let in_flight =
                    sequence.attempts.iter().position(|a| !matches!(a.status, AttemptStatus::Finished(_)));
                if let Some(n) = in_flight {
                    let (attempt_step, has_first_token) =
                        (sequence.attempts[n].step, random.rand_float() < 0.8);
                    let outcome = random_outcome(&mut random, attempt_step, sequence.prefix_tokens);
                    if outcome == Outcome::Completed && has_first_token {
                        scheduler.first_token(now, sequence, n);
                    }
                    sequence.attempts[n].delivered = true;
                    let next_step = recorded_next_step(scheduler.attempt_finished(
                        now,
                        sequence,
                        n,
                        outcome,
                        outcome == Outcome::Completed,
                    ));
                    let _ = writeln!(trace, "{step} {} {next_step}", sequence.id.0);
                }
                if !sequence.completed {
                    let decision = recorded_decision(scheduler.schedule(now, sequence));
                    let _ = writeln!(
                        trace,
                        "{step} {} {decision} {}",
                        sequence.id.0,
                        scheduler.next_timeout(now, sequence)
                    );
                }
                if sequence.completed {
                    sequences.swap_remove(at);
                }
            }
            _ => {}
        }
    }
    trace
}

fn recording_path(scenario: &Scenario) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "recorded", &format!("{}.txt", scenario.name)].iter().collect()
}

#[test]
fn small_fleet_decisions_match_recorded_courses() {
    for scenario in &SCENARIOS {
        let trace = run_scenario(scenario, 11);
        if std::env::var_os("RECORD_DECISIONS").is_some() {
            std::fs::create_dir_all(recording_path(scenario).parent().unwrap()).unwrap();
            std::fs::write(recording_path(scenario), &trace).unwrap();
        }
        let recorded = std::fs::read_to_string(recording_path(scenario)).unwrap();
        let first_difference = trace.lines().zip(recorded.lines()).position(|(now, before)| now != before);
        assert_eq!(
            first_difference.map(|line| (line, trace.lines().nth(line), recorded.lines().nth(line))),
            None
        );
        assert_eq!(
            trace.lines().count(),
            recorded.lines().count(),
            "trace and recording differ in length: {}",
            scenario.name
        );
        let sends = trace.lines().filter(|line| line.contains("Send")).count();
        assert!(sends > scenario.steps / 8, "{}: only {sends} sends", scenario.name);
    }
}
