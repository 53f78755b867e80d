//! Progress and end of an attempt.

use super::RequestManager;
use super::action::{Action, FailureReason, Finality};
use super::new_sequence::Relay;
use super::tracked_sequence::TrackedSequence;
use crate::attempt_outcome::AttemptEnd;
use petrelshore::interface::{AttemptStatus, Nanos, NextStep, Outcome, SequenceId};

/// The end of an attempt, ready to be given to the scheduler.
pub(super) struct FinishedAttempt {
    pub(super) id: SequenceId,
    pub(super) attempt: usize,
    pub(super) outcome: Outcome,
    pub(super) finality: Finality,
    /// What is reported if the outcome completes the sequence.
    pub(super) reason: Option<FailureReason>,
}

impl RequestManager {
    /// Its server has an attempt: the last byte was written to a connection that was just established, or that has
    /// proved since to lead to its server. An end that is an answer proves it by itself.
    pub fn attempt_delivered(&mut self, id: SequenceId, attempt: usize) {
        let tracked = self.sequences.get_mut(&id);
        if let Some(attempt) = tracked.and_then(|tracked| tracked.sequence.attempts.get_mut(attempt)) {
            attempt.delivered = true;
        }
    }

    /// The first token of an attempt arrived.
    pub fn first_token(&mut self, now: Nanos, id: SequenceId, attempt: usize) {
        let Some(tracked) = self.sequences.get_mut(&id) else { return };
        let status = tracked.sequence.attempts.get(attempt).map(|attempt| attempt.status);
        if status != Some(AttemptStatus::InFlight) {
            return;
        }
        self.policy.first_token(now, &mut tracked.sequence, attempt);
        tracked.last_activity_at = now;
        tracked.tokens_received += 1;
        self.reset_stream_timer(now, id);
    }

    /// An attempt ended, as its connection showed. What the client has received of it decides whether it is resumed.
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
        if end.server_answered() {
            self.attempt_delivered(id, attempt);
        }
        let streaming = status == AttemptStatus::Streaming;
        let outcome = end.outcome(streaming);
        let completed = outcome == Outcome::Completed;
        let broken = streaming && !completed && relay != Relay::Buffered;
        let finality = Finality::final_if(completed || (broken && !self.try_resume(now, id)));
        let reason = (!completed).then_some(FailureReason::StreamBroken);
        self.finish_attempt(now, FinishedAttempt { id, attempt, outcome, finality, reason }, actions);
    }

    /// An attempt ended with a known outcome.
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
        // A known outcome implies that the attempt was sent; the outcomes that prove the opposite are typed as such.
        self.attempt_delivered(id, attempt);
        self.finish_attempt(now, FinishedAttempt { id, attempt, outcome, finality, reason }, actions);
    }

    /// Prepares a broken stream to be resumed; false where it can't be.
    pub(super) fn try_resume(&mut self, now: Nanos, id: SequenceId) -> bool {
        let Some(tracked) = self.sequences.get_mut(&id) else { return false };
        let traffic_type = &self.traffic_types[tracked.sequence.traffic.0];
        tracked.try_resume(now, traffic_type)
    }

    /// Gives the end of an attempt to the scheduler and applies what follows.
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
