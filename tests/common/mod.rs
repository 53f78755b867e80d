//! A small deployment and the steps that tests take with it.
#![allow(dead_code)]

use petrelshore::Scheduler;
use petrelshore::interface::*;

pub const MS: Nanos = 1_000_000;
pub const START: Nanos = 1_000_000 * MS;

pub fn traffic(effect: Effect, utility: f64) -> TrafficType {
    TrafficType {
        utility,
        latency_slo: 1000 * MS,
        slo_per_prompt_token: 40_000,
        token_pace: 60 * MS,
        effect,
        delivery: Delivery::Streamed,
    }
}

/// Kinds 0 to 2 read, write and do both; types 0 to 4 are of every effect.
pub fn deployment() -> Deployment {
    let kind = |role| Kind { role, memory_tokens: 100_000.0 };
    let window = 2000 * MS;
    Deployment {
        gateways: 2,
        zone: ZoneId(0),
        types: vec![
            traffic(Effect::Repeatable, 2.0),
            traffic(Effect::OnceOnly, 1.0),
            traffic(Effect::Tokened { scope: Scope::All, window }, 2.0),
            traffic(Effect::Tokened { scope: Scope::Cell, window }, 1.0),
            traffic(Effect::Tokened { scope: Scope::Zone, window }, 1.0),
        ],
        kinds: vec![kind(Role::Reader), kind(Role::Writer), kind(Role::Mixed)],
        tenants: vec![Tenant { per_second: 10.0 }],
        over_share_utility: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        ask_within: 10_000 * MS,
        max_attempts: 4,
        longest_retry_after: Some(500 * MS),
        writers_read: false,
        release_within: 300 * MS,
        cold_for: 10_000 * MS,
        cold_from: 0.3,
        cold_multiple: 2.5,
        cold_window: 1500 * MS,
        tick: 0,
        start_stamps: StartStamps::OwnClock,
    }
}

pub fn entry(server: u64, kind: usize, cell: i64) -> Listing {
    Listing {
        server: ServerId(server),
        kind: KindId(kind),
        cell: CellId(cell),
        zone: ZoneId(cell as usize),
        weight: 1.0,
        since: 0,
        condition: Condition::Ready,
    }
}

/// Two cells, each of a reader and two writers: servers 0 to 2 and 3 to 5.
pub fn fleet() -> Vec<Listing> {
    (0..6).map(|n| entry(n, usize::from(n % 3 > 0), (n / 3) as i64)).collect()
}

pub fn scheduler(deployment: Deployment, fleet: &[Listing]) -> Scheduler {
    let mut scheduler = Scheduler::new(START, deployment, 7);
    scheduler.listed(START, ListScope::Remembered, fleet);
    scheduler
}

pub fn sequence(id: u64, traffic: usize, now: Nanos) -> Sequence {
    Sequence {
        id: SeqId(id),
        traffic: TypeId(traffic),
        tenant: None,
        session: Some(SessionId(id % 8)),
        prefix: None,
        prompt_tokens: 1000.0,
        prefix_tokens: 0.0,
        max_out: 400.0,
        hint: None,
        resumed: false,
        arrived: now,
        abandon_at: now + 4000 * MS,
        attempts: Vec::new(),
        state: None,
        held_since: None,
        admitted: false,
        ended: false,
    }
}

pub fn sent(answer: Schedule) -> ServerId {
    match answer {
        Schedule::Send(server) => server,
        other => panic!("not sent: {other:?}"),
    }
}

/// Closes the newest attempt.
pub fn close(scheduler: &mut Scheduler, now: Nanos, seq: &mut Sequence, outcome: Outcome) -> Settled {
    let n = seq.attempts.len() - 1;
    seq.attempts[n].reached = true;
    scheduler.settle(now, seq, n, outcome, outcome == Outcome::Generated)
}

/// A read that takes `time`, and the server it was sent to.
pub fn read(scheduler: &mut Scheduler, now: Nanos, seq: &mut Sequence, time: Nanos) -> ServerId {
    let reader = sent(scheduler.schedule(now, seq));
    close(scheduler, now + time, seq, Outcome::ReadDone { kept: 0.0 });
    reader
}
