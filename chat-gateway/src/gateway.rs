//! Events in from sockets and timers, actions out of the request manager.

use crate::answer::{Answer, Ask};
use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use petrelshore::interface::*;
use petrelshore_engine_client::{Client, CompletionRequest, Load, Spawner};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::buffered::{
    Admission, BufferedRequests, Command, FinalAnswer, OutgoingAttempt, Piece, Rejection,
};
use petrelshore_gateway_core::cache_releases::{CacheRelease, ReleaseOutcome};
use petrelshore_gateway_core::{Chooser, Counts, Dispatch};
use petrelshore_inventory::{Change, Doubt, Format, Guard, Membership, Problem, kept, read_list};
use petrelshore_runtime::Clock;
use petrelshore_runtime::TimerDriver;
use petrelshore_settings::Settings;
use serde_json::value::RawValue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Addresses that are remembered of servers that left the inventory: states that they hold are still let go of.
const MOST_FORMER: usize = 1_024;
/// Texts kept for a client that does not take them, before its writer is held back.
const TEXTS: usize = 16;
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

/// A sequence in hand, as far as its sockets and its front go.
struct RequestEntry {
    stop: Rc<[String]>,
    sampling: Rc<serde_json::Map<String, serde_json::Value>>,
    model: Rc<str>,
    texts: Sender<String>,
    last: Option<FinalAnswer>,
    /// Told when `last` is there.
    ended: Rc<Event>,
    /// The one attempt that is out.
    attempt: Option<(usize, Task<()>)>,
}

pub struct Inner {
    settings: Settings,
    clock: Clock,
    spawner: Spawner,
    client: Client,
    requests: RefCell<BufferedRequests<Rc<RawValue>>>,
    membership: RefCell<Membership>,
    guard: RefCell<Guard>,
    addresses: RefCell<BTreeMap<ServerId, SocketAddr>>,
    /// Where servers were reached that are listed no more, the last to leave at the end: they may run on.
    former: RefCell<VecDeque<(ServerId, SocketAddr)>>,
    tickets: RefCell<HashMap<SequenceId, RequestEntry>>,
    timers: TimerDriver,
    /// A list that could not be kept is being stored again.
    storing: Cell<bool>,
    /// Told when a sequence has left.
    emptied: Event,
    /// Told when nothing further is taken.
    stopping: Event,
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
        let requests =
            BufferedRequests::new(now, settings.deployment.clone(), seed, settings.limits.sequences, chooser);
        let inner = Inner {
            client: Client::new(spawner.clone(), &settings.name),
            requests: RefCell::new(requests),
            membership: RefCell::new(membership),
            guard: RefCell::default(),
            addresses: RefCell::default(),
            former: RefCell::default(),
            tickets: RefCell::default(),
            timers: TimerDriver::default(),
            storing: Cell::new(false),
            emptied: Event::new(),
            stopping: Event::new(),
            settings,
            clock,
            spawner,
        };
        let gateway = Gateway(Rc::new(inner));
        gateway.first_list()?;
        let inner = gateway.0.clone();
        gateway.0.spawner.run(async move {
            let next_due = || inner.requests.borrow().next_timeout();
            inner
                .timers
                .run(inner.clock, next_due, || inner.tell(|requests, now, out| requests.on_timeout(now, out)))
                .await;
        });
        Ok(gateway)
    }

    fn first_list(&self) -> Result<(), ReloadError> {
        let inner = &self.0;
        match kept::load(&inner.settings.kept, inner.clock.now()) {
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
        inner.keep_list();
        info!(servers = count, "took the list of model servers");
        Ok(count)
    }

    /// Takes a request, or says why not. What is taken is owed exactly one final answer.
    pub fn accept(&self, ask: Ask) -> Result<Answer, Rejection> {
        let inner = &self.0;
        let Ask { request, stop, sampling } = ask;
        let model = request.model.clone();
        let mut orders = Vec::new();
        let taken = inner.requests.borrow_mut().accept(inner.clock.now(), request, &mut orders);
        let (texts, receiver) = async_channel::bounded(TEXTS);
        let ended = Rc::new(Event::new());
        let (id, replayed) = match taken {
            Admission::Rejected(refusal) => return Err(refusal),
            Admission::Accepted(id) => {
                let ticket = RequestEntry {
                    stop,
                    sampling,
                    model,
                    texts,
                    last: None,
                    ended: ended.clone(),
                    attempt: None,
                };
                inner.tickets.borrow_mut().insert(id, ticket);
                (id, None)
            }
            Admission::Replayed { id, text, last } => {
                if !text.is_empty() {
                    // The channel is new and has room.
                    let _ = texts.try_send(text.to_string());
                }
                texts.close();
                (id, Some(last))
            }
        };
        inner.carry_out(orders);
        Ok(Answer { id, gateway: inner.clone(), texts: receiver, ended, over: false, replayed })
    }

    /// Takes nothing further, lets running streams go on for the drain time, then answers the rest. Returns how
    /// many had to be ended.
    pub async fn drain(&self) -> usize {
        let inner = &self.0;
        inner.requests.borrow_mut().drain();
        inner.stopping.notify(usize::MAX);
        let emptied = async {
            while self.unanswered() > 0 {
                inner.emptied.listen().await;
            }
        };
        let late = async {
            Timer::after(Duration::from_nanos(inner.settings.drain_time)).await;
        };
        future::or(emptied, late).await;
        let left = self.unanswered();
        inner.tell(|requests, now, out| requests.terminate_all(now, out));
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

    pub fn is_draining(&self) -> bool {
        self.0.requests.borrow().is_draining()
    }

    /// Returns once nothing further is taken.
    pub async fn until_draining(&self) {
        let stopping = self.0.stopping.listen();
        if !self.is_draining() {
            stopping.await;
        }
    }

    pub fn counts(&self) -> Counts {
        self.0.requests.borrow().counts()
    }

    pub fn unanswered(&self) -> usize {
        self.0.requests.borrow().unanswered()
    }

    /// Everything that a ticket still stands for, for leak checks.
    pub fn tracked(&self) -> usize {
        self.0.requests.borrow().tracked()
    }

    pub fn servers(&self) -> usize {
        self.0.membership.borrow().list().servers.len()
    }
}

impl Inner {
    /// Tells the request table something, and carries out what follows.
    fn tell(
        self: &Rc<Self>,
        event: impl FnOnce(&mut BufferedRequests<Rc<RawValue>>, Nanos, &mut Vec<Command<Rc<RawValue>>>),
    ) {
        let mut orders = Vec::new();
        event(&mut self.requests.borrow_mut(), self.clock.now(), &mut orders);
        self.carry_out(orders);
    }

    fn carry_out(self: &Rc<Self>, orders: Vec<Command<Rc<RawValue>>>) {
        for order in orders {
            match order {
                Command::Send(sending) => self.send(*sending),
                Command::Cancel { id, attempt } => self.cancel(id, attempt),
                Command::Release(release) => self.let_go(release),
                Command::Answer { id, last } => self.answer(id, last),
            }
        }
        self.timers.update(self.requests.borrow().next_timeout());
    }

    fn send(self: &Rc<Self>, sending: OutgoingAttempt<Rc<RawValue>>) {
        let dispatch = sending.dispatch;
        let Some(to) = self.addresses.borrow().get(&dispatch.server).copied() else {
            return self.ended(dispatch, AttemptEnd::NotConnected, None);
        };
        let mut tickets = self.tickets.borrow_mut();
        let Some(ticket) = tickets.get_mut(&dispatch.id) else { return };
        let request = CompletionRequest {
            to,
            request_id: sending.request_id,
            model: ticket.model.clone(),
            prompt: sending.prompt,
            max_tokens: sending.max_tokens,
            stop: ticket.stop.clone(),
            sampling: ticket.sampling.clone(),
            idempotency_key: sending.idempotency_key,
            state: sending.transfer_params,
            fresh: dispatch.new_connection,
            connect_within: Duration::from_nanos(dispatch.connect_timeout),
        };
        let inner = self.clone();
        let task = self.spawner.spawn(async move {
            if dispatch.step == Step::Prefill {
                inner.read(dispatch, request).await;
            } else {
                inner.write(dispatch, request).await;
            }
        });
        ticket.attempt = task.map(|task| (dispatch.attempt, task));
    }

    async fn read(self: Rc<Self>, dispatch: Dispatch, request: CompletionRequest) {
        let heard = self.client.prefill(&request).await;
        match heard.result {
            Ok(held) => {
                debug!(seq = dispatch.id.0, attempt = dispatch.attempt, kept = held.kept_tokens, "read");
                self.told(dispatch.server, heard.load);
                self.detach(dispatch.id, dispatch.attempt);
                self.tell(|requests, now, out| {
                    requests.prefill_done(now, &dispatch, held.kept_tokens, held.params, out)
                });
            }
            Err(ending) => self.ended(dispatch, ending, heard.load),
        }
    }

    async fn write(self: Rc<Self>, dispatch: Dispatch, request: CompletionRequest) {
        let heard = self.client.decode(&request).await;
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
                    break AttemptEnd::Completed;
                }
                Err(ending) => break ending,
            };
            if !began {
                began = true;
                self.tell(|requests, now, orders| requests.first_token(now, &dispatch, orders));
            } else {
                self.requests.borrow_mut().token_received(self.clock.now(), dispatch.id);
            }
            if !self.relay(dispatch.id, piece).await {
                return;
            }
        };
        self.ended(dispatch, ending, None);
    }

    /// Hands a piece on. Where the client does not take it, the writer waits, and the request table is told so.
    async fn relay(self: &Rc<Self>, id: SequenceId, piece: Piece) -> bool {
        let text = match self.requests.borrow_mut().receive_piece(id, piece) {
            Some(Some(text)) => text,
            Some(None) => return true,
            None => return false,
        };
        let Some(texts) = self.tickets.borrow().get(&id).map(|ticket| ticket.texts.clone()) else {
            return false;
        };
        match texts.try_send(text) {
            Ok(()) => true,
            Err(async_channel::TrySendError::Full(text)) => {
                self.tell(|requests, now, _| requests.client_stalled(now, id));
                let sent = texts.send(text).await;
                self.tell(|requests, now, _| requests.client_stall_ended(now, id));
                sent.is_ok()
            }
            Err(async_channel::TrySendError::Closed(_)) => false,
        }
    }

    fn ended(self: &Rc<Self>, dispatch: Dispatch, ending: AttemptEnd, load: Option<Load>) {
        debug!(seq = dispatch.id.0, attempt = dispatch.attempt, step = ?dispatch.step, ?ending, "attempt ended");
        self.told(dispatch.server, load);
        self.detach(dispatch.id, dispatch.attempt);
        if ending == AttemptEnd::NotConnected {
            let change = self.membership.borrow_mut().absent(self.clock.now(), dispatch.server);
            change.into_iter().for_each(|change| self.listed(change));
        }
        self.tell(|requests, now, out| requests.attempt_ended(now, &dispatch, ending, out));
    }

    /// An attempt that tells its own end runs on to the end of its task.
    fn detach(&self, id: SequenceId, attempt: usize) {
        let mut tickets = self.tickets.borrow_mut();
        let out = tickets.get_mut(&id).and_then(|ticket| ticket.attempt.take_if(|(out, _)| *out == attempt));
        out.into_iter().for_each(|(_, task)| task.detach());
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
            let report = LoadReport {
                memory_share: load.memory_share,
                queued_prompt_tokens: load.queued_prompt_tokens,
                in_flight: None,
            };
            self.requests.borrow_mut().load_reported(now, server, report);
        }
    }

    fn listed(&self, change: Change) {
        let now = self.clock.now();
        self.requests.borrow_mut().update_endpoints(now, change.scope, &change.entries);
        if change.scope != SnapshotKind::Delta {
            let membership = self.membership.borrow();
            let servers = &membership.list().servers;
            let listed: BTreeMap<_, _> = servers.iter().map(|s| (s.id(), s.address)).collect();
            let before = self.addresses.replace(listed);
            let addresses = self.addresses.borrow();
            let mut former = self.former.borrow_mut();
            former.extend(before);
            former.retain(|(id, _)| !addresses.contains_key(id));
            let past = former.len().saturating_sub(MOST_FORMER);
            former.drain(..past);
            self.client.retain_endpoints(|address| servers.iter().any(|server| server.address == *address));
        }
    }

    /// Keeps the list for a later run, again and again where its disk does not take it.
    fn keep_list(self: &Rc<Self>) {
        if self.store_list() || self.storing.replace(true) {
            return;
        }
        let inner = self.clone();
        self.spawner.run(async move {
            let mut failures = 1;
            loop {
                Timer::after(kept::store_again_after(failures)).await;
                if inner.store_list() {
                    break;
                }
                failures += 1;
            }
            inner.storing.set(false);
        });
    }

    /// Stores the list as it is now; whether that went well.
    fn store_list(&self) -> bool {
        let (membership, file) = (self.membership.borrow(), &self.settings.kept);
        let stored = kept::store(file, membership.list(), membership.since(), self.clock.now());
        if let Err(error) = &stored {
            warn!(%error, file = %file.display(), "the list could not be kept for a later run");
        }
        stored.is_ok()
    }

    /// Breaks an attempt off by closing its connection.
    fn cancel(self: &Rc<Self>, id: SequenceId, attempt: usize) {
        let out = {
            let mut tickets = self.tickets.borrow_mut();
            tickets.get_mut(&id).and_then(|ticket| ticket.attempt.take_if(|(out, _)| *out == attempt))
        };
        drop(out);
        self.tell(|requests, now, out| requests.attempt_cancelled(now, id, attempt, out));
    }

    /// Tells a reader once. The request table has it told again until it has answered, or is known to hold nothing.
    fn let_go(self: &Rc<Self>, release: CacheRelease) {
        let listed = self.addresses.borrow().get(&release.server).copied();
        let former = || {
            let former = self.former.borrow();
            former.iter().rev().find(|(id, _)| *id == release.server).map(|(_, address)| *address)
        };
        let Some(to) = listed.or_else(former) else {
            return self.requests.borrow_mut().release_finished(
                self.clock.now(),
                &release,
                ReleaseOutcome::ServerGone,
            );
        };
        let inner = self.clone();
        let within = Duration::from_nanos(self.requests.borrow().release_timeout());
        self.spawner.run(async move {
            let told = inner.client.release(to, &release.request_id, within).await;
            debug!(request = %release.request_id, %to, ?told, "release");
            // A connection that did not come up in time proves nothing of what its reader holds.
            if told.is_ok() {
                inner.requests.borrow_mut().release_finished(
                    inner.clock.now(),
                    &release,
                    ReleaseOutcome::Acknowledged,
                );
            }
        });
    }

    /// The one final answer: the front reads it once it has read all texts before it.
    fn answer(&self, id: SequenceId, last: FinalAnswer) {
        debug!(seq = id.0, ?last, "final answer");
        if let Some(ticket) = self.tickets.borrow_mut().get_mut(&id) {
            ticket.last = Some(last);
            ticket.texts.close();
            ticket.ended.notify(usize::MAX);
        }
        self.emptied.notify(usize::MAX);
    }

    pub(crate) fn take_final_answer(&self, id: SequenceId) -> Option<FinalAnswer> {
        self.tickets.borrow_mut().get_mut(&id).and_then(|ticket| ticket.last.take())
    }

    /// The final answer, where it is there and is none that was generated.
    pub(crate) fn early_final_answer(&self, id: SequenceId) -> Option<FinalAnswer> {
        let tickets = self.tickets.borrow();
        let last = tickets.get(&id).and_then(|ticket| ticket.last.clone());
        last.filter(|last| !matches!(last, FinalAnswer::Completed { .. }))
    }

    /// The front has let go of its answer; `over` where it had read the end of it.
    pub(crate) fn client_left(self: &Rc<Self>, id: SequenceId, over: bool) {
        self.tell(|requests, now, out| {
            if over {
                requests.answer_consumed(now, id);
            } else {
                requests.client_cancelled(now, id, out);
            }
        });
        // Dropping the ticket breaks off whatever of it still runs.
        let ticket = self.tickets.borrow_mut().remove(&id);
        drop(ticket);
        self.emptied.notify(usize::MAX);
    }
}
