//! All that a gateway keeps for its sequences round the conductor: room, keys, text so far, states that readers hold,
//! releases owed, and the one final answer.
//!
//! Like the conductor it has no I/O and no clock. `P` is what a reader gave for a state; it is handed on unread. A
//! shell tells what happened on its sockets and carries out [`Order`]s: connections, channels to fronts and timers
//! are its own, nothing else is.

use crate::attempt_outcome::Ending;
use crate::cache_releases::{Release, Releases, State, Word};
use crate::cancellation_limits::Withdrawals;
use crate::capacity::{NoRoom, Room, values};
use crate::error_response::SOON;
use crate::fingerprint::request_fingerprint;
use crate::idempotency::{self, Ended, Known, Replays};
use crate::policy::Chooser;
use crate::token_estimate::PromptEstimate;
use crate::{Action, Conductor, Counts, Dispatch, NewSequence, Reason, Relay, timeouts};
use petrelshore::interface::*;
use std::collections::HashMap;
use std::rc::Rc;

/// A request as a front understood it. Nothing is taken before the desk says so.
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
    pub budget: Nanos,
    /// How long it waits for the whole answer, where it said so.
    pub whole_within: Option<Nanos>,
    pub arrived: Nanos,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub prompt_tokens: u64,
    pub completion_tokens: u64,
}

/// Why a request was not taken. Nothing ran: coming again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The gateway holds all that it may.
    GatewayFull {
        retry_after: Nanos,
    },
    /// This client holds all that one may.
    ClientFull {
        retry_after: Nanos,
    },
    Draining {
        retry_after: Nanos,
    },
    /// A sequence with the same idempotency key is in hand.
    KeyInHand {
        retry_after: Nanos,
    },
    /// The idempotency key stands for another request.
    KeyReused,
    /// This client withdraws too much of what it asks.
    Withdrawing {
        retry_after: Nanos,
    },
    /// The client's time is too short for any answer.
    NoTime,
}

/// The one final answer of a sequence.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Generated { finish: String, usage: Usage },
    Rejected { retry_after: Option<Nanos>, reason: Reason },
    Aborted { reason: Reason },
}

/// What became of a request that came in.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// It is in hand and owed a final answer.
    Accepted(SequenceId),
    /// It has run before, and ended so.
    Replayed {
        id: SequenceId,
        text: Rc<str>,
        last: Final,
    },
    Refused(Refusal),
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
pub enum Order<P> {
    Send(Box<Sending<P>>),
    /// Break an attempt off by closing its connection, and tell of it as ended.
    Cancel {
        id: SequenceId,
        attempt: usize,
    },
    /// Tell a reader to let go of a state, and tell the desk when it has answered.
    LetGo(Release),
    /// Final: nothing follows for this sequence.
    Answer {
        id: SequenceId,
        last: Final,
    },
}

/// An attempt with all that its exchange needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Sending<P> {
    pub dispatch: Dispatch,
    /// By this the servers know the attempt.
    pub request_id: String,
    pub prompt: Rc<str>,
    pub max_tokens: u32,
    /// Marks repeats of tokened work.
    pub mark: Option<Rc<str>>,
    pub state: Option<P>,
}

struct Ticket<P> {
    request: Request,
    /// States that readers hold for it.
    states: Vec<(Release, P)>,
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

impl<P> Ticket<P> {
    /// The state that a writer is sent to fetch from a reader: the one read last there.
    fn held_at(&self, reader: ServerId) -> Option<usize> {
        self.states.iter().rposition(|(release, _)| release.server == reader)
    }
}

pub struct Desk<P> {
    conductor: Conductor,
    effects: Vec<Idempotency>,
    values: Vec<f64>,
    longest_retry_after: Option<Nanos>,
    room: Room,
    replays: Replays<Final>,
    releases: Releases,
    withdrawals: Withdrawals,
    tickets: HashMap<SequenceId, Ticket<P>>,
    last_id: u64,
    draining: bool,
}

impl<P: Clone> Desk<P> {
    /// `most` is how many sequences may be in hand.
    pub fn new(now: Nanos, deployment: Deployment, seed: u64, most: usize, chooser: Chooser) -> Self {
        Desk {
            effects: deployment.types.iter().map(|t| t.idempotency).collect(),
            values: values(&deployment.types),
            longest_retry_after: deployment.max_retry_after,
            room: Room::new(now, most),
            replays: Replays::default(),
            releases: Releases::new(deployment.release_timeout),
            withdrawals: Withdrawals::default(),
            conductor: Conductor::with(now, deployment, seed, chooser),
            tickets: HashMap::new(),
            // Ids of gateways and of earlier runs must not meet at the model servers.
            last_id: seed << 24,
            draining: false,
        }
    }

    /// Takes a request, or says why not. What is taken is owed exactly one final answer.
    pub fn take(&mut self, now: Nanos, request: Request, out: &mut Vec<Order<P>>) -> Taken {
        if self.draining {
            return Taken::Refused(Refusal::Draining { retry_after: SOON });
        }
        let waits = request.whole_within.unwrap_or(request.budget).min(request.budget);
        if !timeouts::worth_taking(now, request.arrived, waits) {
            return Taken::Refused(Refusal::NoTime);
        }
        if let Err(retry_after) = self.withdrawals.may_ask(now, (request.client, request.tenant)) {
            return Taken::Refused(Refusal::Withdrawing { retry_after });
        }
        let id = SequenceId(self.last_id.wrapping_add(1));
        let key = key_of(&request);
        if let Some(key) = &key {
            let print = request_fingerprint(&request.model, &request.prompt, request.max_tokens);
            match self.replays.come(now, key, print) {
                Known::New => {}
                Known::InHand => return Taken::Refused(Refusal::KeyInHand { retry_after: SOON }),
                Known::OtherRequest => return Taken::Refused(Refusal::KeyReused),
                Known::Ended(Ended::Answered { text, end }) => {
                    return Taken::Replayed { id, text, last: end };
                }
                Known::Ended(Ended::TooLarge) => {
                    let last = Final::Aborted { reason: Reason::Repeated };
                    return Taken::Replayed { id, text: Rc::from(""), last };
                }
            }
        }
        if let Err(no_room) = self.room.take(now, request.client, self.values[request.traffic.0]) {
            key.iter().for_each(|key| self.replays.free(key));
            let retry_after = self.room.come_back(now, self.longest_retry_after);
            return Taken::Refused(match no_room {
                NoRoom::Gateway => Refusal::GatewayFull { retry_after },
                NoRoom::Client => Refusal::ClientFull { retry_after },
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
            max_out: f64::from(request.max_tokens),
            hint: None,
            resumed: false,
            relay: request.relay,
            abandon_at: timeouts::give_up_at(request.arrived, waits),
            whole_by: request.whole_within.map(|whole| timeouts::give_up_at(request.arrived, whole)),
        };
        let ticket = Ticket {
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
        self.ask(now, out, |conductor, actions| conductor.take(now, new, actions));
        Taken::Accepted(id)
    }

    /// A prompt is read; what its reader gave for the state is `params`.
    pub fn read_done(
        &mut self,
        now: Nanos,
        dispatch: &Dispatch,
        kept: f64,
        params: P,
        out: &mut Vec<Order<P>>,
    ) {
        let release = Release { server: dispatch.server, request: request_id(dispatch.id, dispatch.attempt) };
        match self.tickets.get_mut(&dispatch.id) {
            Some(ticket) => ticket.states.push((release, params)),
            // Nobody is left to take it.
            None => return self.owe(now, release, State::Held, out),
        }
        self.ended(now, dispatch, Ending::ReadDone { kept }, out);
    }

    /// The first piece of an answer has come: its writer has fetched the state that it was sent with. Those of reads
    /// before it, whose writers broke before they had fetched them, nobody will take.
    pub fn began(&mut self, now: Nanos, dispatch: &Dispatch, out: &mut Vec<Order<P>>) {
        if let Some(ticket) = self.tickets.get_mut(&dispatch.id) {
            let fetched = dispatch.reader.and_then(|reader| ticket.held_at(reader));
            fetched.into_iter().for_each(|at| drop(ticket.states.remove(at)));
            if !std::mem::replace(&mut ticket.began, true) {
                self.withdrawals.stayed(now, (ticket.request.client, ticket.request.tenant));
            }
        }
        self.release(now, dispatch.id, out);
        self.conductor.began(now, dispatch.id, dispatch.attempt);
    }

    /// A further piece has come.
    pub fn progressed(&mut self, now: Nanos, id: SequenceId) {
        self.conductor.progressed(now, id);
    }

    /// Notes a piece; text is given back for the front. None where the sequence is over.
    pub fn piece(&mut self, id: SequenceId, piece: Piece) -> Option<Option<String>> {
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

    /// The client has stopped taking its stream, or takes it again.
    pub fn stalled(&mut self, now: Nanos, id: SequenceId, stalled: bool) {
        self.conductor.stalled(now, id, stalled);
    }

    /// An attempt has ended, as its socket showed.
    pub fn ended(&mut self, now: Nanos, dispatch: &Dispatch, ending: Ending, out: &mut Vec<Order<P>>) {
        let Dispatch { id, attempt, server, step, .. } = *dispatch;
        let read = matches!(ending, Ending::ReadDone { .. });
        if step == Step::Prefill && !read && !ending.proves_unrun() {
            // Its answer is lost; the state may be there all the same.
            self.owe(now, Release { server, request: request_id(id, attempt) }, State::CutOff, out);
        }
        if ending == Ending::StateMissing {
            // Whatever it names is no use to anybody.
            self.release(now, id, out);
        }
        self.ask(now, out, |conductor, actions| conductor.ended(now, id, attempt, ending, actions));
        self.forget_if_over(now, id);
    }

    /// An attempt was broken off, as ordered.
    pub fn cancelled(&mut self, now: Nanos, id: SequenceId, attempt: usize, out: &mut Vec<Order<P>>) {
        self.ask(now, out, |conductor, actions| {
            conductor.ended(now, id, attempt, Ending::Cancelled, actions)
        });
        self.forget_if_over(now, id);
    }

    /// The front has let go of its answer; `over` where it had read the end of it.
    pub fn left(&mut self, now: Nanos, id: SequenceId, over: bool, out: &mut Vec<Order<P>>) {
        if let Some(ticket) = self.tickets.get_mut(&id) {
            ticket.left = true;
            if !over && !ticket.began && !ticket.answered {
                let Request { client, tenant, arrived, .. } = ticket.request;
                self.withdrawals.withdrew(now, (client, tenant), now.saturating_sub(arrived));
            }
        }
        if !over {
            self.ask(now, out, |conductor, actions| conductor.withdrawn(id, actions));
        }
        self.forget_if_over(now, id);
    }

    /// A reader has answered a release, or provably runs no more.
    pub fn let_go(&mut self, now: Nanos, release: &Release, word: Word) {
        self.releases.told(now, release, word);
    }

    /// How long a reader may take to answer a release.
    pub fn release_within(&self) -> Nanos {
        self.releases.answer_within()
    }

    pub fn listed(&mut self, now: Nanos, scope: SnapshotKind, entries: &[Endpoint]) {
        self.conductor.listed(now, scope, entries);
    }

    pub fn reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        self.conductor.reported(now, server, report);
    }

    /// When [`Desk::due`] next has something to do.
    pub fn next_due(&self) -> Option<Nanos> {
        self.conductor.next_due().into_iter().chain(self.releases.next_due()).min()
    }

    /// Acts on all that is due by now.
    pub fn due(&mut self, now: Nanos, out: &mut Vec<Order<P>>) {
        self.ask(now, out, |conductor, actions| conductor.due(now, actions));
        out.extend(self.releases.due(now).into_iter().map(Order::LetGo));
    }

    /// Takes nothing further. Running streams go on.
    pub fn drain(&mut self) {
        self.draining = true;
        self.conductor.drain();
    }

    /// The time to drain is over: whatever is in hand gets its final answer now.
    pub fn finish_all(&mut self, now: Nanos, out: &mut Vec<Order<P>>) {
        self.draining = true;
        self.ask(now, out, |conductor, actions| conductor.finish_all(now, actions));
    }

    pub fn draining(&self) -> bool {
        self.draining
    }

    pub fn counts(&self) -> Counts {
        self.conductor.counts()
    }

    /// Sequences that wait for their final answer.
    pub fn in_hand(&self) -> usize {
        self.conductor.in_hand()
    }

    /// Everything that is kept for a sequence, answered or not.
    pub fn held(&self) -> usize {
        self.tickets.len()
    }

    pub fn releases_owed(&self) -> usize {
        self.releases.owed()
    }

    /// Asks the conductor, and turns its actions into orders.
    fn ask(
        &mut self,
        now: Nanos,
        out: &mut Vec<Order<P>>,
        event: impl FnOnce(&mut Conductor, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        event(&mut self.conductor, &mut actions);
        for action in actions {
            match action {
                Action::Send(dispatch) => {
                    // Engines' clients connect or say that they could not: what is not said to be unsent was out.
                    self.conductor.reached(dispatch.id, dispatch.attempt);
                    self.send(dispatch, out);
                }
                Action::Cancel { id, attempt, server, step } => {
                    out.push(Order::Cancel { id, attempt });
                    if step == Step::Prefill {
                        // It may have ended just then, and its state be left there.
                        self.owe(
                            now,
                            Release { server, request: request_id(id, attempt) },
                            State::CutOff,
                            out,
                        );
                    }
                }
                Action::Release { id } => self.release(now, id, out),
                Action::Reject { id, retry_after, reason } => {
                    self.answer(now, id, Final::Rejected { retry_after, reason }, out);
                }
                Action::Abort { id, reason } => self.answer(now, id, Final::Aborted { reason }, out),
                Action::Over { id, outcome, reason } => {
                    let last = match outcome {
                        Outcome::Completed => self.generated(id),
                        _ => Final::Aborted { reason: reason.unwrap_or(Reason::Broken) },
                    };
                    self.answer(now, id, last, out);
                }
                // The conductor's own timers ask again; lists come from the shell.
                Action::AskAt { .. } | Action::AskList { .. } => {}
            }
        }
    }

    fn send(&mut self, dispatch: Dispatch, out: &mut Vec<Order<P>>) {
        let Some(ticket) = self.tickets.get_mut(&dispatch.id) else { return };
        let held = dispatch.reader.and_then(|reader| ticket.held_at(reader));
        let state = held.map(|at| ticket.states[at].1.clone());
        let request = &ticket.request;
        let prompt = match &ticket.gathered {
            Some(gathered) if dispatch.done > 0 => Rc::from(format!("{}{gathered}", request.prompt)),
            _ => request.prompt.clone(),
        };
        let tokened = matches!(self.effects[request.traffic.0], Idempotency::Keyed { .. });
        let own = || Rc::from(format!("{:016x}", dispatch.id.0));
        let mark = tokened.then(|| request.idempotency_key.clone().unwrap_or_else(own));
        ticket.done = dispatch.done;
        ticket.may_have_run |= dispatch.step != Step::Prefill;
        out.push(Order::Send(Box::new(Sending {
            request_id: request_id(dispatch.id, dispatch.attempt),
            max_tokens: ticket.request.max_tokens.saturating_sub(dispatch.done).max(1),
            prompt,
            mark,
            state,
            dispatch,
        })));
    }

    fn generated(&self, id: SequenceId) -> Final {
        let Some(ticket) = self.tickets.get(&id) else { return Final::Aborted { reason: Reason::Broken } };
        // A stream that went on after a break had its first part read as prompt.
        let done = u64::from(ticket.done);
        let usage = Usage {
            prompt_tokens: ticket.usage.prompt_tokens.saturating_sub(done),
            completion_tokens: ticket.usage.completion_tokens + done,
        };
        Final::Generated { finish: ticket.finish.clone().unwrap_or_else(|| "stop".to_owned()), usage }
    }

    /// The one final answer, and what a repeat with its key will be told.
    fn answer(&mut self, now: Nanos, id: SequenceId, last: Final, out: &mut Vec<Order<P>>) {
        let Some(ticket) = self.tickets.get_mut(&id).filter(|ticket| !ticket.answered) else { return };
        ticket.answered = true;
        if let (Some(key), Some(text)) = (key_of(&ticket.request), &ticket.gathered) {
            let window = match self.effects[ticket.request.traffic.0] {
                Idempotency::Keyed { window, .. } => window,
                _ => idempotency::WINDOW,
            };
            match &last {
                Final::Rejected { .. } => self.replays.free(&key),
                last => self.replays.ended(now, &key, text, last.clone(), window),
            }
        }
        out.push(Order::Answer { id, last });
        self.forget_if_over(now, id);
    }

    /// Lets go of every state that readers hold for a sequence.
    fn release(&mut self, now: Nanos, id: SequenceId, out: &mut Vec<Order<P>>) {
        let states = self.tickets.get_mut(&id).map(|ticket| std::mem::take(&mut ticket.states));
        for (release, _) in states.into_iter().flatten() {
            self.owe(now, release, State::Held, out);
        }
    }

    fn owe(&mut self, now: Nanos, release: Release, state: State, out: &mut Vec<Order<P>>) {
        self.releases.owe(now, &release, state);
        out.push(Order::LetGo(release));
    }

    /// A ticket goes when its front has left and the conductor holds nothing of it.
    fn forget_if_over(&mut self, now: Nanos, id: SequenceId) {
        let over = self.tickets.get(&id).is_some_and(|ticket| ticket.left) && !self.conductor.holds(id);
        let Some(ticket) = over.then(|| self.tickets.remove(&id)).flatten() else { return };
        self.room.leave(now, ticket.request.client);
        if let Some(key) = key_of(&ticket.request) {
            // Its client left before any final answer: what may have run must not run again by its key.
            if ticket.may_have_run && !ticket.answered {
                let end = Final::Aborted { reason: Reason::Repeated };
                self.replays.ended(now, &key, "", end, idempotency::WINDOW);
            }
            self.replays.free(&key);
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
