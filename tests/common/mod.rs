//! A small deployment, and helpers that send sequences through its scheduler.
// Each test file is a separate crate and uses only some of these items.
#![allow(dead_code)]

use petrelshore::Scheduler;
use petrelshore::interface::*;

/// One millisecond, in nanoseconds.
pub const MILLISECOND: Nanos = 1_000_000;
/// The clock reading at which tests begin.
pub const START: Nanos = 1_000_000 * MILLISECOND;

/// Returns a traffic type with streamed answers.
pub fn streamed_traffic(idempotency: Idempotency, priority_weight: f64) -> TrafficType {
    TrafficType {
        priority_weight,
        latency_slo: 1000 * MILLISECOND,
        slo_per_prompt_token: 40_000,
        token_interval: 60 * MILLISECOND,
        idempotency,
        delivery: Delivery::Streamed,
    }
}

/// Returns a deployment whose server kinds 0 to 2 are prefill, decode and combined. Its traffic types 0 to 4 are
/// idempotent, at-most-once, and keyed with fleet, cell and zone scope.
pub fn deployment() -> Deployment {
    let kind = |role| ServerKind { role, memory_tokens: 100_000.0 };
    let window = 2000 * MILLISECOND;
    Deployment {
        gateways: 2,
        zone: ZoneId(0),
        types: vec![
            streamed_traffic(Idempotency::Idempotent, 2.0),
            streamed_traffic(Idempotency::AtMostOnce, 1.0),
            streamed_traffic(Idempotency::Keyed { scope: KeyScope::Fleet, window }, 2.0),
            streamed_traffic(Idempotency::Keyed { scope: KeyScope::Cell, window }, 1.0),
            streamed_traffic(Idempotency::Keyed { scope: KeyScope::Zone, window }, 1.0),
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

/// Returns a ready endpoint that started long ago. Its zone has the same number as its cell.
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

/// Returns two cells with a prefill server and two decode servers each: servers 0 to 2 and servers 3 to 5. Servers 0
/// and 3 are the prefill servers.
pub fn two_cell_fleet() -> Vec<Endpoint> {
    (0..6).map(|n| ready_endpoint(n, usize::from(n % 3 > 0), (n / 3) as i64)).collect()
}

/// Returns a scheduler that has received an endpoint list.
pub fn new_scheduler(deployment: Deployment, fleet: &[Endpoint]) -> Scheduler {
    let mut scheduler = Scheduler::new(START, deployment, 7);
    scheduler.update_endpoints(START, SnapshotKind::Cached, fleet);
    scheduler
}

/// Returns a sequence that has just arrived and belongs to one of eight sessions.
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

/// Returns the server of a `Send` decision and fails the test on any other decision.
pub fn sent_to(decision: Decision) -> ServerId {
    match decision {
        Decision::Send(server) => server,
        other => panic!("not sent: {other:?}"),
    }
}

/// Finishes the last attempt of a sequence, marked as delivered to its server.
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

/// The outcome of a prefill that found no cached tokens.
pub const PREFILL_DONE: Outcome = Outcome::PrefillDone { cached_tokens: 0.0 };

/// Returns the largest number of `times` in one window that starts at one of them; `None` if `times` is empty.
pub fn max_in_window(times: &[Nanos], window: Nanos) -> Option<usize> {
    let in_window = |start: &Nanos| times.iter().filter(|at| *at >= start && **at < start + window).count();
    times.iter().map(in_window).max()
}

/// Returns a load report with only the share of KV cache memory in use.
pub fn memory_report(share: f64) -> LoadReport {
    LoadReport { memory_share: Some(share), ..LoadReport::default() }
}

/// Runs a prefill that takes `time`, and returns the server that it was sent to.
pub fn prefill(scheduler: &mut Scheduler, now: Nanos, sequence: &mut Sequence, time: Nanos) -> ServerId {
    let prefill_server = sent_to(scheduler.schedule(now, sequence));
    finish_last_attempt(scheduler, now + time, sequence, PREFILL_DONE);
    prefill_server
}
