//! The request table for streams whose events are forwarded unchanged. The table tracks the sequences in flight, the
//! addresses of model servers, KV caches that prefill servers may hold, pending releases, and the one final answer of
//! each sequence.
//!
//! The table performs no I/O and reads no clock. The runtime reports the events on its sockets and executes the
//! returned [`Command`]s. `M` is the type of a client's request; the table passes requests on without reading them, and
//! drops a request when the first event of its answer arrives.

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

/// The state of one sequence.
pub(in crate::request_table) struct RequestEntry<M> {
    /// The client's request, until the first event of the answer arrives: no attempt is sent after that.
    message: Option<M>,
    /// The number of the attempt in flight. A sequence has at most one attempt in flight.
    attempt_in_flight: Option<usize>,
    leases: CacheLeases,
}

/// All sequences at a gateway that forwards events unchanged.
pub struct PassthroughRequests<M> {
    gateway_count: usize,
    store: RequestStore<RequestEntry<M>>,
    resume_rate: ResumeRate,
    endpoints: EndpointDirectory,
    last_finished: Option<SequenceId>,
}

impl<M: Clone> PassthroughRequests<M> {
    /// Creates an empty table for at most `max_requests` concurrent sequences.
    pub fn new(now: Nanos, deployment: Deployment, seed: u64, max_requests: usize) -> Self {
        PassthroughRequests {
            gateway_count: deployment.gateways,
            resume_rate: ResumeRate::default(),
            store: RequestStore::new(now, deployment, seed, max_requests, PolicyKind::Scheduler),
            endpoints: EndpointDirectory::default(),
            last_finished: None,
        }
    }

    /// Accepts a sequence or returns the reason for its rejection. An accepted sequence gets exactly one final answer.
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
        // Pending releases beyond the connections that are reserved for them use capacity too.
        let pending_releases = self.store.releases.pending();
        self.store.capacity.set_otherwise_used(pending_releases.saturating_sub(RELEASE_CONNECTIONS));
        // Clients can't be told apart behind an ingress, so each sequence counts as a client of its own.
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

    /// Rejects new sequences from now on. Sequences in flight continue.
    pub fn drain(&mut self) {
        self.store.manager.drain();
    }

    /// Checks whether an attempt may still be sent once its connection is established.
    pub fn may_send(&self, now: Nanos, pending: &PendingSend) -> Result<(), SendDenial> {
        let entry = self.store.get_unanswered(pending.dispatch.id);
        let attempt_in_flight = entry.and_then(|entry| entry.attempt_in_flight);
        check_send(now, pending, attempt_in_flight, self.endpoints.current(pending.dispatch.server))
    }

    /// The request id of the sequence that finished last, unless the table has a sequence with the same id again. A
    /// release request for this id releases nothing, and every running server answers it, so it serves as a liveness
    /// probe.
    pub fn finished_request_id(&self) -> Option<String> {
        self.last_finished.filter(|id| !self.store.contains(*id)).map(request_id)
    }

    /// Number of violations of each invariant since the start.
    pub fn violations(&self) -> &BTreeMap<Violation, u64> {
        self.store.manager.violations()
    }

    /// The time of a server's last start, according to the endpoint list.
    pub fn server_started_at(&self, server: ServerId) -> Option<Nanos> {
        self.endpoints.current(server).map(|endpoint| endpoint.started_at)
    }

    /// The time since which a release is pending, or `None` if it is not pending. This time distinguishes successive
    /// releases for the same request and server: a pending release is revoked before a further attempt may use the KV
    /// cache on that server, and a new release is added for the KV cache that this attempt leaves behind.
    pub fn release_pending_since(&self, release: &CacheRelease) -> Option<Nanos> {
        self.store.releases.pending_since(release)
    }

    /// Applies the endpoint list or a change to it.
    pub fn update_endpoints(&mut self, now: Nanos, kind: SnapshotKind, listed: &[(Endpoint, SocketAddr)]) {
        self.endpoints.update(kind, listed);
        let endpoints: Vec<Endpoint> = listed.iter().map(|(endpoint, _)| endpoint.clone()).collect();
        self.store.manager.update_endpoints(now, kind, &endpoints);
    }

    /// Records the load that a server reported.
    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        self.store.manager.load_reported(now, server, report);
    }

    /// Records the proof by an attempt's socket that a running server has received the attempt.
    pub fn attempt_delivered(&mut self, id: SequenceId, attempt: usize) {
        self.store.manager.attempt_delivered(id, attempt);
    }

    /// Handles the first event of an answer: no further attempt follows, so the client's request is dropped. The decode
    /// server has fetched its KV cache; all other KV caches of the sequence are released.
    pub fn first_token(&mut self, now: Nanos, dispatch: &Dispatch, commands: &mut Vec<Command<M>>) {
        self.endpoints.response_received(now, dispatch.server);
        if let Some(entry) = self.store.get_mut(dispatch.id) {
            entry.message = None;
            entry.leases.cache_fetched(dispatch.prefill_server);
        }
        self.release(now, dispatch.id, commands);
        self.store.manager.first_token(now, dispatch.id, dispatch.attempt);
    }

    /// Records the arrival of further events of an answer.
    pub fn token_received(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.token_received(now, id);
    }

    /// Records that the client stopped reading its stream.
    pub fn client_stalled(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.client_stalled(now, id);
    }

    /// Records that the client reads its stream again.
    pub fn client_stall_ended(&mut self, now: Nanos, id: SequenceId) {
        self.store.manager.client_stall_ended(now, id);
    }

    /// Handles the end of an attempt. `end` tells how the attempt ended according to its connection.
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

    /// Handles a client that left before the end of its answer.
    pub fn client_cancelled(&mut self, now: Nanos, id: SequenceId, commands: &mut Vec<Command<M>>) {
        self.apply(now, commands, |manager, actions| manager.client_cancelled(id, actions));
        self.clean_up(now, id, commands);
    }

    /// Handles the end of a release request. `answered_by` is the prefill server or the relay that answered. If no
    /// server answered, the request will be sent again, even to a prefill server that is no longer listed, since that
    /// server may still hold the KV cache. `pending_since` is the value of [`Self::release_pending_since`] when the
    /// request was sent: an answer to an earlier release does not complete the pending one.
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

    /// The time that a prefill server may take to answer a release request.
    pub fn release_timeout(&self) -> Nanos {
        self.store.releases.answer_timeout()
    }

    /// The time to wait for the answer to a release request before the request is also sent to the next relay.
    pub fn relay_interval(&self) -> Nanos {
        self.store.releases.relay_interval()
    }

    /// The address of a listed server.
    pub fn server_address(&self, server: ServerId) -> Option<SocketAddr> {
        self.endpoints.address(server)
    }

    /// The servers that can relay a release request to a prefill server that is not directly reachable, with their
    /// addresses.
    pub fn release_relays(&self, release: &CacheRelease) -> Vec<(ServerId, SocketAddr)> {
        let relays = self.store.releases.relays(release, &self.endpoints.ready_servers());
        relays.into_iter().filter_map(|server| Some((server, self.server_address(server)?))).collect()
    }

    /// The addresses of all listed model servers.
    pub fn server_addresses(&self) -> BTreeSet<SocketAddr> {
        self.endpoints.addresses()
    }

    /// The time at which [`PassthroughRequests::on_timeout`] has to be called next, if any timer is set.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.store.next_timeout()
    }

    /// Handles all expired timers.
    pub fn on_timeout(&mut self, now: Nanos, commands: &mut Vec<Command<M>>) {
        self.apply_timeouts(now, commands);
    }

    /// Plans the shutdown of this gateway for a stop signal at the time `now`.
    pub fn shutdown_plan(
        &self,
        now: Nanos,
        max_first_token_budget: Nanos,
        client_resumption: ClientResumption,
    ) -> ShutdownPlan {
        let no_peer_available =
            self.gateway_count == 1 || self.resume_rate.another_gateway_stopped(now, self.tracked());
        let peers = if no_peer_available { PeerGateways::Unavailable } else { PeerGateways::Available };
        plan_shutdown(max_first_token_budget, client_resumption, peers)
    }

    /// Terminates running streams so that their clients resume them at another gateway. The plan determines the number
    /// of streams to terminate in the period `since_stop_signal`, whose bounds are times since the stop signal.
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

    /// Gives every sequence in flight its final answer.
    pub fn terminate_all(&mut self, now: Nanos, commands: &mut Vec<Command<M>>) {
        self.apply(now, commands, |manager, actions| manager.terminate_all(now, actions));
    }

    /// Number of sequences in the table, answered or not.
    pub fn tracked(&self) -> usize {
        self.store.len()
    }

    /// Number of pending releases.
    pub fn pending_releases(&self) -> usize {
        self.store.releases.pending()
    }

    /// Counts of events since the start.
    pub fn counts(&self) -> Counts {
        self.store.manager.counts()
    }
}

/// The request id of a sequence in the platform's protocol, the same for all attempts of the sequence.
fn request_id(id: SequenceId) -> String {
    format!("{:016x}", id.0)
}
