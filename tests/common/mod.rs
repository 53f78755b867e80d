//! A small deployment and the steps that tests take with it.
#![allow(dead_code)]

use petrelshore::Scheduler;
use petrelshore::interface::*;

pub const MS: Nanos = 1_000_000;
pub const START: Nanos = 1_000_000 * MS;

pub fn traffic(effect: Idempotency, utility: f64) -> TrafficType {
    TrafficType {
        priority_weight: utility,
        latency_slo: 1000 * MS,
        slo_per_prompt_token: 40_000,
        token_interval: 60 * MS,
        idempotency: effect,
        delivery: Delivery::Streamed,
    }
}

/// Kinds 0 to 2 read, write and do both; types 0 to 4 are of every effect.
pub fn deployment() -> Deployment {
    let kind = |role| ServerKind { role, memory_tokens: 100_000.0 };
    let window = 2000 * MS;
    Deployment {
        gateways: 2,
        zone: ZoneId(0),
        types: vec![
            traffic(Idempotency::Idempotent, 2.0),
            traffic(Idempotency::AtMostOnce, 1.0),
            traffic(Idempotency::Keyed { scope: KeyScope::Fleet, window }, 2.0),
            traffic(Idempotency::Keyed { scope: KeyScope::Cell, window }, 1.0),
            traffic(Idempotency::Keyed { scope: KeyScope::Zone, window }, 1.0),
        ],
        kinds: vec![kind(Role::Prefill), kind(Role::Decode), kind(Role::Combined)],
        tenants: vec![Tenant { per_second: 10.0 }],
        over_quota_factor: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        max_poll_interval: 10_000 * MS,
        max_attempts: 4,
        max_retry_after: Some(500 * MS),
        decode_servers_prefill: false,
        release_timeout: 300 * MS,
        slow_start_duration: 10_000 * MS,
        slow_start_initial_share: 0.3,
        slow_start_overload_factor: 2.5,
        slow_start_window: 1500 * MS,
        timer_resolution: 0,
        start_time_clock: StartTimeClock::Local,
    }
}

pub fn entry(server: u64, kind: usize, cell: i64) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        kind: ServerKindId(kind),
        cell: CellId(cell),
        zone: ZoneId(cell as usize),
        weight: 1.0,
        started_at: 0,
        state: EndpointState::Ready,
    }
}

/// Two cells, each of a reader and two writers: servers 0 to 2 and 3 to 5.
pub fn fleet() -> Vec<Endpoint> {
    (0..6).map(|n| entry(n, usize::from(n % 3 > 0), (n / 3) as i64)).collect()
}

pub fn scheduler(deployment: Deployment, fleet: &[Endpoint]) -> Scheduler {
    let mut scheduler = Scheduler::new(START, deployment, 7);
    scheduler.update_endpoints(START, SnapshotKind::Cached, fleet);
    scheduler
}

pub fn new_sequence(id: u64, traffic: usize, now: Nanos) -> Sequence {
    Sequence {
        id: SequenceId(id),
        traffic: TrafficTypeId(traffic),
        tenant: None,
        session: Some(SessionId(id % 8)),
        prefix: None,
        prompt_tokens: 1000.0,
        prefix_tokens: 0.0,
        max_output_tokens: 400.0,
        output_length_hint: None,
        resumed: false,
        arrived_at: now,
        first_token_deadline: now + 4000 * MS,
        attempts: Vec::new(),
        kv_cache: None,
        cache_held_since: None,
        admitted: false,
        completed: false,
    }
}

pub fn sent(answer: Decision) -> ServerId {
    match answer {
        Decision::Send(server) => server,
        other => panic!("not sent: {other:?}"),
    }
}

/// Closes the newest attempt.
pub fn close(scheduler: &mut Scheduler, now: Nanos, sequence: &mut Sequence, outcome: Outcome) -> NextStep {
    let n = sequence.attempts.len() - 1;
    sequence.attempts[n].delivered = true;
    scheduler.attempt_finished(now, sequence, n, outcome, outcome == Outcome::Completed)
}

/// A read that takes `time`, and the server it was sent to.
pub fn read(scheduler: &mut Scheduler, now: Nanos, sequence: &mut Sequence, time: Nanos) -> ServerId {
    let reader = sent(scheduler.schedule(now, sequence));
    close(scheduler, now + time, sequence, Outcome::PrefillDone { cached_tokens: 0.0 });
    reader
}
