//! A slow, plain model of the five rules beside the module, on generated runs: they must agree on what is
//! allowed.

mod common;

use common::*;
use petrelshore::Scheduler;
use petrelshore::interface::*;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

struct Tracked {
    sequence: Sequence,
    /// Every attempt as the model saw it: server, cell, when sent, whether it may have run.
    seen: Vec<(ServerId, CellId, Nanos, bool)>,
    out: bool,
    streaming: bool,
    over: bool,
    held_since: Option<Nanos>,
    due: Nanos,
}

struct World {
    scheduler: Scheduler,
    deployment: Deployment,
    now: Nanos,
    list: BTreeMap<ServerId, Endpoint>,
    hand: Vec<Tracked>,
    arrivals: Vec<Nanos>,
    cold_sends: BTreeMap<ServerId, Vec<Nanos>>,
}

impl World {
    fn new() -> Self {
        let mut list = fleet();
        list.push(entry(6, 2, 1));
        let deployment =
            Deployment { slow_start_overload_factor: 1.0, slow_start_initial_share: 0.2, ..deployment() };
        World {
            scheduler: scheduler(deployment.clone(), &list),
            deployment,
            now: START,
            list: list.into_iter().map(|l| (l.server, l)).collect(),
            hand: Vec::new(),
            arrivals: Vec::new(),
            cold_sends: BTreeMap::new(),
        }
    }

    fn ask(&mut self, at: usize) {
        let now = self.now;
        let answer = self.scheduler.schedule(now, &mut self.hand[at].sequence);
        let effect = self.deployment.types[self.hand[at].sequence.traffic.0].idempotency;
        let t = &mut self.hand[at];
        let ran = t.seen.iter().find(|(.., ran)| *ran).copied();
        match answer {
            Decision::Send(server) => {
                assert!(!t.over && !t.out, "rule 1: sent after the end, or twice at once");
                assert!(t.seen.len() < self.deployment.max_attempts, "more attempts than allowed");
                assert!(now < t.sequence.first_token_deadline, "rule 1: sent after the client left");
                let endpoint = &self.list[&server];
                assert_eq!(endpoint.state, EndpointState::Ready, "rule 3: sent to a server that leaves");
                match (effect, ran) {
                    (Idempotency::AtMostOnce, Some(_)) => panic!("rule 2: once-only sent again"),
                    (Idempotency::Keyed { scope, window }, Some((_, cell, first, _))) => {
                        assert!(now < first + window, "rule 2: tokened sent after its window");
                        let known = scope == KeyScope::Fleet || cell == endpoint.cell;
                        assert!(known, "rule 2: tokened sent outside its group");
                    }
                    _ => {}
                }
                if endpoint.started_at > 0 && now < endpoint.started_at + self.deployment.slow_start_duration
                {
                    let sends = self.cold_sends.entry(server).or_default();
                    sends.push(now);
                    let window = self.deployment.slow_start_window;
                    let of_late = sends.iter().filter(|s| **s + window > now).count() as f64;
                    let second = |at: &Nanos| {
                        self.arrivals.iter().filter(|a| *a >= at && **a < at + 1000 * MS).count()
                    };
                    let peak = self.arrivals.iter().map(second).max().unwrap_or(0) as f64;
                    let reads =
                        |l: &&Endpoint| (l.kind == ServerKindId(0)) == (endpoint.kind == ServerKindId(0));
                    let there = self.list.values().filter(|l| l.state != EndpointState::Gone);
                    let pool = there.filter(reads).count() as f64;
                    let part =
                        self.deployment.slow_start_overload_factor * self.deployment.slow_start_initial_share;
                    let budget = part * peak / pool * window as f64 / 1e9;
                    assert!(of_late <= budget.max(1.0) + 1.0, "rule 4: {of_late} sends, budget {budget}");
                }
                let runs = endpoint.kind != ServerKindId(0);
                t.seen.push((server, endpoint.cell, now, runs));
                (t.out, t.held_since) = (true, None);
                t.due = now + self.scheduler.next_timeout(now, &t.sequence);
            }
            Decision::Wait => {
                assert!(!t.over && !t.out);
                t.due = now + self.scheduler.next_timeout(now, &t.sequence).max(1);
            }
            Decision::Reject { release, .. } => {
                let harmless = match (effect, ran) {
                    (Idempotency::Idempotent, _) | (_, None) => true,
                    (Idempotency::Keyed { scope, .. }, _) => scope == KeyScope::Fleet,
                    (Idempotency::AtMostOnce, _) => false,
                };
                assert!(harmless, "rule 2: rejected what may have run");
                self.end(at, release);
            }
            Decision::Abort { release } => self.end(at, release),
        }
    }

    fn end(&mut self, at: usize, release: bool) {
        let t = &mut self.hand[at];
        assert!(!t.over, "rule 1: two final answers");
        assert!(self.now <= t.sequence.first_token_deadline, "rule 1: answered too late");
        assert!(release || t.held_since.is_none(), "rule 5: the end left a state pinned");
        (t.over, t.held_since) = (true, None);
    }

    fn outcome(&mut self, at: usize, outcome: Outcome) {
        let now = self.now;
        let t = &mut self.hand[at];
        let n = t.seen.len() - 1;
        let proven = matches!(
            outcome,
            Outcome::AtCapacity
                | Outcome::KvCacheMissing
                | Outcome::ConnectFailed
                | Outcome::NeverSent
                | Outcome::PrefillDone { .. }
        );
        t.seen[n].3 &= !proven;
        t.out = false;
        let last = t.over || t.streaming || outcome == Outcome::Completed;
        let taken = matches!(outcome, Outcome::Completed | Outcome::KvCacheMissing);
        if matches!(outcome, Outcome::PrefillDone { .. }) || (t.sequence.kv_cache.is_some() && !taken) {
            t.held_since = Some(now);
        }
        match self.scheduler.attempt_finished(now, &mut t.sequence, n, outcome, last) {
            NextStep::Schedule => {
                assert!(!last, "rule 1: goes on after the end");
                self.ask(at);
            }
            NextStep::Wait => panic!("nothing else was out"),
            NextStep::Complete { release } => {
                assert!(last);
                assert!(release || t.held_since.is_none() || t.streaming, "rule 5: left a state pinned");
                (t.over, t.held_since) = (true, None);
            }
        }
    }

    /// What falls due up to `until`: time-outs of attempts, and sequences to ask about again.
    fn pass(&mut self, until: Nanos) {
        loop {
            let due = |t: &Tracked| !t.streaming && t.due <= until && (t.out || !t.over);
            let next =
                (0..self.hand.len()).filter(|at| due(&self.hand[*at])).min_by_key(|at| self.hand[*at].due);
            let Some(at) = next else { break };
            self.now = self.now.max(self.hand[at].due);
            if self.hand[at].out {
                self.outcome(at, Outcome::TimedOut)
            } else {
                self.ask(at)
            }
            for t in &self.hand {
                let pinned =
                    t.held_since.is_some_and(|since| self.now > since + self.deployment.release_timeout);
                assert!(!pinned, "rule 5: a state stayed pinned");
            }
        }
        self.now = until;
    }

    fn step(&mut self, word: u32) {
        let (op, pick) = (word % 16, (word / 16) as usize);
        self.pass(self.now + (4 + u64::from(word / 256 % 32)) * MS);
        let out: Vec<usize> = (0..self.hand.len()).filter(|at| self.hand[*at].out).collect();
        match op {
            0..=7 => {
                let mut sequence = new_sequence(self.hand.len() as u64, pick % 5, self.now);
                sequence.first_token_deadline = self.now + (500 + (pick as u64 / 8 % 8) * 500) * MS;
                self.arrivals.push(self.now);
                let (seen, due) = (Vec::new(), Nanos::MAX);
                let t = Tracked {
                    sequence,
                    seen,
                    out: false,
                    streaming: false,
                    over: false,
                    held_since: None,
                    due,
                };
                self.hand.push(t);
                self.ask(self.hand.len() - 1);
            }
            8..=13 if !out.is_empty() => {
                let at = out[pick % out.len()];
                let reads = self.hand[at].sequence.attempts.last().is_some_and(|a| a.step == Step::Prefill);
                let outcome = match pick / 64 % 12 {
                    0 => Outcome::Error,
                    1 => Outcome::AtCapacity,
                    2 => Outcome::ConnectFailed,
                    3 => Outcome::Reset,
                    4 => Outcome::KvCacheMissing,
                    _ if reads => Outcome::PrefillDone { cached_tokens: 0.0 },
                    5..=7 if !self.hand[at].streaming && !self.hand[at].over => {
                        let n = self.hand[at].seen.len() - 1;
                        self.scheduler.first_token(self.now, &mut self.hand[at].sequence, n);
                        self.hand[at].streaming = true;
                        return;
                    }
                    _ => Outcome::Completed,
                };
                self.outcome(at, outcome);
            }
            14 => {
                let server = ServerId((pick % 7) as u64);
                let endpoint = self.list.get_mut(&server).unwrap();
                endpoint.state = match pick / 8 % 6 {
                    0 => EndpointState::Draining,
                    1 => EndpointState::Gone,
                    _ => EndpointState::Ready,
                };
                if endpoint.state == EndpointState::Ready {
                    endpoint.started_at = self.now;
                    self.cold_sends.remove(&server);
                }
                let change = [endpoint.clone()];
                self.scheduler.update_endpoints(self.now, SnapshotKind::Delta, &change);
            }
            15 if !out.is_empty() => {
                let t = &mut self.hand[out[pick % out.len()]];
                (t.sequence.completed, t.over, t.held_since) = (true, true, None);
            }
            _ => {}
        }
    }
}

fn keeps_the_rules(tape: Vec<u32>) -> bool {
    let mut world = World::new();
    tape.iter().for_each(|word| world.step(*word));
    world.pass(world.now + 10_000 * MS);
    world.hand.iter().all(|t| t.over || t.streaming)
}

#[test]
fn module_and_model_agree_on_what_is_allowed() {
    let mut check = QuickCheck::new().tests(400).rng(Gen::from_size_and_seed(400, 11));
    check.quickcheck(keeps_the_rules as fn(Vec<u32>) -> bool);
}
