//! Events in from sockets and timers, actions out of the conductor.

use crate::answer::{Answer, Ask, Final, Refusal};
use crate::clock::Clock;
use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use petrelshore::interface::*;
use petrelshore_conductor::intake::fingerprint;
use petrelshore_conductor::limits::{NoRoom, Room};
use petrelshore_conductor::proof::Ending;
use petrelshore_conductor::releases::{Release, Releases};
use petrelshore_conductor::replays::{self, Ended, Known, Replays};
use petrelshore_conductor::{Action, Chooser, Conductor, Counts, Dispatch, NewSequence, Reason, Relay, pace};
use petrelshore_engine::{Client, Held, Load, Piece, Spawner, Usage, WriteRequest};
use petrelshore_inventory::{Change, Doubt, Format, Guard, Membership, Problem, kept, read_list};
use petrelshore_settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Texts kept for a client that does not take them, before its writer is held back.
const TEXTS: usize = 16;
/// When a client is told to come back to a gateway that stops, or with a key that is in hand.
const SOON: Nanos = 1_000_000_000;

/// Why a list was not taken; the one before stays.
#[derive(Debug)]
pub enum ReloadError {
    Unreadable(String),
    Refused(Vec<Problem>),
    /// It reads well and is not believed.
    Doubted(Doubt),
}

impl std::fmt::Display for ReloadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ReloadError::Unreadable(what) => f.write_str(what),
            ReloadError::Refused(problems) => {
                let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
                f.write_str(&lines.join("; "))
            }
            ReloadError::Doubted(doubt) => doubt.fmt(f),
        }
    }
}

/// A sequence in hand, as far as its sockets go.
struct Ticket {
    ask: Ask,
    texts: Sender<String>,
    last: Option<Final>,
    /// The one attempt that is out.
    attempt: Option<(usize, Task<()>)>,
    /// States that readers hold for it, with the ids by which they know them.
    states: Vec<(ServerId, String, Held)>,
    finish: Option<String>,
    usage: Usage,
    /// Its whole text so far, where a repeat may ask for it or a break be gone on from.
    gathered: Option<String>,
    /// Tokens that earlier attempts had brought when the present one was sent.
    done: u32,
    /// Something of it may have taken effect.
    may_have_run: bool,
    /// The front has let go of its answer.
    left: bool,
}

pub struct Inner {
    settings: Settings,
    clock: Clock,
    spawner: Spawner,
    client: Client,
    conductor: RefCell<Conductor>,
    membership: RefCell<Membership>,
    addresses: RefCell<BTreeMap<ServerId, SocketAddr>>,
    room: RefCell<Room>,
    guard: RefCell<Guard>,
    replays: RefCell<Replays<Final>>,
    releases: RefCell<Releases>,
    tickets: RefCell<HashMap<SeqId, Ticket>>,
    last_id: Cell<u64>,
    draining: Cell<bool>,
    /// Told when a timer was set that is due before the one waited for.
    sooner: Event,
    waits_for: Cell<Nanos>,
    /// Told when a sequence has left.
    emptied: Event,
}

/// A gateway that runs. Clones are the same gateway.
#[derive(Clone)]
pub struct Gateway(Rc<Inner>);

impl Gateway {
    /// Starts a gateway from its settings and its list: the inventory where it is good, else the list kept by an
    /// earlier run. Its tasks run where `spawner` says.
    pub fn start(settings: Settings, spawner: Spawner) -> Result<Gateway, ReloadError> {
        Self::start_with(settings, spawner, Chooser::Decisions)
    }

    /// Starts a gateway that asks another policy.
    pub fn start_with(
        settings: Settings,
        spawner: Spawner,
        chooser: Chooser,
    ) -> Result<Gateway, ReloadError> {
        let clock = Clock::start();
        let now = clock.now();
        let seed = settings.seed(now);
        let membership = Membership::new(&settings.kinds, &settings.zone);
        let inner = Inner {
            client: Client::new(spawner.clone(), &settings.name),
            conductor: RefCell::new(Conductor::with(now, settings.deployment.clone(), seed, chooser)),
            membership: RefCell::new(membership),
            addresses: RefCell::default(),
            room: RefCell::new(Room::new(now, settings.limits.sequences)),
            guard: RefCell::default(),
            replays: RefCell::default(),
            releases: RefCell::new(Releases::new(settings.deployment.release_within)),
            tickets: RefCell::default(),
            // Ids of gateways and of earlier runs must not meet at the model servers.
            last_id: Cell::new(seed << 24),
            draining: Cell::new(false),
            sooner: Event::new(),
            waits_for: Cell::new(Nanos::MAX),
            emptied: Event::new(),
            settings,
            clock,
            spawner,
        };
        let gateway = Gateway(Rc::new(inner));
        gateway.first_list()?;
        let timers = gateway.0.clone();
        gateway.0.spawner.run(timers.run_timers());
        Ok(gateway)
    }

    fn first_list(&self) -> Result<(), ReloadError> {
        let inner = &self.0;
        match kept::load(&inner.settings.kept) {
            Ok(Some((list, since))) => {
                info!(servers = list.servers.len(), "starting from the list of an earlier run");
                let change = inner.membership.borrow_mut().remember(list, since);
                inner.listed(change);
            }
            Ok(None) => {}
            Err(what) => warn!(%what, "the kept list is not usable"),
        }
        match self.reload() {
            Err(error) if inner.membership.borrow().list().servers.is_empty() => Err(error),
            Err(error) => {
                warn!(%error, "the inventory is not good: staying with the last good list");
                Ok(())
            }
            Ok(_) => Ok(()),
        }
    }

    /// Reads the inventory anew. A list that is not good is refused whole. Returns how many servers it has.
    pub fn reload(&self) -> Result<usize, ReloadError> {
        let inner = &self.0;
        let file = &inner.settings.inventory;
        let unreadable = |what: String| ReloadError::Unreadable(format!("{}: {what}", file.display()));
        let format = Format::of(file).ok_or_else(|| unreadable("is neither .csv nor .yaml".to_owned()))?;
        let text = std::fs::read_to_string(file).map_err(|error| unreadable(error.to_string()))?;
        let list = read_list(file, format, &text, &inner.settings.kinds).map_err(ReloadError::Refused)?;
        let count = list.servers.len();
        let believed = inner.guard.borrow_mut().judge(inner.membership.borrow().list(), &list);
        believed.map_err(ReloadError::Doubted)?;
        let change = inner.membership.borrow_mut().replace(inner.clock.now(), list);
        inner.listed(change);
        inner.keep_list(&inner.settings.kept);
        info!(servers = count, "took the list of model servers");
        Ok(count)
    }

    /// Takes a request, or says why not. What is taken is owed exactly one final answer.
    pub fn take(&self, ask: Ask) -> Result<Answer, Refusal> {
        let inner = &self.0;
        let now = inner.clock.now();
        if inner.draining.get() {
            return Err(Refusal::Draining { retry_after: SOON });
        }
        let key = ask.idempotency_key.as_ref().map(|key| inner.key(&ask, key));
        let id = SeqId(inner.last_id.get().wrapping_add(1));
        if let Some(key) = &key {
            let print = fingerprint(&ask.model, &ask.prompt, ask.max_tokens);
            let known = inner.replays.borrow_mut().come(now, key, print);
            match known {
                Known::New => {}
                Known::InHand => return Err(Refusal::KeyInHand { retry_after: SOON }),
                Known::OtherRequest => return Err(Refusal::KeyReused),
                Known::Ended(ended) => return Ok(inner.replayed(id, ended)),
            }
        }
        let value = inner.settings.traffic[ask.traffic.0].value;
        let longest = inner.settings.deployment.longest_retry_after;
        let no_room = inner.room.borrow_mut().take(now, ask.client, value);
        if let Err(no_room) = no_room {
            key.iter().for_each(|key| inner.replays.borrow_mut().free(key));
            let retry_after = inner.room.borrow().come_back(now, longest);
            return Err(match no_room {
                NoRoom::Gateway => Refusal::GatewayFull { retry_after },
                NoRoom::Client => Refusal::ClientFull { retry_after },
            });
        }
        inner.last_id.set(id.0);
        let may_go_on = inner.settings.traffic[ask.traffic.0].effect == Effect::Repeatable
            && ask.relay == Relay::Streamed;
        let gathered = (key.is_some() || may_go_on).then(String::new);
        let (texts, receiver) = async_channel::bounded(TEXTS);
        let new = NewSequence {
            id,
            traffic: ask.traffic,
            tenant: ask.tenant,
            session: ask.session,
            prefix: ask.weighed.prefix,
            prompt_tokens: ask.weighed.prompt_tokens,
            prefix_tokens: ask.weighed.prefix_tokens,
            max_out: f64::from(ask.max_tokens),
            hint: None,
            resumed: false,
            relay: ask.relay,
            abandon_at: pace::give_up_at(ask.arrived, ask.budget),
        };
        let ticket = Ticket {
            ask,
            texts,
            last: None,
            attempt: None,
            states: Vec::new(),
            finish: None,
            usage: Usage::default(),
            gathered,
            done: 0,
            may_have_run: false,
            left: false,
        };
        inner.tickets.borrow_mut().insert(id, ticket);
        inner.tell(|conductor, now, out| conductor.take(now, new, out));
        Ok(Answer { id, gateway: inner.clone(), texts: receiver, over: false, replayed: None })
    }

    /// Takes nothing further, lets running streams go on for the drain time, then answers the rest. Returns how
    /// many had to be ended.
    pub async fn drain(&self) -> usize {
        let inner = &self.0;
        inner.draining.set(true);
        inner.conductor.borrow_mut().drain();
        let emptied = async {
            while inner.conductor.borrow().in_hand() > 0 {
                inner.emptied.listen().await;
            }
        };
        let late = async {
            Timer::after(Duration::from_nanos(inner.settings.drain_time)).await;
        };
        future::or(emptied, late).await;
        let left = inner.conductor.borrow().in_hand();
        inner.tell(|conductor, now, out| conductor.finish_all(now, out));
        left
    }

    pub fn settings(&self) -> &Settings {
        &self.0.settings
    }

    pub fn spawner(&self) -> &Spawner {
        &self.0.spawner
    }

    pub fn clock(&self) -> Clock {
        self.0.clock
    }

    pub fn draining(&self) -> bool {
        self.0.draining.get()
    }

    pub fn counts(&self) -> Counts {
        self.0.conductor.borrow().counts()
    }

    pub fn in_hand(&self) -> usize {
        self.0.conductor.borrow().in_hand()
    }

    /// Everything that a ticket still stands for, for leak checks.
    pub fn held(&self) -> usize {
        self.0.tickets.borrow().len()
    }

    pub fn servers(&self) -> usize {
        self.0.membership.borrow().list().servers.len()
    }
}

impl Inner {
    /// Tells the conductor something, and carries out what follows.
    fn tell(self: &Rc<Self>, event: impl FnOnce(&mut Conductor, Nanos, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        event(&mut self.conductor.borrow_mut(), self.clock.now(), &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(dispatch) => self.send(dispatch),
                Action::Cancel { id, attempt, server, step } => self.cancel(id, attempt, server, step),
                Action::Release { id } => self.release(id),
                Action::Reject { id, retry_after, reason } => {
                    self.finish(id, Final::Rejected { retry_after, reason });
                }
                Action::Abort { id, reason } => self.finish(id, Final::Aborted { reason }),
                Action::Over { id, outcome, reason } => self.over(id, outcome, reason),
                // The conductor's own timers ask again; the list is read from a file.
                Action::AskAt { .. } | Action::AskList { .. } => {}
            }
        }
        self.wake_timers();
    }

    fn next_due(&self) -> Option<Nanos> {
        let releases = self.releases.borrow().next_due();
        self.conductor.borrow().next_due().into_iter().chain(releases).min()
    }

    fn wake_timers(&self) {
        if self.next_due().is_some_and(|due| due < self.waits_for.get()) {
            self.sooner.notify(usize::MAX);
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let sooner = self.sooner.listen();
            let due = self.next_due();
            self.waits_for.set(due.unwrap_or(Nanos::MAX));
            match due {
                Some(due) if due <= self.clock.now() => {
                    self.tell(|conductor, now, out| conductor.due(now, out));
                    let again = self.releases.borrow_mut().due(self.clock.now());
                    again.into_iter().for_each(|release| self.tell_release(release));
                    future::yield_now().await;
                }
                Some(due) => {
                    let reached = async {
                        Timer::at(self.clock.instant(due)).await;
                    };
                    future::or(sooner, reached).await;
                }
                None => sooner.await,
            }
        }
    }

    fn send(self: &Rc<Self>, dispatch: Dispatch) {
        let Some(to) = self.addresses.borrow().get(&dispatch.server).copied() else {
            return self.ended(dispatch, Ending::NotConnected, None);
        };
        let mut tickets = self.tickets.borrow_mut();
        let Some(ticket) = tickets.get_mut(&dispatch.id) else { return };
        let state = dispatch.reader.and_then(|reader| {
            let held = ticket.states.iter().rev().find(|(server, ..)| *server == reader);
            held.map(|(.., held)| held.params.clone())
        });
        let ask = &ticket.ask;
        let tokened = matches!(self.settings.traffic[ask.traffic.0].effect, Effect::Tokened { .. });
        let own_key: Option<Rc<str>> = tokened.then(|| Rc::from(format!("{:016x}", dispatch.id.0)));
        let prompt = match &ticket.gathered {
            Some(gathered) if dispatch.done > 0 => Rc::from(format!("{}{gathered}", ask.prompt)),
            _ => ask.prompt.clone(),
        };
        ticket.done = dispatch.done;
        let request = WriteRequest {
            to,
            request_id: request_id(dispatch.id, dispatch.attempt),
            model: ask.model.clone(),
            prompt,
            max_tokens: ask.max_tokens.saturating_sub(dispatch.done).max(1),
            stop: ask.stop.clone(),
            sampling: ask.sampling.clone(),
            idempotency_key: ask.idempotency_key.clone().filter(|_| tokened).or(own_key),
            state,
            fresh: dispatch.fresh,
            connect_within: Duration::from_nanos(dispatch.connect_within),
        };
        ticket.may_have_run |= dispatch.step != Step::Read;
        let inner = self.clone();
        let task = self.spawner.spawn(async move {
            if dispatch.step == Step::Read {
                inner.read(dispatch, request).await;
            } else {
                inner.write(dispatch, request).await;
            }
        });
        ticket.attempt = task.map(|task| (dispatch.attempt, task));
    }

    async fn read(self: Rc<Self>, dispatch: Dispatch, request: WriteRequest) {
        let heard = self.client.read(&request).await;
        let ending = match heard.result {
            Ok(held) => {
                let kept = held.kept_tokens;
                if let Some(ticket) = self.tickets.borrow_mut().get_mut(&dispatch.id) {
                    ticket.states.push((dispatch.server, request.request_id, held));
                }
                Ending::ReadDone { kept }
            }
            Err(ending) => ending,
        };
        self.ended(dispatch, ending, heard.load);
    }

    async fn write(self: Rc<Self>, dispatch: Dispatch, request: WriteRequest) {
        let heard = self.client.write(&request).await;
        let mut writing = match heard.result {
            Ok(writing) => writing,
            Err(ending) => return self.ended(dispatch, ending, heard.load),
        };
        self.told(dispatch.server, heard.load);
        let mut began = false;
        let ending = loop {
            let piece = match writing.next().await {
                Ok(Some(piece)) => piece,
                Ok(None) => {
                    writing.done();
                    break Ending::Generated;
                }
                Err(ending) => break ending,
            };
            if !began {
                began = true;
                self.began(dispatch);
            } else {
                let now = self.clock.now();
                self.conductor.borrow_mut().progressed(now, dispatch.id);
            }
            if !self.relay(dispatch.id, piece).await {
                return;
            }
        };
        self.ended(dispatch, ending, None);
    }

    /// The writer has fetched what was held: nothing is left to let go of.
    fn began(self: &Rc<Self>, dispatch: Dispatch) {
        if let Some(ticket) = self.tickets.borrow_mut().get_mut(&dispatch.id) {
            ticket.states.clear();
        }
        self.tell(|conductor, now, _| conductor.began(now, dispatch.id, dispatch.attempt));
    }

    /// Hands a piece on. Where the client does not take it, the writer waits, and the conductor is told so.
    async fn relay(self: &Rc<Self>, id: SeqId, piece: Piece) -> bool {
        let (text, texts) = {
            let mut tickets = self.tickets.borrow_mut();
            let Some(ticket) = tickets.get_mut(&id) else { return false };
            match piece {
                Piece::Text(text) => {
                    if let Some(gathered) = &mut ticket.gathered {
                        gathered.push_str(&text);
                    }
                    (text, ticket.texts.clone())
                }
                Piece::Finish(finish) => {
                    ticket.finish = Some(finish);
                    return true;
                }
                Piece::Usage(usage) => {
                    ticket.usage = usage;
                    return true;
                }
            }
        };
        match texts.try_send(text) {
            Ok(()) => true,
            Err(async_channel::TrySendError::Full(text)) => {
                self.tell(|conductor, now, _| conductor.stalled(now, id, true));
                let sent = texts.send(text).await;
                self.tell(|conductor, now, _| conductor.stalled(now, id, false));
                sent.is_ok()
            }
            Err(async_channel::TrySendError::Closed(_)) => false,
        }
    }

    fn ended(self: &Rc<Self>, dispatch: Dispatch, ending: Ending, load: Option<Load>) {
        debug!(seq = dispatch.id.0, attempt = dispatch.attempt, step = ?dispatch.step, ?ending, "attempt ended");
        self.told(dispatch.server, load);
        if let Some(ticket) = self.tickets.borrow_mut().get_mut(&dispatch.id)
            && ticket.attempt.as_ref().is_some_and(|(attempt, _)| *attempt == dispatch.attempt)
        {
            // This runs within that task: it must end by itself.
            ticket.attempt.take().into_iter().for_each(|(_, task)| task.detach());
        }
        if ending == Ending::NotConnected {
            let change = self.membership.borrow_mut().absent(self.clock.now(), dispatch.server);
            self.releases.borrow_mut().started_anew(dispatch.server);
            change.into_iter().for_each(|change| self.listed(change));
        }
        if ending == Ending::StateMissing {
            self.release(dispatch.id);
        }
        let Dispatch { id, attempt, .. } = dispatch;
        self.tell(|conductor, now, out| conductor.ended(now, id, attempt, ending, out));
        self.forget_if_over(id);
    }

    /// A server told its load, and perhaps when it started.
    fn told(&self, server: ServerId, load: Option<Load>) {
        let Some(load) = load else { return };
        let now = self.clock.now();
        if let Some(seconds) = load.started_seconds {
            let change = self.membership.borrow_mut().told_start(now, server, (seconds * 1e9) as Nanos);
            change.into_iter().for_each(|change| self.listed(change));
        }
        if load.memory_share.is_some() || load.queued_prompt_tokens.is_some() {
            let report =
                Report { memory_share: load.memory_share, queued_prompt_tokens: load.queued_prompt_tokens };
            self.conductor.borrow_mut().reported(now, server, report);
        }
    }

    fn listed(&self, change: Change) {
        let now = self.clock.now();
        self.conductor.borrow_mut().listed(now, change.scope, &change.entries);
        if change.scope != ListScope::Changes {
            let membership = self.membership.borrow();
            let servers = &membership.list().servers;
            *self.addresses.borrow_mut() = servers.iter().map(|s| (s.id(), s.address)).collect();
            self.client.keep_only(|address| servers.iter().any(|server| server.address == *address));
        }
    }

    fn keep_list(&self, file: &Path) {
        let membership = self.membership.borrow();
        if let Err(error) = kept::store(file, membership.list(), membership.since()) {
            warn!(%error, file = %file.display(), "the list could not be kept for a later run");
        }
    }

    /// Breaks an attempt off by closing its connection. A read may have left its state just then.
    fn cancel(self: &Rc<Self>, id: SeqId, attempt: usize, server: ServerId, step: Step) {
        let task = {
            let mut tickets = self.tickets.borrow_mut();
            let Some(ticket) = tickets.get_mut(&id) else { return };
            ticket.attempt.take_if(|(out, _)| *out == attempt)
        };
        drop(task);
        if step == Step::Read {
            self.let_go(server, request_id(id, attempt));
        }
        self.tell(|conductor, now, out| conductor.ended(now, id, attempt, Ending::Cancelled, out));
    }

    /// Lets go of every state that readers hold for a sequence.
    fn release(self: &Rc<Self>, id: SeqId) {
        let states = match self.tickets.borrow_mut().get_mut(&id) {
            Some(ticket) => std::mem::take(&mut ticket.states),
            None => return,
        };
        for (server, request, _) in states {
            self.let_go(server, request);
        }
    }

    fn let_go(self: &Rc<Self>, server: ServerId, request: String) {
        let release = Release { server, request };
        if self.releases.borrow_mut().owe(self.clock.now(), &release) {
            self.tell_release(release);
        }
        self.wake_timers();
    }

    /// Tells a reader once. It is told again until it has answered, or is known to hold nothing.
    fn tell_release(self: &Rc<Self>, release: Release) {
        let Some(to) = self.addresses.borrow().get(&release.server).copied() else {
            return self.releases.borrow_mut().settled(&release);
        };
        let inner = self.clone();
        let within = Duration::from_nanos(self.releases.borrow().answer_within());
        self.spawner.run(async move {
            let told = inner.client.release(to, &release.request, within).await;
            debug!(request = %release.request, %to, ?told, "release");
            if matches!(told, Ok(()) | Err(Ending::NotConnected)) {
                inner.releases.borrow_mut().settled(&release);
            }
        });
    }

    fn over(self: &Rc<Self>, id: SeqId, outcome: Outcome, reason: Option<Reason>) {
        let last = match outcome {
            Outcome::Generated => {
                let tickets = self.tickets.borrow();
                let Some(ticket) = tickets.get(&id) else { return };
                let finish = ticket.finish.clone().unwrap_or_else(|| "stop".to_owned());
                // A stream that went on after a break had its first part read as prompt.
                let done = u64::from(ticket.done);
                let usage = Usage {
                    prompt_tokens: ticket.usage.prompt_tokens.saturating_sub(done),
                    completion_tokens: ticket.usage.completion_tokens + done,
                };
                Final::Generated { finish, usage }
            }
            _ => Final::Aborted { reason: reason.unwrap_or(Reason::Broken) },
        };
        self.finish(id, last);
    }

    /// The one final answer: the front reads it once it has read all texts before it.
    fn finish(self: &Rc<Self>, id: SeqId, last: Final) {
        if let Some(ticket) = self.tickets.borrow_mut().get_mut(&id) {
            debug!(seq = id.0, ?last, "final answer");
            let window = match self.settings.traffic[ticket.ask.traffic.0].effect {
                Effect::Tokened { window, .. } => window,
                _ => replays::WINDOW,
            };
            if let (Some(key), Some(text)) = (&ticket.ask.idempotency_key, &ticket.gathered) {
                let key = self.key(&ticket.ask, key);
                match &last {
                    Final::Rejected { .. } => self.replays.borrow_mut().free(&key),
                    last => {
                        self.replays.borrow_mut().ended(self.clock.now(), &key, text, last.clone(), window)
                    }
                }
            }
            ticket.last = Some(last);
            ticket.texts.close();
        }
        self.emptied.notify(usize::MAX);
        self.forget_if_over(id);
    }

    pub(crate) fn take_final(&self, id: SeqId) -> Option<Final> {
        self.tickets.borrow_mut().get_mut(&id).and_then(|ticket| ticket.last.take())
    }

    /// The front has let go of its answer; `over` where it had read the end of it.
    pub(crate) fn left(self: &Rc<Self>, id: SeqId, over: bool) {
        if let Some(ticket) = self.tickets.borrow_mut().get_mut(&id) {
            ticket.left = true;
            ticket.texts.close();
        }
        if !over {
            self.tell(|conductor, _, out| conductor.withdrawn(id, out));
        }
        self.forget_if_over(id);
    }

    /// A ticket goes when its front has left and the conductor holds nothing of it.
    fn forget_if_over(&self, id: SeqId) {
        let mut tickets = self.tickets.borrow_mut();
        let over = tickets.get(&id).is_some_and(|ticket| ticket.left) && !self.conductor.borrow().holds(id);
        let Some(ticket) = over.then(|| tickets.remove(&id)).flatten() else { return };
        drop(tickets);
        self.room.borrow_mut().leave(self.clock.now(), ticket.ask.client);
        if let Some(key) = &ticket.ask.idempotency_key {
            // Its client left before any final answer: what may have run must not run again by its key.
            let key = self.key(&ticket.ask, key);
            let mut replays = self.replays.borrow_mut();
            if ticket.may_have_run {
                let end = Final::Aborted { reason: Reason::Repeated };
                replays.ended(self.clock.now(), &key, "", end, replays::WINDOW);
            }
            replays.free(&key);
        }
        self.emptied.notify(usize::MAX);
    }

    /// The end of an earlier request with the same key, told again.
    fn replayed(self: &Rc<Self>, id: SeqId, ended: Ended<Final>) -> Answer {
        let (texts, receiver) = async_channel::bounded(1);
        let last = match ended {
            Ended::Answered { text, end } => {
                if !text.is_empty() {
                    // The channel is new and has room for one.
                    let _ = texts.try_send(text.to_string());
                }
                end
            }
            Ended::TooLarge => Final::Aborted { reason: Reason::Repeated },
        };
        texts.close();
        Answer { id, gateway: self.clone(), texts: receiver, over: false, replayed: Some(last) }
    }

    fn key(&self, ask: &Ask, key: &str) -> replays::Key {
        (self.tenant_name(ask).to_owned(), key.to_owned())
    }

    fn tenant_name(&self, ask: &Ask) -> &str {
        ask.tenant.map_or("", |TenantId(tenant)| &self.settings.tenants[tenant])
    }
}

/// Names an attempt at the model servers, over all gateways and runs.
fn request_id(id: SeqId, attempt: usize) -> String {
    format!("{:016x}-{attempt}", id.0)
}
