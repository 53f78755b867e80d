//! Connections to model servers, pooled between exchanges.

use async_net::TcpStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::connection_pool::ConnectionPool;
use petrelshore_http1::connect::{ConnectError, connect};
use petrelshore_http1::io_retry::RetryingStream;
use petrelshore_runtime::Spawner;
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The sending half of a connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// The maximum size of the head of a response.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// The connections of one client to its model servers.
pub(crate) struct Pool {
    spawner: Spawner,
    started: Instant,
    idle: RefCell<ConnectionPool<SocketAddr, Sender>>,
}

/// A connection from the pool.
pub(crate) struct CheckedOut {
    pub(crate) sender: Sender,
    /// Time for which the connection was idle, in nanoseconds.
    pub(crate) idle_time: Nanos,
}

impl Pool {
    pub(crate) fn new(spawner: Spawner) -> Self {
        Pool { spawner, started: Instant::now(), idle: RefCell::default() }
    }

    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Takes an idle connection out of the pool. The connection appears open, but its server may have closed it.
    pub(crate) fn check_out(&self, address: SocketAddr) -> Option<CheckedOut> {
        let pooled = self.idle.borrow_mut().check_out(self.now(), address, Sender::is_ready)?;
        let (sender, idle_time) = (pooled.connection, pooled.idle_for);
        Some(CheckedOut { sender, idle_time })
    }

    /// Records that a response has arrived on a pooled connection.
    pub(crate) fn reuse_succeeded(&self) {
        self.idle.borrow_mut().reuse_succeeded(self.now());
    }

    /// Records that a pooled connection broke during its request.
    pub(crate) fn reuse_failed(&self, address: SocketAddr, idle_time: Nanos) {
        self.idle.borrow_mut().reuse_failed(self.now(), address, idle_time);
    }

    /// Opens a connection within the timeout.
    pub(crate) async fn connect(&self, address: SocketAddr, timeout: Duration) -> Result<Sender, AttemptEnd> {
        let stream = connect(address, timeout).await.map_err(|error| match error {
            ConnectError::LocalResources => AttemptEnd::NotSent,
            ConnectError::Unreachable => AttemptEnd::NotConnected,
        })?;
        let stream = TcpStream::from(stream);
        // Disables Nagle's algorithm, which would delay small messages.
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        let handshake = builder
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(FuturesIo::new(RetryingStream::new(stream)))
            .await;
        let (sender, connection) = handshake.map_err(|_| AttemptEnd::NotConnected)?;
        let driver = async move {
            // An error on the connection is reported by the exchange that uses the connection.
            let _ = connection.await;
        };
        self.spawner.run(driver);
        Ok(sender)
    }

    /// Spawns a background task of a connection.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.spawner.run(task);
    }

    /// Returns a connection to the pool after a complete exchange.
    pub(crate) fn check_in(&self, address: SocketAddr, sender: Sender) {
        if !sender.is_closed() {
            self.idle.borrow_mut().check_in(self.now(), address, sender);
        }
    }

    /// Closes the idle connections to addresses that are not listed.
    pub(crate) fn retain(&self, listed: impl Fn(&SocketAddr) -> bool) {
        self.idle.borrow_mut().remove(|address| !listed(address));
    }
}
