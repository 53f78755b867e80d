//! The request table for APIs that compose their responses themselves. The table tracks capacity, idempotency keys, the
//! text received so far, KV caches held by prefill servers, pending releases, and the one final answer of each request.
//!
//! The table performs no I/O and reads no clock. The runtime owns the connections, the channels to APIs and the timers;
//! it reports the events on its sockets and executes the returned [`Command`]s. `P` is the type of the transfer
//! parameters that a prefill server returns for a KV cache; the table passes them on without reading them.

mod actions;
mod admission;
mod command;
mod entry;
mod message;

pub use command::{Command, OutgoingAttempt};
pub use message::{Admission, FinalAnswer, OutputStart, Piece, Rejection, Request, Usage};

use super::action_handler::ActionHandler;
use super::store::RequestStore;
use crate::attempt_outcome::AttemptEnd;
use crate::cache_releases::{CacheRelease, CacheState, ReleaseOutcome};
use crate::cancellation_limits::CancellationLimits;
use crate::idempotency::IdempotencyStore;
use crate::policy::PolicyKind;
use crate::request_manager::{Counts, Dispatch};
use entry::{PrefilledCache, RequestEntry, client_id};
use petrelshore::interface::{
    Deployment, Endpoint, Idempotency, LoadReport, Nanos, SequenceId, ServerId, SnapshotKind, Step,
};

/// Number of bits by which the seed is shifted left to form the first id, so that ids of different gateways and of
/// earlier runs don't collide at the model servers.
const ID_SEED_SHIFT: u32 = 24;

/// All requests at a gateway whose APIs compose their responses themselves.
pub struct BufferedRequests<P> {
    store: RequestStore<RequestEntry<P>>,
    idempotency_by_type: Vec<Idempotency>,
    idempotency_store: IdempotencyStore<FinalAnswer>,
    cancellation_limits: CancellationLimits,
    last_id: u64,
    draining: bool,
}

impl<P: Clone> BufferedRequests<P> {
    /// Creates an empty table for at most `max_requests` concurrent requests.
    pub fn new(
        now: Nanos,
        deployment: Deployment,
        seed: u64,
        max_requests: usize,
        policy_kind: PolicyKind,
    ) -> Self {
        BufferedRequests {
            idempotency_by_type: deployment.types.iter().map(|traffic| traffic.idempotency).collect(),
            idempotency_store: IdempotencyStore::default(),
            cancellation_limits: CancellationLimits::default(),
            store: RequestStore::new(now, deployment, seed, max_requests, policy_kind),
            last_id: seed << ID_SEED_SHIFT,
            draining: false,
        }
    }

    /// Handles the end of a successful prefill. The prefill server had `cached_tokens` tokens of the prompt cached, and
    /// returned `transfer_params` for the KV cache.
    pub fn prefill_done(
        &mut self,
        now: Nanos,
        dispatch: &Dispatch,
        cached_tokens: f64,
        transfer_params: P,
        commands: &mut Vec<Command<P>>,
    ) {
        let release = attempt_release(dispatch);
        match self.store.get_mut(dispatch.id) {
            Some(entry) => entry.caches.push(PrefilledCache { release, transfer_params }),
            // The request was removed, so no attempt will fetch the KV cache.
            None => return self.store.add_release(now, release, CacheState::Held, commands),
        }
        self.attempt_ended(now, dispatch, AttemptEnd::PrefillDone { cached_tokens }, commands);
    }

    /// Handles the first piece of an answer, which shows that the decode server has fetched its KV cache. Releases the
    /// KV caches of earlier prefills, whose decode servers failed before they had fetched them. Returns whether the text
    /// of earlier attempts, which the caller may have passed on, is still part of the answer.
    pub fn first_token(
        &mut self,
        now: Nanos,
        dispatch: &Dispatch,
        commands: &mut Vec<Command<P>>,
    ) -> OutputStart {
        let mut start = OutputStart::Continues;
        if let Some(entry) = self.store.get_mut(dispatch.id) {
            start = entry.begin_output(dispatch.tokens_delivered);
            if let Some(server) = dispatch.prefill_server {
                entry.remove_cache_at(server);
            }
            if !entry.first_token_received {
                entry.first_token_received = true;
                self.cancellation_limits.first_token(now, client_id(&entry.request));
            }
        }
        self.release(now, dispatch.id, commands);
        self.store.manager.first_token(now, dispatch.id, dispatch.attempt);
        start
    }

    /// Records the arrival of a further piece of an answer.
    pub fn token_received(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.token_received(now, id);
    }

    /// Records a piece of an answer. Returns the text of a text piece for the API, `Some(None)` for any other piece, or
    /// `None` if the request is unknown or already has its final answer.
    pub fn receive_piece(&mut self, id: SequenceId, piece: Piece) -> Option<Option<String>> {
        let entry = self.store.get_unanswered_mut(id)?;
        let is_finish = matches!(piece, Piece::Finish(_));
        let text = entry.record(piece);
        if is_finish {
            self.store.manager.finish_received(id);
        }
        Some(text)
    }

    /// Records that the client stopped reading its stream.
    pub fn client_stalled(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.client_stalled(now, id);
    }

    /// Records that the client reads its stream again.
    pub fn client_stall_ended(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.client_stall_ended(now, id);
    }

    /// Records the proof that a running server has received an attempt.
    pub fn attempt_delivered(&mut self, id: SequenceId, attempt: usize) {
        self.store.manager.attempt_delivered(id, attempt);
    }

    /// Handles the end of an attempt. `end` tells how the attempt ended according to its connection.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        dispatch: &Dispatch,
        end: AttemptEnd,
        commands: &mut Vec<Command<P>>,
    ) {
        let Dispatch { id, attempt, step, .. } = *dispatch;
        let prefilled = matches!(end, AttemptEnd::PrefillDone { .. });
        if step == Step::Prefill && !prefilled && !end.proves_not_run() {
            // The answer to the prefill is lost, but the server may hold a KV cache nevertheless.
            self.store.add_release(now, attempt_release(dispatch), CacheState::Uncertain, commands);
        }
        if end == AttemptEnd::KvCacheMissing {
            // Further attempts start with a new prefill, so none of them will fetch a KV cache that is held now.
            self.release(now, id, commands);
        }
        self.apply(now, commands, |manager, actions| {
            manager.attempt_ended(now, id, attempt, end, actions);
        });
        self.remove_if_finished(now, id);
    }

    /// Handles the end of an attempt that the runtime cancelled on [`Command::Cancel`].
    pub fn attempt_cancelled(
        &mut self,
        now: Nanos,
        id: SequenceId,
        attempt: usize,
        commands: &mut Vec<Command<P>>,
    ) {
        self.apply(now, commands, |manager, actions| {
            manager.attempt_ended(now, id, attempt, AttemptEnd::Cancelled, actions);
        });
        self.remove_if_finished(now, id);
    }

    /// Handles an API that dropped an answer after reading it to its end.
    pub fn answer_consumed(&mut self, now: Nanos, id: SequenceId) {
        if let Some(entry) = self.store.get_mut(id) {
            entry.answer_dropped = true;
        }
        self.remove_if_finished(now, id);
    }

    /// Handles an API that dropped an answer before its end because the client left.
    pub fn client_cancelled(&mut self, now: Nanos, id: SequenceId, commands: &mut Vec<Command<P>>) {
        if let Some(entry) = self.store.get_mut(id) {
            entry.answer_dropped = true;
        }
        if let Some(entry) = self.store.get_unanswered(id).filter(|entry| !entry.first_token_received) {
            let request = &entry.request;
            let waited = now.saturating_sub(request.arrived_at);
            self.cancellation_limits.cancelled(now, client_id(request), waited);
        }
        self.apply(now, commands, |manager, actions| manager.client_cancelled(id, actions));
        self.remove_if_finished(now, id);
    }

    /// Handles the outcome of a release request: the prefill server has answered, or is known to have stopped.
    pub fn release_finished(&mut self, now: Nanos, release: &CacheRelease, outcome: ReleaseOutcome) {
        self.store.releases.finished(now, release, outcome);
    }

    /// The time that a prefill server may take to answer a release request.
    pub fn release_timeout(&self) -> Nanos {
        self.store.releases.answer_timeout()
    }

    /// Applies the endpoint list or a change to it.
    pub fn update_endpoints(&mut self, now: Nanos, kind: SnapshotKind, endpoints: &[Endpoint]) {
        self.store.manager.update_endpoints(now, kind, endpoints);
    }

    /// Records the load that a server reported.
    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        self.store.manager.load_reported(now, server, report);
    }

    /// The time at which [`BufferedRequests::on_timeout`] has to be called next, if any timer is set.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.store.next_timeout()
    }

    /// Handles all expired timers.
    pub fn on_timeout(&mut self, now: Nanos, commands: &mut Vec<Command<P>>) {
        self.apply_timeouts(now, commands);
    }

    /// Stops accepting requests. Running streams continue.
    pub fn drain(&mut self) {
        self.draining = true;
        self.store.manager.drain();
    }

    /// Gives every request in flight its final answer, once the drain time is over.
    pub fn terminate_all(&mut self, now: Nanos, commands: &mut Vec<Command<P>>) {
        self.draining = true;
        self.apply(now, commands, |manager, actions| manager.terminate_all(now, actions));
    }

    /// Returns whether new requests are rejected because the gateway is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Counts of events since the start.
    pub fn counts(&self) -> Counts {
        self.store.manager.counts()
    }

    /// Number of requests whose final answer is pending.
    pub fn unanswered(&self) -> usize {
        self.store.manager.unanswered()
    }

    /// Number of requests in the table, answered or not.
    pub fn tracked(&self) -> usize {
        self.store.len()
    }

    /// Number of pending releases.
    pub fn pending_releases(&self) -> usize {
        self.store.releases.pending()
    }
}

/// The id of an attempt at the model servers, unique across all gateways and runs.
pub fn request_id(id: SequenceId, attempt: usize) -> String {
    format!("{:016x}-{attempt}", id.0)
}

/// The release request for the KV cache that a prefill attempt may have created.
fn attempt_release(dispatch: &Dispatch) -> CacheRelease {
    CacheRelease { server: dispatch.server, request_id: request_id(dispatch.id, dispatch.attempt) }
}
