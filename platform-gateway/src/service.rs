//! Events in from sockets and timers, orders out of the request manager's request table.

use async_channel::{Receiver, Sender, TrySendError};
use async_executor::Task;
use bytes::Bytes;
use event_listener::Event;
use petrelshore::interface::*;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::cache_releases::PLACES;
use petrelshore_gateway_core::graceful_shutdown::ShutdownPlan;
use petrelshore_gateway_core::invariants::Violation;
use petrelshore_gateway_core::passthrough::{Command, FinalAnswer, PassthroughRequests, Rejection};
use petrelshore_gateway_core::send_gate::{PendingSend, SendDenial};
use petrelshore_gateway_core::{Counts, Dispatch, FailureReason, NewSequence};
use petrelshore_ingress::listener::BodyReservation;
use petrelshore_platform_engine_client::{AttemptRequest, Client, SendPermission};
use petrelshore_platform_protocol::config::Config;
use petrelshore_platform_protocol::list::Listed;
use petrelshore_platform_protocol::settings::Names;
use petrelshore_runtime::{Clock, Spawner, TimerDriver};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

/// Events kept for a client that does not take them, before its writer is held back.
const EVENTS: usize = 4;

/// A client's request as it passes on, with the room that it takes up until its first event.
pub struct Message {
    pub id: Rc<str>,
    pub target: Bytes,
    /// Header lines that go with it as they came: a client's mark by which repeats are known is among them.
    pub fields: Bytes,
    pub body: Bytes,
    pub room: BodyReservation,
    /// Whether its client has left, as its connection shows at that instant.
    pub left: Left,
}

pub type Left = Rc<dyn Fn() -> bool>;

/// What a front reads of its answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    Events(Bytes),
    Last(FinalAnswer),
}

/// A sequence in hand, as far as its sockets go.
struct RequestEntry {
    events: Sender<Bytes>,
    last: Rc<Cell<Option<FinalAnswer>>>,
    attempt: Option<(usize, Task<()>)>,
}

type Orders = Vec<Command<Rc<Message>>>;

pub(crate) struct Inner {
    pub(crate) clock: Clock,
    pub(crate) spawner: Spawner,
    pub(crate) client: Client,
    names: Names,
    pub(crate) requests: RefCell<PassthroughRequests<Rc<Message>>>,
    tickets: RefCell<HashMap<SequenceId, RequestEntry>>,
    timers: TimerDriver,
    /// Told when a sequence or a release has left.
    pub(crate) emptied: Event,
    drain_grace: Nanos,
    discovery: Cell<SocketAddr>,
    discovery_moved: Event,
}

/// A gateway that runs. Clones are the same gateway.
#[derive(Clone)]
pub struct Service(Rc<Inner>);

impl Service {
    /// Starts from a configuration and the list in it. At most `connections` to model servers are open at once.
    pub fn start(config: Config, connections: usize, spawner: Spawner) -> Service {
        let clock = Clock::start();
        let fields = config.names.report.clone();
        let most = connections.saturating_sub(PLACES).max(1);
        let inner = Inner {
            client: Client::new(clock, connections, config.idle_for, fields),
            requests: RefCell::new(PassthroughRequests::new(
                clock.now(),
                config.deployment,
                config.seed,
                most,
            )),
            tickets: RefCell::default(),
            timers: TimerDriver::default(),
            emptied: Event::new(),
            drain_grace: config.drain_grace,
            discovery: Cell::new(config.discovery),
            discovery_moved: Event::new(),
            names: config.names,
            clock,
            spawner,
        };
        let service = Service(Rc::new(inner));
        service.update_endpoints(Listed { scope: SnapshotKind::Cached, ..config.known });
        let inner = service.0.clone();
        service.0.spawner.run(async move {
            let next_due = || inner.requests.borrow().next_timeout();
            inner
                .timers
                .run(inner.clock, next_due, || inner.tell(|requests, now, out| requests.on_timeout(now, out)))
                .await;
        });
        service
    }

    /// Takes a sequence, or says why not. What is taken is owed exactly one final answer.
    pub fn accept(&self, new: NewSequence, message: Message) -> Result<Answer, Rejection> {
        let inner = &self.0;
        let id = new.id;
        let (events, receiver) = async_channel::bounded(EVENTS);
        let last = Rc::new(Cell::new(None));
        let ticket = RequestEntry { events, last: last.clone(), attempt: None };
        let (resumed, prompt) = (new.resumed, new.prompt_tokens);
        let (session, prefix) = (new.session.map_or(0, |id| id.0), new.prefix.map_or(0, |id| id.0));
        let (mut orders, now) = (Vec::new(), inner.clock.now());
        inner.requests.borrow_mut().accept(now, new, Rc::new(message), &mut orders)?;
        debug!(seq = id.0, resumed, prompt, session, prefix, "taken");
        inner.tickets.borrow_mut().insert(id, ticket);
        inner.carry_out(orders);
        Ok(Answer { id, inner: inner.clone(), events: receiver, last, over: false })
    }

    /// Takes nothing further: what comes is rejected at once.
    pub fn drain(&self) {
        self.0.requests.borrow_mut().drain();
    }

    /// The list of servers, or what has changed in it.
    pub fn update_endpoints(&self, list: Listed) {
        let inner = &self.0;
        inner.requests.borrow_mut().update_endpoints(inner.clock.now(), list.scope, &list.entries);
        let listed = inner.requests.borrow().server_addresses();
        inner.client.retain_endpoints(|address| listed.contains(address));
        debug!(index = list.index, scope = ?list.scope, entries = list.entries.len(), "listed");
    }

    /// How this gateway leaves that was told to stop now.
    pub fn shutdown_plan(&self, longest_abandon: Nanos, clients_resume: bool) -> ShutdownPlan {
        self.0.requests.borrow().shutdown_plan(self.0.clock.now(), longest_abandon, clients_resume)
    }

    /// Ends the streams that such a plan has end between two times since the word to stop.
    pub fn migrate_streams(&self, plan: &ShutdownPlan, between: (Nanos, Nanos)) {
        self.0.tell(|requests, now, out| requests.migrate_streams(now, plan, between, out));
    }

    /// Whatever still runs gets its final answer now.
    pub fn terminate_all(&self) {
        self.0.tell(|requests, now, out| requests.terminate_all(now, out));
    }

    /// Returns once nothing is in hand and nothing is owed to a model server.
    pub async fn until_empty(&self) {
        loop {
            let emptied = self.0.emptied.listen();
            if self.is_empty() {
                return;
            }
            emptied.await;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.tracked() == 0 && self.0.requests.borrow().pending_releases() == 0
    }

    pub fn tracked(&self) -> usize {
        self.0.requests.borrow().tracked()
    }

    pub fn counts(&self) -> Counts {
        self.0.requests.borrow().counts()
    }

    /// What broke a rule so far, as counted at run time: empty unless this program is at fault.
    pub fn violations(&self) -> BTreeMap<Violation, u64> {
        self.0.requests.borrow().violations().clone()
    }

    /// Connections to model servers that are open, and those of them that are idle; releases owed.
    pub fn connection_counts(&self) -> (usize, usize, usize) {
        let connections = self.0.client.connection_counts();
        (connections.open, connections.idle, self.0.requests.borrow().pending_releases())
    }

    pub fn names(&self) -> &Names {
        &self.0.names
    }

    pub fn clock(&self) -> Clock {
        self.0.clock
    }

    pub fn spawner(&self) -> &Spawner {
        &self.0.spawner
    }

    /// The time between word that a server drains and the last send to it.
    pub fn drain_grace(&self) -> Nanos {
        self.0.drain_grace
    }

    pub fn discovery_address(&self) -> SocketAddr {
        self.0.discovery.get()
    }

    /// Discovery is had from another address now.
    pub fn set_discovery_address(&self, to: SocketAddr) {
        if self.0.discovery.replace(to) != to {
            self.0.discovery_moved.notify(usize::MAX);
        }
    }

    /// Returns when discovery has moved.
    pub fn discovery_address_changed(&self) -> impl Future<Output = ()> + use<> {
        self.0.discovery_moved.listen()
    }
}

impl Inner {
    /// Tells the request table something, and carries out what follows.
    fn tell(self: &Rc<Self>, event: impl FnOnce(&mut PassthroughRequests<Rc<Message>>, Nanos, &mut Orders)) {
        let mut orders = Vec::new();
        event(&mut self.requests.borrow_mut(), self.clock.now(), &mut orders);
        self.carry_out(orders);
    }

    fn carry_out(self: &Rc<Self>, orders: Orders) {
        for order in orders {
            match order {
                Command::Send { dispatch, address: to, message } => self.send(dispatch, to, message),
                Command::Cancel { id, attempt } => {
                    debug!(seq = id.0, attempt, "attempt broken off");
                    let mut tickets = self.tickets.borrow_mut();
                    let ticket = tickets.get_mut(&id);
                    let out = ticket.and_then(|ticket| ticket.attempt.take_if(|(out, _)| *out == attempt));
                    drop(tickets);
                    // Dropping its task closes its connection.
                    drop(out);
                }
                Command::Release(release) => self.tell_reader(release),
                Command::Answer { id, last } => {
                    debug!(seq = id.0, ?last, "final answer");
                    if let Some(ticket) = self.tickets.borrow().get(&id) {
                        ticket.last.set(Some(last));
                        ticket.events.close();
                    }
                }
                Command::Remove { id } => {
                    let ticket = self.tickets.borrow_mut().remove(&id);
                    if let Some(ticket) = ticket {
                        ticket.events.close();
                    }
                    self.emptied.notify(usize::MAX);
                }
            }
        }
        self.timers.update(self.requests.borrow().next_timeout());
    }

    fn send(self: &Rc<Self>, dispatch: Dispatch, to: Option<SocketAddr>, message: Option<Rc<Message>>) {
        let mut tickets = self.tickets.borrow_mut();
        let Some(ticket) = tickets.get_mut(&dispatch.id) else { return };
        let Dispatch { id, attempt, server, step, timeout: limit, .. } = dispatch;
        debug!(seq = id.0, attempt, ?step, server = server.0, limit_ms = limit / 1_000_000, "sent");
        let inner = self.clone();
        let (server_start, ordered) = (self.requests.borrow().server_started_at(server), self.clock.now());
        let task = self.spawner.spawn(async move {
            let (Some(to), Some(message)) = (to, message) else {
                return inner.ended(dispatch, AttemptEnd::NotConnected, None);
            };
            let (left, asked) = (message.left.clone(), inner.clone());
            let may_go = Rc::new(move || {
                let due = PendingSend {
                    dispatch: &dispatch,
                    decided_at: ordered,
                    address: to,
                    server_started_at: server_start,
                    client_left: left(),
                };
                let permitted = asked.requests.borrow().may_send(asked.clock.now(), &due);
                match permitted {
                    Ok(()) => SendPermission::Granted,
                    Err(denial) => {
                        debug!(seq = id.0, attempt, ?denial, "attempt denied");
                        if denial == SendDenial::ClientLeft {
                            SendPermission::ClientLeft
                        } else {
                            SendPermission::Denied
                        }
                    }
                }
            });
            let call = AttemptRequest {
                address: to,
                target: message.target.clone(),
                id: message.id.clone(),
                fields: message.fields.clone(),
                body: message.body.clone(),
                timeout: dispatch.timeout,
                decided_at: ordered,
                connect_timeout: Duration::from_nanos(dispatch.connect_timeout),
                holds_cache: dispatch.holds_cache,
                new_connection: dispatch.new_connection,
                send_check: may_go,
            };
            drop(message);
            match dispatch.step {
                Step::Prefill => inner.read(dispatch, call).await,
                Step::Decode | Step::MigratedDecode | Step::Combined => inner.write(dispatch, call).await,
            }
        });
        ticket.attempt = task.map(|task| (dispatch.attempt, task));
    }

    fn reached(&self, dispatch: &Dispatch) {
        debug!(seq = dispatch.id.0, attempt = dispatch.attempt, "reached");
        self.requests.borrow_mut().attempt_delivered(dispatch.id, dispatch.attempt);
    }

    async fn read(self: Rc<Self>, dispatch: Dispatch, call: AttemptRequest) {
        let heard = self.client.prefill(&call, &|| self.reached(&dispatch)).await;
        let ending = match heard.result {
            Ok(kept) => AttemptEnd::PrefillDone { cached_tokens: kept },
            Err(AttemptEnd::ReturnedUnsent) => return self.client_left(dispatch.id),
            Err(ending) => ending,
        };
        self.ended(dispatch, ending, heard.load);
    }

    async fn write(self: Rc<Self>, dispatch: Dispatch, call: AttemptRequest) {
        let heard = self.client.decode(&call, &|| self.reached(&dispatch)).await;
        drop(call);
        let mut stream = match heard.result {
            Ok(stream) => stream,
            Err(AttemptEnd::ReturnedUnsent) => return self.client_left(dispatch.id),
            Err(ending) => return self.ended(dispatch, ending, heard.load),
        };
        self.told(dispatch.server, heard.load);
        let mut began = false;
        let ending = loop {
            match stream.next().await {
                Ok(Some(events)) => {
                    if !began {
                        began = true;
                        self.tell(|requests, now, out| requests.first_token(now, &dispatch, out));
                    } else {
                        self.requests.borrow_mut().token_received(self.clock.now(), dispatch.id);
                    }
                    if !self.pass_on(dispatch.id, events).await {
                        return;
                    }
                }
                Ok(None) if began => break AttemptEnd::Completed,
                Ok(None) => break AttemptEnd::Malformed,
                Err(ending) => break ending,
            }
        };
        self.ended(dispatch, ending, stream.load);
    }

    /// A client left before its attempt was sent: nothing is sent for it any more.
    fn client_left(self: &Rc<Self>, id: SequenceId) {
        debug!(seq = id.0, "client left before its attempt was sent");
        self.tell(|requests, now, out| requests.client_cancelled(now, id, out));
    }

    /// Hands events on. Where the client does not take them, the writer waits, and the request manager is told so.
    async fn pass_on(self: &Rc<Self>, id: SequenceId, events: Bytes) -> bool {
        let Some(to) = self.tickets.borrow().get(&id).map(|ticket| ticket.events.clone()) else {
            return false;
        };
        match to.try_send(events) {
            Ok(()) => true,
            Err(TrySendError::Full(events)) => {
                self.tell(|requests, now, _| requests.client_stalled(now, id, true));
                let sent = to.send(events).await;
                self.tell(|requests, now, _| requests.client_stalled(now, id, false));
                sent.is_ok()
            }
            Err(TrySendError::Closed(_)) => false,
        }
    }

    fn ended(self: &Rc<Self>, dispatch: Dispatch, ending: AttemptEnd, load: Option<LoadReport>) {
        let Dispatch { id, attempt, server, step, .. } = dispatch;
        debug!(seq = id.0, attempt, ?step, server = server.0, ?ending, "attempt ended");
        self.told(server, load);
        let mut tickets = self.tickets.borrow_mut();
        let ticket = tickets.get_mut(&id);
        let own = ticket.and_then(|ticket| ticket.attempt.take_if(|(out, _)| *out == attempt));
        drop(tickets);
        // Its task tells its own end, and runs on to its end.
        own.into_iter().for_each(|(_, task)| task.detach());
        self.tell(|requests, now, out| requests.attempt_ended(now, &dispatch, ending, out));
    }

    fn told(&self, server: ServerId, load: Option<LoadReport>) {
        if let Some(report) = load {
            let LoadReport { memory_share: share, queued_prompt_tokens: queued, in_flight } = report;
            debug!(server = server.0, share, queued, in_flight, "load told");
            self.requests.borrow_mut().load_reported(self.clock.now(), server, report);
        }
    }
}

/// An answer on its way. Dropping it before its end tells the service that the client has left.
pub struct Answer {
    id: SequenceId,
    inner: Rc<Inner>,
    events: Receiver<Bytes>,
    last: Rc<Cell<Option<FinalAnswer>>>,
    over: bool,
}

impl Answer {
    /// The next events, or the final answer; events before it are read first.
    pub async fn next(&mut self) -> Next {
        if let Ok(events) = self.events.recv().await {
            return Next::Events(events);
        }
        self.over = true;
        Next::Last(self.last.get().unwrap_or(FinalAnswer::Aborted { reason: FailureReason::StreamBroken }))
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        // Its id may have come again since its sequence was over: that one is another client's.
        let own = |ticket: &RequestEntry| Rc::ptr_eq(&ticket.last, &self.last);
        if !self.over && self.inner.tickets.borrow().get(&self.id).is_some_and(own) {
            debug!(seq = self.id.0, "client left");
            self.inner.tell(|requests, now, out| requests.client_cancelled(now, self.id, out));
        }
    }
}
