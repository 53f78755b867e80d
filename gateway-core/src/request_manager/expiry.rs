//! Sets the timers of sequences and handles expired timers.

use super::RequestManager;
use super::action::{Action, CancelReason, FailureReason, Finality};
use super::attempts::FinishedAttempt;
use super::new_sequence::Relay;
use super::tracked_sequence::TrackedSequence;
use crate::attempt_outcome::AttemptEnd;
use petrelshore::interface::{Attempt, AttemptStatus, Nanos, Outcome, SequenceId};

impl RequestManager {
    /// Returns the time at which [`RequestManager::on_timeout`] next has a timer to handle.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.timers.next_deadline()
    }

    /// Handles every timer that has expired by `now`.
    pub fn on_timeout(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        while let Some(id) = self.timers.pop_expired(now) {
            if let Some(tracked) = self.sequences.get_mut(&id) {
                tracked.timer = None;
                self.timer_expired(now, id, actions);
            }
        }
    }

    /// Handles the expired timer of a sequence: its attempt timed out, its stream made no progress or exceeded its
    /// completion deadline, or the sequence is scheduled again.
    fn timer_expired(&mut self, now: Nanos, id: SequenceId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.sequences.get(&id) else { return };
        let Some(attempt) = tracked.sequence.attempts.len().checked_sub(1) else {
            return self.schedule(now, id, FailureReason::AtCapacity, actions);
        };
        match tracked.sequence.attempts[attempt].status {
            AttemptStatus::Finished(_) => self.schedule(now, id, FailureReason::AttemptsExhausted, actions),
            AttemptStatus::InFlight => {
                self.attempt_timed_out(now, id, attempt, FailureReason::DeadlineExceeded, actions);
            }
            AttemptStatus::Streaming => {
                if now < self.stream_deadline(tracked) {
                    return self.reset_stream_timer(now, id);
                }
                let reason = match tracked.stalled_since {
                    _ if now >= tracked.completion_deadline => FailureReason::DeadlineExceeded,
                    Some(_) => FailureReason::ClientStalled,
                    None => FailureReason::StreamBroken,
                };
                self.attempt_timed_out(now, id, attempt, reason, actions);
            }
        }
    }

    /// Cancels an attempt that timed out and reports its end to the policy. A stream of which only the end marker is missing
    /// completes its sequence.
    fn attempt_timed_out(
        &mut self,
        now: Nanos,
        id: SequenceId,
        attempt: usize,
        reason: FailureReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.sequences.get(&id) else { return };
        let Attempt { server, step, status, .. } = tracked.sequence.attempts[attempt];
        self.counts.timed_out += 1;
        let streaming = status == AttemptStatus::Streaming;
        // A stalled client is no evidence that the decode server failed.
        let (cancel_reason, end) = match tracked.stalled_since {
            Some(_) => (CancelReason::ClientStalled, AttemptEnd::Cancelled),
            None => (CancelReason::TimedOut, AttemptEnd::TimedOut),
        };
        actions.push(Action::Cancel { id, attempt, server, step, reason: cancel_reason });
        if tracked.has_whole_text() {
            let (outcome, finality) = (Outcome::Completed, Finality::Final);
            let finished = FinishedAttempt { id, attempt, outcome, finality, reason: None };
            return self.finish_attempt(now, finished, actions);
        }
        let client_has_tokens = tracked.relay != Relay::Buffered;
        let unresumable = now >= tracked.completion_deadline || reason == FailureReason::ClientStalled;
        let ends_sequence = streaming && (unresumable || (client_has_tokens && !self.try_resume(now, id)));
        let finished = FinishedAttempt {
            id,
            attempt,
            outcome: end.outcome(streaming),
            finality: Finality::final_if(ends_sequence),
            reason: ends_sequence.then_some(reason),
        };
        self.finish_attempt(now, finished, actions);
    }

    /// Sets the timer of a sequence to its stream deadline if its last attempt is streaming.
    pub(super) fn reset_stream_timer(&mut self, now: Nanos, id: SequenceId) {
        let Some(tracked) = self.sequences.get(&id) else { return };
        if tracked.is_streaming() {
            let deadline = self.stream_deadline(tracked).max(now + 1);
            self.set_timer(id, deadline);
        }
    }

    /// Sets the timer of a sequence and replaces a timer that was set before.
    pub(super) fn set_timer(&mut self, id: SequenceId, deadline: Nanos) {
        if let Some(tracked) = self.sequences.get_mut(&id) {
            self.timers.set(id, &mut tracked.timer, deadline);
        }
    }

    /// Cancels the timer of a sequence.
    pub(super) fn cancel_timer(&mut self, id: SequenceId) {
        if let Some(tracked) = self.sequences.get_mut(&id) {
            self.timers.cancel(id, &mut tracked.timer);
        }
    }

    fn stream_deadline(&self, tracked: &TrackedSequence) -> Nanos {
        tracked.stream_deadline(&self.traffic_types[tracked.sequence.traffic.0])
    }
}
