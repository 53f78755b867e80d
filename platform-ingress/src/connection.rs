//! One client's connection: its requests, one after the other.

use crate::registry::{Clients, Ends, LARGEST_BODY};
use crate::response;
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::client_connections::{BODY_WITHIN, ConnectionId, HEAD_WITHIN};
use petrelshore_gateway_core::ingress_limits::IngressError;
use petrelshore_gateway_core::passthrough::{FinalAnswer, Rejection};
use petrelshore_http1::ParseError;
use petrelshore_http1::body::{BodyDecoder, Framing};
use petrelshore_http1::connection::{ConnectionError, HttpConnection};
use petrelshore_http1::head::RequestHead;
use petrelshore_ingress::listener::{BodyReservation, stall_timeout};
use petrelshore_platform_engine_client::OVERRIDDEN_FIELDS;
use petrelshore_platform_gateway::{Answer, Message, Next};
use petrelshore_platform_protocol::request::sequence;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::debug;

const CHAT: &str = "/v1/chat/completions";

/// An error that ends the connection: what it holds can't be trusted any further, or is not wanted.
struct Turned {
    status: u16,
    what: String,
    retry_after: Option<Nanos>,
}

impl Turned {
    fn new(status: u16, what: impl Into<String>) -> Self {
        Turned { status, what: what.into(), retry_after: None }
    }
}

fn turned<T>(status: u16, what: impl Into<String>) -> Result<T, Turned> {
    Err(Turned::new(status, what))
}

/// Since when the time of a request counts.
#[derive(Clone, Copy)]
struct Since {
    /// For reading it: a new connection has to bring its first request from its start on.
    began: Nanos,
    /// For its client's deadline: its first byte was here, though it may have waited behind another request.
    came: Nanos,
}

/// What became of waiting for a request.
enum Came {
    Head(RequestHead),
    Turned(Turned),
    /// Nothing more will come.
    Left,
}

/// Why a connection ends. It is logged with the connection's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// Its client has closed it, ended its sending, or it broke.
    ByClient,
    /// No request came for too long.
    Idle,
    /// Its place went to another.
    Evicted,
    /// The gateway stops.
    Stopping,
    /// What came can't be served, or not now.
    TurnedAway,
    /// Its answer said that no other follows.
    Announced,
    /// Its client has to see that its answer is not whole.
    CutShort,
    /// Its client took nothing for too long, or broke the connection under its answer.
    Unwritable,
}

/// What becomes of a connection after a request.
type GoesOn = Result<(), Close>;

/// Serves a connection until it ends. However it does, it is ended in one order: what comes after the last answer is
/// never sent on, and what was written arrives.
/// Its first request may have come from `backlogged_since` on, where connections had to wait before they were taken.
pub async fn serve(
    clients: &Clients,
    connection: ConnectionId,
    ends: &Ends,
    backlogged_since: Option<Instant>,
    mut wire: HttpConnection,
) {
    debug!(connection = connection.0, "came");
    // What does not lie there yet comes later, however long its connection has waited.
    let backlogged_since = backlogged_since.filter(|_| wire.peer().has_unread_bytes());
    let why = exchanges(clients, connection, ends, backlogged_since, &mut wire).await;
    debug!(connection = connection.0, ?why, "ends");
    clients.connection_table().borrow_mut().closing(connection);
    wire.lingering_close().await;
}

async fn exchanges(
    clients: &Clients,
    connection: ConnectionId,
    ends: &Ends,
    mut backlogged_since: Option<Instant>,
    wire: &mut HttpConnection,
) -> Close {
    let clock = clients.service().clock();
    let mut opened = Some(clock.now());
    loop {
        if let Err(why) = first_byte(clients, connection, ends, wire).await {
            return why;
        }
        let began = opened.take().unwrap_or_else(|| clock.now());
        let came = wire.first_byte_received_at().into_iter().chain(backlogged_since.take()).min();
        let came = came.map_or(began, |came| clock.at(came));
        clients.connection_table().borrow_mut().request_started(connection);
        let head = match head(clients, began, wire).await {
            Came::Head(head) => head,
            Came::Turned(turned) => return reject(connection, wire, turned).await,
            Came::Left => return Close::ByClient,
        };
        match request(clients, connection, ends, Since { began, came }, &head, wire).await {
            Ok(Ok(())) => {}
            Ok(Err(why)) => return why,
            Err(turned) => return reject(connection, wire, turned).await,
        }
        clients.connection_table().borrow_mut().idle(clock.now(), connection);
    }
}

/// Waits for the next request to begin, or says why the connection ends first. One that its client has closed behind
/// requests that were sent ahead has ended: nobody waits for their answers. A byte that is there as the wait ends begins
/// a request all the same, also where its place was given away: what is read is answered.
async fn first_byte(
    clients: &Clients,
    connection: ConnectionId,
    ends: &Ends,
    wire: &mut HttpConnection,
) -> Result<(), Close> {
    if !wire.buffer.is_empty() {
        return if wire.peer().has_closed() { Err(Close::ByClient) } else { Ok(()) };
    }
    let within = Duration::from_nanos(clients.connection_table().borrow().idle_deadline(connection));
    let late = async {
        Timer::after(within).await;
        Err(Close::Idle)
    };
    let told = async {
        clients.told_to_end(connection, ends).await;
        Err(if ends.evicted() { Close::Evicted } else { Close::Stopping })
    };
    let came = async { wire.read_more().await.map_err(|_| Close::ByClient) };
    match future::or(came, future::or(told, late)).await {
        Err(_) if wire.peer().has_unread_bytes() && wire.read_more().await.is_ok() => Ok(()),
        came => came,
    }
}

async fn head(clients: &Clients, began: Nanos, wire: &mut HttpConnection) -> Came {
    let late = async {
        Timer::at(clients.service().clock().instant(began + HEAD_WITHIN)).await;
        Came::Turned(Turned::new(408, "the head was not whole in time"))
    };
    let whole = async {
        match wire.read_request_head().await {
            Ok(head) => Came::Head(head),
            Err(ConnectionError::Malformed(what @ ParseError::HeadTooLong)) => {
                Came::Turned(Turned::new(431, what.to_string()))
            }
            Err(ConnectionError::Malformed(what)) => Came::Turned(Turned::new(400, what.to_string())),
            Err(ConnectionError::Closed) => Came::Left,
        }
    };
    future::or(whole, late).await
}

/// The way of one request: its body whole, understood, taken, answered. Says whether the connection goes on.
async fn request(
    clients: &Clients,
    connection: ConnectionId,
    ends: &Ends,
    since: Since,
    head: &RequestHead,
    wire: &mut HttpConnection,
) -> Result<GoesOn, Turned> {
    let target = std::str::from_utf8(&head.target).unwrap_or_default();
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    match (&head.method[..], path) {
        (b"GET", "/healthz") if head.framing == Framing::Length(0) => {
            debug!(connection = connection.0, "asked whether it is ready");
            // Closed at once: those who ask this by the hundreds and stay would leave no place for the others.
            written(wire, response::brief(200, "ready\n", true, None).as_bytes()).await;
            return Ok(Err(Close::Announced));
        }
        (b"POST", CHAT) => {}
        (_, CHAT | "/healthz") => return turned(405, "this method is not allowed here"),
        _ => return turned(404, "there is nothing here"),
    }
    let late = async {
        Timer::at(clients.service().clock().instant(since.began + BODY_WITHIN)).await;
        turned(408, "the body was not whole in time")
    };
    let (body, mut room) = future::or(body(clients, connection, head, wire), late).await?;
    let fields = head.fields.forwarded(&OVERRIDDEN_FIELDS);
    room.reserve_extra(fields.len()).map_err(shut)?;
    clients.request_received(connection);
    debug!(connection = connection.0, request = head.fields.single("Req-Id"), "asks");
    serde_json::from_slice::<serde::de::IgnoredAny>(&body)
        .or_else(|_| turned(400, "the body is not JSON"))?;

    let field = |name: &str| head.fields.single(name);
    let new = sequence(field, clients.service().names(), since.came).or_else(|what| turned(400, what))?;
    let id = Rc::from(field("Req-Id").unwrap_or_default());
    let peer = wire.peer();
    if peer.has_closed() {
        debug!(connection = connection.0, "left before its request was taken");
        return Ok(Err(Close::ByClient));
    }
    let left = Rc::new(move || peer.has_closed());
    let message = Message { id, target: head.target.clone(), fields, body, room, left };
    match clients.service().accept(new, message) {
        Ok(answer) => Ok(answered(clients, ends, head, wire, answer).await),
        Err(Rejection::DuplicateId) => turned(409, "Req-Id is in hand already"),
        Err(Rejection::AtCapacity { retry_after }) => {
            Err(Turned { retry_after, ..Turned::new(503, "too many requests in hand") })
        }
    }
}

fn shut(shut: IngressError) -> Turned {
    match shut {
        IngressError::TooLarge => Turned::new(413, "the body is too large"),
        IngressError::AtCapacity | IngressError::AddressAtCapacity => Turned::new(503, "too much in hand"),
    }
}

/// The whole body, within its size and what there is room for.
async fn body(
    clients: &Clients,
    connection: ConnectionId,
    head: &RequestHead,
    wire: &mut HttpConnection,
) -> Result<(Bytes, BodyReservation), Turned> {
    let mut room = clients.reserve_body(connection);
    if let Framing::Length(told) = head.framing {
        room.grow_to(usize::try_from(told).unwrap_or(usize::MAX)).map_err(shut)?;
    }
    if head.fields.contains_token("expect", "100-continue") {
        let _ = wire.write_all(response::CONTINUE).await;
    }
    let (mut body, mut data) = (BodyDecoder::new(head.framing, LARGEST_BODY as u64), BytesMut::new());
    loop {
        match body.decode(&mut wire.buffer, &mut data) {
            Ok(true) => return Ok((data.freeze(), room)),
            Ok(false) => room.grow_to(data.len()).map_err(shut)?,
            Err(what) => return turned(400, what.to_string()),
        }
        match wire.read_more().await {
            Ok(()) => {}
            Err(_) => return turned(400, "the body ended early"),
        }
    }
}

/// Writes an answer as it comes. Its connection goes on where its head has not said otherwise and it is whole.
async fn answered(
    clients: &Clients,
    ends: &Ends,
    head: &RequestHead,
    wire: &mut HttpConnection,
    mut answer: Answer,
) -> GoesOn {
    let (mut began, mut closes) = (false, !head.keep_alive);
    loop {
        let left = async {
            wire.wait_closed(clients.pipelined_limit()).await;
            None
        };
        let next = async { Some(answer.next().await) };
        let Some(next) = future::or(next, left).await else { return Err(Close::ByClient) };
        closes |= !began && (clients.is_shutting_down() || ends.evicted());
        let told = match next {
            Next::Events(events) => {
                let before = if began { String::new() } else { response::stream(closes) };
                began = true;
                if !written(wire, &response::chunk(before, &events)).await {
                    return Err(Close::Unwritable);
                }
                continue;
            }
            Next::Last(FinalAnswer::Completed) => written(wire, response::LAST_CHUNK).await,
            // Without the last chunk, so that nobody takes it for whole.
            Next::Last(_) if began => return Err(Close::CutShort),
            Next::Last(FinalAnswer::Rejected { retry_after, .. }) => {
                let told = response::brief(503, "no room, trying again is harmless\n", closes, retry_after);
                written(wire, told.as_bytes()).await
            }
            Next::Last(FinalAnswer::Aborted { .. }) => {
                let told = response::brief(502, "the attempts failed\n", closes, None);
                written(wire, told.as_bytes()).await
            }
        };
        return match (told, closes) {
            (false, _) => Err(Close::Unwritable),
            (true, true) => Err(Close::Announced),
            (true, false) => Ok(()),
        };
    }
}

/// Writes to a client; false where it is gone or takes nothing for too long.
async fn written(wire: &HttpConnection, bytes: &[u8]) -> bool {
    let late = async {
        Timer::after(stall_timeout()).await;
        false
    };
    future::or(async { wire.write_all(bytes).await.is_ok() }, late).await
}

async fn reject(connection: ConnectionId, wire: &mut HttpConnection, turned: Turned) -> Close {
    debug!(connection = connection.0, status = turned.status, what = turned.what, "turned away");
    let told = response::brief(turned.status, &turned.what, true, turned.retry_after);
    written(wire, told.as_bytes()).await;
    Close::TurnedAway
}
