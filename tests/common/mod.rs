//! A small deployment and the steps that tests take with it.
// Each test file is a crate of its own and uses some of this.
#![allow(dead_code)]

use petrelshore::Scheduler;
use petrelshore::interface::*;

/// Nanoseconds of a millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
/// When tests begin.
pub const START: Nanos = 1_000_000 * MILLISECOND;

/// A traffic type of streamed answers.
pub fn traffic(idempotency: Idempotency, priority_weight: f64) -> TrafficType {
    TrafficType {
        priority_weight,
        latency_slo: 1000 * MILLISECOND,
        slo_per_prompt_token: 40_000,
        token_interval: 60 * MILLISECOND,
        idempotency,
        delivery: Delivery::Streamed,
    }
}

/// Kinds 0 to 2 are prefill, decode and combined servers; types 0 to 4 have each idempotency and key scope.
pub fn deployment() -> Deployment {
    let kind = |role| ServerKind { role, memory_tokens: 100_000.0 };
    let window = 2000 * MILLISECOND;
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
        max_poll_interval: 10_000 * MILLISECOND,
        max_attempts: 4,
        max_retry_after: Some(500 * MILLISECOND),
        decode_servers_prefill: false,
        release_timeout: 300 * MILLISECOND,
        slow_start_duration: 10_000 * MILLISECOND,
        slow_start_initial_share: 0.3,
        slow_start_overload_factor: 2.5,
        slow_start_window: 1500 * MILLISECOND,
        timer_resolution: 0,
        start_time_clock: StartTimeClock::Local,
    }
}

/// A server that is ready, started long ago and lies in the zone of the same number as its cell.
pub fn ready_endpoint(server: u64, kind: usize, cell: i64) -> Endpoint {
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

/// Two cells, each of a prefill server and two decode servers: servers 0 to 2 and 3 to 5.
pub fn two_cell_fleet() -> Vec<Endpoint> {
    (0..6).map(|n| ready_endpoint(n, usize::from(n % 3 > 0), (n / 3) as i64)).collect()
}

/// A scheduler that has been given an endpoint list.
pub fn new_scheduler(deployment: Deployment, fleet: &[Endpoint]) -> Scheduler {
    let mut scheduler = Scheduler::new(START, deployment, 7);
    scheduler.update_endpoints(START, SnapshotKind::Cached, fleet);
    scheduler
}

/// A sequence that has just arrived, of one of eight sessions.
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
        first_token_deadline: now + 4000 * MILLISECOND,
        attempts: Vec::new(),
        kv_cache: None,
        cache_held_since: None,
        admitted: false,
        completed: false,
    }
}

/// The server that a decision names.
pub fn sent_to(decision: Decision) -> ServerId {
    match decision {
        Decision::Send(server) => server,
        other => panic!("not sent: {other:?}"),
    }
}

/// Finishes the last attempt, which its server had.
pub fn finish_last_attempt(
    scheduler: &mut Scheduler,
    now: Nanos,
    sequence: &mut Sequence,
    outcome: Outcome,
) -> NextStep {
    let n = sequence.attempts.len() - 1;
    sequence.attempts[n].delivered = true;
    scheduler.attempt_finished(now, sequence, n, outcome, outcome == Outcome::Completed)
}

/// A prefill that found nothing cached is done.
pub const PREFILL_DONE: Outcome = Outcome::PrefillDone { cached_tokens: 0.0 };

/// The most of these times that lie within one window.
pub fn max_in_window(times: &[Nanos], window: Nanos) -> Option<usize> {
    let in_window = |start: &Nanos| times.iter().filter(|at| *at >= start && **at < start + window).count();
    times.iter().map(in_window).max()
}

/// A load report of this share of memory in use.
pub fn memory_report(share: f64) -> LoadReport {
    LoadReport { memory_share: Some(share), ..LoadReport::default() }
}

/// A prefill that takes `time`, and the server it was sent to.
pub fn prefill(scheduler: &mut Scheduler, now: Nanos, sequence: &mut Sequence, time: Nanos) -> ServerId {
    let prefill_server = sent_to(scheduler.schedule(now, sequence));
    finish_last_attempt(scheduler, now + time, sequence, PREFILL_DONE);
    prefill_server
}
