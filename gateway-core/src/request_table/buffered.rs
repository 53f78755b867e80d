//! All that a gateway keeps for its sequences round the request manager: room, keys, text so far, states that readers hold,
//! releases owed, and the one final answer.
//!
//! Like the request manager it has no I/O and no clock. `P` is what a reader gave for a state; it is handed on unread. A
//! shell tells what happened on its sockets and carries out [`Command`]s: connections, channels to fronts and timers
//! are its own, nothing else is.

use crate::attempt_outcome::AttemptEnd;
use crate::cache_releases::{CacheRelease, CacheReleases, CacheState, ReleaseOutcome};
use crate::cancellation_limits::CancellationLimits;
use crate::capacity::{CapacityError, CapacityLimit, relative_priorities};
use crate::error_response::SOON;
use crate::fingerprint::request_fingerprint;
use crate::idempotency::{self, CompletedRequest, IdempotencyStore, KeyStatus};
use crate::policy::Chooser;
use crate::token_estimate::PromptEstimate;
use crate::{Action, Counts, Dispatch, FailureReason, NewSequence, Relay, RequestManager, timeouts};
use petrelshore::interface::*;
use std::collections::HashMap;
use std::rc::Rc;

/// A request as a front understood it. Nothing is taken before the request table says so.
#[derive(Clone, Debug)]
pub struct Request {
    pub traffic: TrafficTypeId,
    pub tenant: Option<TenantId>,
    pub session: Option<SessionId>,
    pub estimate: PromptEstimate,
    pub model: Rc<str>,
    pub prompt: Rc<str>,
    pub max_tokens: u32,
    pub idempotency_key: Option<Rc<str>>,
    pub relay: Relay,
    /// Who asks, as far as bounds for one client go.
    pub client: u64,
    /// How long the client waits for a first token, from `arrived` on.
    pub first_token_budget: Nanos,
    /// How long it waits for the whole answer, where it said so.
    pub completion_budget: Option<Nanos>,
    pub arrived_at: Nanos,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub prompt_tokens: u64,
    pub completion_tokens: u64,
}

/// Why a request was not taken. Nothing ran: coming again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The gateway holds all that it may.
    GatewayAtCapacity {
        retry_after: Nanos,
    },
    /// This client holds all that one may.
    ClientAtCapacity {
        retry_after: Nanos,
    },
    Draining {
        retry_after: Nanos,
    },
    /// A sequence with the same idempotency key is in hand.
    KeyInFlight {
        retry_after: Nanos,
    },
    /// The idempotency key stands for another request.
    KeyReused,
    /// This client withdraws too much of what it asks.
    TooManyCancelled {
        retry_after: Nanos,
    },
    /// The client's time is too short for any answer.
    DeadlineTooShort,
}

/// The one final answer of a sequence.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    Completed { finish_reason: String, usage: Usage },
    Rejected { retry_after: Option<Nanos>, reason: FailureReason },
    Aborted { reason: FailureReason },
}

/// What became of a request that came in.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It is in hand and owed a final answer.
    Accepted(SequenceId),
    /// It has run before, and ended so.
    Replayed {
        id: SequenceId,
        text: Rc<str>,
        last: FinalAnswer,
    },
    Rejected(Rejection),
}

/// Part of an answer, as a writer sent it.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    Text(String),
    /// Why the answer ended, in the API's word.
    Finish(String),
    Usage(Usage),
}

/// What a shell carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<P> {
    Send(Box<OutgoingAttempt<P>>),
    /// Break an attempt off by closing its connection, and tell of it as ended.
    Cancel {
        id: SequenceId,
        attempt: usize,
    },
    /// Tell a reader to let go of a state, and tell the request table when it has answered.
    Release(CacheRelease),
    /// Final: nothing follows for this sequence.
    Answer {
        id: SequenceId,
        last: FinalAnswer,
    },
}

/// An attempt with all that its exchange needs.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAttempt<P> {
    pub dispatch: Dispatch,
    /// By this the servers know the attempt.
    pub request_id: String,
    pub prompt: Rc<str>,
    pub max_tokens: u32,
    /// Marks repeats of tokened work.
    pub idempotency_key: Option<Rc<str>>,
    pub transfer_params: Option<P>,
}

struct RequestEntry<P> {
    request: Request,
    /// States that readers hold for it.
    states: Vec<(CacheRelease, P)>,
    finish: Option<String>,
    usage: Usage,
    /// Its whole text so far, where a repeat may ask for it or a break be gone on from.
    gathered: Option<String>,
    /// Tokens that earlier attempts had brought when the present one was sent.
    done: u32,
    /// Something of it may have taken effect.
    may_have_run: bool,
    answered: bool,
    /// Its first token has come.
    began: bool,
    /// The front has let go of its answer.
    left: bool,
}

impl<P> RequestEntry<P> {
    /// The state that a writer is sent to fetch from a reader: the one read last there.
    fn held_at(&self, reader: ServerId) -> Option<usize> {
        self.states.iter().rposition(|(release, _)| release.server == reader)
    }
}

pub struct BufferedRequests<P> {
    manager: RequestManager,
    effects: Vec<Idempotency>,
    values: Vec<f64>,
    longest_retry_after: Option<Nanos>,
    room: CapacityLimit,
    replays: IdempotencyStore<FinalAnswer>,
    releases: CacheReleases,
    withdrawals: CancellationLimits,
    tickets: HashMap<SequenceId, RequestEntry<P>>,
    last_id: u64,
    draining: bool,
}

impl<P: Clone> BufferedRequests<P> {
    /// `most` is how many sequences may be in hand.
    pub fn new(now: Nanos, deployment: Deployment, seed: u64, most: usize, chooser: Chooser) -> Self {
        BufferedRequests {
            effects: deployment.types.iter().map(|t| t.idempotency).collect(),
            values: relative_priorities(&deployment.types),
            longest_retry_after: deployment.max_retry_after,
            room: CapacityLimit::new(now, most),
            replays: IdempotencyStore::default(),
            releases: CacheReleases::new(deployment.release_timeout),
            withdrawals: CancellationLimits::default(),
            manager: RequestManager::with(now, deployment, seed, chooser),
            tickets: HashMap::new(),
            // Ids of gateways and of earlier runs must not meet at the model servers.
            last_id: seed << 24,
            draining: false,
        }
    }

    /// Takes a request, or says why not. What is taken is owed exactly one final answer.
    pub fn accept(&mut self, now: Nanos, request: Request, out: &mut Vec<Command<P>>) -> Admission {
        if self.draining {
            return Admission::Rejected(Rejection::Draining { retry_after: SOON });
        }
        let waits =
            request.completion_budget.unwrap_or(request.first_token_budget).min(request.first_token_budget);
        if !timeouts::has_time_left(now, request.arrived_at, waits) {
            return Admission::Rejected(Rejection::DeadlineTooShort);
        }
        if let Err(retry_after) = self.withdrawals.check(now, (request.client, request.tenant)) {
            return Admission::Rejected(Rejection::TooManyCancelled { retry_after });
        }
        let id = SequenceId(self.last_id.wrapping_add(1));
        let key = key_of(&request);
        if let Some(key) = &key {
            let print = request_fingerprint(&request.model, &request.prompt, request.max_tokens);
            match self.replays.begin(now, key, print) {
                KeyStatus::New => {}
                KeyStatus::InFlight => {
                    return Admission::Rejected(Rejection::KeyInFlight { retry_after: SOON });
                }
                KeyStatus::DifferentRequest => return Admission::Rejected(Rejection::KeyReused),
                KeyStatus::Completed(CompletedRequest::Answered { text, end }) => {
                    return Admission::Replayed { id, text, last: end };
                }
                KeyStatus::Completed(CompletedRequest::TooLarge) => {
                    let last = FinalAnswer::Aborted { reason: FailureReason::AlreadyRan };
                    return Admission::Replayed { id, text: Rc::from(""), last };
                }
            }
        }
        if let Err(no_room) = self.room.acquire(now, request.client, self.values[request.traffic.0]) {
            key.iter().for_each(|key| self.replays.remove(key));
            let retry_after = self.room.retry_after(now, self.longest_retry_after);
            return Admission::Rejected(match no_room {
                CapacityError::Gateway => Rejection::GatewayAtCapacity { retry_after },
                CapacityError::Client => Rejection::ClientAtCapacity { retry_after },
            });
        }
        self.last_id = id.0;
        let repeatable = self.effects[request.traffic.0] == Idempotency::Idempotent;
        let may_go_on = repeatable && request.relay == Relay::Streamed;
        let new = NewSequence {
            id,
            traffic: request.traffic,
            tenant: request.tenant,
            session: request.session,
            prefix: request.estimate.prefix,
            prompt_tokens: request.estimate.prompt_tokens,
            prefix_tokens: request.estimate.prefix_tokens,
            max_output_tokens: f64::from(request.max_tokens),
            output_length_hint: None,
            resumed: false,
            relay: request.relay,
            first_token_deadline: timeouts::first_token_deadline(request.arrived_at, waits),
            completion_deadline: request
                .completion_budget
                .map(|whole| timeouts::first_token_deadline(request.arrived_at, whole)),
        };
        let ticket = RequestEntry {
            gathered: (key.is_some() || may_go_on).then(String::new),
            request,
            states: Vec::new(),
            finish: None,
            usage: Usage::default(),
            done: 0,
            may_have_run: false,
            answered: false,
            began: false,
            left: false,
        };
        self.tickets.insert(id, ticket);
        self.ask(now, out, |manager, actions| manager.accept(now, new, actions));
        Admission::Accepted(id)
    }

    /// A prompt is read; what its reader gave for the state is `params`.
    pub fn prefill_done(
        &mut self,
        now: Nanos,
        dispatch: &Dispatch,
        kept: f64,
        params: P,
        out: &mut Vec<Command<P>>,
    ) {
        let release =
            CacheRelease { server: dispatch.server, request_id: request_id(dispatch.id, dispatch.attempt) };
        match self.tickets.get_mut(&dispatch.id) {
            Some(ticket) => ticket.states.push((release, params)),
            // Nobody is left to take it.
            None => return self.owe(now, release, CacheState::Held, out),
        }
        self.attempt_ended(now, dispatch, AttemptEnd::PrefillDone { cached_tokens: kept }, out);
    }

    /// The first piece of an answer has come: its writer has fetched the state that it was sent with. Those of reads
    /// before it, whose writers broke before they had fetched them, nobody will take.
    pub fn first_token(&mut self, now: Nanos, dispatch: &Dispatch, out: &mut Vec<Command<P>>) {
        if let Some(ticket) = self.tickets.get_mut(&dispatch.id) {
            let fetched = dispatch.prefill_server.and_then(|reader| ticket.held_at(reader));
            fetched.into_iter().for_each(|at| drop(ticket.states.remove(at)));
            if !std::mem::replace(&mut ticket.began, true) {
                self.withdrawals.first_token(now, (ticket.request.client, ticket.request.tenant));
            }
        }
        self.release(now, dispatch.id, out);
        self.manager.first_token(now, dispatch.id, dispatch.attempt);
    }

    /// A further piece has come.
    pub fn token_received(&mut self, now: Nanos, id: SequenceId) {
        self.manager.token_received(now, id);
    }

    /// Notes a piece; text is given back for the front. None where the sequence is over.
    pub fn receive_piece(&mut self, id: SequenceId, piece: Piece) -> Option<Option<String>> {
        let ticket = self.tickets.get_mut(&id).filter(|ticket| !ticket.answered)?;
        match piece {
            Piece::Text(text) => {
                if let Some(gathered) = &mut ticket.gathered {
                    gathered.push_str(&text);
                }
                return Some(Some(text));
            }
            Piece::Finish(finish) => ticket.finish = Some(finish),
            Piece::Usage(usage) => ticket.usage = usage,
        }
        Some(None)
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
        out: &mut Vec<Command<P>>,
    ) {
        let Dispatch { id, attempt, server, step, .. } = *dispatch;
        let read = matches!(ending, AttemptEnd::PrefillDone { .. });
        if step == Step::Prefill && !read && !ending.proves_not_run() {
            // Its answer is lost; the state may be there all the same.
            self.owe(
                now,
                CacheRelease { server, request_id: request_id(id, attempt) },
                CacheState::Uncertain,
                out,
            );
        }
        if ending == AttemptEnd::KvCacheMissing {
            // Whatever it names is no use to anybody.
            self.release(now, id, out);
        }
        self.ask(now, out, |manager, actions| manager.attempt_ended(now, id, attempt, ending, actions));
        self.forget_if_over(now, id);
    }

    /// An attempt was broken off, as ordered.
    pub fn attempt_cancelled(
        &mut self,
        now: Nanos,
        id: SequenceId,
        attempt: usize,
        out: &mut Vec<Command<P>>,
    ) {
        self.ask(now, out, |manager, actions| {
            manager.attempt_ended(now, id, attempt, AttemptEnd::Cancelled, actions)
        });
        self.forget_if_over(now, id);
    }

    /// The front has let go of its answer; `over` where it had read the end of it.
    pub fn client_left(&mut self, now: Nanos, id: SequenceId, over: bool, out: &mut Vec<Command<P>>) {
        if let Some(ticket) = self.tickets.get_mut(&id) {
            ticket.left = true;
            if !over && !ticket.began && !ticket.answered {
                let Request { client, tenant, arrived_at: arrived, .. } = ticket.request;
                self.withdrawals.cancelled(now, (client, tenant), now.saturating_sub(arrived));
            }
        }
        if !over {
            self.ask(now, out, |manager, actions| manager.client_cancelled(id, actions));
        }
        self.forget_if_over(now, id);
    }

    /// A reader has answered a release, or provably runs no more.
    pub fn release_finished(&mut self, now: Nanos, release: &CacheRelease, word: ReleaseOutcome) {
        self.releases.finished(now, release, word);
    }

    /// How long a reader may take to answer a release.
    pub fn release_timeout(&self) -> Nanos {
        self.releases.answer_timeout()
    }

    pub fn update_endpoints(&mut self, now: Nanos, scope: SnapshotKind, entries: &[Endpoint]) {
        self.manager.update_endpoints(now, scope, entries);
    }

    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        self.manager.load_reported(now, server, report);
    }

    /// When [`BufferedRequests::due`] next has something to do.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.manager.next_timeout().into_iter().chain(self.releases.next_timeout()).min()
    }

    /// Acts on all that is due by now.
    pub fn on_timeout(&mut self, now: Nanos, out: &mut Vec<Command<P>>) {
        self.ask(now, out, |manager, actions| manager.on_timeout(now, actions));
        out.extend(self.releases.on_timeout(now).into_iter().map(Command::Release));
    }

    /// Takes nothing further. Running streams go on.
    pub fn drain(&mut self) {
        self.draining = true;
        self.manager.drain();
    }

    /// The time to drain is over: whatever is in hand gets its final answer now.
    pub fn terminate_all(&mut self, now: Nanos, out: &mut Vec<Command<P>>) {
        self.draining = true;
        self.ask(now, out, |manager, actions| manager.terminate_all(now, actions));
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    pub fn counts(&self) -> Counts {
        self.manager.counts()
    }

    /// Sequences that wait for their final answer.
    pub fn unanswered(&self) -> usize {
        self.manager.unanswered()
    }

    /// Everything that is kept for a sequence, answered or not.
    pub fn tracked(&self) -> usize {
        self.tickets.len()
    }

    pub fn pending_releases(&self) -> usize {
        self.releases.pending()
    }

    /// Asks the request manager, and turns its actions into orders.
    fn ask(
        &mut self,
        now: Nanos,
        out: &mut Vec<Command<P>>,
        event: impl FnOnce(&mut RequestManager, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        event(&mut self.manager, &mut actions);
        for action in actions {
            match action {
                Action::Send(dispatch) => {
                    // Engines' clients connect or say that they could not: what is not said to be unsent was out.
                    self.manager.attempt_delivered(dispatch.id, dispatch.attempt);
                    self.send(dispatch, out);
                }
                Action::Cancel { id, attempt, server, step } => {
                    out.push(Command::Cancel { id, attempt });
                    if step == Step::Prefill {
                        // It may have ended just then, and its state be left there.
                        self.owe(
                            now,
                            CacheRelease { server, request_id: request_id(id, attempt) },
                            CacheState::Uncertain,
                            out,
                        );
                    }
                }
                Action::Release { id } => self.release(now, id, out),
                Action::Reject { id, retry_after, reason } => {
                    self.answer(now, id, FinalAnswer::Rejected { retry_after, reason }, out);
                }
                Action::Abort { id, reason } => self.answer(now, id, FinalAnswer::Aborted { reason }, out),
                Action::Complete { id, outcome, reason } => {
                    let last = match outcome {
                        Outcome::Completed => self.generated(id),
                        _ => FinalAnswer::Aborted { reason: reason.unwrap_or(FailureReason::StreamBroken) },
                    };
                    self.answer(now, id, last, out);
                }
                // the request manager's own timers ask again; lists come from the shell.
                Action::WakeAt { .. } | Action::PollEndpoints { .. } => {}
            }
        }
    }

    fn send(&mut self, dispatch: Dispatch, out: &mut Vec<Command<P>>) {
        let Some(ticket) = self.tickets.get_mut(&dispatch.id) else { return };
        let held = dispatch.prefill_server.and_then(|reader| ticket.held_at(reader));
        let state = held.map(|at| ticket.states[at].1.clone());
        let request = &ticket.request;
        let prompt = match &ticket.gathered {
            Some(gathered) if dispatch.tokens_delivered > 0 => {
                Rc::from(format!("{}{gathered}", request.prompt))
            }
            _ => request.prompt.clone(),
        };
        let tokened = matches!(self.effects[request.traffic.0], Idempotency::Keyed { .. });
        let own = || Rc::from(format!("{:016x}", dispatch.id.0));
        let mark = tokened.then(|| request.idempotency_key.clone().unwrap_or_else(own));
        ticket.done = dispatch.tokens_delivered;
        ticket.may_have_run |= dispatch.step != Step::Prefill;
        out.push(Command::Send(Box::new(OutgoingAttempt {
            request_id: request_id(dispatch.id, dispatch.attempt),
            max_tokens: ticket.request.max_tokens.saturating_sub(dispatch.tokens_delivered).max(1),
            prompt,
            idempotency_key: mark,
            transfer_params: state,
            dispatch,
        })));
    }

    fn generated(&self, id: SequenceId) -> FinalAnswer {
        let Some(ticket) = self.tickets.get(&id) else {
            return FinalAnswer::Aborted { reason: FailureReason::StreamBroken };
        };
        // A stream that went on after a break had its first part read as prompt.
        let done = u64::from(ticket.done);
        let usage = Usage {
            prompt_tokens: ticket.usage.prompt_tokens.saturating_sub(done),
            completion_tokens: ticket.usage.completion_tokens + done,
        };
        FinalAnswer::Completed {
            finish_reason: ticket.finish.clone().unwrap_or_else(|| "stop".to_owned()),
            usage,
        }
    }

    /// The one final answer, and what a repeat with its key will be told.
    fn answer(&mut self, now: Nanos, id: SequenceId, last: FinalAnswer, out: &mut Vec<Command<P>>) {
        let Some(ticket) = self.tickets.get_mut(&id).filter(|ticket| !ticket.answered) else { return };
        ticket.answered = true;
        if let (Some(key), Some(text)) = (key_of(&ticket.request), &ticket.gathered) {
            let window = match self.effects[ticket.request.traffic.0] {
                Idempotency::Keyed { window, .. } => window,
                _ => idempotency::WINDOW,
            };
            match &last {
                FinalAnswer::Rejected { .. } => self.replays.remove(&key),
                last => self.replays.complete(now, &key, text, last.clone(), window),
            }
        }
        out.push(Command::Answer { id, last });
        self.forget_if_over(now, id);
    }

    /// Lets go of every state that readers hold for a sequence.
    fn release(&mut self, now: Nanos, id: SequenceId, out: &mut Vec<Command<P>>) {
        let states = self.tickets.get_mut(&id).map(|ticket| std::mem::take(&mut ticket.states));
        for (release, _) in states.into_iter().flatten() {
            self.owe(now, release, CacheState::Held, out);
        }
    }

    fn owe(&mut self, now: Nanos, release: CacheRelease, state: CacheState, out: &mut Vec<Command<P>>) {
        self.releases.add(now, &release, state);
        out.push(Command::Release(release));
    }

    /// A ticket goes when its front has left and the request manager holds nothing of it.
    fn forget_if_over(&mut self, now: Nanos, id: SequenceId) {
        let over = self.tickets.get(&id).is_some_and(|ticket| ticket.left) && !self.manager.contains(id);
        let Some(ticket) = over.then(|| self.tickets.remove(&id)).flatten() else { return };
        self.room.release(now, ticket.request.client);
        if let Some(key) = key_of(&ticket.request) {
            // Its client left before any final answer: what may have run must not run again by its key.
            if ticket.may_have_run && !ticket.answered {
                let end = FinalAnswer::Aborted { reason: FailureReason::AlreadyRan };
                self.replays.complete(now, &key, "", end, idempotency::WINDOW);
            }
            self.replays.remove(&key);
        }
    }
}

fn key_of(request: &Request) -> Option<idempotency::Key> {
    let key = request.idempotency_key.as_ref()?;
    // A tenant's number names it as well as its name would, within one gateway's run.
    let tenant = request.tenant.map_or(String::new(), |TenantId(tenant)| tenant.to_string());
    Some((tenant, key.to_string()))
}

/// Names an attempt at the model servers, over all gateways and runs.
pub fn request_id(id: SequenceId, attempt: usize) -> String {
    format!("{:016x}-{attempt}", id.0)
}
