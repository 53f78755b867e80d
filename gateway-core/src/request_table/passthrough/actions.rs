//! Application of the request manager's actions by the passthrough request table.

use super::command::Command;
use super::{PassthroughRequests, RequestEntry, request_id};
use crate::attempt_outcome::AttemptEnd;
use crate::cache_releases::{CacheRelease, CacheState};
use crate::request_manager::{Action, Dispatch};
use crate::request_table::action_handler::{ActionHandler, CancelledAttempt};
use crate::request_table::final_answer::FinalAnswer;
use crate::request_table::store::RequestStore;
use petrelshore::interface::{Nanos, SequenceId, ServerId, Step};

impl<M: Clone> ActionHandler for PassthroughRequests<M> {
    type Command = Command<M>;
    type Details = RequestEntry<M>;

    fn store(&mut self) -> &mut RequestStore<RequestEntry<M>> {
        &mut self.store
    }

    fn send(&mut self, dispatch: Dispatch, commands: &mut Vec<Command<M>>) {
        let address = self.endpoints.address(dispatch.server);
        let Some(entry) = self.store.get_mut(dispatch.id) else { return };
        entry.attempt_in_flight = Some(dispatch.attempt);
        let message = entry.message.clone();
        self.revoke_releases(dispatch.id);
        commands.push(Command::Send { dispatch, address, message });
    }

    /// Cancels an attempt and reports its end to the request manager at once, since the events of a cancelled attempt
    /// no longer reach the client.
    fn cancel(
        &mut self,
        now: Nanos,
        cancelled: CancelledAttempt,
        follow_up: &mut Vec<Action>,
        commands: &mut Vec<Command<M>>,
    ) {
        let CancelledAttempt { id, attempt, server, step, reason } = cancelled;
        if let Some(entry) = self.store.get_mut(id) {
            entry.attempt_in_flight.take_if(|in_flight| *in_flight == attempt);
            if step == Step::Prefill {
                entry.leases.prefill_ended(server, AttemptEnd::Cancelled);
            }
        }
        commands.push(Command::Cancel { id, attempt, reason });
        self.store.manager.attempt_ended(now, id, attempt, AttemptEnd::Cancelled, follow_up);
    }

    fn release(&mut self, now: Nanos, id: SequenceId, commands: &mut Vec<Command<M>>) {
        if let Some(entry) = self.store.get_mut(id) {
            let caches = entry.leases.take_all();
            self.release_caches(now, id, caches, commands);
        }
    }

    fn answer(&mut self, _now: Nanos, id: SequenceId, answer: FinalAnswer, commands: &mut Vec<Command<M>>) {
        if self.store.mark_answered(id).is_some() {
            commands.push(Command::Answer { id, last: answer });
        }
    }

    fn actions_applied(&mut self, now: Nanos, affected: Vec<SequenceId>, commands: &mut Vec<Command<M>>) {
        for id in affected {
            self.clean_up(now, id, commands);
        }
    }
}

impl<M: Clone> PassthroughRequests<M> {
    /// Releases KV caches that no attempt will fetch, and removes a sequence that the request manager no longer tracks.
    pub(super) fn clean_up(&mut self, now: Nanos, id: SequenceId, commands: &mut Vec<Command<M>>) {
        let finished = !self.store.manager.contains(id);
        let Some(entry) = self.store.get_mut(id) else { return };
        let unused_caches = match entry.attempt_in_flight {
            _ if finished => entry.leases.take_all(),
            None => entry.leases.take_uncertain(),
            Some(_) => Vec::new(),
        };
        self.release_caches(now, id, unused_caches, commands);
        if finished {
            self.store.remove(now, id);
            self.last_finished = Some(id);
            commands.push(Command::Remove { id });
        }
    }

    /// Revokes the pending releases of a sequence before its next attempt. A release request that is still on its way
    /// would also release the KV cache that this attempt creates or fetches.
    fn revoke_releases(&mut self, id: SequenceId) {
        let servers = self.store.releases.revoke(&request_id(id));
        if let Some(entry) = self.store.get_mut(id) {
            for server in servers {
                entry.leases.release_revoked(server);
            }
        }
    }

    fn release_caches(
        &mut self,
        now: Nanos,
        id: SequenceId,
        caches: Vec<(ServerId, CacheState)>,
        commands: &mut Vec<Command<M>>,
    ) {
        for (server, state) in caches {
            let release = CacheRelease { server, request_id: request_id(id) };
            self.store.add_release(now, release, state, commands);
        }
    }
}
