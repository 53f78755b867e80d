//! The policy that a request manager schedules by: the scheduler, or a plain baseline to compare it with.

mod baseline;

use baseline::Baseline;
use petrelshore::Scheduler;
use petrelshore::interface::{
    Decision, Deployment, Endpoint, LoadReport, Nanos, NextStep, Outcome, Sequence, ServerId, SnapshotKind,
};

/// Which policy a request manager schedules by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Chooser {
    /// The scheduler.
    #[default]
    Decisions,
    /// The scheduler, examining every server of a fleet of any size: to compare with.
    Scan,
    /// The baseline: any server at random.
    Baseline,
}

/// A policy in use.
pub enum Policy {
    /// The scheduler.
    Decisions(Box<Scheduler>),
    /// The baseline.
    Baseline(Box<Baseline>),
}

impl Policy {
    /// The policy that was chosen.
    pub fn new(now: Nanos, deployment: Deployment, seed: u64, chooser: Chooser) -> Self {
        match chooser {
            Chooser::Decisions => Policy::Decisions(Box::new(Scheduler::new(now, deployment, seed))),
            Chooser::Scan => Policy::Decisions(Box::new(Scheduler::scanning(now, deployment, seed))),
            Chooser::Baseline => Policy::Baseline(Box::new(Baseline::new(deployment, seed))),
        }
    }

    /// Number of servers examined so far; zero for the baseline.
    pub fn servers_examined(&self) -> u64 {
        match self {
            Policy::Decisions(scheduler) => scheduler.servers_examined(),
            Policy::Baseline(_) => 0,
        }
    }

    /// The endpoint list, or a change of it, arrived.
    pub fn update_endpoints(&mut self, now: Nanos, kind: SnapshotKind, endpoints: &[Endpoint]) {
        match self {
            Policy::Decisions(scheduler) => scheduler.update_endpoints(now, kind, endpoints),
            Policy::Baseline(baseline) => baseline.update_endpoints(kind, endpoints),
        }
    }

    /// A poll of the endpoint list failed: the time until the next one.
    pub fn endpoint_poll_failed(&mut self) -> Nanos {
        match self {
            Policy::Decisions(scheduler) => scheduler.endpoint_poll_failed(),
            Policy::Baseline(baseline) => baseline.endpoint_poll_failed(),
        }
    }

    /// A server reported its load.
    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        if let Policy::Decisions(scheduler) = self {
            scheduler.load_reported(now, server, report);
        }
    }

    /// Decides where to send a sequence without an attempt in flight.
    pub fn schedule(&mut self, now: Nanos, sequence: &mut Sequence) -> Decision {
        match self {
            Policy::Decisions(scheduler) => scheduler.schedule(now, sequence),
            Policy::Baseline(baseline) => baseline.schedule(now, sequence),
        }
    }

    /// An attempt ended; `ends_sequence` if that completes its sequence.
    pub fn attempt_finished(
        &mut self,
        now: Nanos,
        sequence: &mut Sequence,
        attempt: usize,
        outcome: Outcome,
        ends_sequence: bool,
    ) -> NextStep {
        match self {
            Policy::Decisions(scheduler) => {
                scheduler.attempt_finished(now, sequence, attempt, outcome, ends_sequence)
            }
            Policy::Baseline(_) => Baseline::attempt_finished(now, sequence, attempt, outcome, ends_sequence),
        }
    }

    /// The time until the timer of a sequence expires.
    pub fn next_timeout(&self, now: Nanos, sequence: &Sequence) -> Nanos {
        match self {
            Policy::Decisions(scheduler) => scheduler.next_timeout(now, sequence),
            Policy::Baseline(baseline) => baseline.next_timeout(now, sequence),
        }
    }

    /// When the KV caches reserved for a sequence must be released, if there are any.
    pub fn cache_release_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        match self {
            Policy::Decisions(scheduler) => scheduler.cache_release_deadline(sequence),
            Policy::Baseline(baseline) => baseline.cache_release_deadline(sequence),
        }
    }

    /// When the servers that know a sequence's idempotency key forget it.
    pub fn send_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        match self {
            Policy::Decisions(scheduler) => scheduler.send_deadline(sequence),
            // It only retries work that may be repeated at any time.
            Policy::Baseline(_) => None,
        }
    }

    /// The first token of an attempt arrived.
    pub fn first_token(&mut self, now: Nanos, sequence: &mut Sequence, attempt: usize) {
        match self {
            Policy::Decisions(scheduler) => scheduler.first_token(now, sequence, attempt),
            Policy::Baseline(_) => Baseline::first_token(sequence, attempt),
        }
    }
}
