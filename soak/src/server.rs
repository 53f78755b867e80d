//! Simulates model servers and the network links to them.
//!
//! Each pair of a gateway and a server has an address of its own, so that the link between them can be cut: a cut link
//! transmits nothing on its open connections and never establishes new ones.

use crate::message::{Connection, Head, encode_chunk, read_body, read_head, write_text};
use crate::record::{Event, Exchange, ExchangeOutcome, Role, Time};
use crate::testbed::{ServerBehavior, Testbed};
use async_io::{Async, Timer};
use async_net::TcpStream;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, future};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// The listen backlog while a link is up.
const BACKLOG: i32 = 128;
/// The number of connections that fill the listen backlog of a cut link, so that a gateway can establish none.
const FILLER_CONNECTIONS: usize = 4;
/// The duration of a prefill, in milliseconds.
const PREFILL_DURATION_MS: (u64, u64) = (5, 40);
/// Time to the first event of a stream, in milliseconds.
const FIRST_EVENT_DELAY_MS: (u64, u64) = (10, 50);
/// Time between two events of a stream, in milliseconds.
const EVENT_INTERVAL_MS: (u64, u64) = (5, 60);
const MAX_EVENTS: usize = 25;
/// The probability that a server with [`ServerBehavior::ClosesIdleConnections`] closes a connection as the next request
/// arrives on the connection.
const CLOSE_IDLE_PROBABILITY: f64 = 0.3;
/// The additional time that a slow server takes for each step of its work.
const SLOW_DELAY: Duration = Duration::from_millis(500);
const PREFILL_RESPONSE: &str =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\nSrv-Load: x0=0.25\r\n\r\n{\"cached_tokens\":4}";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const STREAM_END: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\ndata: [DONE]\n\n: Srv-Load: x0=0.5\n\n";
const DECLINED_RESPONSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const CACHE_MISSING_RESPONSE: &str = "HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR_RESPONSE: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const HEALTH_CHECK_PREFIX: &str = "GET /healthz ";
const HEALTHY_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const RELEASED_RESPONSE: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// An exchange in progress. An exchange that is dropped before it ends is recorded as broken.
struct OpenExchange {
    testbed: Rc<Testbed>,
    exchange: Exchange,
    ended: bool,
}

impl OpenExchange {
    fn end(mut self, outcome: ExchangeOutcome) {
        self.ended = true;
        self.testbed.record.write(Event::ExchangeEnded { exchange: self.exchange, outcome });
    }
}

impl Drop for OpenExchange {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = ExchangeOutcome::Broken;
            self.testbed.record.write(Event::ExchangeEnded { exchange: self.exchange, outcome });
        }
    }
}

/// Serves the requests of one gateway to one server. Completes only with an I/O error of the listening socket.
pub async fn serve(testbed: Rc<Testbed>, gateway: usize, server: usize) -> io::Result<()> {
    let address = testbed.server_address(gateway, server);
    loop {
        let state = &testbed.servers[server];
        let changed = state.changed.listen();
        if state.behavior.get() == ServerBehavior::Down {
            changed.await;
            continue;
        }
        let listener = Async::<TcpListener>::bind(address)?;
        let down = async {
            loop {
                let changed = state.changed.listen();
                if state.behavior.get() == ServerBehavior::Down {
                    return Ok(());
                }
                changed.await;
            }
        };
        future::or(down, accept(&testbed, gateway, server, &listener)).await?;
    }
}

async fn accept(
    testbed: &Rc<Testbed>,
    gateway: usize,
    server: usize,
    listener: &Async<TcpListener>,
) -> io::Result<()> {
    let link = testbed.link(gateway, server);
    loop {
        let changed = link.changed.listen();
        if link.cut.get() {
            let _fillers = fill_backlog(listener, testbed.server_address(gateway, server))?;
            changed.await;
            continue;
        }
        rustix::net::listen(listener, BACKLOG)?;
        let accepted = async { Some(listener.accept().await) };
        let cut = async {
            changed.await;
            None
        };
        let Some(Ok((stream, _))) = future::or(accepted, cut).await else { continue };
        let stream = TcpStream::from(stream);
        let _ = stream.set_nodelay(true);
        let shared = testbed.clone();
        testbed.spawn(async move { serve_connection(shared, gateway, server, stream).await });
    }
}

/// Fills the listen backlog, so that the kernel establishes no further connections.
fn fill_backlog(listener: &Async<TcpListener>, address: SocketAddr) -> io::Result<Vec<rustix::fd::OwnedFd>> {
    use rustix::net::{AddressFamily, SocketFlags, SocketType, connect, socket_with};
    rustix::net::listen(listener, 0)?;
    let mut fillers = Vec::new();
    for _ in 0..FILLER_CONNECTIONS {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let filler = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
        let _ = connect(&filler, &address);
        fillers.push(filler);
    }
    Ok(fillers)
}

async fn serve_connection(testbed: Rc<Testbed>, gateway: usize, server: usize, stream: TcpStream) {
    let mut connection = BufReader::new(stream);
    let restarts = testbed.servers[server].restarts.get();
    let silences = testbed.link(gateway, server).silences.get();
    let context = ConnectionContext { testbed: &testbed, gateway, server, silences };
    let reset = {
        let served = async {
            let _ = context.serve_exchanges(&mut connection).await;
            false
        };
        let reset = async {
            context.wait_for_reset(restarts).await;
            true
        };
        future::or(served, reset).await
    };
    if reset {
        let _ = rustix::net::sockopt::set_socket_linger(connection.get_ref(), Some(Duration::ZERO));
    }
}

/// The times at which the first and the last byte of a request reached its server's host.
#[derive(Clone, Copy)]
struct ReceiveTimes {
    started_at: Time,
    received_at: Time,
}

fn is_running(testbed: &Testbed, server: usize) -> bool {
    testbed.servers[server].behavior.get() != ServerBehavior::Stopped
}

async fn wait_until_running(testbed: &Testbed, server: usize) {
    while !is_running(testbed, server) {
        let changed = testbed.servers[server].changed.listen();
        if !is_running(testbed, server) {
            changed.await;
        }
    }
}

/// Returns true if the gateway's end of the connection is closed or broken and no unread bytes are left.
async fn has_closed(connection: &mut Connection) -> bool {
    let closed = async { matches!(connection.fill_buf().await, Ok([]) | Err(_)) };
    let open = async {
        future::yield_now().await;
        false
    };
    future::or(closed, open).await
}

/// The fields of a prefill or decode request that a server needs.
struct StepRequest {
    id: u64,
    deadline: Duration,
}

impl StepRequest {
    fn from_head(head: &Head) -> Option<StepRequest> {
        let id = u64::from_str_radix(head.field("Req-Id")?, 16).ok()?;
        let deadline = head.field("Req-Deadline-Ms")?.parse().ok()?;
        Some(StepRequest { id, deadline: Duration::from_millis(deadline) })
    }
}

/// Returns the id of the request whose KV cache a release request names; zero if the id is invalid, and `None` if the
/// head is not a release request.
fn released_request(head: &Head) -> Option<u64> {
    let mut parts = head.start_line.split(' ');
    let method = parts.next()?;
    let path = parts.next().unwrap_or_default();
    let id = path.rsplit('/').next().and_then(|id| u64::from_str_radix(id, 16).ok());
    (method == "DELETE").then_some(id.unwrap_or(0))
}

/// The gateway and the server of one connection, and the state of their link when the server accepted the connection.
#[derive(Clone, Copy)]
struct ConnectionContext<'a> {
    testbed: &'a Rc<Testbed>,
    gateway: usize,
    server: usize,
    /// The value of [`Link::silences`](crate::testbed::Link::silences) when the connection was accepted.
    silences: u64,
}

impl ConnectionContext<'_> {
    /// Returns true if the connection fell silent after it was accepted.
    fn is_silent(self) -> bool {
        self.testbed.link(self.gateway, self.server).silences.get() > self.silences
    }

    fn behavior(self) -> ServerBehavior {
        self.testbed.servers[self.server].behavior.get()
    }

    /// Completes once the connection has to be reset: its server is down or has restarted, or its link was cut and
    /// restored.
    async fn wait_for_reset(self, restarts: u64) {
        let server = &self.testbed.servers[self.server];
        let link = self.testbed.link(self.gateway, self.server);
        loop {
            let (server_changed, link_changed) = (server.changed.listen(), link.changed.listen());
            if self.behavior() == ServerBehavior::Down || server.restarts.get() != restarts {
                return;
            }
            if link.cut.get() {
                return link_changed.await;
            }
            future::or(server_changed, link_changed).await;
        }
    }

    /// Never completes if the link is cut or the connection is silent; otherwise completes at once.
    async fn hang_if_unreachable(self) {
        if self.is_silent() || self.testbed.link(self.gateway, self.server).cut.get() {
            future::pending::<()>().await;
        }
    }

    async fn serve_exchanges(self, connection: &mut Connection) -> io::Result<()> {
        let testbed = self.testbed;
        let mut served = 0;
        loop {
            if connection.fill_buf().await?.is_empty() {
                return Ok(());
            }
            self.hang_if_unreachable().await;
            let started_at = testbed.record.now();
            let closes = served > 0 && self.behavior() == ServerBehavior::ClosesIdleConnections;
            if closes && testbed.random.happens(CLOSE_IDLE_PROBABILITY) {
                return Ok(());
            }
            let Some(head) = read_head(connection).await? else { return Ok(()) };
            read_body(connection, &head).await?;
            self.hang_if_unreachable().await;
            let received_at = testbed.record.now();
            let was_stopped = !is_running(testbed, self.server);
            if was_stopped {
                wait_until_running(testbed, self.server).await;
                self.hang_if_unreachable().await;
            }
            served += 1;
            if let Some(request) = released_request(&head) {
                testbed.release_cache(request);
                write_text(connection, RELEASED_RESPONSE).await?;
                continue;
            }
            if head.start_line.starts_with(HEALTH_CHECK_PREFIX) {
                write_text(connection, HEALTHY_RESPONSE).await?;
                continue;
            }
            let Some(request) = StepRequest::from_head(&head) else {
                write_text(connection, ERROR_RESPONSE).await?;
                continue;
            };
            // A process that continues after a stop notices that the gateway has closed the connection meanwhile.
            if was_stopped && has_closed(connection).await {
                return Ok(());
            }
            if !self.execute(request, ReceiveTimes { started_at, received_at }, connection).await {
                return Ok(());
            }
            self.hang_if_unreachable().await;
        }
    }

    /// Executes one request. Returns true if its connection may serve another request.
    async fn execute(self, request: StepRequest, times: ReceiveTimes, connection: &mut Connection) -> bool {
        let ReceiveTimes { started_at, received_at } = times;
        let testbed = self.testbed;
        let role = testbed.servers[self.server].role;
        testbed.mark_forwarded(request.id);
        let exchange = testbed.next_exchange();
        testbed.record.write(Event::ExchangeStarted {
            exchange,
            request: request.id,
            server: self.server,
            role,
            gateway: self.gateway,
            started_at,
            received_at,
            deadline: request.deadline,
        });
        let open = OpenExchange { testbed: testbed.clone(), exchange, ended: false };
        let outcome = match role {
            Role::Prefill => prefill(self, request.id, connection).await,
            Role::Decode => decode(self, request.id, connection).await,
        };
        open.end(outcome.as_ref().copied().unwrap_or(ExchangeOutcome::Abandoned));
        outcome.is_ok()
    }
}

/// Waits for the duration of the work, and longer while the server hangs or is stopped or the connection is silent.
/// Fails if the gateway closes the connection meanwhile.
async fn simulate_work(
    context: ConnectionContext<'_>,
    time: Duration,
    connection: &mut Connection,
) -> io::Result<()> {
    let state = &context.testbed.servers[context.server];
    let link = context.testbed.link(context.gateway, context.server);
    let extra_delay = if state.behavior.get() == ServerBehavior::Slow { SLOW_DELAY } else { Duration::ZERO };
    let finished = async {
        Timer::after(time + extra_delay).await;
        loop {
            let (changed, link_changed) = (state.changed.listen(), link.changed.listen());
            let blocked = matches!(state.behavior.get(), ServerBehavior::Hanging | ServerBehavior::Stopped);
            if !blocked && !context.is_silent() {
                return Ok(());
            }
            future::or(changed, link_changed).await;
        }
    };
    let abandoned = async {
        match connection.fill_buf().await {
            Ok([]) | Err(_) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(_) => future::pending().await,
        }
    };
    future::or(abandoned, finished).await
}

async fn prefill(
    context: ConnectionContext<'_>,
    request: u64,
    connection: &mut Connection,
) -> io::Result<ExchangeOutcome> {
    let ConnectionContext { testbed, server, .. } = context;
    let time = testbed.random.duration_ms(PREFILL_DURATION_MS.0, PREFILL_DURATION_MS.1);
    let worked = simulate_work(context, time, connection).await;
    if worked.is_err() && testbed.random.happens(0.5) {
        // The server completed the prefill just as the gateway closed the connection, and holds the KV cache.
        testbed.reserve_cache(request, server);
    }
    worked?;
    if testbed.servers[server].behavior.get() == ServerBehavior::Faulty {
        return send_faulty_response(testbed, connection).await;
    }
    testbed.reserve_cache(request, server);
    write_text(connection, PREFILL_RESPONSE).await?;
    Ok(ExchangeOutcome::Completed)
}

async fn send_faulty_response(testbed: &Testbed, connection: &mut Connection) -> io::Result<ExchangeOutcome> {
    let text = match testbed.random.below(5) {
        0 => ERROR_RESPONSE,
        1 => "\u{1}\u{2} no answer\r\n\r\n",
        2 => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        3 => {
            write_text(connection, DECLINED_RESPONSE).await?;
            return Ok(ExchangeOutcome::Declined);
        }
        _ => return Err(io::ErrorKind::ConnectionReset.into()),
    };
    write_text(connection, text).await?;
    Ok(ExchangeOutcome::Completed)
}

async fn decode(
    context: ConnectionContext<'_>,
    request: u64,
    connection: &mut Connection,
) -> io::Result<ExchangeOutcome> {
    let ConnectionContext { testbed, server, .. } = context;
    let behavior = testbed.servers[server].behavior.get();
    if behavior == ServerBehavior::Faulty && testbed.random.happens(0.5) {
        return send_faulty_response(testbed, connection).await;
    }
    simulate_work(
        context,
        testbed.random.duration_ms(FIRST_EVENT_DELAY_MS.0, FIRST_EVENT_DELAY_MS.1),
        connection,
    )
    .await?;
    if !testbed.release_cache(request) {
        write_text(connection, CACHE_MISSING_RESPONSE).await?;
        return Ok(ExchangeOutcome::Declined);
    }
    let events = 1 + testbed.random.below(MAX_EVENTS);
    let mut text = STREAM_HEAD.to_owned();
    for number in 0..events {
        let micros = testbed.record.now().as_micros();
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{number}\"}}}}],\"t\":{micros}}}\n\n"
        );
        text.push_str(&encode_chunk(&event));
        write_text(connection, &text).await?;
        text.clear();
        if behavior == ServerBehavior::Faulty && testbed.random.happens(0.1) {
            write_text(connection, "zz\r\nspoilt\r\n").await?;
            return Ok(ExchangeOutcome::Broken);
        }
        let pause = testbed.random.duration_ms(EVENT_INTERVAL_MS.0, EVENT_INTERVAL_MS.1);
        simulate_work(context, pause, connection).await?;
    }
    write_text(connection, &(encode_chunk(STREAM_END) + "0\r\n\r\n")).await?;
    Ok(ExchangeOutcome::Completed)
}
