//! Handles the progress and the end of attempts.

use super::RequestManager;
use super::action::{Action, FailureReason, Finality};
use super::new_sequence::Relay;
use super::tracked_sequence::TrackedSequence;
use crate::attempt_outcome::AttemptEnd;
use petrelshore::interface::{AttemptStatus, Nanos, NextStep, Outcome, SequenceId};

/// A finished attempt, as it is reported to the policy.
pub(super) struct FinishedAttempt {
    pub(super) id: SequenceId,
    pub(super) attempt: usize,
    pub(super) outcome: Outcome,
    pub(super) finality: Finality,
    /// The reason that is reported if the outcome completes the sequence without a complete answer.
    pub(super) reason: Option<FailureReason>,
}

impl RequestManager {
    /// Records that a server has received an attempt: the last byte was written to a new connection, or to a reused
    /// connection that has since proved to lead to the server. An attempt that ends with an answer of the server needs
    /// no such call.
    pub fn attempt_delivered(&mut self, id: SequenceId, attempt: usize) {
        let tracked = self.sequences.get_mut(&id);
        if let Some(attempt) = tracked.and_then(|tracked| tracked.sequence.attempts.get_mut(attempt)) {
            attempt.delivered = true;
        }
    }

    /// Records that the first token of an attempt arrived.
    pub fn first_token(&mut self, now: Nanos, id: SequenceId, attempt: usize) {
        let Some(tracked) = self.sequences.get_mut(&id) else { return };
        let status = tracked.sequence.attempts.get(attempt).map(|attempt| attempt.status);
        if status != Some(AttemptStatus::InFlight) {
            return;
        }
        self.policy.first_token(now, &mut tracked.sequence, attempt);
        tracked.last_activity_at = now;
        tracked.tokens_received += 1;
        tracked.finish_received = false;
        self.reset_stream_timer(now, id);
    }

    /// Records that the finish reason of a sequence's running stream arrived. The sequence completes even if the stream
    /// then breaks or falls silent.
    pub fn finish_received(&mut self, id: SequenceId) {
        if let Some(tracked) = self.sequences.get_mut(&id) {
            tracked.finish_received = true;
        }
    }

    /// Handles the end of an attempt, as its connection showed it. If the stream broke after the client had received
    /// part of it, the sequence continues only if the stream can be resumed.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: SequenceId,
        attempt: usize,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.sequences.get(&id) else { return };
        let Some(status) = tracked.sequence.attempts.get(attempt).map(|attempt| attempt.status) else {
            return;
        };
        let relay = tracked.relay;
        let streaming = status == AttemptStatus::Streaming;
        let has_whole_text = tracked.has_whole_text() && end != AttemptEnd::Cancelled;
        if end.server_answered() {
            self.attempt_delivered(id, attempt);
        }
        let outcome = if has_whole_text { Outcome::Completed } else { end.outcome(streaming) };
        let completed = outcome == Outcome::Completed;
        let broken = streaming && !completed && relay != Relay::Buffered;
        let finality = Finality::final_if(completed || (broken && !self.try_resume(now, id)));
        let reason = (!completed).then_some(FailureReason::StreamBroken);
        self.finish_attempt(now, FinishedAttempt { id, attempt, outcome, finality, reason }, actions);
    }

    /// Handles the end of an attempt whose outcome the caller knows.
    pub fn attempt_finished(
        &mut self,
        now: Nanos,
        id: SequenceId,
        attempt: usize,
        outcome: Outcome,
        finality: Finality,
        actions: &mut Vec<Action>,
    ) {
        let reason = (outcome != Outcome::Completed).then_some(FailureReason::StreamBroken);
        // A known outcome implies that the attempt was sent. Only `ConnectFailed` and `NeverSent` prove the opposite,
        // and the scheduler ignores the `delivered` flag for these two.
        self.attempt_delivered(id, attempt);
        self.finish_attempt(now, FinishedAttempt { id, attempt, outcome, finality, reason }, actions);
    }

    /// Prepares a broken stream to be resumed. Returns false if the stream can't be resumed.
    pub(super) fn try_resume(&mut self, now: Nanos, id: SequenceId) -> bool {
        let Some(tracked) = self.sequences.get_mut(&id) else { return false };
        let traffic_type = &self.traffic_types[tracked.sequence.traffic.0];
        tracked.try_resume(now, traffic_type)
    }

    /// Reports a finished attempt to the policy and carries out the next step that the policy returns.
    pub(super) fn finish_attempt(
        &mut self,
        now: Nanos,
        finished: FinishedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let FinishedAttempt { id, attempt, outcome, finality, reason } = finished;
        let Some(TrackedSequence { sequence, .. }) = self.sequences.get_mut(&id) else { return };
        let answered = sequence.completed;
        match self.policy.attempt_finished(now, sequence, attempt, outcome, finality.is_final()) {
            NextStep::Schedule => self.schedule(now, id, FailureReason::AttemptsExhausted, actions),
            NextStep::Wait => {}
            NextStep::Complete { release } => {
                if !answered {
                    match outcome {
                        Outcome::Completed => self.counts.completed += 1,
                        _ => self.counts.aborted += 1,
                    }
                    actions.push(Action::Complete { id, outcome, reason });
                }
                if release {
                    actions.push(Action::Release { id });
                }
                self.cancel_timer(id);
                self.remove_if_finished(id);
            }
        }
    }
}
