//! Connections of clients: taken, counted, closed.

use crate::connection::serve;
use crate::response;
use async_executor::Task;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use petrelshore_gateway_core::client_connections::{ConnectionId, ConnectionTable, Entry, FULL_LEAST};
use petrelshore_gateway_core::ingress_limits::IngressLimits;
use petrelshore_http1::connection::{HttpConnection, Peer};
use petrelshore_ingress::listener::{AcceptedClient, BodyReservation, Listener};
use petrelshore_platform_gateway::Service;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

/// So many are told at once that there is no place for them; others wait until the system takes their connection from
/// its queue. Guards the descriptors of discovery and model servers.
const REJECTING: usize = 8;
/// So many whose places went to others are still being ended: their descriptors come out of the gateway's own.
const ENDING: usize = 8;
/// Connections taken before others get their turn.
const AT_A_TIME: usize = 8;
/// Part of memory that bodies may take up before their first event.
const BODIES: usize = 6;
/// Part of memory for what clients send behind their open requests, and the most and the least of one of them.
const AHEAD: usize = 8;
const AHEAD_MOST: usize = 64 << 10;
const AHEAD_LEAST: usize = 4 << 10;
/// Largest body of a request.
pub const LARGEST_BODY: usize = 256 << 10;

/// All clients of one gateway.
#[derive(Clone)]
pub struct Clients(Rc<ClientGuard>);

struct ClientGuard {
    service: Service,
    connection_table: RefCell<ConnectionTable>,
    limits: Rc<RefCell<IngressLimits>>,
    tasks: RefCell<HashMap<ConnectionId, Held>>,
    /// Those whose places went to others, the first at the front.
    evicted: RefCell<VecDeque<ConnectionId>>,
    /// Those at the door that are told that there is no place.
    rejecting: Cell<usize>,
    ahead: usize,
    leaving: Cell<bool>,
    /// Told when a client or one at the door has gone.
    gone: Event,
}

struct Held {
    peer: Peer,
    ends: Rc<Ends>,
    task: Task<()>,
}

/// Word to a connection that it is to end.
#[derive(Default)]
pub struct Ends {
    evicted: Cell<bool>,
    told: Event,
}

impl Ends {
    /// Whether its place went to another.
    pub(crate) fn evicted(&self) -> bool {
        self.evicted.get()
    }
}

impl Clients {
    /// At most so many connections, and bodies within a part of so much memory.
    pub fn new(service: Service, connections: usize, memory_bytes: usize) -> Self {
        let limits = IngressLimits::bounded(connections, LARGEST_BODY, memory_bytes / BODIES);
        Clients(Rc::new(ClientGuard {
            service,
            connection_table: RefCell::new(ConnectionTable::new(connections)),
            limits: Rc::new(RefCell::new(limits)),
            tasks: RefCell::default(),
            evicted: RefCell::default(),
            rejecting: Cell::new(0),
            ahead: (memory_bytes / AHEAD / connections.max(1)).clamp(AHEAD_LEAST, AHEAD_MOST),
            leaving: Cell::new(false),
            gone: Event::new(),
        }))
    }

    /// Takes connections for as long as it is polled.
    pub async fn serve(self, listener: Listener) {
        loop {
            for _ in 0..AT_A_TIME {
                let accepted = listener.accept().await;
                self.enter(&listener, accepted).await;
            }
            // Guards against a flood of connections: those that are in get their turn.
            future::yield_now().await;
        }
    }

    async fn enter(&self, listener: &Listener, accepted: AcceptedClient) {
        let AcceptedClient { stream, backlogged_since, .. } = accepted;
        let mut entry = self.ask_in();
        if entry == Entry::Soon {
            listener.mark_backlog();
            Timer::after(Duration::from_nanos(FULL_LEAST)).await;
            entry = self.ask_in();
        }
        let (spawner, clients) = (self.0.service.spawner().clone(), self.clone());
        let mut wire = HttpConnection::new(stream);
        let Entry::Admitted(id) = entry else {
            debug!("no place for a new connection");
            self.0.rejecting.update(|count| count + 1);
            spawner.run(async move {
                if wire.write_all(response::full().as_bytes()).await.is_ok() {
                    wire.lingering_close().await;
                }
                drop(wire);
                clients.0.rejecting.update(|count| count - 1);
                clients.0.gone.notify(usize::MAX);
            });
            listener.mark_backlog();
            return self.room_rejecting().await;
        };
        let (peer, ends) = (wire.peer(), Rc::new(Ends::default()));
        let own_ends = ends.clone();
        let task = spawner.spawn(async move {
            serve(&clients, id, &own_ends, backlogged_since, wire).await;
            clients.0.connection_table.borrow_mut().closed(id);
            clients.0.evicted.borrow_mut().retain(|evicted| *evicted != id);
            let own = clients.0.tasks.borrow_mut().remove(&id);
            own.into_iter().for_each(|held| held.task.detach());
            clients.0.gone.notify(usize::MAX);
        });
        if let Some(task) = task {
            self.0.tasks.borrow_mut().insert(id, Held { peer, ends, task });
        }
    }

    /// A whole request has come on a connection: it is owed its answer, also where its place went to another meanwhile.
    pub(crate) fn request_received(&self, id: ConnectionId) {
        self.0.connection_table.borrow_mut().request_received(id);
        self.0.evicted.borrow_mut().retain(|evicted| *evicted != id);
    }

    async fn room_rejecting(&self) {
        loop {
            let gone = self.0.gone.listen();
            if self.0.rejecting.get() < REJECTING {
                return;
            }
            gone.await;
        }
    }

    /// Asks for a place, and closes whom that takes it from.
    fn ask_in(&self) -> Entry {
        let now = self.0.service.clock().now();
        let (entry, leaves) = self.0.connection_table.borrow_mut().accept(now, |id| self.rests(id));
        leaves.into_iter().for_each(|leaves| self.evict(leaves));
        entry
    }

    /// Ends a connection whose place goes to another, in the one order for all; the one that has been ending for longest
    /// is closed where more than `ENDING` are.
    fn evict(&self, id: ConnectionId) {
        let tasks = self.0.tasks.borrow();
        let Some(Held { ends, .. }) = tasks.get(&id) else { return };
        ends.evicted.set(true);
        ends.told.notify(usize::MAX);
        drop(tasks);
        let mut evicted = self.0.evicted.borrow_mut();
        evicted.push_back(id);
        let longest = if evicted.len() > ENDING { evicted.pop_front() } else { None };
        drop(evicted);
        let closed = longest.and_then(|id| self.0.tasks.borrow_mut().remove(&id));
        drop(closed);
    }

    /// Returns once a connection without an open request is to end: its place went to another, or the gateway leaves.
    pub(crate) async fn told_to_end(&self, id: ConnectionId, ends: &Ends) {
        loop {
            let told = ends.told.listen();
            if ends.evicted() {
                return;
            }
            if self.is_shutting_down() {
                let from = self.0.connection_table.borrow().keep_open_until(id);
                let due = async {
                    Timer::at(self.0.service.clock().instant(from)).await;
                };
                return future::or(told, due).await;
            }
            told.await;
        }
    }

    /// Whether nothing has come on a connection that was not taken yet. Closed over that, it would be reset, and its
    /// request lost.
    fn rests(&self, id: ConnectionId) -> bool {
        self.0.tasks.borrow().get(&id).is_none_or(|held| !held.peer.has_unread_bytes())
    }

    /// Ends what rests, and says with every answer from now on that its connection ends.
    pub fn begin_shutdown(&self) {
        self.0.leaving.set(true);
        self.0.tasks.borrow().values().for_each(|held| {
            held.ends.told.notify(usize::MAX);
        });
    }

    /// Returns once no client is left.
    pub async fn until_empty(&self) {
        loop {
            let gone = self.0.gone.listen();
            if self.is_empty() {
                return;
            }
            gone.await;
        }
    }

    /// Nobody is there, also of those who are told that there is no place, or whose connections are still being ended.
    pub fn is_empty(&self) -> bool {
        self.0.tasks.borrow().is_empty() && self.0.rejecting.get() == 0
    }

    pub fn connections(&self) -> usize {
        self.0.connection_table.borrow().len()
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.0.leaving.get()
    }

    pub(crate) fn service(&self) -> &Service {
        &self.0.service
    }

    pub(crate) fn connection_table(&self) -> &RefCell<ConnectionTable> {
        &self.0.connection_table
    }

    /// The room of a body that is about to be read.
    pub(crate) fn reserve_body(&self, id: ConnectionId) -> BodyReservation {
        BodyReservation::new(self.0.limits.clone(), id.0)
    }

    /// Most bytes that a client may have sent behind its open request before they stay with the system.
    pub(crate) fn pipelined_limit(&self) -> usize {
        self.0.ahead
    }
}
