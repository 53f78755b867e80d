//! Graceful shutdown: draining, moving streams to other gateways, and terminating the remaining sequences.

use super::RequestManager;
use super::action::{Action, CancelReason, FailureReason};
use super::new_sequence::Relay;
use super::tracked_sequence::TrackedSequence;
use crate::attempt_outcome::is_open;
use petrelshore::interface::{Attempt, AttemptStatus, Nanos, NextStep, Outcome, SequenceId};
use std::cmp::Reverse;

/// Sort key for the termination of streams. The newest stream is terminated first, since most of its answer is still to
/// be decoded. Streams that were already resumed are terminated last, since each move to another gateway costs a
/// prefill.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct TerminationOrder {
    resumed: bool,
    arrived_at: Reverse<Nanos>,
    id: SequenceId,
}

impl RequestManager {
    /// Stops accepting sequences. Running streams continue.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Terminates at most `max_streams` of the running streams, the newest first, so that clients resume them at
    /// another gateway. Sequences that have not received a token continue.
    pub fn terminate_streams(&mut self, now: Nanos, max_streams: usize, actions: &mut Vec<Action>) {
        let mut streams: Vec<TerminationOrder> =
            self.streaming_sequences().map(TerminationOrder::of).collect();
        streams.sort_unstable();
        for stream in streams.into_iter().take(max_streams) {
            self.terminate(now, stream.id, FailureReason::ShuttingDown, actions);
        }
    }

    /// Returns the number of running streams.
    pub fn running_streams(&self) -> usize {
        self.streaming_sequences().count()
    }

    /// Terminates every sequence in flight once the drain time is over, so that each sequence gets its final answer.
    pub fn terminate_all(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.draining = true;
        let mut ids: Vec<SequenceId> = self.sequences.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            self.terminate(now, id, FailureReason::ShuttingDown, actions);
        }
    }

    /// Terminates a sequence at once. The policy decides whether the client may safely retry the request.
    pub(super) fn terminate(
        &mut self,
        now: Nanos,
        id: SequenceId,
        reason: FailureReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.sequences.get_mut(&id) else { return };
        let sequence = &mut tracked.sequence;
        if sequence.completed {
            return;
        }
        sequence.first_token_deadline = now;
        let Some(attempt) = sequence.attempts.iter().rposition(is_open) else {
            return self.schedule(now, id, reason, actions);
        };
        let Attempt { server, step, status, .. } = sequence.attempts[attempt];
        let cancel_reason = CancelReason::ShuttingDown;
        actions.push(Action::Cancel { id, attempt, server, step, reason: cancel_reason });
        let client_has_tokens = status == AttemptStatus::Streaming && tracked.relay != Relay::Buffered;
        match self.policy.attempt_finished(now, sequence, attempt, Outcome::Cancelled, client_has_tokens) {
            NextStep::Complete { .. } => {
                self.counts.aborted += 1;
                actions.push(Action::Complete { id, outcome: Outcome::Cancelled, reason: Some(reason) });
                actions.push(Action::Release { id });
                self.cancel_timer(id);
                self.remove_if_finished(id);
            }
            NextStep::Schedule | NextStep::Wait => self.schedule(now, id, reason, actions),
        }
    }

    fn streaming_sequences(&self) -> impl Iterator<Item = &TrackedSequence> {
        self.sequences.values().filter(|tracked| tracked.is_streaming())
    }
}

impl TerminationOrder {
    fn of(tracked: &TrackedSequence) -> Self {
        let sequence = &tracked.sequence;
        TerminationOrder {
            resumed: sequence.resumed,
            arrived_at: Reverse(sequence.arrived_at),
            id: sequence.id,
        }
    }
}
