//! The open connections of clients: their admission, eviction and graceful shutdown, and the limits that they share.

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

/// The maximum number of rejected connections that are answered at the same time. Further connections wait in the
/// operating system's queue, so that rejections leave enough file descriptors for discovery and model servers.
const MAX_PENDING_REJECTIONS: usize = 8;
/// The maximum number of evicted connections that are still closing. Evicted connections no longer count against the
/// connection limit, so their file descriptors come out of those that the gateway needs itself.
const MAX_EVICTED_CLOSING: usize = 8;
/// The divisor of the memory size that gives the limit on request bodies, over all connections. A body counts until the
/// first event of its answer.
const BODY_MEMORY_DIVISOR: usize = 6;
/// The divisor of the memory size that gives the limit on bytes that clients send behind their open requests, over all
/// connections.
const PIPELINE_MEMORY_DIVISOR: usize = 8;
/// The upper bound of the limit on the bytes that one client sends behind its open request.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// The lower bound of the limit on the bytes that one client sends behind its open request.
const MIN_PIPELINED_BYTES: usize = 4 << 10;
/// The maximum size of a request body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 256 << 10;

/// The open connections of one gateway's clients.
pub(crate) struct Registry {
    gateway: PlatformGateway,
    connection_table: RefCell<ConnectionTable>,
    limits: Rc<RefCell<IngressLimits>>,
    handles: RefCell<HashMap<ConnectionId, ConnectionHandle>>,
    /// Evicted connections that are still closing, in the order of their eviction.
    evicted: RefCell<VecDeque<ConnectionId>>,
    /// The number of rejected connections that are still closing.
    pending_rejections: Cell<usize>,
    pipelined_limit: usize,
    shutting_down: Cell<bool>,
    /// Notified when an admitted or rejected connection has closed.
    closed: Event,
}

/// A handle on an admitted connection, to check its peer, signal it to close, or drop its task.
struct ConnectionHandle {
    peer: Peer,
    close_signal: Rc<CloseSignal>,
    task: Task<()>,
}

/// Signals a connection that it has to close.
#[derive(Default)]
pub(crate) struct CloseSignal {
    evicted: Cell<bool>,
    changed: Event,
}

impl CloseSignal {
    /// Returns whether the connection's place in the table was given to another connection.
    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }
}

/// The context in which a connection is served, apart from its socket.
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
            pending_rejections: Cell::new(0),
            pipelined_limit: pipelined_limit.clamp(MIN_PIPELINED_BYTES, MAX_PIPELINED_BYTES),
            shutting_down: Cell::new(false),
            closed: Event::new(),
        }
    }

    pub(crate) fn gateway(&self) -> &PlatformGateway {
        &self.gateway
    }

    /// Asks the connection table to admit a new connection, and evicts the connection that the table closes for it.
    pub(crate) fn admit(&self) -> Admission {
        let now = self.gateway.clock().now();
        let Accepted { admission, evicted } =
            self.connection_table.borrow_mut().accept(now, |id| self.has_no_unread_bytes(id));
        evicted.into_iter().for_each(|id| self.evict(id));
        admission
    }

    /// Stores the handle that ends a connection, which is served by `task`.
    pub(crate) fn insert(&self, id: ConnectionId, peer: Peer, close_signal: Rc<CloseSignal>, task: Task<()>) {
        self.handles.borrow_mut().insert(id, ConnectionHandle { peer, close_signal, task });
    }

    /// Removes a connection that has closed.
    pub(crate) fn remove(&self, id: ConnectionId) {
        self.connection_table.borrow_mut().closed(id);
        self.evicted.borrow_mut().retain(|evicted| *evicted != id);
        let handle = self.handles.borrow_mut().remove(&id);
        handle.into_iter().for_each(|handle| handle.task.detach());
        self.closed.notify(usize::MAX);
    }

    /// Counts a rejected connection, which has yet to be answered and closed.
    pub(crate) fn rejection_started(&self) {
        self.pending_rejections.update(|count| count + 1);
    }

    /// Removes a rejected connection from the count, because it has closed.
    pub(crate) fn rejection_finished(&self) {
        self.pending_rejections.update(|count| count - 1);
        self.closed.notify(usize::MAX);
    }

    /// Waits until another connection may be rejected.
    pub(crate) async fn wait_for_rejection_capacity(&self) {
        loop {
            let closed = self.closed.listen();
            if self.pending_rejections.get() < MAX_PENDING_REJECTIONS {
                return;
            }
            closed.await;
        }
    }

    /// Signals an evicted connection to close, which it does in the same order as any other. If more than
    /// [`MAX_EVICTED_CLOSING`] evicted connections are closing, the one that was evicted first is dropped.
    fn evict(&self, id: ConnectionId) {
        let handles = self.handles.borrow();
        let Some(ConnectionHandle { close_signal, .. }) = handles.get(&id) else { return };
        close_signal.evicted.set(true);
        close_signal.changed.notify(usize::MAX);
        drop(handles);
        let mut evicted = self.evicted.borrow_mut();
        evicted.push_back(id);
        let first_evicted = if evicted.len() > MAX_EVICTED_CLOSING { evicted.pop_front() } else { None };
        drop(evicted);
        let dropped = first_evicted.and_then(|id| self.handles.borrow_mut().remove(&id));
        drop(dropped);
    }

    /// Returns whether all bytes received on a connection have been read. A socket that is closed with unread bytes is
    /// reset, and the request in these bytes is lost.
    fn has_no_unread_bytes(&self, id: ConnectionId) -> bool {
        self.handles.borrow().get(&id).is_none_or(|handle| !handle.peer.has_unread_bytes())
    }

    /// Waits until a connection without an open request has to close, because it was evicted or because the gateway
    /// shuts down.
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

    /// Closes idle connections. Every response that starts from now on announces that its connection closes.
    pub(crate) fn begin_shutdown(&self) {
        self.shutting_down.set(true);
        self.handles.borrow().values().for_each(|handle| {
            handle.close_signal.changed.notify(usize::MAX);
        });
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Waits until no connection is left.
    pub(crate) async fn until_empty(&self) {
        loop {
            let closed = self.closed.listen();
            if self.is_empty() {
                return;
            }
            closed.await;
        }
    }

    /// Returns whether no connection is left, including those that were rejected or are still closing.
    pub(crate) fn is_empty(&self) -> bool {
        self.handles.borrow().is_empty() && self.pending_rejections.get() == 0
    }

    /// Returns the number of connections in the table.
    pub(crate) fn len(&self) -> usize {
        self.connection_table.borrow().len()
    }

    /// Records that the first byte of a request was received.
    pub(crate) fn request_started(&self, id: ConnectionId) {
        self.connection_table.borrow_mut().request_started(id);
    }

    /// Records that a complete request was received. The request has to be answered even if its connection was evicted
    /// in the meantime, so the connection is no longer among those that [`Self::evict`] may drop.
    pub(crate) fn request_received(&self, id: ConnectionId) {
        self.connection_table.borrow_mut().request_received(id);
        self.evicted.borrow_mut().retain(|evicted| *evicted != id);
    }

    /// Records that the response was written and that the connection waits for its next request.
    pub(crate) fn connection_idle(&self, id: ConnectionId) {
        self.connection_table.borrow_mut().idle(self.gateway.clock().now(), id);
    }

    /// Records that the last response was written.
    pub(crate) fn connection_closing(&self, id: ConnectionId) {
        self.connection_table.borrow_mut().closing(id);
    }

    /// Returns the time that a connection may wait for the first byte of its next request, in nanoseconds.
    pub(crate) fn idle_timeout(&self, id: ConnectionId) -> Nanos {
        self.connection_table.borrow().idle_timeout(id)
    }

    /// Returns an empty reservation for a body that is about to be read.
    pub(crate) fn reserve_body(&self, id: ConnectionId) -> BodyReservation {
        BodyReservation::new(self.limits.clone(), id.0)
    }

    /// Returns the number of bytes behind an open request that are buffered on one connection. Further bytes stay in
    /// the socket.
    pub(crate) fn pipelined_limit(&self) -> usize {
        self.pipelined_limit
    }
}
