//! Exchanges with model servers, over connections that are kept between them.

use crate::stream::Stream;
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use petrelshore::interface::{LoadReport, Nanos};
use petrelshore_chat_gateway::Clock;
use petrelshore_gateway_core::attempt_outcome::Ending;
use petrelshore_gateway_core::connection_pool::Connections;
use petrelshore_http1::body::Body;
use petrelshore_http1::connecting::Unconnected;
use petrelshore_http1::head::AnswerHead;
use petrelshore_http1::wire::{Broken, Wire};
use petrelshore_platform_protocol::load::{self, Field};
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
pub struct Call {
    pub to: SocketAddr,
    pub target: Bytes,
    pub id: Rc<str>,
    /// Header lines of its client, without those of `SET`.
    pub fields: Bytes,
    pub body: Bytes,
    /// How long the gateway will wait from `ordered` on.
    pub limit: Nanos,
    /// When the attempt was decided on: what passed since then is gone from its time.
    pub ordered: Nanos,
    /// Time for its connection and for writing it.
    pub connect_within: Duration,
    /// Something is held for it meanwhile: its connection, used or new, must prove in the time for a new one that its
    /// server is there.
    pub held: bool,
    /// Never on a connection that was used before.
    pub fresh: bool,
    /// Asked right before its first byte goes out.
    pub may_go: MayGo,
}

/// What holds of an exchange in the instant in which its first byte would go out. Its connection may have come up late,
/// and a busy loop may not have got to what was told meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Go {
    Send,
    /// The client that it is sent for has left.
    ClientLeft,
    /// It is not to be sent any more: its server drains, has gone, moved or started anew, or its time is over.
    Overtaken,
}

pub type MayGo = Rc<dyn Fn() -> Go>;

/// What an exchange told, with the load that came along.
#[derive(Debug)]
pub struct Heard<T> {
    pub result: Result<T, Ending>,
    pub load: Option<LoadReport>,
}

/// A connection and its permit among all that this gateway may hold.
pub(crate) struct PooledConnection {
    pub(crate) wire: Wire,
    _permit: Rc<()>,
}

pub(crate) struct Shared {
    clock: Clock,
    idle: RefCell<Connections<SocketAddr, PooledConnection>>,
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
        let idle = RefCell::new(Connections::bounded(idle_for, most));
        Client(Rc::new(Shared { clock, idle, permits: Rc::new(()), most, fields }))
    }

    /// Has a prompt read; how many of its tokens had been kept. `reached` is called once its server provably has it.
    pub async fn read(&self, call: &Call, reached: &dyn Fn()) -> Heard<f64> {
        let (head, mut body, mut connection) = match self.ask(call, reached).await {
            Ok(answered) => answered,
            Err(ending) => return Heard { result: Err(ending), load: None },
        };
        let load = self.0.load_of(&head);
        let result = async {
            let text = whole(&mut connection, &mut body).await;
            if head.status != 202 {
                return Err(refusal(&head));
            }
            let text = text?;
            self.0.keep(call.to, connection, &head);
            let answer: serde_json::Value = serde_json::from_slice(&text).map_err(|_| Ending::Malformed)?;
            Ok(answer["cached_tokens"].as_f64().filter(|kept| kept.is_finite()).unwrap_or(0.0).max(0.0))
        };
        Heard { result: result.await, load }
    }

    /// Has an answer written. `reached` is called once its server provably has the request.
    pub async fn write(&self, call: &Call, reached: &dyn Fn()) -> Heard<Stream> {
        let (head, mut body, mut connection) = match self.ask(call, reached).await {
            Ok(answered) => answered,
            Err(ending) => return Heard { result: Err(ending), load: None },
        };
        let load = self.0.load_of(&head);
        if head.status == 200 {
            let stream = Stream::new(self.0.clone(), call.to, head, body, connection);
            return Heard { result: Ok(stream), load };
        }
        if whole(&mut connection, &mut body).await.is_ok() {
            self.0.keep(call.to, connection, &head);
        }
        Heard { result: Err(refusal(&head)), load }
    }

    /// Tells a model server once to let go of everything held for a request.
    /// Not once nothing is owed there any more (`may_go`): another attempt may have begun to use it.
    pub async fn release(
        &self,
        to: SocketAddr,
        id: &str,
        within: Duration,
        may_go: &dyn Fn() -> Go,
    ) -> Result<(), Ending> {
        let message = || format!("DELETE /kv/leases/{id} HTTP/1.1\r\nHost: {to}\r\n\r\n").into_bytes();
        let told = async {
            let way = Way { to, connect_within: within, held: false, fresh: false, may_go };
            let answered = match self.exchange(&way, &message, &|| {}).await {
                // A used connection broke under it. It may be told twice.
                Err(Ending::Reset) => {
                    let way = Way { fresh: true, ..way };
                    self.exchange(&way, &message, &|| {}).await
                }
                answered => answered,
            };
            let (head, mut body, mut connection) = answered?;
            whole(&mut connection, &mut body).await?;
            self.0.keep(to, connection, &head);
            if head.status == 204 { Ok(()) } else { Err(Ending::Refused { status: head.status }) }
        };
        let late = async {
            Timer::after(within).await;
            Err(Ending::TimedOut)
        };
        future::or(told, late).await
    }

    /// Drops connections to servers that are no longer listed.
    pub fn keep_only(&self, listed: impl Fn(&SocketAddr) -> bool) {
        self.0.idle.borrow_mut().forget(|address| !listed(address));
    }

    /// Connections that are open, and those of them that wait for an exchange.
    pub fn open(&self) -> (usize, usize) {
        (Rc::strong_count(&self.0.permits) - 1, self.0.idle.borrow().idle())
    }

    async fn ask(&self, call: &Call, reached: &dyn Fn()) -> Result<Answered, Ending> {
        let target = std::str::from_utf8(&call.target).map_err(|_| Ending::NotConnected)?;
        let (to, id, length) = (call.to, &call.id, call.body.len());
        // Told as it goes out: what its task and its connection waited is gone by then.
        let message = || {
            let wait =
                call.limit.saturating_sub(self.0.clock.now().saturating_sub(call.ordered)) / MILLISECOND;
            let head = format!(
                "POST {target} HTTP/1.1\r\nHost: {to}\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {wait}\r\n\
                 Content-Type: application/json\r\nContent-Length: {length}\r\n"
            );
            [head.as_bytes(), &call.fields, b"\r\n", &call.body].concat()
        };
        let Call { connect_within, held, fresh, .. } = *call;
        let way = Way { to, connect_within, held, fresh, may_go: &*call.may_go };
        self.exchange(&way, &message, reached).await
    }

    /// Sends one request. Where a connection breaks before the last byte is written, nothing has run: if it had been
    /// used before, a new one carries the request. Whether it may go is asked in the instant before its first byte.
    async fn exchange(
        &self,
        way: &Way<'_>,
        message: &dyn Fn() -> Vec<u8>,
        reached: &dyn Fn(),
    ) -> Result<Answered, Ending> {
        let Way { to, connect_within, held, fresh, may_go } = *way;
        stopped(may_go())?;
        let pooled = if fresh { None } else { self.0.pooled(to) };
        if let Some((connection, waited)) = pooled {
            let written = written_within(&connection, &message(), connect_within / 2).await;
            if written == Written::Late {
                self.0.idle.borrow_mut().forget(|server| *server == to);
                return Err(Ending::NotConnected);
            }
            if written == Written::Whole {
                let answered = match held {
                    true => self.proven(way, answered(connection), reached).await,
                    false => answered(connection).await,
                };
                let now = self.0.clock.now();
                match answered {
                    Err(Ending::Reset) => self.0.idle.borrow_mut().broke(now, to, waited),
                    Err(_) => {}
                    Ok(_) => self.0.idle.borrow_mut().held(now),
                }
                return answered;
            }
            self.0.idle.borrow_mut().broke(self.0.clock.now(), to, waited);
        }
        let asked = self.0.clock.now();
        let connection = self.0.connect(to, connect_within).await?;
        let took = self.0.clock.now().saturating_sub(asked);
        if let Err(ending) = stopped(may_go()) {
            self.0.idle.borrow_mut().spare(self.0.clock.now(), to, connection);
            return Err(ending);
        }
        let left = connect_within.saturating_sub(Duration::from_nanos(took));
        if written_within(&connection, &message(), left).await != Written::Whole {
            return Err(Ending::NotConnected);
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
            Some(Err(Ending::Reset)) => Err(Ending::Reset),
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
        answer: impl Future<Output = Result<Answered, Ending>>,
        reached: &dyn Fn(),
    ) -> Result<Answered, Ending> {
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
                self.0.idle.borrow_mut().spare(self.0.clock.now(), way.to, connection);
                answer.await
            }
            // No connection was free to prove it with, which says nothing of the server. But what is held waits unproven.
            Err(Err(Ending::NotSent)) => {
                let late = async {
                    Timer::after(soon).await;
                    Err(Ending::Reset)
                };
                future::or(answer, late).await
            }
            Err(Err(_)) => {
                self.0.idle.borrow_mut().forget(|server| *server == way.to);
                Err(Ending::Reset)
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
    may_go: &'a dyn Fn() -> Go,
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
        match connection.wire.write(message).await {
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

type Answered = (AnswerHead, Body, PooledConnection);

fn stopped(go: Go) -> Result<(), Ending> {
    match go {
        Go::Send => Ok(()),
        Go::ClientLeft => Err(Ending::HandedBack),
        Go::Overtaken => Err(Ending::NotSent),
    }
}

impl Shared {
    fn pooled(&self, to: SocketAddr) -> Option<(PooledConnection, Nanos)> {
        self.idle.borrow_mut().take(self.clock.now(), to, |connection| connection.wire.quiet())
    }

    /// A new connection. Where all permits are taken, the one that was idle for longest makes room; where none was, that
    /// is no fault of the server.
    async fn connect(&self, to: SocketAddr, within: Duration) -> Result<PooledConnection, Ending> {
        let full = || Rc::strong_count(&self.permits) > self.most;
        if full() && !self.idle.borrow_mut().shed() {
            return Err(Ending::NotSent);
        }
        let permit = self.permits.clone();
        let wire = Wire::connect(to, within).await.map_err(|why| match why {
            Unconnected::Scarce => Ending::NotSent,
            Unconnected::Peer => Ending::NotConnected,
        })?;
        Ok(PooledConnection { wire, _permit: permit })
    }

    /// Takes a connection back whose exchange is over, unless something came on it unasked.
    pub(crate) fn keep(&self, to: SocketAddr, connection: PooledConnection, head: &AnswerHead) {
        if head.keeps && connection.wire.buffer.is_empty() {
            self.idle.borrow_mut().keep(self.clock.now(), to, connection);
        }
    }

    fn load_of(&self, head: &AnswerHead) -> Option<LoadReport> {
        load::pairs(head.fields.only("Srv-Load")?, &self.fields)
    }
}

async fn answered(mut connection: PooledConnection) -> Result<Answered, Ending> {
    let head = connection.wire.answer().await.map_err(ending)?;
    let body = Body::new(head.framing, LARGEST as u64);
    Ok((head, body, connection))
}

pub(crate) fn ending(broken: Broken) -> Ending {
    match broken {
        Broken::Unreadable(_) => Ending::Malformed,
        Broken::Closed => Ending::Reset,
    }
}

/// The whole body of an answer, within its bound.
async fn whole(connection: &mut PooledConnection, body: &mut Body) -> Result<BytesMut, Ending> {
    let mut data = BytesMut::new();
    while !body.decode(&mut connection.wire.buffer, &mut data).map_err(|_| Ending::Malformed)? {
        if data.len() > LARGEST {
            return Err(Ending::Malformed);
        }
        match connection.wire.more().await {
            Ok(()) => {}
            Err(Broken::Closed) if body.may_end() => break,
            Err(broken) => return Err(ending(broken)),
        }
    }
    Ok(data)
}

/// Only the mark proves that nothing ran, and only with the status that it belongs to.
fn refusal(head: &AnswerHead) -> Ending {
    match (head.status, head.fields.only("Srv-Declined")) {
        (503 | 504, Some("1")) => Ending::RefusedFull,
        (410, Some("1")) => Ending::StateMissing,
        (status, _) => Ending::Refused { status },
    }
}
