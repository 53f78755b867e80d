//! The request table for streams whose events pass unchanged: sequences in flight, addresses of model servers, KV
//! caches that prefill servers may hold, pending releases, and the one final answer of each sequence.
//!
//! It performs no I/O and reads no clock. The runtime reports what happened on its sockets and executes [`Command`]s.
//! `M` is the type of a client's request; it is handed on unread, and dropped with its first event.

mod actions;
mod command;
mod endpoint_directory;

pub use super::final_answer::FinalAnswer;
pub use command::{Command, Rejection};

use super::action_handler::ActionHandler;
use super::store::RequestStore;
use crate::attempt_outcome::AttemptEnd;
use crate::cache_leases::CacheLeases;
use crate::cache_releases::{CacheRelease, RELEASE_CONNECTIONS, ReleaseOutcome};
use crate::graceful_shutdown::{ClientResumption, PeerGateways, ResumeRate, ShutdownPlan, plan_shutdown};
use crate::invariants::Violation;
use crate::policy::PolicyKind;
use crate::request_manager::{Counts, Dispatch, NewSequence};
use crate::send_gate::{PendingSend, SendDenial, check_send};
use endpoint_directory::EndpointDirectory;
use petrelshore::interface::{
    Deployment, Endpoint, LoadReport, Nanos, SequenceId, ServerId, SnapshotKind, Step,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;

/// What the table knows of one sequence.
pub(in crate::request_table) struct RequestEntry<M> {
    /// The client's request, until its first event has arrived: no attempt is sent after that.
    message: Option<M>,
    /// The one attempt that is in flight.
    attempt_in_flight: Option<usize>,
    leases: CacheLeases,
}

/// All sequences at a gateway that passes events unchanged.
pub struct PassthroughRequests<M> {
    gateways: usize,
    store: RequestStore<RequestEntry<M>>,
    resume_rate: ResumeRate,
    endpoints: EndpointDirectory,
    last_finished: Option<SequenceId>,
}

impl<M: Clone> PassthroughRequests<M> {
    /// An empty table for at most `max_requests` sequences at once.
    pub fn new(now: Nanos, deployment: Deployment, seed: u64, max_requests: usize) -> Self {
        PassthroughRequests {
            gateways: deployment.gateways,
            resume_rate: ResumeRate::default(),
            store: RequestStore::new(now, deployment, seed, max_requests, PolicyKind::Scheduler),
            endpoints: EndpointDirectory::default(),
            last_finished: None,
        }
    }

    /// Accepts a sequence, or says why not. An accepted sequence gets exactly one final answer.
    pub fn accept(
        &mut self,
        now: Nanos,
        new: NewSequence,
        message: M,
        commands: &mut Vec<Command<M>>,
    ) -> Result<(), Rejection> {
        let id = new.id;
        if self.store.contains(id) || self.store.manager.contains(id) {
            return Err(Rejection::DuplicateId);
        }
        // Pending releases use capacity as well, beyond the connections that are reserved for them.
        let pending_releases = self.store.releases.pending();
        self.store.capacity.set_otherwise_used(pending_releases.saturating_sub(RELEASE_CONNECTIONS));
        // An ingress hides which client is which: each sequence counts as a client of its own.
        let client = id.0;
        if self.store.acquire_capacity(now, client, new.traffic).is_err() {
            return Err(Rejection::AtCapacity { retry_after: self.store.configured_retry_after(now) });
        }
        if new.resumed {
            self.resume_rate.record(now);
        }
        let entry =
            RequestEntry { message: Some(message), attempt_in_flight: None, leases: CacheLeases::default() };
        self.store.insert(id, client, entry);
        self.apply(now, commands, |manager, actions| manager.accept(now, new, actions));
        self.clean_up(now, id, commands);
        Ok(())
    }

    /// Accepts no further sequences: new ones are rejected, those in flight continue.
    pub fn drain(&mut self) {
        self.store.manager.drain();
    }

    /// Whether an attempt may still be sent now that its connection is established.
    pub fn may_send(&self, now: Nanos, pending: &PendingSend) -> Result<(), SendDenial> {
        let entry = self.store.get_unanswered(pending.dispatch.id);
        let attempt_in_flight = entry.and_then(|entry| entry.attempt_in_flight);
        check_send(now, pending, attempt_in_flight, self.endpoints.current(pending.dispatch.server))
    }

    /// The id of a request that is finished: releasing it frees nothing, and every running server answers that.
    pub fn finished_request_id(&self) -> Option<String> {
        self.last_finished.filter(|id| !self.store.contains(*id)).map(request_id)
    }

    /// How often each invariant was violated so far.
    pub fn violations(&self) -> &BTreeMap<Violation, u64> {
        self.store.manager.violations()
    }

    /// When a server last started, according to the endpoint list.
    pub fn server_started_at(&self, server: ServerId) -> Option<Nanos> {
        self.endpoints.current(server).map(|endpoint| endpoint.started_at)
    }

    /// Since when a release is pending. It tells releases for the same request and server apart: one is revoked before
    /// another attempt may use what is held there, and added anew for what that attempt leaves.
    pub fn release_pending_since(&self, release: &CacheRelease) -> Option<Nanos> {
        self.store.releases.pending_since(release)
    }

    /// The endpoint list, or a change of it, arrived.
    pub fn update_endpoints(&mut self, now: Nanos, kind: SnapshotKind, listed: &[(Endpoint, SocketAddr)]) {
        self.endpoints.update(kind, listed);
        let endpoints: Vec<Endpoint> = listed.iter().map(|(endpoint, _)| endpoint.clone()).collect();
        self.store.manager.update_endpoints(now, kind, &endpoints);
    }

    /// A server reported its load.
    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        self.store.manager.load_reported(now, server, report);
    }

    /// Its server has an attempt, as far as its socket proves.
    pub fn attempt_delivered(&mut self, id: SequenceId, attempt: usize) {
        self.store.manager.attempt_delivered(id, attempt);
    }

    /// The first event arrived: the attempt is final, and its prompt is not needed any more. Its decode server has
    /// fetched the KV cache that it was sent for; any others are released.
    pub fn first_token(&mut self, now: Nanos, dispatch: &Dispatch, commands: &mut Vec<Command<M>>) {
        self.endpoints.response_received(now, dispatch.server);
        if let Some(entry) = self.store.get_mut(dispatch.id) {
            entry.message = None;
            entry.leases.cache_fetched(dispatch.prefill_server);
        }
        self.release(now, dispatch.id, commands);
        self.store.manager.first_token(now, dispatch.id, dispatch.attempt);
    }

    /// Further events arrived.
    pub fn token_received(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.token_received(now, id);
    }

    /// The client stopped reading its stream.
    pub fn client_stalled(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.client_stalled(now, id);
    }

    /// The client reads its stream again.
    pub fn client_stall_ended(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.client_stall_ended(now, id);
    }

    /// An attempt ended, as its connection showed.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        dispatch: &Dispatch,
        end: AttemptEnd,
        commands: &mut Vec<Command<M>>,
    ) {
        let Dispatch { id, attempt, server, step, prefill_server, .. } = *dispatch;
        if end.server_answered() {
            self.endpoints.response_received(now, server);
        }
        if let Some(entry) = self.store.get_mut(id) {
            entry.attempt_in_flight.take_if(|in_flight| *in_flight == attempt);
            match (step, end) {
                (Step::Prefill, end) => entry.leases.prefill_ended(server, end),
                (_, AttemptEnd::KvCacheMissing) => entry.leases.cache_fetched(prefill_server),
                _ => {}
            }
        }
        self.apply(now, commands, |manager, actions| {
            manager.attempt_ended(now, id, attempt, end, actions);
        });
        self.clean_up(now, id, commands);
    }

    /// The client left before the end of its answer.
    pub fn client_cancelled(&mut self, now: Nanos, id: SequenceId, commands: &mut Vec<Command<M>>) {
        self.apply(now, commands, |manager, actions| manager.client_cancelled(id, actions));
        self.clean_up(now, id, commands);
    }

    /// A release request was answered, by its prefill server or by a relay; `answered_by` tells which. If none
    /// answered, it is sent again, also to a server that is not listed, which may hold the KV cache all the same.
    /// `pending_since` is from when the request was sent: an answer to an older release settles nothing.
    pub fn release_finished(
        &mut self,
        now: Nanos,
        release: &CacheRelease,
        pending_since: Option<Nanos>,
        answered_by: Option<ServerId>,
    ) {
        let Some(server) = answered_by else { return };
        self.endpoints.response_received(now, server);
        if self.release_pending_since(release) == pending_since {
            self.store.releases.finished(now, release, ReleaseOutcome::Acknowledged);
        }
    }

    /// How long a prefill server may take to answer a release request.
    pub fn release_timeout(&self) -> Nanos {
        self.store.releases.answer_timeout()
    }

    /// How long the answer to a release request is awaited before a relay is sent it as well.
    pub fn relay_interval(&self) -> Nanos {
        self.store.releases.relay_interval()
    }

    /// The address of a server.
    pub fn server_address(&self, server: ServerId) -> Option<SocketAddr> {
        self.endpoints.address(server)
    }

    /// The servers that relay a release request to a prefill server that can't be reached directly.
    pub fn release_relays(&self, release: &CacheRelease) -> Vec<(ServerId, SocketAddr)> {
        let relays = self.store.releases.relays(release, &self.endpoints.ready_servers());
        relays.into_iter().filter_map(|server| Some((server, self.server_address(server)?))).collect()
    }

    /// The addresses of all listed model servers.
    pub fn server_addresses(&self) -> BTreeSet<SocketAddr> {
        self.endpoints.addresses()
    }

    /// When [`PassthroughRequests::on_timeout`] next has something to do.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.store.next_timeout()
    }

    /// Handles every timer that has expired by now.
    pub fn on_timeout(&mut self, now: Nanos, commands: &mut Vec<Command<M>>) {
        self.apply_timeouts(now, commands);
    }

    /// How this gateway shuts down if it gets the stop signal now.
    pub fn shutdown_plan(
        &self,
        now: Nanos,
        max_first_token_budget: Nanos,
        client_resumption: ClientResumption,
    ) -> ShutdownPlan {
        let alone = self.gateways == 1 || self.resume_rate.another_gateway_stopped(now, self.tracked());
        let peers = if alone { PeerGateways::Unavailable } else { PeerGateways::Available };
        plan_shutdown(max_first_token_budget, client_resumption, peers)
    }

    /// Terminates as many of the running streams as the plan has terminated in this time since the stop signal, for
    /// their clients to resume them at another gateway.
    pub fn migrate_streams(
        &mut self,
        now: Nanos,
        plan: &ShutdownPlan,
        since_stop_signal: Range<Nanos>,
        commands: &mut Vec<Command<M>>,
    ) {
        let running = self.store.manager.running_streams();
        let max_streams = plan.streams_to_migrate(since_stop_signal.start, since_stop_signal.end, running);
        self.apply(now, commands, |manager, actions| {
            manager.terminate_streams(now, max_streams, actions);
        });
    }

    /// Everything in flight gets its final answer now.
    pub fn terminate_all(&mut self, now: Nanos, commands: &mut Vec<Command<M>>) {
        self.apply(now, commands, |manager, actions| manager.terminate_all(now, actions));
    }

    /// Number of sequences in the table, answered or not.
    pub fn tracked(&self) -> usize {
        self.store.len()
    }

    /// Number of release requests that no prefill server has answered.
    pub fn pending_releases(&self) -> usize {
        self.store.releases.pending()
    }

    /// Counts of events so far.
    pub fn counts(&self) -> Counts {
        self.store.manager.counts()
    }
}

/// The request id of a sequence on the platform's wire, the same for all its attempts.
fn request_id(id: SequenceId) -> String {
    format!("{:016x}", id.0)
}
