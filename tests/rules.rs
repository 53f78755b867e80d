//! A slow, plain model of the five rules beside the scheduler, on generated runs: they must agree on what is allowed.

mod common;

use common::*;
use petrelshore::Scheduler;
use petrelshore::interface::*;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

/// An attempt as the model saw it.
#[derive(Clone, Copy)]
struct SeenAttempt {
    cell: CellId,
    sent_at: Nanos,
    may_have_run: bool,
}

/// A sequence, and what the model knows of it.
struct TrackedSequence {
    sequence: Sequence,
    attempts: Vec<SeenAttempt>,
    in_flight: bool,
    streaming: bool,
    completed: bool,
    /// Since when prefill servers may hold a KV cache for it with no attempt in flight.
    held_since: Option<Nanos>,
    /// When its attempt times out, or it is to be scheduled again.
    due: Nanos,
}

struct World {
    scheduler: Scheduler,
    deployment: Deployment,
    now: Nanos,
    list: BTreeMap<ServerId, Endpoint>,
    sequences: Vec<TrackedSequence>,
    arrivals: Vec<Nanos>,
    slow_start_sends: BTreeMap<ServerId, Vec<Nanos>>,
}

impl World {
    fn new() -> Self {
        let mut list = two_cell_fleet();
        list.push(ready_endpoint(6, 2, 1));
        let deployment =
            Deployment { slow_start_overload_factor: 1.0, slow_start_initial_share: 0.2, ..deployment() };
        World {
            scheduler: new_scheduler(deployment.clone(), &list),
            deployment,
            now: START,
            list: list.into_iter().map(|e| (e.server, e)).collect(),
            sequences: Vec::new(),
            arrivals: Vec::new(),
            slow_start_sends: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, at: usize) {
        let now = self.now;
        let decision = self.scheduler.schedule(now, &mut self.sequences[at].sequence);
        match decision {
            Decision::Send(server) => self.check_send(at, server),
            Decision::Wait => {
                let tracked = &mut self.sequences[at];
                assert!(!tracked.completed && !tracked.in_flight);
                tracked.due = now + self.scheduler.next_timeout(now, &tracked.sequence).max(1);
            }
            Decision::Reject { release, .. } => {
                let harmless = match (self.idempotency(at), self.possible_run(at)) {
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

    fn idempotency(&self, at: usize) -> Idempotency {
        self.deployment.types[self.sequences[at].sequence.traffic.0].idempotency
    }

    fn possible_run(&self, at: usize) -> Option<SeenAttempt> {
        self.sequences[at].attempts.iter().find(|attempt| attempt.may_have_run).copied()
    }

    fn check_send(&mut self, at: usize, server: ServerId) {
        let now = self.now;
        let (idempotency, possible_run) = (self.idempotency(at), self.possible_run(at));
        let tracked = &self.sequences[at];
        let endpoint = self.list[&server].clone();
        assert!(!tracked.completed && !tracked.in_flight, "rule 1: sent after the end, or twice at once");
        assert!(tracked.attempts.len() < self.deployment.max_attempts, "more attempts than allowed");
        assert!(now < tracked.sequence.first_token_deadline, "rule 1: sent after the client left");
        assert_eq!(endpoint.state, EndpointState::Ready, "rule 3: sent to a server that drains");
        match (idempotency, possible_run) {
            (Idempotency::AtMostOnce, Some(_)) => panic!("rule 2: at-most-once sent again"),
            (Idempotency::Keyed { scope, window }, Some(first)) => {
                assert!(now < first.sent_at + window, "rule 2: keyed sent after its window");
                let known = scope == KeyScope::Fleet || first.cell == endpoint.cell;
                assert!(known, "rule 2: keyed sent outside its scope");
            }
            _ => {}
        }
        if endpoint.started_at > 0 && now < endpoint.started_at + self.deployment.slow_start_duration {
            self.check_slow_start(&endpoint);
        }
        let may_have_run = endpoint.kind != ServerKindId(0);
        let tracked = &mut self.sequences[at];
        tracked.attempts.push(SeenAttempt { cell: endpoint.cell, sent_at: now, may_have_run });
        tracked.in_flight = true;
        tracked.held_since = None;
        tracked.due = now + self.scheduler.next_timeout(now, &tracked.sequence);
    }

    /// A server in slow start was sent something.
    fn check_slow_start(&mut self, endpoint: &Endpoint) {
        let now = self.now;
        let sends = self.slow_start_sends.entry(endpoint.server).or_default();
        sends.push(now);
        let window = self.deployment.slow_start_window;
        let in_window = sends.iter().filter(|sent_at| **sent_at + window > now).count() as f64;
        let peak_rate = max_in_window(&self.arrivals, 1000 * MILLISECOND).unwrap_or(0) as f64;
        let same_pool = |e: &&Endpoint| (e.kind == ServerKindId(0)) == (endpoint.kind == ServerKindId(0));
        let listed = self.list.values().filter(|e| e.state != EndpointState::Gone);
        let pool = listed.filter(same_pool).count() as f64;
        let share = self.deployment.slow_start_overload_factor * self.deployment.slow_start_initial_share;
        let budget = share * peak_rate / pool * window as f64 / 1e9;
        assert!(in_window <= budget.max(1.0) + 1.0, "rule 4: {in_window} sends, budget {budget}");
    }

    /// A sequence got its final answer.
    fn end(&mut self, at: usize, release: bool) {
        let tracked = &mut self.sequences[at];
        assert!(!tracked.completed, "rule 1: two final answers");
        assert!(self.now <= tracked.sequence.first_token_deadline, "rule 1: answered too late");
        assert!(release || tracked.held_since.is_none(), "rule 5: the end left a KV cache held");
        tracked.completed = true;
        tracked.held_since = None;
    }

    fn finish_attempt(&mut self, at: usize, outcome: Outcome) {
        let now = self.now;
        let tracked = &mut self.sequences[at];
        let n = tracked.attempts.len() - 1;
        let has_provably_not_run = matches!(
            outcome,
            Outcome::AtCapacity
                | Outcome::KvCacheMissing
                | Outcome::ConnectFailed
                | Outcome::NeverSent
                | Outcome::PrefillDone { .. }
        );
        tracked.attempts[n].may_have_run &= !has_provably_not_run;
        tracked.in_flight = false;
        let last = tracked.completed || tracked.streaming || outcome == Outcome::Completed;
        let is_fetched = matches!(outcome, Outcome::Completed | Outcome::KvCacheMissing);
        if matches!(outcome, Outcome::PrefillDone { .. })
            || (tracked.sequence.kv_cache.is_some() && !is_fetched)
        {
            tracked.held_since = Some(now);
        }
        match self.scheduler.attempt_finished(now, &mut tracked.sequence, n, outcome, last) {
            NextStep::Schedule => {
                assert!(!last, "rule 1: goes on after the end");
                self.schedule(at);
            }
            NextStep::Wait => panic!("nothing else was in flight"),
            NextStep::Complete { release } => {
                assert!(last);
                assert!(
                    release || tracked.held_since.is_none() || tracked.streaming,
                    "rule 5: left a KV cache held"
                );
                tracked.completed = true;
                tracked.held_since = None;
            }
        }
    }

    /// Handles what falls due up to `until`: timeouts of attempts, and sequences to schedule again.
    fn advance(&mut self, until: Nanos) {
        loop {
            let is_due = |tracked: &TrackedSequence| {
                !tracked.streaming && tracked.due <= until && (tracked.in_flight || !tracked.completed)
            };
            let next = (0..self.sequences.len())
                .filter(|at| is_due(&self.sequences[*at]))
                .min_by_key(|at| self.sequences[*at].due);
            let Some(at) = next else { break };
            self.now = self.now.max(self.sequences[at].due);
            if self.sequences[at].in_flight {
                self.finish_attempt(at, Outcome::TimedOut)
            } else {
                self.schedule(at)
            }
            for tracked in &self.sequences {
                let is_overdue = tracked
                    .held_since
                    .is_some_and(|since| self.now > since + self.deployment.release_timeout);
                assert!(!is_overdue, "rule 5: a KV cache stayed held");
            }
        }
        self.now = until;
    }

    /// One event of a run, as a number says.
    fn step(&mut self, word: u32) {
        let (operation, pick) = (word % 16, (word / 16) as usize);
        self.advance(self.now + (4 + u64::from(word / 256 % 32)) * MILLISECOND);
        let in_flight: Vec<usize> =
            (0..self.sequences.len()).filter(|at| self.sequences[*at].in_flight).collect();
        match operation {
            0..=7 => self.add_sequence(pick),
            8..=13 if !in_flight.is_empty() => {
                self.advance_attempt(in_flight[pick % in_flight.len()], pick / 64 % 12)
            }
            14 => self.change_endpoint(pick),
            15 if !in_flight.is_empty() => {
                let tracked = &mut self.sequences[in_flight[pick % in_flight.len()]];
                tracked.sequence.completed = true;
                tracked.completed = true;
                tracked.held_since = None;
            }
            _ => {}
        }
    }

    fn add_sequence(&mut self, pick: usize) {
        let mut sequence = new_sequence(self.sequences.len() as u64, pick % 5, self.now);
        sequence.first_token_deadline = self.now + (500 + (pick as u64 / 8 % 8) * 500) * MILLISECOND;
        self.arrivals.push(self.now);
        self.sequences.push(TrackedSequence {
            sequence,
            attempts: Vec::new(),
            in_flight: false,
            streaming: false,
            completed: false,
            held_since: None,
            due: Nanos::MAX,
        });
        self.schedule(self.sequences.len() - 1);
    }

    fn advance_attempt(&mut self, at: usize, pick: usize) {
        let tracked = &mut self.sequences[at];
        let is_prefill = tracked.sequence.attempts.last().is_some_and(|a| a.step == Step::Prefill);
        let outcome = match pick {
            0 => Outcome::Error,
            1 => Outcome::AtCapacity,
            2 => Outcome::ConnectFailed,
            3 => Outcome::Reset,
            4 => Outcome::KvCacheMissing,
            _ if is_prefill => PREFILL_DONE,
            5..=7 if !tracked.streaming && !tracked.completed => {
                let n = tracked.attempts.len() - 1;
                self.scheduler.first_token(self.now, &mut tracked.sequence, n);
                tracked.streaming = true;
                return;
            }
            _ => Outcome::Completed,
        };
        self.finish_attempt(at, outcome);
    }

    fn change_endpoint(&mut self, pick: usize) {
        let server = ServerId((pick % 7) as u64);
        let endpoint = self.list.get_mut(&server).unwrap();
        endpoint.state = match pick / 8 % 6 {
            0 => EndpointState::Draining,
            1 => EndpointState::Gone,
            _ => EndpointState::Ready,
        };
        if endpoint.state == EndpointState::Ready {
            endpoint.started_at = self.now;
            self.slow_start_sends.remove(&server);
        }
        let change = [endpoint.clone()];
        self.scheduler.update_endpoints(self.now, SnapshotKind::Delta, &change);
    }
}

fn keeps_the_rules(words: Vec<u32>) -> bool {
    let mut world = World::new();
    words.iter().for_each(|word| world.step(*word));
    world.advance(world.now + 10_000 * MILLISECOND);
    world.sequences.iter().all(|tracked| tracked.completed || tracked.streaming)
}

#[test]
fn scheduler_keeps_the_rules_of_a_plain_model() {
    let mut check = QuickCheck::new().tests(400).rng(Gen::from_size_and_seed(400, 11));
    check.quickcheck(keeps_the_rules as fn(Vec<u32>) -> bool);
}
