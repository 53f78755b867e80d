//! The connections of a client: they are pooled and reused, and their number is limited.

use petrelshore::interface::{LoadReport, Nanos};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::connection_pool::ConnectionPool;
use petrelshore_http1::connect::ConnectError;
use petrelshore_http1::connection::HttpConnection;
use petrelshore_http1::head::ResponseHead;
use petrelshore_platform_protocol::load_report::{self, Field};
use petrelshore_runtime::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Connection counts of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Number of open connections, in use or idle.
    pub open: usize,
    /// Number of open connections that are idle.
    pub idle: usize,
}

/// A connection with its permit, which counts towards the client's maximum number of connections.
pub(crate) struct PooledConnection {
    pub(crate) http: HttpConnection,
    _permit: Rc<()>,
}

/// A connection that was taken out of the pool.
pub(crate) struct CheckedOut {
    pub(crate) connection: PooledConnection,
    /// Time for which the connection was idle, in nanoseconds.
    pub(crate) idle_time: Nanos,
}

/// The state that all exchanges of a client share: its connections, clock and settings.
pub(crate) struct Connections {
    clock: Clock,
    pool: RefCell<ConnectionPool<SocketAddr, PooledConnection>>,
    /// Each open connection holds a clone, so the reference count is one more than the number of open connections.
    permits: Rc<()>,
    max_connections: usize,
    load_fields: Vec<Field>,
}

impl Connections {
    pub(crate) fn new(
        clock: Clock,
        max_connections: usize,
        idle_timeout: Nanos,
        load_fields: Vec<Field>,
    ) -> Self {
        let pool = RefCell::new(ConnectionPool::bounded(idle_timeout, max_connections));
        Connections { clock, pool, permits: Rc::new(()), max_connections, load_fields }
    }

    pub(crate) fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Takes an idle connection to the address out of the pool. The connection has not been closed by the server as far
    /// as this machine knows, and has received no unsolicited bytes.
    pub(crate) fn check_out(&self, address: SocketAddr) -> Option<CheckedOut> {
        let open = |connection: &PooledConnection| connection.http.is_reusable();
        let pooled = self.pool.borrow_mut().check_out(self.now(), address, open)?;
        let (connection, idle_time) = (pooled.connection, pooled.idle_for);
        Some(CheckedOut { connection, idle_time })
    }

    /// Opens a connection. If the client has reached its maximum number of connections, the connection that has been
    /// idle longest is closed first. If no connection is idle, the result is [`AttemptEnd::NotSent`], because the
    /// shortage says nothing about the server.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<PooledConnection, AttemptEnd> {
        let full = Rc::strong_count(&self.permits) > self.max_connections;
        if full && !self.pool.borrow_mut().close_oldest_idle() {
            return Err(AttemptEnd::NotSent);
        }
        let permit = self.permits.clone();
        let http = HttpConnection::connect(address, timeout).await.map_err(|error| match error {
            ConnectError::LocalResources => AttemptEnd::NotSent,
            ConnectError::Unreachable => AttemptEnd::NotConnected,
        })?;
        Ok(PooledConnection { http, _permit: permit })
    }

    /// Returns a connection to the pool after a complete exchange, unless the server closes the connection or has sent
    /// unsolicited bytes on it.
    pub(crate) fn check_in(&self, address: SocketAddr, connection: PooledConnection, head: &ResponseHead) {
        if head.keep_alive && connection.http.buffer.is_empty() {
            self.pool.borrow_mut().check_in(self.now(), address, connection);
        }
    }

    /// Returns a connection to the pool after the server has answered a probe on it.
    pub(crate) fn check_in_probed(&self, address: SocketAddr, connection: PooledConnection) {
        self.pool.borrow_mut().check_in(self.now(), address, connection);
    }

    /// Puts a connection into the pool after the request intended for it was not sent.
    pub(crate) fn check_in_unused(&self, address: SocketAddr, connection: PooledConnection) {
        self.pool.borrow_mut().check_in_unused(self.now(), address, connection);
    }

    /// Records that a response arrived on a pooled connection.
    pub(crate) fn reuse_succeeded(&self) {
        self.pool.borrow_mut().reuse_succeeded(self.now());
    }

    /// Records that a pooled connection failed while it was probed or carried a request.
    pub(crate) fn reuse_failed(&self, address: SocketAddr, idle_time: Nanos) {
        self.pool.borrow_mut().reuse_failed(self.now(), address, idle_time);
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.pool.borrow_mut().remove(|pooled| *pooled == address);
    }

    /// Closes the idle connections to addresses for which `listed` returns false.
    pub(crate) fn retain(&self, listed: impl Fn(&SocketAddr) -> bool) {
        self.pool.borrow_mut().remove(|address| !listed(address));
    }

    pub(crate) fn counts(&self) -> ConnectionCounts {
        ConnectionCounts { open: Rc::strong_count(&self.permits) - 1, idle: self.pool.borrow().idle() }
    }

    /// Returns the load report in the head of a response.
    pub(crate) fn load_in_head(&self, head: &ResponseHead) -> Option<LoadReport> {
        self.parse_load(head.fields.single("Srv-Load")?)
    }

    pub(crate) fn parse_load(&self, text: &str) -> Option<LoadReport> {
        load_report::decode_pairs(text, &self.load_fields)
    }
}
