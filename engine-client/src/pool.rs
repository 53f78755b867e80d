//! Connections to model servers, kept open between exchanges.

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

pub type Sender = SendRequest<Full<Bytes>>;

/// Most of a response's head: more is no model server.
const HEAD: usize = 64 << 10;

pub struct Pool {
    spawner: Spawner,
    started: Instant,
    idle: RefCell<ConnectionPool<SocketAddr, Sender>>,
}

impl Pool {
    pub fn new(spawner: Spawner) -> Self {
        Pool { spawner, started: Instant::now(), idle: RefCell::default() }
    }

    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// A connection that was used before and is open as far as can be told, and how long it was idle.
    pub fn pooled(&self, to: SocketAddr) -> Option<(Sender, Nanos)> {
        self.idle.borrow_mut().check_out(self.now(), to, Sender::is_ready)
    }

    /// An answer has come on a pooled connection.
    pub fn held(&self) {
        self.idle.borrow_mut().reuse_succeeded(self.now());
    }

    /// A pooled connection broke under its request.
    pub fn broke(&self, to: SocketAddr, idle: Nanos) {
        self.idle.borrow_mut().reuse_failed(self.now(), to, idle);
    }

    /// A new connection, or none within the time.
    pub async fn connect(&self, to: SocketAddr, within: Duration) -> Result<Sender, AttemptEnd> {
        let stream = connect(to, within).await.map_err(|why| match why {
            ConnectError::LocalResources => AttemptEnd::NotSent,
            ConnectError::Unreachable => AttemptEnd::NotConnected,
        })?;
        let stream = TcpStream::from(stream);
        // Tokens are small and must not wait for each other.
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        let handshake =
            builder.max_buf_size(HEAD).handshake(FuturesIo::new(RetryingStream::new(stream))).await;
        let (sender, connection) = handshake.map_err(|_| AttemptEnd::NotConnected)?;
        let driven = async move {
            // Its end shows at the exchange that runs on it.
            let _ = connection.await;
        };
        self.spawner.run(driven);
        Ok(sender)
    }

    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        self.spawner.run(work);
    }

    /// Takes a connection back whose exchange is over.
    pub fn keep(&self, to: SocketAddr, sender: Sender) {
        if !sender.is_closed() {
            self.idle.borrow_mut().check_in(self.now(), to, sender);
        }
    }

    /// Drops what is kept for servers that are no longer listed.
    pub fn keep_only(&self, listed: impl Fn(&SocketAddr) -> bool) {
        self.idle.borrow_mut().remove(|address| !listed(address));
    }
}
