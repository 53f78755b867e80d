//! The request table for APIs that word their answers themselves: capacity, idempotency keys, text so far, KV caches
//! held by prefill servers, pending releases, and the one final answer of each request.
//!
//! It performs no I/O and reads no clock. The runtime reports what happened on its sockets and executes [`Command`]s:
//! connections, channels to APIs and timers are its own. `P` is the type of the transfer parameters that a prefill
//! server gives for a KV cache; they are handed on unread.

mod actions;
mod admission;
mod command;
mod entry;
mod message;

pub use command::{Command, OutgoingAttempt};
pub use message::{Admission, FinalAnswer, Piece, Rejection, Request, Usage};

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

/// How far the seed is shifted in the first id: ids of gateways and of earlier runs must not meet at model servers.
const ID_SEED_SHIFT: u32 = 24;

/// All requests at a gateway whose APIs word their answers themselves.
pub struct BufferedRequests<P> {
    store: RequestStore<RequestEntry<P>>,
    idempotency_of_types: Vec<Idempotency>,
    idempotency: IdempotencyStore<FinalAnswer>,
    cancellations: CancellationLimits,
    last_id: u64,
    draining: bool,
}

impl<P: Clone> BufferedRequests<P> {
    /// An empty table for at most `max_requests` at once.
    pub fn new(
        now: Nanos,
        deployment: Deployment,
        seed: u64,
        max_requests: usize,
        policy_kind: PolicyKind,
    ) -> Self {
        BufferedRequests {
            idempotency_of_types: deployment.types.iter().map(|traffic| traffic.idempotency).collect(),
            idempotency: IdempotencyStore::default(),
            cancellations: CancellationLimits::default(),
            store: RequestStore::new(now, deployment, seed, max_requests, policy_kind),
            last_id: seed << ID_SEED_SHIFT,
            draining: false,
        }
    }

    /// A prompt is prefilled: its prefill server had `cached_tokens` of it cached, and gave `transfer_params` for its
    /// KV cache.
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
            // No attempt will fetch it.
            None => return self.store.add_release(now, release, CacheState::Held, commands),
        }
        self.attempt_ended(now, dispatch, AttemptEnd::PrefillDone { cached_tokens }, commands);
    }

    /// The first piece of an answer arrived: its decode server has fetched the KV cache that it was sent for. KV caches
    /// of earlier prefills, whose decode servers failed before they had fetched them, are released.
    pub fn first_token(&mut self, now: Nanos, dispatch: &Dispatch, commands: &mut Vec<Command<P>>) {
        if let Some(entry) = self.store.get_mut(dispatch.id) {
            if let Some(server) = dispatch.prefill_server {
                entry.remove_cache_at(server);
            }
            if !entry.first_token_received {
                entry.first_token_received = true;
                self.cancellations.first_token(now, client_id(&entry.request));
            }
        }
        self.release(now, dispatch.id, commands);
        self.store.manager.first_token(now, dispatch.id, dispatch.attempt);
    }

    /// A further piece arrived.
    pub fn token_received(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.token_received(now, id);
    }

    /// Records a piece; gives text back for the API. None if the request has its final answer.
    pub fn receive_piece(&mut self, id: SequenceId, piece: Piece) -> Option<Option<String>> {
        self.store.get_unanswered_mut(id).map(|entry| entry.record(piece))
    }

    /// The client stopped reading its stream.
    pub fn client_stalled(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.client_stalled(now, id);
    }

    /// The client reads its stream again.
    pub fn client_stall_ended(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.client_stall_ended(now, id);
    }

    /// A running server provably has an attempt.
    pub fn attempt_delivered(&mut self, id: SequenceId, attempt: usize) {
        self.store.manager.attempt_delivered(id, attempt);
    }

    /// An attempt ended, as its connection showed.
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
            // Its answer is lost; its KV cache may be held all the same.
            self.store.add_release(now, attempt_release(dispatch), CacheState::Uncertain, commands);
        }
        if end == AttemptEnd::KvCacheMissing {
            // No attempt can use any other KV cache either.
            self.release(now, id, commands);
        }
        self.apply(now, commands, |manager, actions| {
            manager.attempt_ended(now, id, attempt, end, actions);
        });
        self.remove_if_finished(now, id);
    }

    /// An attempt was cancelled, as commanded.
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

    /// The API has read the answer to its end, and dropped it.
    pub fn answer_consumed(&mut self, now: Nanos, id: SequenceId) {
        if let Some(entry) = self.store.get_mut(id) {
            entry.client_left = true;
        }
        self.remove_if_finished(now, id);
    }

    /// The API has dropped the answer before its end: its client left.
    pub fn client_cancelled(&mut self, now: Nanos, id: SequenceId, commands: &mut Vec<Command<P>>) {
        if let Some(entry) = self.store.get_mut(id) {
            entry.client_left = true;
        }
        if let Some(entry) = self.store.get_unanswered(id).filter(|entry| !entry.first_token_received) {
            let request = &entry.request;
            let waited = now.saturating_sub(request.arrived_at);
            self.cancellations.cancelled(now, client_id(request), waited);
        }
        self.apply(now, commands, |manager, actions| manager.client_cancelled(id, actions));
        self.remove_if_finished(now, id);
    }

    /// A prefill server has answered a release request, or is known to run no more.
    pub fn release_finished(&mut self, now: Nanos, release: &CacheRelease, outcome: ReleaseOutcome) {
        self.store.releases.finished(now, release, outcome);
    }

    /// How long a prefill server may take to answer a release request.
    pub fn release_timeout(&self) -> Nanos {
        self.store.releases.answer_timeout()
    }

    /// The endpoint list, or a change of it, arrived.
    pub fn update_endpoints(&mut self, now: Nanos, kind: SnapshotKind, endpoints: &[Endpoint]) {
        self.store.manager.update_endpoints(now, kind, endpoints);
    }

    /// A server reported its load.
    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        self.store.manager.load_reported(now, server, report);
    }

    /// When [`BufferedRequests::on_timeout`] next has something to do.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.store.next_timeout()
    }

    /// Handles every timer that has expired by now.
    pub fn on_timeout(&mut self, now: Nanos, commands: &mut Vec<Command<P>>) {
        self.apply_timeouts(now, commands);
    }

    /// Accepts no further requests. Running streams continue.
    pub fn drain(&mut self) {
        self.draining = true;
        self.store.manager.drain();
    }

    /// The time to drain is over: everything in flight gets its final answer now.
    pub fn terminate_all(&mut self, now: Nanos, commands: &mut Vec<Command<P>>) {
        self.draining = true;
        self.apply(now, commands, |manager, actions| manager.terminate_all(now, actions));
    }

    /// Whether new requests are rejected.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Counts of events so far.
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

    /// Number of release requests that no prefill server has answered.
    pub fn pending_releases(&self) -> usize {
        self.store.releases.pending()
    }
}

/// The id of an attempt at the model servers, unique over all gateways and runs.
pub fn request_id(id: SequenceId, attempt: usize) -> String {
    format!("{:016x}-{attempt}", id.0)
}

/// What releases the KV cache that a prefill may have left.
fn attempt_release(dispatch: &Dispatch) -> CacheRelease {
    CacheRelease { server: dispatch.server, request_id: request_id(dispatch.id, dispatch.attempt) }
}
