//! What one sequence costs the conductor, from its taking to its end, before fleets of several sizes.
//!
//! Run with `cargo bench -p petrelshore-conductor`. Figures are for one core and are told as ratios.

use divan::{Bencher, black_box};
use petrelshore::interface::*;
use petrelshore_conductor::proof::Ending;
use petrelshore_conductor::{Action, Chooser, Conductor, NewSequence, Relay};

fn main() {
    divan::main();
}

const MS: Nanos = 1_000_000;

fn deployment() -> Deployment {
    let traffic = TrafficType {
        utility: 1.0,
        latency_slo: 1_000 * MS,
        slo_per_prompt_token: 0,
        token_pace: 50 * MS,
        effect: Effect::Repeatable,
        delivery: Delivery::Streamed,
    };
    Deployment {
        gateways: 4,
        zone: ZoneId(0),
        types: vec![traffic],
        kinds: [Role::Reader, Role::Writer].map(|role| Kind { role, memory_tokens: 200_000.0 }).into(),
        tenants: vec![],
        over_share_utility: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        ask_within: 1_000 * MS,
        max_attempts: 4,
        longest_retry_after: Some(1_000 * MS),
        writers_read: false,
        release_within: 500 * MS,
        cold_for: 10_000 * MS,
        cold_from: 0.3,
        cold_multiple: 2.5,
        cold_window: 2_000 * MS,
        tick: 0,
    }
}

fn fleet(servers: u64) -> Vec<Listing> {
    let listing = |number: u64| Listing {
        server: ServerId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        kind: KindId(usize::from(number % 5 > 1)),
        cell: CellId((number / 10) as i64),
        zone: ZoneId(0),
        weight: 1.0,
        since: 0,
        condition: Condition::Ready,
    };
    (0..servers).map(listing).collect()
}

/// A conductor with times known, and the clock after that.
struct Warm {
    conductor: Conductor,
    now: Nanos,
    next: u64,
}

impl Warm {
    fn new(servers: u64, chooser: Chooser) -> Self {
        let mut conductor = Conductor::with(0, deployment(), 7, chooser);
        conductor.listed(0, ListScope::Whole, &fleet(servers));
        let mut warm = Warm { conductor, now: MS, next: 0 };
        (0..200).for_each(|_| warm.sequence());
        warm
    }

    /// One sequence whole: taken, read, written in ten tokens.
    fn sequence(&mut self) {
        self.next += 1;
        let id = SeqId(self.next);
        let mut out = Vec::new();
        let new = NewSequence {
            id,
            traffic: TypeId(0),
            tenant: None,
            session: Some(SessionId(self.next % 50)),
            prefix: Some(PrefixId(self.next % 7)),
            prompt_tokens: 800.0,
            prefix_tokens: 400.0,
            max_out: 100.0,
            hint: None,
            resumed: false,
            relay: Relay::Streamed,
            abandon_at: self.now + 5_000 * MS,
            whole_by: None,
        };
        self.conductor.take(self.now, new, &mut out);
        self.now += 5 * MS;
        self.conductor.ended(self.now, id, 0, Ending::ReadDone { kept: 400.0 }, &mut out);
        self.now += 5 * MS;
        self.conductor.began(self.now, id, 1);
        for _ in 0..9 {
            self.now += MS;
            self.conductor.progressed(self.now, id);
        }
        self.conductor.ended(self.now, id, 1, Ending::Generated, &mut out);
        assert!(out.iter().any(|action| matches!(action, Action::Over { .. })));
        black_box(&out);
    }
}

#[divan::bench(args = [10, 100, 1000])]
fn decisions(bencher: Bencher, servers: u64) {
    let mut warm = Warm::new(servers, Chooser::Decisions);
    bencher.bench_local(|| warm.sequence());
}

#[divan::bench(args = [10, 100, 1000])]
fn baseline(bencher: Bencher, servers: u64) {
    let mut warm = Warm::new(servers, Chooser::Baseline);
    bencher.bench_local(|| warm.sequence());
}
