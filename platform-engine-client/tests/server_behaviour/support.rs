//! Clients, requests and listeners for the tests.

use bytes::Bytes;
use futures_lite::future;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_platform_engine_client::{AttemptRequest, Client, LivenessProbe, SendPermission};
use petrelshore_platform_protocol::load_report::{Field, Measure};
use petrelshore_runtime::Clock;
use std::cell::Cell;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn client(max_connections: usize) -> Client {
    let load = Field { name: "x0".to_owned(), measure: Measure::MemoryShare };
    Client::new(Clock::start(), max_connections, 15_000_000_000, vec![load])
}

pub fn request(address: SocketAddr) -> AttemptRequest {
    AttemptRequest {
        address,
        target: Bytes::from("/v1/chat/completions?a=b"),
        id: "00000000000000aa".into(),
        fields: Bytes::new(),
        body: Bytes::from("{}"),
        timeout: 5_000_000_000,
        decided_at: Clock::start().now(),
        connect_timeout: Duration::from_secs(5),
        holds_cache: false,
        probe: Some(LivenessProbe::ReleaseFinished { request_id: "00000000000000ff".into() }),
        new_connection: false,
        send_check: Rc::new(|| SendPermission::Granted),
        trace: Rc::default(),
    }
}

/// The request of [`request`], but with a KV cache reserved while it is sent, and with a connect timeout of 400 ms.
pub fn request_holding_cache(address: SocketAddr) -> AttemptRequest {
    let connect_timeout = Duration::from_millis(400);
    AttemptRequest { holds_cache: true, connect_timeout, ..request(address) }
}

/// Sends a decode request. Returns all events that were received and how the stream ended. Panics after
/// [`TEST_TIMEOUT`].
pub async fn read_stream(client: &Client, address: SocketAddr) -> (String, Result<(), AttemptEnd>) {
    let mut forwarded = String::new();
    let ended = async {
        let mut stream = client.decode(&request(address), &|| {}).await.result?;
        while let Some(events) = stream.next().await? {
            forwarded.push_str(std::str::from_utf8(&events).unwrap());
        }
        Ok(())
    };
    let timeout = async {
        async_io::Timer::after(TEST_TIMEOUT).await;
        panic!("the stream has not ended within the test timeout")
    };
    let ended = future::or(ended, timeout).await;
    (forwarded, ended)
}

/// Waits until the pool may reuse an idle connection. By then, bytes that arrive late after a response have been
/// received.
pub async fn wait_until_reusable() {
    async_io::Timer::after(Duration::from_millis(150)).await;
}

/// A listener that accepts connections only after [`BlockedListener::open`]. Until then its backlog is full, and
/// further connections hang.
pub struct BlockedListener {
    listener: TcpListener,
    pub address: SocketAddr,
    backlog: Vec<TcpStream>,
}

impl BlockedListener {
    pub fn start() -> BlockedListener {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        rustix::net::listen(&listener, 0).unwrap();
        let address = listener.local_addr().unwrap();
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        BlockedListener { backlog: (0..4).map_while(connect).collect(), listener, address }
    }

    /// Accepts the connections in the backlog and the connection that hung behind them. Returns the latter.
    pub fn open(self) -> TcpStream {
        for _ in &self.backlog {
            self.listener.accept().unwrap();
        }
        self.listener.accept().unwrap().0
    }
}

/// Reads a connection until its end and returns all received bytes.
pub fn read_to_end(mut stream: TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    received
}

/// Runs blocking work on a separate thread and waits for its result.
pub async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = async_channel::bounded(1);
    std::thread::spawn(move || sender.send_blocking(work()));
    receiver.recv().await.unwrap()
}

/// Sends a prefill request. Returns how it ended, or `None` if it succeeded or did not end within the time limit, and
/// whether the request was reported as delivered.
pub fn prefill_within(
    client: &Client,
    attempt: &AttemptRequest,
    time_limit: Duration,
) -> (Option<AttemptEnd>, bool) {
    let delivered = Cell::new(false);
    let on_delivered = || delivered.set(true);
    let ended = async { client.prefill(attempt, &on_delivered).await.result.err() };
    let timeout = async {
        async_io::Timer::after(time_limit).await;
        None
    };
    let ended = async_io::block_on(future::or(ended, timeout));
    (ended, delivered.get())
}
