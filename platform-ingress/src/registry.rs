//! The open connections of clients: admission, eviction, graceful shutdown, and what they share.

use async_executor::Task;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::client_connections::{Accepted, Admission, ConnectionId, ConnectionTable};
use petrelshore_gateway_core::ingress_limits::IngressLimits;
use petrelshore_http1::connection::Peer;
use petrelshore_ingress::listener::BodyReservation;
use petrelshore_platform_gateway::PlatformGateway;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Rejected connections that are answered at once; further ones wait until their connection is accepted. Protects the
/// descriptors of discovery and model servers.
const MAX_REJECTING: usize = 8;
/// Evicted connections that may still be closing: their descriptors come out of the gateway's own.
const MAX_EVICTED_CLOSING: usize = 8;
/// The part of memory that bodies may take up before their first event.
const BODY_MEMORY_DIVISOR: usize = 6;
/// The part of memory for bytes that clients send behind their open requests.
const PIPELINE_MEMORY_DIVISOR: usize = 8;
/// Bounds of those bytes on one connection.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
const MIN_PIPELINED_BYTES: usize = 4 << 10;
/// Bound of a request's body.
pub(crate) const MAX_BODY_BYTES: usize = 256 << 10;

/// The open connections of one gateway's clients.
pub(crate) struct Registry {
    gateway: PlatformGateway,
    connection_table: RefCell<ConnectionTable>,
    limits: Rc<RefCell<IngressLimits>>,
    handles: RefCell<HashMap<ConnectionId, ConnectionHandle>>,
    /// Evicted connections that are still closing, the first one at the front.
    evicted: RefCell<VecDeque<ConnectionId>>,
    /// The number of rejected connections that are still closing.
    rejecting: Cell<usize>,
    pipelined_limit: usize,
    shutting_down: Cell<bool>,
    /// Notified when a connection, admitted or rejected, has closed.
    closed: Event,
}

/// An admitted connection, as others see it.
struct ConnectionHandle {
    peer: Peer,
    close_signal: Rc<CloseSignal>,
    task: Task<()>,
}

/// Tells a connection that it is to close.
#[derive(Default)]
pub(crate) struct CloseSignal {
    evicted: Cell<bool>,
    changed: Event,
}

impl CloseSignal {
    /// Whether another connection got its place in the table.
    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }
}

/// What a connection needs besides its socket.
#[derive(Clone, Copy)]
pub(crate) struct ConnectionContext<'a> {
    pub(crate) registry: &'a Registry,
    pub(crate) id: ConnectionId,
    pub(crate) close_signal: &'a CloseSignal,
}

impl Registry {
    pub(crate) fn new(gateway: PlatformGateway, max_connections: usize, memory_bytes: usize) -> Self {
        let limits =
            IngressLimits::bounded(max_connections, MAX_BODY_BYTES, memory_bytes / BODY_MEMORY_DIVISOR);
        let pipelined_limit = memory_bytes / PIPELINE_MEMORY_DIVISOR / max_connections.max(1);
        Registry {
            gateway,
            connection_table: RefCell::new(ConnectionTable::new(max_connections)),
            limits: Rc::new(RefCell::new(limits)),
            handles: RefCell::default(),
            evicted: RefCell::default(),
            rejecting: Cell::new(0),
            pipelined_limit: pipelined_limit.clamp(MIN_PIPELINED_BYTES, MAX_PIPELINED_BYTES),
            shutting_down: Cell::new(false),
            closed: Event::new(),
        }
    }

    pub(crate) fn gateway(&self) -> &PlatformGateway {
        &self.gateway
    }

    /// Asks for a place in the table, and evicts the connection that it is taken from.
    pub(crate) fn admit(&self) -> Admission {
        let now = self.gateway.clock().now();
        let Accepted { admission, evicted } =
            self.connection_table.borrow_mut().accept(now, |id| self.is_quiet(id));
        evicted.into_iter().for_each(|id| self.evict(id));
        admission
    }

    /// Keeps what is needed to end a connection that is served by `task`.
    pub(crate) fn insert(&self, id: ConnectionId, peer: Peer, close_signal: Rc<CloseSignal>, task: Task<()>) {
        self.handles.borrow_mut().insert(id, ConnectionHandle { peer, close_signal, task });
    }

    /// A connection has closed.
    pub(crate) fn remove(&self, id: ConnectionId) {
        self.connection_table.borrow_mut().closed(id);
        self.evicted.borrow_mut().retain(|evicted| *evicted != id);
        let handle = self.handles.borrow_mut().remove(&id);
        handle.into_iter().for_each(|handle| handle.task.detach());
        self.closed.notify(usize::MAX);
    }

    /// A rejected connection is still to be answered and closed.
    pub(crate) fn rejection_started(&self) {
        self.rejecting.update(|count| count + 1);
    }

    /// A rejected connection has closed.
    pub(crate) fn rejection_finished(&self) {
        self.rejecting.update(|count| count - 1);
        self.closed.notify(usize::MAX);
    }

    /// Returns once another connection may be rejected.
    pub(crate) async fn rejection_capacity(&self) {
        loop {
            let closed = self.closed.listen();
            if self.rejecting.get() < MAX_REJECTING {
                return;
            }
            closed.await;
        }
    }

    /// Closes an evicted connection, in the same order as any other. If more than [`MAX_EVICTED_CLOSING`] are closing, the
    /// one that has been closing for longest is dropped.
    fn evict(&self, id: ConnectionId) {
        let handles = self.handles.borrow();
        let Some(ConnectionHandle { close_signal, .. }) = handles.get(&id) else { return };
        close_signal.evicted.set(true);
        close_signal.changed.notify(usize::MAX);
        drop(handles);
        let mut evicted = self.evicted.borrow_mut();
        evicted.push_back(id);
        let longest = if evicted.len() > MAX_EVICTED_CLOSING { evicted.pop_front() } else { None };
        drop(evicted);
        let dropped = longest.and_then(|id| self.handles.borrow_mut().remove(&id));
        drop(dropped);
    }

    /// Whether all bytes received on a connection were read. A socket closed with unread bytes is reset, and the request
    /// in them is lost.
    fn is_quiet(&self, id: ConnectionId) -> bool {
        self.handles.borrow().get(&id).is_none_or(|handle| !handle.peer.has_unread_bytes())
    }

    /// Returns once a connection without an open request is to close: it was evicted, or the gateway shuts down.
    pub(crate) async fn close_signalled(&self, id: ConnectionId, close_signal: &CloseSignal) {
        loop {
            let changed = close_signal.changed.listen();
            if close_signal.is_evicted() {
                return;
            }
            if self.is_shutting_down() {
                let keep_open_until = self.connection_table.borrow().keep_open_until(id);
                let elapsed = async {
                    Timer::at(self.gateway.clock().instant(keep_open_until)).await;
                };
                return future::or(changed, elapsed).await;
            }
            changed.await;
        }
    }

    /// Closes idle connections; every response announces from now on that its connection closes.
    pub(crate) fn begin_shutdown(&self) {
        self.shutting_down.set(true);
        self.handles.borrow().values().for_each(|handle| {
            handle.close_signal.changed.notify(usize::MAX);
        });
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Returns once no connection is left.
    pub(crate) async fn until_empty(&self) {
        loop {
            let closed = self.closed.listen();
            if self.is_empty() {
                return;
            }
            closed.await;
        }
    }

    /// Whether no connection is left, also of those that were rejected or are still closing.
    pub(crate) fn is_empty(&self) -> bool {
        self.handles.borrow().is_empty() && self.rejecting.get() == 0
    }

    /// The number of connections in the table.
    pub(crate) fn len(&self) -> usize {
        self.connection_table.borrow().len()
    }

    /// The first byte of a request was received.
    pub(crate) fn request_started(&self, id: ConnectionId) {
        self.connection_table.borrow_mut().request_started(id);
    }

    /// A complete request was received: it has to be answered, also if its connection was evicted meanwhile.
    pub(crate) fn request_received(&self, id: ConnectionId) {
        self.connection_table.borrow_mut().request_received(id);
        self.evicted.borrow_mut().retain(|evicted| *evicted != id);
    }

    /// The response was written, and the connection waits for the next request.
    pub(crate) fn connection_idle(&self, id: ConnectionId) {
        self.connection_table.borrow_mut().idle(self.gateway.clock().now(), id);
    }

    /// The last response was written.
    pub(crate) fn connection_closing(&self, id: ConnectionId) {
        self.connection_table.borrow_mut().closing(id);
    }

    /// How long a connection may wait for the first byte of its next request.
    pub(crate) fn idle_timeout(&self, id: ConnectionId) -> Nanos {
        self.connection_table.borrow().idle_timeout(id)
    }

    /// The reservation for a body that is about to be read.
    pub(crate) fn reserve_body(&self, id: ConnectionId) -> BodyReservation {
        BodyReservation::new(self.limits.clone(), id.0)
    }

    /// How many bytes behind its open request are buffered of a client; further ones stay in the socket.
    pub(crate) fn pipelined_limit(&self) -> usize {
        self.pipelined_limit
    }
}
