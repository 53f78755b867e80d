//! Application of the request manager's actions by the buffered request table.

use super::command::{Command, OutgoingAttempt};
use super::entry::{RequestEntry, keyed_request};
use super::message::FinalAnswer;
use super::{BufferedRequests, request_id};
use crate::cache_releases::{CacheRelease, CacheState};
use crate::idempotency;
use crate::request_manager::{Action, Dispatch, FailureReason};
use crate::request_table::action_handler::{ActionHandler, CancelledAttempt};
use crate::request_table::final_answer;
use crate::request_table::store::RequestStore;
use petrelshore::interface::{Idempotency, Nanos, SequenceId, Step};
use std::rc::Rc;

impl<P: Clone> ActionHandler for BufferedRequests<P> {
    type Command = Command<P>;
    type Details = RequestEntry<P>;

    fn store(&mut self) -> &mut RequestStore<RequestEntry<P>> {
        &mut self.store
    }

    fn send(&mut self, dispatch: Dispatch, commands: &mut Vec<Command<P>>) {
        let Some(entry) = self.store.get_mut(dispatch.id) else { return };
        entry.tokens_delivered = dispatch.tokens_delivered;
        entry.may_have_run |= dispatch.step != Step::Prefill;
        let idempotency = self.idempotency_by_type[entry.request.traffic.0];
        let attempt = outgoing_attempt(entry, idempotency, dispatch);
        commands.push(Command::Send(Box::new(attempt)));
    }

    /// Cancels an attempt without follow-up actions: the runtime reports the end of the attempt once its connection is
    /// closed.
    fn cancel(
        &mut self,
        now: Nanos,
        cancelled: CancelledAttempt,
        _follow_up: &mut Vec<Action>,
        commands: &mut Vec<Command<P>>,
    ) {
        let CancelledAttempt { id, attempt, server, step, reason } = cancelled;
        commands.push(Command::Cancel { id, attempt, reason });
        if step == Step::Prefill {
            // The prefill may have completed before the cancellation, so the server may hold its KV cache.
            let release = CacheRelease { server, request_id: request_id(id, attempt) };
            self.store.add_release(now, release, CacheState::Uncertain, commands);
        }
    }

    fn release(&mut self, now: Nanos, id: SequenceId, commands: &mut Vec<Command<P>>) {
        let caches = self.store.get_mut(id).map(|entry| std::mem::take(&mut entry.caches));
        for cache in caches.into_iter().flatten() {
            self.store.add_release(now, cache.release, CacheState::Held, commands);
        }
    }

    /// Gives the final answer, and stores it for repeats of the request with the same idempotency key.
    fn answer(
        &mut self,
        now: Nanos,
        id: SequenceId,
        answer: final_answer::FinalAnswer,
        commands: &mut Vec<Command<P>>,
    ) {
        let Some(entry) = self.store.mark_answered(id) else { return };
        let last = match answer {
            final_answer::FinalAnswer::Completed => entry.completed_answer(),
            final_answer::FinalAnswer::Rejected { retry_after, reason } => {
                FinalAnswer::Rejected { retry_after, reason }
            }
            final_answer::FinalAnswer::Aborted { reason } => FinalAnswer::Aborted { reason },
        };
        if let (Some(keyed), Some(text)) = (keyed_request(id, &entry.request), &entry.text) {
            match &last {
                FinalAnswer::Rejected { .. } => self.idempotency_store.remove(&keyed),
                FinalAnswer::Completed { .. } | FinalAnswer::Aborted { .. } => {
                    let window = key_window(self.idempotency_by_type[entry.request.traffic.0]);
                    self.idempotency_store.complete(now, &keyed, text, last.clone(), window);
                }
            }
        }
        commands.push(Command::Answer { id, last });
        self.remove_if_finished(now, id);
    }
}

impl<P: Clone> BufferedRequests<P> {
    /// Removes a request once the API has dropped its answer and the request manager no longer tracks the request.
    pub(super) fn remove_if_finished(&mut self, now: Nanos, id: SequenceId) {
        let answer_dropped = self.store.get(id).is_some_and(|entry| entry.answer_dropped);
        if !answer_dropped || self.store.manager.contains(id) {
            return;
        }
        let Some(removed) = self.store.remove(now, id) else { return };
        if let Some(keyed) = keyed_request(id, &removed.details.request) {
            // The client left before the final answer. Work that may have run must not run again for a repeat with the
            // same key.
            if removed.details.may_have_run && !removed.answered {
                let aborted = FinalAnswer::Aborted { reason: FailureReason::AlreadyRan };
                let window = key_window(self.idempotency_by_type[removed.details.request.traffic.0]);
                self.idempotency_store.complete(now, &keyed, "", aborted, window);
            }
            self.idempotency_store.remove(&keyed);
        }
    }
}

/// The time for which the key of a completed request is kept, in nanoseconds.
fn key_window(idempotency: Idempotency) -> Nanos {
    match idempotency {
        Idempotency::Keyed { window, .. } => window,
        Idempotency::Idempotent | Idempotency::AtMostOnce => idempotency::DEFAULT_WINDOW,
    }
}

fn outgoing_attempt<P: Clone>(
    entry: &RequestEntry<P>,
    idempotency: Idempotency,
    dispatch: Dispatch,
) -> OutgoingAttempt<P> {
    let request = &entry.request;
    let cache = dispatch.prefill_server.and_then(|server| entry.cache_at(server));
    let prompt = match &entry.text {
        Some(text) if dispatch.tokens_delivered > 0 => Rc::from(format!("{}{text}", request.prompt)),
        _ => request.prompt.clone(),
    };
    let keyed = matches!(idempotency, Idempotency::Keyed { .. });
    let generated_key = || Rc::from(format!("{:016x}", dispatch.id.0));
    OutgoingAttempt {
        request_id: request_id(dispatch.id, dispatch.attempt),
        max_tokens: request.max_tokens.saturating_sub(dispatch.tokens_delivered).max(1),
        prompt,
        idempotency_key: keyed.then(|| request.idempotency_key.clone().unwrap_or_else(generated_key)),
        transfer_params: cache.map(|cache| cache.transfer_params.clone()),
        dispatch,
    }
}
