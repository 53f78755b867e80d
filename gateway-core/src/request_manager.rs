//! The state machine of all sequences in flight. It receives typed events and returns [`Action`]s.
//!
//! [`RequestManager`] performs no I/O and reads no clock. The caller reports events together with the time, and
//! executes the returned actions in order. Every accepted sequence gets exactly one final answer.
//!
//! The submodules are the messages (`action`, `new_sequence`), the state of one sequence (`tracked_sequence`),
//! scheduling (`scheduling`), the progress and end of attempts (`attempts`), expired timers (`expiry` and
//! `timer_queue`) and graceful shutdown (`shutdown`).

mod action;
mod attempts;
mod expiry;
mod new_sequence;
mod scheduling;
mod shutdown;
mod timer_queue;
mod tracked_sequence;

pub use action::{Action, CancelReason, Counts, Dispatch, FailureReason, Finality};
pub use new_sequence::{NewSequence, Relay};

use crate::attempt_outcome::is_open;
use crate::invariants::{InvariantChecks, Violation};
use crate::policy::{Policy, PolicyKind};
use petrelshore::interface::{
    Deployment, Endpoint, LoadReport, Nanos, SequenceId, ServerId, SnapshotKind, TrafficType,
};
use std::collections::{BTreeMap, HashMap};
use timer_queue::TimerQueue;
use tracked_sequence::TrackedSequence;

/// Manages all sequences in flight at one gateway, with their attempts and timers.
pub struct RequestManager {
    policy: Policy,
    traffic_types: Vec<TrafficType>,
    sequences: HashMap<SequenceId, TrackedSequence>,
    timers: TimerQueue,
    draining: bool,
    counts: Counts,
    release_timeout: Nanos,
    invariants: InvariantChecks,
}

impl RequestManager {
    /// Creates a request manager that schedules with [`petrelshore::Scheduler`].
    pub fn new(now: Nanos, deployment: Deployment, seed: u64) -> Self {
        Self::with_policy(now, deployment, seed, PolicyKind::Scheduler)
    }

    /// Creates a request manager that schedules with the given policy.
    pub fn with_policy(now: Nanos, deployment: Deployment, seed: u64, policy_kind: PolicyKind) -> Self {
        RequestManager {
            traffic_types: deployment.types.clone(),
            release_timeout: deployment.release_timeout,
            invariants: InvariantChecks::default(),
            policy: Policy::new(now, deployment, seed, policy_kind),
            sequences: HashMap::new(),
            timers: TimerQueue::default(),
            draining: false,
            counts: Counts::default(),
        }
    }

    /// Accepts a sequence. The sequence then gets exactly one final answer, unless its client cancels it.
    pub fn accept(&mut self, now: Nanos, new: NewSequence, actions: &mut Vec<Action>) {
        let id = new.id;
        self.counts.accepted += 1;
        let traffic_type = &self.traffic_types[new.traffic.0];
        self.sequences.insert(id, TrackedSequence::new(now, new, traffic_type));
        if self.draining {
            self.terminate(now, id, FailureReason::ShuttingDown, actions);
        } else {
            self.schedule(now, id, FailureReason::AtCapacity, actions);
        }
    }

    /// Records that a token of a running stream arrived.
    pub fn token_received(&mut self, now: Nanos, id: SequenceId) {
        // The stream timer is not reset for each token: its deadline is recomputed when it expires.
        if let Some(tracked) = self.sequences.get_mut(&id) {
            tracked.last_activity_at = now;
            tracked.tokens_received += 1;
        }
    }

    /// Records that the client stopped reading its stream.
    pub fn client_stalled(&mut self, now: Nanos, id: SequenceId) {
        self.set_stalled_since(now, id, Some(now));
    }

    /// Records that the client reads its stream again.
    pub fn client_stall_ended(&mut self, now: Nanos, id: SequenceId) {
        self.set_stalled_since(now, id, None);
    }

    fn set_stalled_since(&mut self, now: Nanos, id: SequenceId, stalled_since: Option<Nanos>) {
        let Some(tracked) = self.sequences.get_mut(&id) else { return };
        tracked.last_activity_at = now;
        tracked.stalled_since = stalled_since;
        self.reset_stream_timer(now, id);
    }

    /// Handles a client that cancelled its request: cancels the attempt in flight and releases the KV caches.
    pub fn client_cancelled(&mut self, id: SequenceId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.sequences.get_mut(&id) else { return };
        if !tracked.sequence.completed {
            tracked.sequence.completed = true;
            self.counts.cancelled += 1;
        }
        if let Some(attempt) = tracked.sequence.attempts.len().checked_sub(1) {
            let last = &tracked.sequence.attempts[attempt];
            if is_open(last) {
                let (server, step, reason) = (last.server, last.step, CancelReason::ClientLeft);
                actions.push(Action::Cancel { id, attempt, server, step, reason });
            }
        }
        actions.push(Action::Release { id });
        self.cancel_timer(id);
        self.remove_if_finished(id);
    }

    /// Applies an endpoint list, or a change of the endpoint list.
    pub fn update_endpoints(&mut self, now: Nanos, kind: SnapshotKind, endpoints: &[Endpoint]) {
        self.policy.update_endpoints(now, kind, endpoints);
    }

    /// Handles a failed poll of the endpoint list by requesting the next poll.
    pub fn endpoint_poll_failed(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        actions.push(Action::PollEndpoints { at: now + self.policy.endpoint_poll_failed() });
    }

    /// Records the load that a server reported.
    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        self.policy.load_reported(now, server, report);
    }

    /// Schedules a sequence again that no server could take. This is for callers that run the timer of
    /// [`Action::WakeAt`] themselves.
    pub fn retry_scheduling(&mut self, now: Nanos, id: SequenceId, actions: &mut Vec<Action>) {
        self.schedule(now, id, FailureReason::AtCapacity, actions);
    }

    /// Returns whether a sequence is tracked: its final answer is pending, or one of its attempts is in flight.
    pub fn contains(&self, id: SequenceId) -> bool {
        self.sequences.contains_key(&id)
    }

    /// Returns the number of sequences whose final answer is pending.
    pub fn unanswered(&self) -> usize {
        let Counts { accepted, completed, rejected, aborted, cancelled, .. } = self.counts;
        (accepted - completed - rejected - aborted - cancelled) as usize
    }

    /// Returns the number of servers that scheduling has examined since the start.
    pub fn servers_examined(&self) -> u64 {
        self.policy.servers_examined()
    }

    /// Returns the counts of events since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns how often each invariant was violated since the start.
    pub fn violations(&self) -> &BTreeMap<Violation, u64> {
        self.invariants.violations()
    }

    /// Removes a sequence that is completed and has no attempt in flight.
    fn remove_if_finished(&mut self, id: SequenceId) {
        if self.sequences.get(&id).is_some_and(TrackedSequence::is_finished) {
            self.cancel_timer(id);
            self.sequences.remove(&id);
        }
    }
}
