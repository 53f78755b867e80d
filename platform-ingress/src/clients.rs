//! Accepts the connections of clients, and rejects connections beyond the limit.

use crate::connection::serve;
use crate::registry::{CloseSignal, ConnectionContext, Registry};
use crate::response;
use async_io::Timer;
use futures_lite::future;
use petrelshore_gateway_core::client_connections::{Admission, ConnectionId, FULL_MIN_SILENCE};
use petrelshore_http1::connection::HttpConnection;
use petrelshore_ingress::listener::{AcceptedClient, Listener};
use petrelshore_platform_gateway::PlatformGateway;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::debug;

/// The number of connections that are accepted before other tasks get their turn.
const ACCEPTS_PER_TURN: usize = 8;

/// The clients of one gateway. Clones share the same connections.
#[derive(Clone)]
pub struct Clients(Rc<Registry>);

impl Clients {
    /// Allows at most `max_connections` open connections, and limits request bodies to a part of `memory_bytes`.
    pub fn new(gateway: PlatformGateway, max_connections: usize, memory_bytes: usize) -> Self {
        Clients(Rc::new(Registry::new(gateway, max_connections, memory_bytes)))
    }

    /// Accepts connections for as long as the future is polled.
    pub async fn serve(self, listener: Listener) {
        loop {
            for _ in 0..ACCEPTS_PER_TURN {
                let accepted = listener.accept().await;
                self.admit_or_reject(&listener, accepted).await;
            }
            // During a flood of new connections, the connections that are already admitted get their turn.
            future::yield_now().await;
        }
    }

    async fn admit_or_reject(&self, listener: &Listener, accepted: AcceptedClient) {
        let AcceptedClient { stream, backlogged_since, .. } = accepted;
        let mut admission = self.0.admit();
        if admission == Admission::RetrySoon {
            listener.mark_backlog();
            Timer::after(Duration::from_nanos(FULL_MIN_SILENCE)).await;
            admission = self.0.admit();
        }
        let http = HttpConnection::new(stream);
        match admission {
            Admission::Admitted(id) => self.start(id, http, backlogged_since),
            Admission::RetrySoon | Admission::Full => self.reject(listener, http).await,
        }
    }

    /// Starts a task that serves an admitted connection.
    fn start(&self, id: ConnectionId, http: HttpConnection, backlogged_since: Option<Instant>) {
        let (peer, close_signal) = (http.peer(), Rc::new(CloseSignal::default()));
        let (registry, own_signal) = (self.0.clone(), close_signal.clone());
        let task = self.0.gateway().spawner().spawn(async move {
            let context = ConnectionContext { registry: &registry, id, close_signal: &own_signal };
            serve(context, backlogged_since, http).await;
            registry.remove(id);
        });
        if let Some(task) = task {
            self.0.insert(id, peer, close_signal, task);
        }
    }

    /// Sends an error response on a connection beyond the limit and closes it. Returns once another connection may be
    /// rejected.
    async fn reject(&self, listener: &Listener, mut http: HttpConnection) {
        debug!("connection rejected");
        self.0.rejection_started();
        let registry = self.0.clone();
        self.0.gateway().spawner().run(async move {
            if http.write_all(response::too_many_connections().as_bytes()).await.is_ok() {
                http.lingering_close().await;
            }
            drop(http);
            registry.rejection_finished();
        });
        listener.mark_backlog();
        self.0.wait_for_rejection_capacity().await;
    }

    /// Closes idle connections. Every response that starts from now on announces that its connection closes.
    pub fn begin_shutdown(&self) {
        self.0.begin_shutdown();
    }

    /// Waits until no connection is left.
    pub async fn until_empty(&self) {
        self.0.until_empty().await;
    }

    /// Returns whether no connection is left, including those that were rejected or are still closing.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of admitted connections.
    pub fn connections(&self) -> usize {
        self.0.len()
    }
}
