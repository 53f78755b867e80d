//! Translates the request manager's actions into commands of a request table.

use super::final_answer::FinalAnswer;
use super::store::RequestStore;
use crate::cache_releases::CacheRelease;
use crate::request_manager::{Action, CancelReason, Dispatch, FailureReason, RequestManager};
use petrelshore::interface::{Nanos, Outcome, SequenceId, ServerId, Step};

/// An attempt that the request manager cancelled.
pub(super) struct CancelledAttempt {
    pub(super) id: SequenceId,
    pub(super) attempt: usize,
    pub(super) server: ServerId,
    pub(super) step: Step,
    pub(super) reason: CancelReason,
}

/// The part of a request table that applies the request manager's actions. All tables share the provided methods.
pub(super) trait ActionHandler {
    /// The type of the commands that the table returns to its runtime.
    type Command: From<CacheRelease>;
    /// The state that the table keeps for one request.
    type Details;

    fn store(&mut self) -> &mut RequestStore<Self::Details>;

    /// Sends an attempt.
    fn send(&mut self, dispatch: Dispatch, commands: &mut Vec<Self::Command>);

    /// Cancels an attempt. Actions that result from the cancellation are appended to `follow_up` and applied after the
    /// actions that are already queued.
    fn cancel(
        &mut self,
        now: Nanos,
        cancelled: CancelledAttempt,
        follow_up: &mut Vec<Action>,
        commands: &mut Vec<Self::Command>,
    );

    /// Releases every KV cache reserved for a sequence.
    fn release(&mut self, now: Nanos, id: SequenceId, commands: &mut Vec<Self::Command>);

    /// Gives a sequence its final answer, unless the sequence already has one.
    fn answer(&mut self, now: Nanos, id: SequenceId, answer: FinalAnswer, commands: &mut Vec<Self::Command>);

    /// Called once all actions of an event are applied. `affected` lists the sequences that were answered or had an
    /// attempt cancelled.
    fn actions_applied(
        &mut self,
        _now: Nanos,
        _affected: Vec<SequenceId>,
        _commands: &mut Vec<Self::Command>,
    ) {
    }

    /// Reports an event to the request manager and applies the resulting actions in order.
    fn apply(
        &mut self,
        now: Nanos,
        commands: &mut Vec<Self::Command>,
        event: impl FnOnce(&mut RequestManager, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        let mut affected = Vec::new();
        event(&mut self.store().manager, &mut actions);
        // The loop uses an index because applying an action may append further actions.
        let mut next = 0;
        while let Some(action) = actions.get(next).copied() {
            next += 1;
            match action {
                Action::Send(dispatch) => self.send(dispatch, commands),
                Action::Cancel { id, attempt, server, step, reason } => {
                    let cancelled = CancelledAttempt { id, attempt, server, step, reason };
                    self.cancel(now, cancelled, &mut actions, commands);
                    affected.push(id);
                }
                Action::Release { id } => self.release(now, id, commands),
                Action::Reject { id, retry_after, reason } => {
                    self.answer(now, id, FinalAnswer::Rejected { retry_after, reason }, commands);
                    affected.push(id);
                }
                Action::Abort { id, reason } => {
                    self.answer(now, id, FinalAnswer::Aborted { reason }, commands);
                    affected.push(id);
                }
                Action::Complete { id, outcome, reason } => {
                    self.answer(now, id, final_answer(outcome, reason), commands);
                    affected.push(id);
                }
                // The request manager's own timers reschedule the sequence, and the runtime watches the endpoint list.
                Action::WakeAt { .. } | Action::PollEndpoints { .. } => {}
            }
        }
        self.actions_applied(now, affected, commands);
    }

    /// Handles all expired timers and resends the pending releases that are due.
    fn apply_timeouts(&mut self, now: Nanos, commands: &mut Vec<Self::Command>) {
        self.apply(now, commands, |manager, actions| manager.on_timeout(now, actions));
        let due = self.store().releases.on_timeout(now);
        commands.extend(due.into_iter().map(Self::Command::from));
    }
}

fn final_answer(outcome: Outcome, reason: Option<FailureReason>) -> FinalAnswer {
    match outcome {
        Outcome::Completed => FinalAnswer::Completed,
        _ => FinalAnswer::Aborted { reason: reason.unwrap_or(FailureReason::StreamBroken) },
    }
}
