//! Exchanges with model servers, over connections that are kept between them.

use crate::stream::Stream;
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use petrelshore::interface::{LoadReport, Nanos};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::connection_pool::ConnectionPool;
use petrelshore_http1::body::BodyDecoder;
use petrelshore_http1::connect::ConnectError;
use petrelshore_http1::connection::{ConnectionError, HttpConnection};
use petrelshore_http1::head::ResponseHead;
use petrelshore_platform_protocol::load::{self, Field};
use petrelshore_runtime::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Largest whole answer of a model server, and largest chunk of a stream: a body holds no more.
const LARGEST: usize = 256 << 10;

const MILLISECOND: Nanos = 1_000_000;
/// A request tells its server how much time its client has left. Written for longer than this it would tell too much:
/// it is broken off before its last byte.
const WRITE_WITHIN: Duration = Duration::from_millis(100);

/// Header fields that this client sets itself.
pub const SET: [&str; 3] = ["Req-Id", "Req-Deadline-Ms", "Content-Type"];

/// A request that goes to a model server as its client sent it.
pub struct AttemptRequest {
    pub address: SocketAddr,
    pub target: Bytes,
    pub id: Rc<str>,
    /// Header lines of its client, without those of `SET`.
    pub fields: Bytes,
    pub body: Bytes,
    /// How long the gateway will wait from `ordered` on.
    pub timeout: Nanos,
    /// When the attempt was decided on: what passed since then is gone from its time.
    pub decided_at: Nanos,
    /// Time for its connection and for writing it.
    pub connect_timeout: Duration,
    /// Something is held for it meanwhile: its connection, used or new, must prove in the time for a new one that its
    /// server is there.
    pub holds_cache: bool,
    /// Never on a connection that was used before.
    pub new_connection: bool,
    /// Asked right before its first byte goes out.
    pub send_check: SendCheck,
}

/// What holds of an exchange in the instant in which its first byte would go out. Its connection may have come up late,
/// and a busy loop may not have got to what was told meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    Granted,
    /// The client that it is sent for has left.
    ClientLeft,
    /// It is not to be sent any more: its server drains, has gone, moved or started anew, or its time is over.
    Denied,
}

pub type SendCheck = Rc<dyn Fn() -> SendPermission>;

/// What an exchange told, with the load that came along.
#[derive(Debug)]
pub struct Reply<T> {
    pub result: Result<T, AttemptEnd>,
    pub load: Option<LoadReport>,
}

/// A connection and its permit among all that this gateway may hold.
pub(crate) struct PooledConnection {
    pub(crate) wire: HttpConnection,
    _permit: Rc<()>,
}

pub(crate) struct Shared {
    clock: Clock,
    idle: RefCell<ConnectionPool<SocketAddr, PooledConnection>>,
    permits: Rc<()>,
    most: usize,
    pub(crate) fields: Vec<Field>,
}

#[derive(Clone)]
pub struct Client(Rc<Shared>);

impl Client {
    /// At most so many connections are open at once; servers close idle ones after `idle_for`. `fields` are the
    /// names in load reports.
    pub fn new(clock: Clock, most: usize, idle_for: Nanos, fields: Vec<Field>) -> Self {
        let idle = RefCell::new(ConnectionPool::bounded(idle_for, most));
        Client(Rc::new(Shared { clock, idle, permits: Rc::new(()), most, fields }))
    }

    /// Has a prompt read; how many of its tokens had been kept. `reached` is called once its server provably has it.
    pub async fn prefill(&self, call: &AttemptRequest, reached: &dyn Fn()) -> Reply<f64> {
        let (head, mut body, mut connection) = match self.ask(call, reached).await {
            Ok(answered) => answered,
            Err(ending) => return Reply { result: Err(ending), load: None },
        };
        let load = self.0.load_of(&head);
        let result = async {
            let text = whole(&mut connection, &mut body).await;
            if head.status != 202 {
                return Err(refusal(&head));
            }
            let text = text?;
            self.0.keep(call.address, connection, &head);
            let answer: serde_json::Value =
                serde_json::from_slice(&text).map_err(|_| AttemptEnd::Malformed)?;
            Ok(answer["cached_tokens"].as_f64().filter(|kept| kept.is_finite()).unwrap_or(0.0).max(0.0))
        };
        Reply { result: result.await, load }
    }

    /// Has an answer written. `reached` is called once its server provably has the request.
    pub async fn decode(&self, call: &AttemptRequest, reached: &dyn Fn()) -> Reply<Stream> {
        let (head, mut body, mut connection) = match self.ask(call, reached).await {
            Ok(answered) => answered,
            Err(ending) => return Reply { result: Err(ending), load: None },
        };
        let load = self.0.load_of(&head);
        if head.status == 200 {
            let stream = Stream::new(self.0.clone(), call.address, head, body, connection);
            return Reply { result: Ok(stream), load };
        }
        if whole(&mut connection, &mut body).await.is_ok() {
            self.0.keep(call.address, connection, &head);
        }
        Reply { result: Err(refusal(&head)), load }
    }

    /// Tells a model server once to let go of everything held for a request.
    /// Not once nothing is owed there any more (`may_go`): another attempt may have begun to use it.
    pub async fn release(
        &self,
        to: SocketAddr,
        id: &str,
        within: Duration,
        may_go: &dyn Fn() -> SendPermission,
    ) -> Result<(), AttemptEnd> {
        let message = || format!("DELETE /kv/leases/{id} HTTP/1.1\r\nHost: {to}\r\n\r\n").into_bytes();
        let told = async {
            let way = Way { to, connect_within: within, held: false, fresh: false, may_go };
            let answered = match self.exchange(&way, &message, &|| {}).await {
                // A used connection broke under it. It may be told twice.
                Err(AttemptEnd::Reset) => {
                    let way = Way { fresh: true, ..way };
                    self.exchange(&way, &message, &|| {}).await
                }
                answered => answered,
            };
            let (head, mut body, mut connection) = answered?;
            whole(&mut connection, &mut body).await?;
            self.0.keep(to, connection, &head);
            if head.status == 204 { Ok(()) } else { Err(AttemptEnd::ErrorStatus { status: head.status }) }
        };
        let late = async {
            Timer::after(within).await;
            Err(AttemptEnd::TimedOut)
        };
        future::or(told, late).await
    }

    /// Drops connections to servers that are no longer listed.
    pub fn retain_endpoints(&self, listed: impl Fn(&SocketAddr) -> bool) {
        self.0.idle.borrow_mut().remove(|address| !listed(address));
    }

    /// Connections that are open, and those of them that wait for an exchange.
    pub fn connection_counts(&self) -> (usize, usize) {
        (Rc::strong_count(&self.0.permits) - 1, self.0.idle.borrow().idle())
    }

    async fn ask(&self, call: &AttemptRequest, reached: &dyn Fn()) -> Result<Answered, AttemptEnd> {
        let target = std::str::from_utf8(&call.target).map_err(|_| AttemptEnd::NotConnected)?;
        let (to, id, length) = (call.address, &call.id, call.body.len());
        // Told as it goes out: what its task and its connection waited is gone by then.
        let message = || {
            let wait =
                call.timeout.saturating_sub(self.0.clock.now().saturating_sub(call.decided_at)) / MILLISECOND;
            let head = format!(
                "POST {target} HTTP/1.1\r\nHost: {to}\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {wait}\r\n\
                 Content-Type: application/json\r\nContent-Length: {length}\r\n"
            );
            [head.as_bytes(), &call.fields, b"\r\n", &call.body].concat()
        };
        let AttemptRequest {
            connect_timeout: connect_within, holds_cache: held, new_connection: fresh, ..
        } = *call;
        let way = Way { to, connect_within, held, fresh, may_go: &*call.send_check };
        self.exchange(&way, &message, reached).await
    }

    /// Sends one request. Where a connection breaks before the last byte is written, nothing has run: if it had been
    /// used before, a new one carries the request. Whether it may go is asked in the instant before its first byte.
    async fn exchange(
        &self,
        way: &Way<'_>,
        message: &dyn Fn() -> Vec<u8>,
        reached: &dyn Fn(),
    ) -> Result<Answered, AttemptEnd> {
        let Way { to, connect_within, held, fresh, may_go } = *way;
        stopped(may_go())?;
        let pooled = if fresh { None } else { self.0.pooled(to) };
        if let Some((connection, waited)) = pooled {
            let written = written_within(&connection, &message(), connect_within / 2).await;
            if written == Written::Late {
                self.0.idle.borrow_mut().remove(|server| *server == to);
                return Err(AttemptEnd::NotConnected);
            }
            if written == Written::Whole {
                let answered = match held {
                    true => self.proven(way, answered(connection), reached).await,
                    false => answered(connection).await,
                };
                let now = self.0.clock.now();
                match answered {
                    Err(AttemptEnd::Reset) => self.0.idle.borrow_mut().reuse_failed(now, to, waited),
                    Err(_) => {}
                    Ok(_) => self.0.idle.borrow_mut().reuse_succeeded(now),
                }
                return answered;
            }
            self.0.idle.borrow_mut().reuse_failed(self.0.clock.now(), to, waited);
        }
        let asked = self.0.clock.now();
        let connection = self.0.connect(to, connect_within).await?;
        let took = self.0.clock.now().saturating_sub(asked);
        if let Err(ending) = stopped(may_go()) {
            self.0.idle.borrow_mut().check_in_unused(self.0.clock.now(), to, connection);
            return Err(ending);
        }
        let left = connect_within.saturating_sub(Duration::from_nanos(took));
        if written_within(&connection, &message(), left).await != Written::Whole {
            return Err(AttemptEnd::NotConnected);
        }
        if held {
            // It may have fallen silent right after it came up.
            return self.proven(way, answered(connection), reached).await;
        }
        // A server that was killed once its machine had taken the connection resets it within the time of one way
        // there and back, which the connection took too: before that nothing proves that it had the request.
        let mut answer = pin!(answered(connection));
        let survived = async {
            Timer::after(Duration::from_nanos(took)).await;
            None
        };
        match future::or(async { Some(answer.as_mut().await) }, survived).await {
            Some(Err(AttemptEnd::Reset)) => Err(AttemptEnd::Reset),
            Some(answered) => {
                reached();
                answered
            }
            None => {
                reached();
                answer.await
            }
        }
    }

    /// Waits for an answer on a connection that may lead to a machine that has gone silent: what is written to it then
    /// never arrives, and nothing tells. So where no answer comes soon, another connection has to come up as
    /// a proof that the machine is there; where none does, the request counts as broken off. A slow server pays for it
    /// with one handshake, and the connection serves the next exchange.
    async fn proven(
        &self,
        way: &Way<'_>,
        answer: impl Future<Output = Result<Answered, AttemptEnd>>,
        reached: &dyn Fn(),
    ) -> Result<Answered, AttemptEnd> {
        let mut answer = pin!(answer);
        let soon = way.connect_within / 2;
        let proof = async {
            Timer::after(soon).await;
            Err(self.0.connect(way.to, soon).await)
        };
        match future::or(async { Ok(answer.as_mut().await) }, proof).await {
            Ok(answered) => answered,
            Err(Ok(connection)) => {
                reached();
                self.0.idle.borrow_mut().check_in_unused(self.0.clock.now(), way.to, connection);
                answer.await
            }
            // No connection was free to prove it with, which says nothing of the server. But what is held waits unproven.
            Err(Err(AttemptEnd::NotSent)) => {
                let late = async {
                    Timer::after(soon).await;
                    Err(AttemptEnd::Reset)
                };
                future::or(answer, late).await
            }
            Err(Err(_)) => {
                self.0.idle.borrow_mut().remove(|server| *server == way.to);
                Err(AttemptEnd::Reset)
            }
        }
    }
}

/// How a request gets to its server.
#[derive(Clone, Copy)]
struct Way<'a> {
    to: SocketAddr,
    connect_within: Duration,
    held: bool,
    fresh: bool,
    may_go: &'a dyn Fn() -> SendPermission,
}

/// What became of writing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    Whole,
    /// Its connection broke before the last byte.
    Broke,
    /// Its server took too little of it in the time: its last byte was never written.
    Late,
}

async fn written_within(connection: &PooledConnection, message: &[u8], within: Duration) -> Written {
    let written = async {
        match connection.wire.write_all(message).await {
            Ok(()) => Written::Whole,
            Err(_) => Written::Broke,
        }
    };
    let late = async {
        Timer::after(within.min(WRITE_WITHIN)).await;
        Written::Late
    };
    future::or(written, late).await
}

type Answered = (ResponseHead, BodyDecoder, PooledConnection);

fn stopped(go: SendPermission) -> Result<(), AttemptEnd> {
    match go {
        SendPermission::Granted => Ok(()),
        SendPermission::ClientLeft => Err(AttemptEnd::ReturnedUnsent),
        SendPermission::Denied => Err(AttemptEnd::NotSent),
    }
}

impl Shared {
    fn pooled(&self, to: SocketAddr) -> Option<(PooledConnection, Nanos)> {
        self.idle.borrow_mut().check_out(self.clock.now(), to, |connection| connection.wire.is_reusable())
    }

    /// A new connection. Where all permits are taken, the one that was idle for longest makes room; where none was, that
    /// is no fault of the server.
    async fn connect(&self, to: SocketAddr, within: Duration) -> Result<PooledConnection, AttemptEnd> {
        let full = || Rc::strong_count(&self.permits) > self.most;
        if full() && !self.idle.borrow_mut().close_oldest_idle() {
            return Err(AttemptEnd::NotSent);
        }
        let permit = self.permits.clone();
        let wire = HttpConnection::connect(to, within).await.map_err(|why| match why {
            ConnectError::LocalResources => AttemptEnd::NotSent,
            ConnectError::Unreachable => AttemptEnd::NotConnected,
        })?;
        Ok(PooledConnection { wire, _permit: permit })
    }

    /// Takes a connection back whose exchange is over, unless something came on it unasked.
    pub(crate) fn keep(&self, to: SocketAddr, connection: PooledConnection, head: &ResponseHead) {
        if head.keep_alive && connection.wire.buffer.is_empty() {
            self.idle.borrow_mut().check_in(self.clock.now(), to, connection);
        }
    }

    fn load_of(&self, head: &ResponseHead) -> Option<LoadReport> {
        load::pairs(head.fields.single("Srv-Load")?, &self.fields)
    }
}

async fn answered(mut connection: PooledConnection) -> Result<Answered, AttemptEnd> {
    let head = connection.wire.read_response_head().await.map_err(ending)?;
    let body = BodyDecoder::new(head.framing, LARGEST as u64);
    Ok((head, body, connection))
}

pub(crate) fn ending(broken: ConnectionError) -> AttemptEnd {
    match broken {
        ConnectionError::Malformed(_) => AttemptEnd::Malformed,
        ConnectionError::Closed => AttemptEnd::Reset,
    }
}

/// The whole body of an answer, within its bound.
async fn whole(connection: &mut PooledConnection, body: &mut BodyDecoder) -> Result<BytesMut, AttemptEnd> {
    let mut data = BytesMut::new();
    while !body.decode(&mut connection.wire.buffer, &mut data).map_err(|_| AttemptEnd::Malformed)? {
        if data.len() > LARGEST {
            return Err(AttemptEnd::Malformed);
        }
        match connection.wire.read_more().await {
            Ok(()) => {}
            Err(ConnectionError::Closed) if body.may_end_at_close() => break,
            Err(broken) => return Err(ending(broken)),
        }
    }
    Ok(data)
}

/// Only the mark proves that nothing ran, and only with the status that it belongs to.
fn refusal(head: &ResponseHead) -> AttemptEnd {
    match (head.status, head.fields.single("Srv-Declined")) {
        (503 | 504, Some("1")) => AttemptEnd::AtCapacity,
        (410, Some("1")) => AttemptEnd::KvCacheMissing,
        (status, _) => AttemptEnd::ErrorStatus { status },
    }
}
