//! Connections to model servers, kept open between exchanges.

use crate::spawner::Spawner;
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use petrelshore_conductor::proof::Ending;
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub type Sender = SendRequest<Full<Bytes>>;

/// Idle connections kept for one server.
const IDLE_MOST: usize = 64;
/// Servers close idle connections after some time of their own; ones older than this are not used again.
const IDLE_FOR: Duration = Duration::from_secs(20);
/// Most of a response's head: more is no model server.
const HEAD: usize = 64 << 10;

pub struct Pool {
    spawner: Spawner,
    idle: RefCell<BTreeMap<SocketAddr, Vec<(Sender, Instant)>>>,
}

impl Pool {
    pub fn new(spawner: Spawner) -> Self {
        Pool { spawner, idle: RefCell::default() }
    }

    /// A connection that was used before and is open as far as can be told.
    pub fn pooled(&self, to: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&to)?;
        while let Some((sender, since)) = kept.pop() {
            if sender.is_ready() && since.elapsed() < IDLE_FOR {
                return Some(sender);
            }
        }
        None
    }

    /// A new connection, or none within the time.
    pub async fn connect(&self, to: SocketAddr, within: Duration) -> Result<Sender, Ending> {
        let stream =
            future::or(async { TcpStream::connect(to).await.map_err(|_| Ending::NotConnected) }, async {
                async_io::Timer::after(within).await;
                Err(Ending::NotConnected)
            });
        let stream = stream.await?;
        // Tokens are small and must not wait for each other.
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(HEAD).handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Ending::NotConnected)?;
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
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(to).or_default();
        kept.retain(|(sender, since)| !sender.is_closed() && since.elapsed() < IDLE_FOR);
        if kept.len() < IDLE_MOST {
            kept.push((sender, Instant::now()));
        }
    }

    /// Drops what is kept for servers that are no longer listed.
    pub fn keep_only(&self, listed: impl Fn(&SocketAddr) -> bool) {
        self.idle.borrow_mut().retain(|address, _| listed(address));
    }
}
