//! The policy that a request manager schedules with: the scheduler, or a baseline for comparisons.

mod baseline;

use baseline::Baseline;
use petrelshore::Scheduler;
use petrelshore::interface::{
    Decision, Deployment, Endpoint, LoadReport, Nanos, NextStep, Outcome, Sequence, ServerId, SnapshotKind,
};

/// Selects the policy that a request manager schedules with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PolicyKind {
    /// The scheduler.
    #[default]
    Scheduler,
    /// The scheduler, which examines every server of a fleet of any size for each decision. For comparisons.
    FullScan,
    /// The baseline: a random server.
    Baseline,
}

/// The state of a policy.
pub enum Policy {
    /// The scheduler.
    Scheduler(Box<Scheduler>),
    /// The baseline.
    Baseline(Box<Baseline>),
}

impl Policy {
    /// Creates the selected policy.
    pub fn new(now: Nanos, deployment: Deployment, seed: u64, policy_kind: PolicyKind) -> Self {
        match policy_kind {
            PolicyKind::Scheduler => Policy::Scheduler(Box::new(Scheduler::new(now, deployment, seed))),
            PolicyKind::FullScan => Policy::Scheduler(Box::new(Scheduler::scanning(now, deployment, seed))),
            PolicyKind::Baseline => Policy::Baseline(Box::new(Baseline::new(deployment, seed))),
        }
    }

    /// Returns the number of servers examined since the start; zero for the baseline.
    pub fn servers_examined(&self) -> u64 {
        match self {
            Policy::Scheduler(scheduler) => scheduler.servers_examined(),
            Policy::Baseline(_) => 0,
        }
    }

    /// Applies an endpoint list, or a change of the endpoint list.
    pub fn update_endpoints(&mut self, now: Nanos, kind: SnapshotKind, endpoints: &[Endpoint]) {
        match self {
            Policy::Scheduler(scheduler) => scheduler.update_endpoints(now, kind, endpoints),
            Policy::Baseline(baseline) => baseline.update_endpoints(kind, endpoints),
        }
    }

    /// Records a failed poll of the endpoint list. Returns the time until the next poll, in nanoseconds.
    pub fn endpoint_poll_failed(&mut self) -> Nanos {
        match self {
            Policy::Scheduler(scheduler) => scheduler.endpoint_poll_failed(),
            Policy::Baseline(baseline) => baseline.endpoint_poll_failed(),
        }
    }

    /// Records the load that a server reported.
    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        if let Policy::Scheduler(scheduler) = self {
            scheduler.load_reported(now, server, report);
        }
    }

    /// Decides where to send a sequence without an attempt in flight.
    pub fn schedule(&mut self, now: Nanos, sequence: &mut Sequence) -> Decision {
        match self {
            Policy::Scheduler(scheduler) => scheduler.schedule(now, sequence),
            Policy::Baseline(baseline) => baseline.schedule(now, sequence),
        }
    }

    /// Records the end of an attempt and returns the next step of its sequence. `ends_sequence` is true if the end of
    /// the attempt completes the sequence.
    pub fn attempt_finished(
        &mut self,
        now: Nanos,
        sequence: &mut Sequence,
        attempt: usize,
        outcome: Outcome,
        ends_sequence: bool,
    ) -> NextStep {
        match self {
            Policy::Scheduler(scheduler) => {
                scheduler.attempt_finished(now, sequence, attempt, outcome, ends_sequence)
            }
            Policy::Baseline(_) => Baseline::attempt_finished(now, sequence, attempt, outcome, ends_sequence),
        }
    }

    /// Returns the time until the timer of a sequence expires, in nanoseconds.
    pub fn next_timeout(&self, now: Nanos, sequence: &Sequence) -> Nanos {
        match self {
            Policy::Scheduler(scheduler) => scheduler.next_timeout(now, sequence),
            Policy::Baseline(baseline) => baseline.next_timeout(now, sequence),
        }
    }

    /// Returns the time by which the KV caches reserved for a sequence must be released, if there are any.
    pub fn cache_release_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        match self {
            Policy::Scheduler(scheduler) => scheduler.cache_release_deadline(sequence),
            Policy::Baseline(baseline) => baseline.cache_release_deadline(sequence),
        }
    }

    /// Returns the time at which the servers that know a sequence's idempotency key forget this key, if that limits
    /// when an attempt may be sent.
    pub fn send_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        match self {
            Policy::Scheduler(scheduler) => scheduler.send_deadline(sequence),
            // The baseline only retries work that may be repeated at any time.
            Policy::Baseline(_) => None,
        }
    }

    /// Records that the first token of an attempt arrived.
    pub fn first_token(&mut self, now: Nanos, sequence: &mut Sequence, attempt: usize) {
        match self {
            Policy::Scheduler(scheduler) => scheduler.first_token(now, sequence, attempt),
            Policy::Baseline(_) => Baseline::first_token(sequence, attempt),
        }
    }
}
