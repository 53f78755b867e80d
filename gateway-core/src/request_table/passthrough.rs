//! All that a gateway keeps for sequences whose events pass unchanged: who is in hand, where model servers are
//! reached, what readers may hold, releases owed, and the one final answer.
//!
//! Beside [`crate::buffered`], which does so for fronts that word answers themselves. Like it this has no I/O and no
//! clock. `M` is a client's request; it is handed on unread, and dropped with its first event. A shell tells what
//! happened on its sockets and carries out [`Command`]s.

use crate::attempt_outcome::AttemptEnd;
use crate::cache_leases::CacheLeases;
use crate::cache_releases::{CacheRelease, CacheReleases, CacheState, PLACES, ReleaseOutcome};
use crate::capacity::{CapacityLimit, relative_priorities};
use crate::graceful_shutdown::{ResumeRate, ShutdownPlan, plan_shutdown};
use crate::invariants::Violation;
use crate::send_gate::{CurrentEndpoint, PendingSend, SendDenial, check_send};
use crate::{Action, Counts, Dispatch, FailureReason, NewSequence, RequestManager};
use petrelshore::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Why a sequence was not taken. Nothing ran: coming again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its id is in hand for another client.
    DuplicateId,
    /// More can't be held; when to come back, where settings allow to say so.
    AtCapacity { retry_after: Option<Nanos> },
}

/// The one final answer of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// All events have come.
    Completed,
    /// Trying again is harmless.
    Rejected { retry_after: Option<Nanos>, reason: FailureReason },
    /// Nothing is promised, or the stream broke.
    Aborted { reason: FailureReason },
}

/// What a shell carries out, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<M> {
    /// Send an attempt there. Without an address or a request it can't be: that is told as not connected, though not
    /// before these orders are carried out.
    Send { dispatch: Dispatch, address: Option<SocketAddr>, message: Option<M> },
    /// Break an attempt off by closing its connection.
    Cancel { id: SequenceId, attempt: usize },
    /// Tell a reader to let go of a state, and tell what came of it.
    Release(CacheRelease),
    /// Final: events that are on their way come before it, nothing after.
    Answer { id: SequenceId, last: FinalAnswer },
    /// Nothing is left of a sequence.
    Remove { id: SequenceId },
}

/// Where a model server is reached.
struct Reached {
    address: SocketAddr,
    condition: EndpointState,
    since: Nanos,
    /// When it last answered anything.
    heard: Nanos,
}

struct RequestEntry<M> {
    /// Until its first event has come: nothing is sent for it after.
    message: Option<M>,
    /// The one attempt that is out.
    out: Option<usize>,
    leases: CacheLeases,
    answered: bool,
}

pub struct PassthroughRequests<M> {
    gateways: usize,
    manager: RequestManager,
    releases: CacheReleases,
    arrivals: ResumeRate,
    room: CapacityLimit,
    values: Vec<f64>,
    longest_retry_after: Option<Nanos>,
    servers: BTreeMap<ServerId, Reached>,
    tickets: HashMap<SequenceId, RequestEntry<M>>,
}

impl<M: Clone> PassthroughRequests<M> {
    /// At most so many sequences are in hand.
    pub fn new(now: Nanos, deployment: Deployment, seed: u64, most: usize) -> Self {
        PassthroughRequests {
            gateways: deployment.gateways,
            releases: CacheReleases::new(deployment.release_timeout),
            arrivals: ResumeRate::default(),
            room: CapacityLimit::new(now, most),
            values: relative_priorities(&deployment.types),
            longest_retry_after: deployment.max_retry_after,
            manager: RequestManager::new(now, deployment, seed),
            servers: BTreeMap::new(),
            tickets: HashMap::new(),
        }
    }

    /// Takes a sequence, or says why not. What is taken is owed exactly one final answer.
    pub fn accept(
        &mut self,
        now: Nanos,
        new: NewSequence,
        message: M,
        out: &mut Vec<Command<M>>,
    ) -> Result<(), Rejection> {
        let id = new.id;
        if self.tickets.contains_key(&id) || self.manager.contains(id) {
            return Err(Rejection::DuplicateId);
        }
        // What is owed needs places as well, beyond those that are kept for it.
        self.room.set_otherwise_used(self.releases.pending().saturating_sub(PLACES));
        // A front hides whose client is whose: each sequence is a client of its own here.
        if self.room.acquire(now, id.0, self.values[new.traffic.0]).is_err() {
            let longest = self.longest_retry_after;
            let retry_after = longest.map(|longest| self.room.retry_after(now, Some(longest)));
            return Err(Rejection::AtCapacity { retry_after });
        }
        if new.resumed {
            self.arrivals.record(now);
        }
        let ticket = RequestEntry {
            message: Some(message),
            out: None,
            leases: CacheLeases::default(),
            answered: false,
        };
        self.tickets.insert(id, ticket);
        self.ask(now, out, |manager, actions| manager.accept(now, new, actions));
        self.settle(now, id, out);
        Ok(())
    }

    /// Takes no sequence further: what comes is rejected, what is in hand goes on.
    pub fn drain(&mut self) {
        self.manager.drain();
    }

    /// Whether an attempt may still begin whose connection has come up.
    pub fn may_send(&self, now: Nanos, due: &PendingSend) -> Result<(), SendDenial> {
        let ticket = self.tickets.get(&due.dispatch.id);
        let current =
            ticket.is_some_and(|ticket| !ticket.answered && ticket.out == Some(due.dispatch.attempt));
        let listed = self.servers.get(&due.dispatch.server).map(|server| CurrentEndpoint {
            address: server.address,
            state: server.condition,
            started_at: server.since,
        });
        check_send(now, due, current, listed)
    }

    /// What broke a rule so far, as counted at run time.
    pub fn violations(&self) -> &BTreeMap<Violation, u64> {
        self.manager.violations()
    }

    /// When a server last started, as far as the list tells.
    pub fn server_started_at(&self, server: ServerId) -> Option<Nanos> {
        self.servers.get(&server).map(|reached| reached.since)
    }

    /// Since when a word is owed to its reader, as its name among others for the same request: it is taken back once
    /// another attempt may use what is held there, and owed anew for what that one leaves.
    pub fn release_pending_since(&self, release: &CacheRelease) -> Option<Nanos> {
        self.releases.pending_since(release)
    }

    /// The list of servers, or what has changed in it.
    pub fn update_endpoints(&mut self, now: Nanos, scope: SnapshotKind, entries: &[(Endpoint, SocketAddr)]) {
        let before = match scope {
            SnapshotKind::Delta => BTreeMap::new(),
            _ => std::mem::take(&mut self.servers),
        };
        for (Endpoint { server, state: condition, started_at: since, .. }, address) in entries {
            let known = self.servers.get(server).or_else(|| before.get(server));
            let heard = known.map_or(0, |known| known.heard);
            let reached = Reached { address: *address, condition: *condition, since: *since, heard };
            self.servers.insert(*server, reached);
        }
        self.servers.retain(|_, reached| reached.condition != EndpointState::Gone);
        let endpoints: Vec<Endpoint> = entries.iter().map(|(endpoint, _)| endpoint.clone()).collect();
        self.manager.update_endpoints(now, scope, &endpoints);
    }

    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        self.manager.load_reported(now, server, report);
    }

    /// Its server has an attempt, as far as its socket proves.
    pub fn attempt_delivered(&mut self, id: SequenceId, attempt: usize) {
        self.manager.attempt_delivered(id, attempt);
    }

    /// The first event has come: the attempt is the client's, and its prompt is needed no more. Its writer has fetched
    /// the state that it was sent for; what else may be held nobody will take.
    pub fn first_token(&mut self, now: Nanos, dispatch: &Dispatch, out: &mut Vec<Command<M>>) {
        self.heard(now, dispatch.server);
        let left = self.tickets.get_mut(&dispatch.id).map(|ticket| {
            ticket.message = None;
            ticket.leases.cache_fetched(dispatch.prefill_server);
            ticket.leases.take_all()
        });
        self.let_go(now, dispatch.id, left.unwrap_or_default(), out);
        self.manager.first_token(now, dispatch.id, dispatch.attempt);
    }

    /// Further events have come.
    pub fn token_received(&mut self, now: Nanos, id: SequenceId) {
        self.manager.token_received(now, id);
    }

    /// The client stopped reading its stream.
    pub fn client_stalled(&mut self, now: Nanos, id: SequenceId) {
        self.manager.client_stalled(now, id);
    }

    /// The client reads its stream again.
    pub fn client_stall_ended(&mut self, now: Nanos, id: SequenceId) {
        self.manager.client_stall_ended(now, id);
    }

    /// An attempt has ended, as its socket showed.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        dispatch: &Dispatch,
        ending: AttemptEnd,
        out: &mut Vec<Command<M>>,
    ) {
        let Dispatch { id, attempt, server, step, prefill_server: reader, .. } = *dispatch;
        if ending.server_answered() {
            self.heard(now, server);
        }
        if let Some(ticket) = self.tickets.get_mut(&id) {
            ticket.out.take_if(|out| *out == attempt);
            match (step, ending) {
                (Step::Prefill, ending) => ticket.leases.prefill_ended(server, ending),
                (_, AttemptEnd::KvCacheMissing) => ticket.leases.cache_fetched(reader),
                _ => {}
            }
        }
        self.ask(now, out, |manager, actions| manager.attempt_ended(now, id, attempt, ending, actions));
        self.settle(now, id, out);
    }

    /// The client has left before its answer's end.
    pub fn client_cancelled(&mut self, now: Nanos, id: SequenceId, out: &mut Vec<Command<M>>) {
        self.ask(now, out, |manager, actions| manager.client_cancelled(id, actions));
        self.settle(now, id, out);
    }

    /// A reader was told to let go of a state, by itself or by way of another server; which one has answered. Nobody
    /// has where all are lost: it is told again, listed or not, since it may hold the state all the same.
    /// The word's `owed_since` from when it was told: an answer to an older one settles nothing.
    pub fn release_finished(
        &mut self,
        now: Nanos,
        release: &CacheRelease,
        owed_since: Option<Nanos>,
        answered: Option<ServerId>,
    ) {
        let Some(server) = answered else { return };
        self.heard(now, server);
        if self.release_pending_since(release) == owed_since {
            self.releases.finished(now, release, ReleaseOutcome::Acknowledged);
        }
    }

    fn heard(&mut self, now: Nanos, server: ServerId) {
        if let Some(reached) = self.servers.get_mut(&server) {
            reached.heard = now;
        }
    }

    /// How long a reader may take to answer a release.
    pub fn release_timeout(&self) -> Nanos {
        self.releases.answer_timeout()
    }

    /// How long the answer to a release is awaited before another server is told as well.
    pub fn relay_interval(&self) -> Nanos {
        self.releases.relay_interval()
    }

    /// Where a server is reached.
    pub fn server_address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|reached| reached.address)
    }

    /// The servers by way of which a reader that can't be had is told.
    pub fn release_relays(&self, release: &CacheRelease) -> Vec<(ServerId, SocketAddr)> {
        let ready = self.servers.iter().filter(|(_, reached)| reached.condition == EndpointState::Ready);
        let ready: Vec<_> = ready.map(|(id, reached)| (reached.heard, *id)).collect();
        let others = self.releases.relays(release, &ready).into_iter();
        others.filter_map(|id| Some((id, self.server_address(id)?))).collect()
    }

    /// Where model servers are listed.
    pub fn server_addresses(&self) -> BTreeSet<SocketAddr> {
        self.servers.values().map(|reached| reached.address).collect()
    }

    /// When [`PassthroughRequests::due`] next has something to do.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.manager.next_timeout().into_iter().chain(self.releases.next_timeout()).min()
    }

    /// Acts on all that is due by now.
    pub fn on_timeout(&mut self, now: Nanos, out: &mut Vec<Command<M>>) {
        self.ask(now, out, |manager, actions| manager.on_timeout(now, actions));
        out.extend(self.releases.on_timeout(now).into_iter().map(Command::Release));
    }

    /// How this gateway leaves that is told to stop now.
    pub fn shutdown_plan(&self, now: Nanos, longest_abandon: Nanos, clients_resume: bool) -> ShutdownPlan {
        let alone = self.gateways == 1 || self.arrivals.another_gateway_stopped(now, self.tracked());
        plan_shutdown(longest_abandon, clients_resume, alone)
    }

    /// Ends as many of the streams that run as that plan has end before `next`, for their clients to ask for the rest
    /// elsewhere; `at` is the time since the word to stop.
    pub fn migrate_streams(
        &mut self,
        now: Nanos,
        plan: &ShutdownPlan,
        (at, next): (Nanos, Nanos),
        out: &mut Vec<Command<M>>,
    ) {
        let most = plan.streams_to_migrate(at, next, self.manager.running_streams());
        self.ask(now, out, |manager, actions| manager.terminate_streams(now, most, actions));
    }

    /// Whatever is in hand gets its final answer now.
    pub fn terminate_all(&mut self, now: Nanos, out: &mut Vec<Command<M>>) {
        self.ask(now, out, |manager, actions| manager.terminate_all(now, actions));
    }

    pub fn tracked(&self) -> usize {
        self.tickets.len()
    }

    pub fn pending_releases(&self) -> usize {
        self.releases.pending()
    }

    pub fn counts(&self) -> Counts {
        self.manager.counts()
    }

    /// Asks the request manager, and turns its actions into orders.
    fn ask(
        &mut self,
        now: Nanos,
        out: &mut Vec<Command<M>>,
        event: impl FnOnce(&mut RequestManager, &mut Vec<Action>),
    ) {
        let (mut actions, mut touched) = (Vec::new(), Vec::new());
        event(&mut self.manager, &mut actions);
        // What follows from breaking an attempt off comes behind what is to be done already.
        let mut at = 0;
        while let Some(action) = actions.get(at).copied() {
            at += 1;
            match action {
                Action::Send(dispatch) => self.send(dispatch, out),
                Action::Cancel { id, attempt, server, step } => {
                    if let Some(ticket) = self.tickets.get_mut(&id) {
                        ticket.out.take_if(|out| *out == attempt);
                        if step == Step::Prefill {
                            ticket.leases.prefill_ended(server, AttemptEnd::Cancelled);
                        }
                    }
                    out.push(Command::Cancel { id, attempt });
                    self.manager.attempt_ended(now, id, attempt, AttemptEnd::Cancelled, &mut actions);
                    touched.push(id);
                }
                Action::Release { id } => {
                    let left = self.tickets.get_mut(&id).map(|ticket| ticket.leases.take_all());
                    self.let_go(now, id, left.unwrap_or_default(), out);
                }
                Action::Reject { id, retry_after, reason } => {
                    self.answer(id, FinalAnswer::Rejected { retry_after, reason }, out);
                    touched.push(id);
                }
                Action::Abort { id, reason } => {
                    self.answer(id, FinalAnswer::Aborted { reason }, out);
                    touched.push(id);
                }
                Action::Complete { id, outcome, reason } => {
                    let last = match outcome {
                        Outcome::Completed => FinalAnswer::Completed,
                        _ => FinalAnswer::Aborted { reason: reason.unwrap_or(FailureReason::StreamBroken) },
                    };
                    self.answer(id, last, out);
                    touched.push(id);
                }
                // the request manager's own timers ask again; the list is followed all the time.
                Action::WakeAt { .. } | Action::PollEndpoints { .. } => {}
            }
        }
        touched.into_iter().for_each(|id| self.settle(now, id, out));
    }

    fn send(&mut self, dispatch: Dispatch, out: &mut Vec<Command<M>>) {
        let address = self.server_address(dispatch.server);
        let Some(ticket) = self.tickets.get_mut(&dispatch.id) else { return };
        ticket.out = Some(dispatch.attempt);
        // A word on its way would take the state that this attempt is to leave or to fetch.
        let taken_back = self.releases.revoke(&request(dispatch.id));
        taken_back.into_iter().for_each(|reader| ticket.leases.release_revoked(reader));
        out.push(Command::Send { dispatch, address, message: ticket.message.clone() });
    }

    /// The one final answer.
    fn answer(&mut self, id: SequenceId, last: FinalAnswer, out: &mut Vec<Command<M>>) {
        if let Some(ticket) = self.tickets.get_mut(&id).filter(|ticket| !ticket.answered) {
            ticket.answered = true;
            out.push(Command::Answer { id, last });
        }
    }

    /// Lets go of what no attempt will take, and of the ticket once nothing is left of its sequence.
    fn settle(&mut self, now: Nanos, id: SequenceId, out: &mut Vec<Command<M>>) {
        let over = !self.manager.contains(id);
        let Some(ticket) = self.tickets.get_mut(&id) else { return };
        let left = match ticket.out {
            _ if over => ticket.leases.take_all(),
            None => ticket.leases.take_uncertain(),
            Some(_) => Vec::new(),
        };
        self.let_go(now, id, left, out);
        if over {
            self.tickets.remove(&id);
            self.room.release(now, id.0);
            out.push(Command::Remove { id });
        }
    }

    fn let_go(
        &mut self,
        now: Nanos,
        id: SequenceId,
        left: Vec<(ServerId, CacheState)>,
        out: &mut Vec<Command<M>>,
    ) {
        for (server, state) in left {
            let release = CacheRelease { server, request_id: request(id) };
            self.releases.add(now, &release, state);
            out.push(Command::Release(release));
        }
    }
}

/// A request's name on the platform's wire.
fn request(id: SequenceId) -> String {
    format!("{:016x}", id.0)
}
