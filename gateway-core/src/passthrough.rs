//! All that a gateway keeps for sequences whose events pass unchanged: who is in hand, where model servers are
//! reached, what readers may hold, releases owed, and the one final answer.
//!
//! Beside [`crate::buffered`], which does so for fronts that word answers themselves. Like it this has no I/O and no
//! clock. `M` is a client's request; it is handed on unread, and dropped with its first event. A shell tells what
//! happened on its sockets and carries out [`Order`]s.

use crate::attempt_outcome::Ending;
use crate::cache_leases::Leases;
use crate::cache_releases::{PLACES, Release, Releases, State, Word};
use crate::capacity::{Room, values};
use crate::graceful_shutdown::{Arrivals, Leaving, leaving};
use crate::invariants::Breach;
use crate::send_gate::{Denial, Due, ListedNow, may_begin};
use crate::{Action, Conductor, Counts, Dispatch, NewSequence, Reason};
use petrelshore::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Why a sequence was not taken. Nothing ran: coming again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its id is in hand for another client.
    IdInHand,
    /// More can't be held; when to come back, where settings allow to say so.
    Full { retry_after: Option<Nanos> },
}

/// The one final answer of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// All events have come.
    Generated,
    /// Trying again is harmless.
    Rejected { retry_after: Option<Nanos>, reason: Reason },
    /// Nothing is promised, or the stream broke.
    Aborted { reason: Reason },
}

/// What a shell carries out, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Order<M> {
    /// Send an attempt there. Without an address or a request it can't be: that is told as not connected, though not
    /// before these orders are carried out.
    Send { dispatch: Dispatch, to: Option<SocketAddr>, message: Option<M> },
    /// Break an attempt off by closing its connection.
    BreakOff { id: SequenceId, attempt: usize },
    /// Tell a reader to let go of a state, and tell what came of it.
    LetGo(Release),
    /// Final: events that are on their way come before it, nothing after.
    Answer { id: SequenceId, last: Final },
    /// Nothing is left of a sequence.
    Over { id: SequenceId },
}

/// Where a model server is reached.
struct Reached {
    address: SocketAddr,
    condition: EndpointState,
    since: Nanos,
    /// When it last answered anything.
    heard: Nanos,
}

struct Ticket<M> {
    /// Until its first event has come: nothing is sent for it after.
    message: Option<M>,
    /// The one attempt that is out.
    out: Option<usize>,
    leases: Leases,
    answered: bool,
}

pub struct Passage<M> {
    gateways: usize,
    conductor: Conductor,
    releases: Releases,
    arrivals: Arrivals,
    room: Room,
    values: Vec<f64>,
    longest_retry_after: Option<Nanos>,
    servers: BTreeMap<ServerId, Reached>,
    tickets: HashMap<SequenceId, Ticket<M>>,
}

impl<M: Clone> Passage<M> {
    /// At most so many sequences are in hand.
    pub fn new(now: Nanos, deployment: Deployment, seed: u64, most: usize) -> Self {
        Passage {
            gateways: deployment.gateways,
            releases: Releases::new(deployment.release_timeout),
            arrivals: Arrivals::default(),
            room: Room::new(now, most),
            values: values(&deployment.types),
            longest_retry_after: deployment.max_retry_after,
            conductor: Conductor::new(now, deployment, seed),
            servers: BTreeMap::new(),
            tickets: HashMap::new(),
        }
    }

    /// Takes a sequence, or says why not. What is taken is owed exactly one final answer.
    pub fn take(
        &mut self,
        now: Nanos,
        new: NewSequence,
        message: M,
        out: &mut Vec<Order<M>>,
    ) -> Result<(), Refusal> {
        let id = new.id;
        if self.tickets.contains_key(&id) || self.conductor.holds(id) {
            return Err(Refusal::IdInHand);
        }
        // What is owed needs places as well, beyond those that are kept for it.
        self.room.also_taken(self.releases.owed().saturating_sub(PLACES));
        // A front hides whose client is whose: each sequence is a client of its own here.
        if self.room.take(now, id.0, self.values[new.traffic.0]).is_err() {
            let longest = self.longest_retry_after;
            let retry_after = longest.map(|longest| self.room.come_back(now, Some(longest)));
            return Err(Refusal::Full { retry_after });
        }
        if new.resumed {
            self.arrivals.resumed(now);
        }
        let ticket = Ticket { message: Some(message), out: None, leases: Leases::default(), answered: false };
        self.tickets.insert(id, ticket);
        self.ask(now, out, |conductor, actions| conductor.take(now, new, actions));
        self.settle(now, id, out);
        Ok(())
    }

    /// Takes no sequence further: what comes is rejected, what is in hand goes on.
    pub fn drain(&mut self) {
        self.conductor.drain();
    }

    /// Whether an attempt may still begin whose connection has come up.
    pub fn may_begin(&self, now: Nanos, due: &Due) -> Result<(), Denial> {
        let ticket = self.tickets.get(&due.dispatch.id);
        let current =
            ticket.is_some_and(|ticket| !ticket.answered && ticket.out == Some(due.dispatch.attempt));
        let listed = self.servers.get(&due.dispatch.server).map(|server| ListedNow {
            address: server.address,
            condition: server.condition,
            start: server.since,
        });
        may_begin(now, due, current, listed)
    }

    /// What broke a rule so far, as counted at run time.
    pub fn breaches(&self) -> &BTreeMap<Breach, u64> {
        self.conductor.breaches()
    }

    /// When a server last started, as far as the list tells.
    pub fn since(&self, server: ServerId) -> Option<Nanos> {
        self.servers.get(&server).map(|reached| reached.since)
    }

    /// Since when a word is owed to its reader, as its name among others for the same request: it is taken back once
    /// another attempt may use what is held there, and owed anew for what that one leaves.
    pub fn owed_since(&self, release: &Release) -> Option<Nanos> {
        self.releases.owed_since(release)
    }

    /// The list of servers, or what has changed in it.
    pub fn listed(&mut self, now: Nanos, scope: SnapshotKind, entries: &[(Endpoint, SocketAddr)]) {
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
        self.conductor.listed(now, scope, &endpoints);
    }

    pub fn reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        self.conductor.reported(now, server, report);
    }

    /// Its server has an attempt, as far as its socket proves.
    pub fn reached(&mut self, id: SequenceId, attempt: usize) {
        self.conductor.reached(id, attempt);
    }

    /// The first event has come: the attempt is the client's, and its prompt is needed no more. Its writer has fetched
    /// the state that it was sent for; what else may be held nobody will take.
    pub fn began(&mut self, now: Nanos, dispatch: &Dispatch, out: &mut Vec<Order<M>>) {
        self.heard(now, dispatch.server);
        let left = self.tickets.get_mut(&dispatch.id).map(|ticket| {
            ticket.message = None;
            ticket.leases.state_gone(dispatch.reader);
            ticket.leases.all()
        });
        self.let_go(now, dispatch.id, left.unwrap_or_default(), out);
        self.conductor.began(now, dispatch.id, dispatch.attempt);
    }

    /// Further events have come.
    pub fn progressed(&mut self, now: Nanos, id: SequenceId) {
        self.conductor.progressed(now, id);
    }

    /// The client has stopped taking its stream, or takes it again.
    pub fn stalled(&mut self, now: Nanos, id: SequenceId, stalled: bool) {
        self.conductor.stalled(now, id, stalled);
    }

    /// An attempt has ended, as its socket showed.
    pub fn ended(&mut self, now: Nanos, dispatch: &Dispatch, ending: Ending, out: &mut Vec<Order<M>>) {
        let Dispatch { id, attempt, server, step, reader, .. } = *dispatch;
        if ending.answered() {
            self.heard(now, server);
        }
        if let Some(ticket) = self.tickets.get_mut(&id) {
            ticket.out.take_if(|out| *out == attempt);
            match (step, ending) {
                (Step::Prefill, ending) => ticket.leases.read_ended(server, ending),
                (_, Ending::StateMissing) => ticket.leases.state_gone(reader),
                _ => {}
            }
        }
        self.ask(now, out, |conductor, actions| conductor.ended(now, id, attempt, ending, actions));
        self.settle(now, id, out);
    }

    /// The client has left before its answer's end.
    pub fn withdrawn(&mut self, now: Nanos, id: SequenceId, out: &mut Vec<Order<M>>) {
        self.ask(now, out, |conductor, actions| conductor.withdrawn(id, actions));
        self.settle(now, id, out);
    }

    /// A reader was told to let go of a state, by itself or by way of another server; which one has answered. Nobody
    /// has where all are lost: it is told again, listed or not, since it may hold the state all the same.
    /// The word's `owed_since` from when it was told: an answer to an older one settles nothing.
    pub fn told(
        &mut self,
        now: Nanos,
        release: &Release,
        owed_since: Option<Nanos>,
        answered: Option<ServerId>,
    ) {
        let Some(server) = answered else { return };
        self.heard(now, server);
        if self.owed_since(release) == owed_since {
            self.releases.told(now, release, Word::Answered);
        }
    }

    fn heard(&mut self, now: Nanos, server: ServerId) {
        if let Some(reached) = self.servers.get_mut(&server) {
            reached.heard = now;
        }
    }

    /// How long a reader may take to answer a release.
    pub fn release_within(&self) -> Nanos {
        self.releases.answer_within()
    }

    /// How long the answer to a release is awaited before another server is told as well.
    pub fn another_after(&self) -> Nanos {
        self.releases.another_after()
    }

    /// Where a server is reached.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|reached| reached.address)
    }

    /// The servers by way of which a reader that can't be had is told.
    pub fn by_way_of(&self, release: &Release) -> Vec<(ServerId, SocketAddr)> {
        let ready = self.servers.iter().filter(|(_, reached)| reached.condition == EndpointState::Ready);
        let ready: Vec<_> = ready.map(|(id, reached)| (reached.heard, *id)).collect();
        let others = self.releases.by_way_of(release, &ready).into_iter();
        others.filter_map(|id| Some((id, self.address(id)?))).collect()
    }

    /// Where model servers are listed.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.servers.values().map(|reached| reached.address).collect()
    }

    /// When [`Passage::due`] next has something to do.
    pub fn next_due(&self) -> Option<Nanos> {
        self.conductor.next_due().into_iter().chain(self.releases.next_due()).min()
    }

    /// Acts on all that is due by now.
    pub fn due(&mut self, now: Nanos, out: &mut Vec<Order<M>>) {
        self.ask(now, out, |conductor, actions| conductor.due(now, actions));
        out.extend(self.releases.due(now).into_iter().map(Order::LetGo));
    }

    /// How this gateway leaves that is told to stop now.
    pub fn leaving(&self, now: Nanos, longest_abandon: Nanos, clients_resume: bool) -> Leaving {
        let alone = self.gateways == 1 || self.arrivals.another_left(now, self.in_hand());
        leaving(longest_abandon, clients_resume, alone)
    }

    /// Ends as many of the streams that run as that plan has end before `next`, for their clients to ask for the rest
    /// elsewhere; `at` is the time since the word to stop.
    pub fn move_streams(
        &mut self,
        now: Nanos,
        plan: &Leaving,
        (at, next): (Nanos, Nanos),
        out: &mut Vec<Order<M>>,
    ) {
        let most = plan.to_move(at, next, self.conductor.streams());
        self.ask(now, out, |conductor, actions| conductor.finish_streams(now, most, actions));
    }

    /// Whatever is in hand gets its final answer now.
    pub fn end_all(&mut self, now: Nanos, out: &mut Vec<Order<M>>) {
        self.ask(now, out, |conductor, actions| conductor.finish_all(now, actions));
    }

    pub fn in_hand(&self) -> usize {
        self.tickets.len()
    }

    pub fn releases_owed(&self) -> usize {
        self.releases.owed()
    }

    pub fn counts(&self) -> Counts {
        self.conductor.counts()
    }

    /// Asks the conductor, and turns its actions into orders.
    fn ask(
        &mut self,
        now: Nanos,
        out: &mut Vec<Order<M>>,
        event: impl FnOnce(&mut Conductor, &mut Vec<Action>),
    ) {
        let (mut actions, mut touched) = (Vec::new(), Vec::new());
        event(&mut self.conductor, &mut actions);
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
                            ticket.leases.read_ended(server, Ending::Cancelled);
                        }
                    }
                    out.push(Order::BreakOff { id, attempt });
                    self.conductor.ended(now, id, attempt, Ending::Cancelled, &mut actions);
                    touched.push(id);
                }
                Action::Release { id } => {
                    let left = self.tickets.get_mut(&id).map(|ticket| ticket.leases.all());
                    self.let_go(now, id, left.unwrap_or_default(), out);
                }
                Action::Reject { id, retry_after, reason } => {
                    self.answer(id, Final::Rejected { retry_after, reason }, out);
                    touched.push(id);
                }
                Action::Abort { id, reason } => {
                    self.answer(id, Final::Aborted { reason }, out);
                    touched.push(id);
                }
                Action::Over { id, outcome, reason } => {
                    let last = match outcome {
                        Outcome::Completed => Final::Generated,
                        _ => Final::Aborted { reason: reason.unwrap_or(Reason::Broken) },
                    };
                    self.answer(id, last, out);
                    touched.push(id);
                }
                // The conductor's own timers ask again; the list is followed all the time.
                Action::AskAt { .. } | Action::AskList { .. } => {}
            }
        }
        touched.into_iter().for_each(|id| self.settle(now, id, out));
    }

    fn send(&mut self, dispatch: Dispatch, out: &mut Vec<Order<M>>) {
        let to = self.address(dispatch.server);
        let Some(ticket) = self.tickets.get_mut(&dispatch.id) else { return };
        ticket.out = Some(dispatch.attempt);
        // A word on its way would take the state that this attempt is to leave or to fetch.
        let taken_back = self.releases.take_back(&request(dispatch.id));
        taken_back.into_iter().for_each(|reader| ticket.leases.owed_again(reader));
        out.push(Order::Send { dispatch, to, message: ticket.message.clone() });
    }

    /// The one final answer.
    fn answer(&mut self, id: SequenceId, last: Final, out: &mut Vec<Order<M>>) {
        if let Some(ticket) = self.tickets.get_mut(&id).filter(|ticket| !ticket.answered) {
            ticket.answered = true;
            out.push(Order::Answer { id, last });
        }
    }

    /// Lets go of what no attempt will take, and of the ticket once nothing is left of its sequence.
    fn settle(&mut self, now: Nanos, id: SequenceId, out: &mut Vec<Order<M>>) {
        let over = !self.conductor.holds(id);
        let Some(ticket) = self.tickets.get_mut(&id) else { return };
        let left = match ticket.out {
            _ if over => ticket.leases.all(),
            None => ticket.leases.cut_off(),
            Some(_) => Vec::new(),
        };
        self.let_go(now, id, left, out);
        if over {
            self.tickets.remove(&id);
            self.room.leave(now, id.0);
            out.push(Order::Over { id });
        }
    }

    fn let_go(&mut self, now: Nanos, id: SequenceId, left: Vec<(ServerId, State)>, out: &mut Vec<Order<M>>) {
        for (server, state) in left {
            let release = Release { server, request: request(id) };
            self.releases.owe(now, &release, state);
            out.push(Order::LetGo(release));
        }
    }
}

/// A request's name on the platform's wire.
fn request(id: SequenceId) -> String {
    format!("{:016x}", id.0)
}
