//! A property test of the scheduler: in generated runs, a simple model checks that each decision follows the five
//! rules.
//!
//! 1. A sequence has at most one attempt in flight and gets one final answer, by the deadline of its client.
//! 2. A sequence that may have run is sent again or rejected only as far as its idempotency allows.
//! 3. Sequences are sent to ready servers only.
//! 4. A server in slow start is sent no more sequences in a window than its budget allows.
//! 5. While no attempt is in flight, prefill servers hold a KV cache no longer than the release timeout, and the final
//!    answer releases it.

mod common;

use common::*;
use petrelshore::Scheduler;
use petrelshore::interface::*;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

/// An attempt as the model observed it.
#[derive(Clone, Copy)]
struct ObservedAttempt {
    cell: CellId,
    sent_at: Nanos,
    may_have_run: bool,
}

/// A sequence, and the state that the model keeps for it.
struct TrackedSequence {
    sequence: Sequence,
    attempts: Vec<ObservedAttempt>,
    in_flight: bool,
    streaming: bool,
    completed: bool,
    /// Time since which prefill servers may hold a KV cache for the sequence while no attempt is in flight.
    held_since: Option<Nanos>,
    /// The time at which the attempt in flight times out or, without one, the sequence is scheduled again.
    due: Nanos,
}

/// The scheduler under test, its inputs, and the state of the model.
struct Simulation {
    scheduler: Scheduler,
    deployment: Deployment,
    now: Nanos,
    list: BTreeMap<ServerId, Endpoint>,
    sequences: Vec<TrackedSequence>,
    arrivals: Vec<Nanos>,
    slow_start_sends: BTreeMap<ServerId, Vec<Nanos>>,
}

impl Simulation {
    fn new() -> Self {
        let mut list = two_cell_fleet();
        list.push(ready_endpoint(6, 2, 1));
        let deployment =
            Deployment { slow_start_overload_factor: 1.0, slow_start_initial_share: 0.2, ..deployment() };
        Simulation {
            scheduler: new_scheduler(deployment.clone(), &list),
            deployment,
            now: START,
            list: list.into_iter().map(|e| (e.server, e)).collect(),
            sequences: Vec::new(),
            arrivals: Vec::new(),
            slow_start_sends: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, index: usize) {
        let now = self.now;
        let decision = self.scheduler.schedule(now, &mut self.sequences[index].sequence);
        match decision {
            Decision::Send(server) => self.check_send(index, server),
            Decision::Wait => {
                let tracked = &mut self.sequences[index];
                assert!(!tracked.completed && !tracked.in_flight);
                tracked.due = now + self.scheduler.next_timeout(now, &tracked.sequence).max(1);
            }
            Decision::Reject { release, .. } => {
                let retry_is_safe = match (self.idempotency(index), self.possible_run(index)) {
                    (Idempotency::Idempotent, _) | (_, None) => true,
                    (Idempotency::Keyed { scope, .. }, _) => scope == KeyScope::Fleet,
                    (Idempotency::AtMostOnce, _) => false,
                };
                assert!(retry_is_safe, "rule 2: rejected a sequence that may have run");
                self.end(index, release);
            }
            Decision::Abort { release } => self.end(index, release),
        }
    }

    fn idempotency(&self, index: usize) -> Idempotency {
        self.deployment.types[self.sequences[index].sequence.traffic.0].idempotency
    }

    fn possible_run(&self, index: usize) -> Option<ObservedAttempt> {
        self.sequences[index].attempts.iter().find(|attempt| attempt.may_have_run).copied()
    }

    fn check_send(&mut self, index: usize, server: ServerId) {
        let now = self.now;
        let (idempotency, possible_run) = (self.idempotency(index), self.possible_run(index));
        let tracked = &self.sequences[index];
        let endpoint = self.list[&server].clone();
        assert!(
            !tracked.completed && !tracked.in_flight,
            "rule 1: sent after its final answer, or while another attempt is in flight"
        );
        assert!(tracked.attempts.len() < self.deployment.max_attempts, "more attempts than allowed");
        assert!(now < tracked.sequence.first_token_deadline, "rule 1: sent after the client's deadline");
        assert_eq!(endpoint.state, EndpointState::Ready, "rule 3: sent to a server that is not ready");
        match (idempotency, possible_run) {
            (Idempotency::AtMostOnce, Some(_)) => panic!("rule 2: at-most-once sequence sent again"),
            (Idempotency::Keyed { scope, window }, Some(first)) => {
                assert!(now < first.sent_at + window, "rule 2: keyed sequence sent after its window");
                let is_in_scope = scope == KeyScope::Fleet || first.cell == endpoint.cell;
                assert!(is_in_scope, "rule 2: keyed sequence sent outside its scope");
            }
            _ => {}
        }
        if endpoint.started_at > 0 && now < endpoint.started_at + self.deployment.slow_start_duration {
            self.check_slow_start(&endpoint);
        }
        let may_have_run = endpoint.kind != ServerKindId(0);
        let tracked = &mut self.sequences[index];
        tracked.attempts.push(ObservedAttempt { cell: endpoint.cell, sent_at: now, may_have_run });
        tracked.in_flight = true;
        tracked.held_since = None;
        tracked.due = now + self.scheduler.next_timeout(now, &tracked.sequence);
    }

    /// Counts a send to a server in slow start, and checks it against the server's budget.
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

    /// Records the final answer of a sequence.
    fn end(&mut self, index: usize, release: bool) {
        let tracked = &mut self.sequences[index];
        assert!(!tracked.completed, "rule 1: two final answers");
        assert!(self.now <= tracked.sequence.first_token_deadline, "rule 1: answered too late");
        assert!(
            release || tracked.held_since.is_none(),
            "rule 5: final answer without release of a held KV cache"
        );
        tracked.completed = true;
        tracked.held_since = None;
    }

    fn finish_attempt(&mut self, index: usize, outcome: Outcome) {
        let now = self.now;
        let tracked = &mut self.sequences[index];
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
        let is_final = tracked.completed || tracked.streaming || outcome == Outcome::Completed;
        let is_fetched = matches!(outcome, Outcome::Completed | Outcome::KvCacheMissing);
        if matches!(outcome, Outcome::PrefillDone { .. })
            || (tracked.sequence.kv_cache.is_some() && !is_fetched)
        {
            tracked.held_since = Some(now);
        }
        match self.scheduler.attempt_finished(now, &mut tracked.sequence, n, outcome, is_final) {
            NextStep::Schedule => {
                assert!(!is_final, "rule 1: scheduled again after its final answer");
                self.schedule(index);
            }
            NextStep::Wait => panic!("told to wait with no other attempt in flight"),
            NextStep::Complete { release } => {
                assert!(is_final);
                assert!(
                    release || tracked.held_since.is_none() || tracked.streaming,
                    "rule 5: completed without release of a held KV cache"
                );
                tracked.completed = true;
                tracked.held_since = None;
            }
        }
    }

    /// Advances the clock to `until`: attempts time out and waiting sequences are scheduled again when they are due.
    fn advance(&mut self, until: Nanos) {
        loop {
            let is_due = |tracked: &TrackedSequence| {
                !tracked.streaming && tracked.due <= until && (tracked.in_flight || !tracked.completed)
            };
            let next = (0..self.sequences.len())
                .filter(|index| is_due(&self.sequences[*index]))
                .min_by_key(|index| self.sequences[*index].due);
            let Some(index) = next else { break };
            self.now = self.now.max(self.sequences[index].due);
            if self.sequences[index].in_flight {
                self.finish_attempt(index, Outcome::TimedOut)
            } else {
                self.schedule(index)
            }
            for tracked in &self.sequences {
                let is_overdue = tracked
                    .held_since
                    .is_some_and(|since| self.now > since + self.deployment.release_timeout);
                assert!(!is_overdue, "rule 5: KV cache held past the release timeout");
            }
        }
        self.now = until;
    }

    /// Runs one random event. The number `code` selects the operation, its parameter and the delay before it.
    fn run_event(&mut self, code: u32) {
        let (operation, parameter) = (code % 16, (code / 16) as usize);
        self.advance(self.now + (4 + u64::from(code / 256 % 32)) * MILLISECOND);
        let in_flight: Vec<usize> =
            (0..self.sequences.len()).filter(|index| self.sequences[*index].in_flight).collect();
        match operation {
            0..=7 => self.add_sequence(parameter),
            8..=13 if !in_flight.is_empty() => {
                self.advance_attempt(in_flight[parameter % in_flight.len()], parameter / 64 % 12)
            }
            14 => self.change_endpoint(parameter),
            15 if !in_flight.is_empty() => {
                let tracked = &mut self.sequences[in_flight[parameter % in_flight.len()]];
                tracked.sequence.completed = true;
                tracked.completed = true;
                tracked.held_since = None;
            }
            _ => {}
        }
    }

    fn add_sequence(&mut self, parameter: usize) {
        let mut sequence = new_sequence(self.sequences.len() as u64, parameter % 5, self.now);
        sequence.first_token_deadline = self.now + (500 + (parameter as u64 / 8 % 8) * 500) * MILLISECOND;
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

    fn advance_attempt(&mut self, index: usize, parameter: usize) {
        let tracked = &mut self.sequences[index];
        let is_prefill = tracked.sequence.attempts.last().is_some_and(|a| a.step == Step::Prefill);
        let outcome = match parameter {
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
        self.finish_attempt(index, outcome);
    }

    fn change_endpoint(&mut self, parameter: usize) {
        let server = ServerId((parameter % 7) as u64);
        let endpoint = self.list.get_mut(&server).unwrap();
        endpoint.state = match parameter / 8 % 6 {
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

fn keeps_the_rules(codes: Vec<u32>) -> bool {
    let mut simulation = Simulation::new();
    codes.iter().for_each(|code| simulation.run_event(*code));
    simulation.advance(simulation.now + 10_000 * MILLISECOND);
    simulation.sequences.iter().all(|tracked| tracked.completed || tracked.streaming)
}

#[test]
fn scheduler_keeps_the_rules_of_a_plain_model() {
    let mut check = QuickCheck::new().tests(400).rng(Gen::from_size_and_seed(400, 11));
    check.quickcheck(keeps_the_rules as fn(Vec<u32>) -> bool);
}
