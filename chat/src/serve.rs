//! Connections of clients, and the way of one request through the front.

use crate::reply::{self, Chunks, Error, Reply, Retry};
use crate::request::{self, Chat, Head, Wrong};
use crate::stall::StallGuard;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, future, stream};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::service::service_fn;
use hyper::{Method, Request};
use petrelshore::interface::Nanos;
use petrelshore_conductor::doors::{Doors, Shut};
use petrelshore_conductor::{intake, pace};
use petrelshore_gateway::{Answer, Final, Gateway, Next};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

/// Most of a request's head, and most header fields in it.
const HEAD: usize = 32 << 10;
const FIELDS: usize = 64;
/// Whole answers are gathered in memory up to this; no answer's most tokens come near it.
const WHOLE_ANSWER: usize = 8 << 20;
/// Past the conductor's own bound for a client that takes nothing, its socket is closed.
const CLOSE_AFTER: Duration = Duration::from_secs(2);
/// When to come back to a gateway that is busy reading.
const SOON: Nanos = 1_000_000_000;
/// After a failed accept, as when file handles run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A front that listens.
pub struct Listening {
    listener: TcpListener,
    pub address: SocketAddr,
}

pub async fn bind(address: SocketAddr) -> std::io::Result<Listening> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    Ok(Listening { listener, address })
}

/// Serves clients for as long as it is polled. Connections run where the gateway's tasks run.
pub async fn serve(listening: Listening, gateway: Gateway) {
    let limits = gateway.settings().limits;
    let doors = Rc::new(RefCell::new(Doors::new(limits.connections, limits.body_bytes)));
    loop {
        let (stream, peer) = match listening.listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                debug!(%error, "accept failed");
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        let spawner = gateway.spawner().clone();
        let client = intake::stable_id(&peer.ip().to_string());
        if doors.borrow_mut().connect(client).is_err() {
            spawner.run(turn_away(stream));
            continue;
        }
        let inside = Inside { doors: doors.clone(), client };
        spawner.run(connection(stream, peer, inside, gateway));
    }
}

/// A client's place inside; dropping it is leaving.
struct Inside {
    doors: Rc<RefCell<Doors>>,
    client: u64,
}

impl Drop for Inside {
    fn drop(&mut self) {
        self.doors.borrow_mut().leave(self.client);
    }
}

/// Bytes of a body that is being read; dropping it gives their room back.
struct Reading {
    doors: Rc<RefCell<Doors>>,
    client: u64,
    bytes: usize,
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.doors.borrow_mut().less(self.client, self.bytes);
    }
}

/// More clients than the gateway may hold are told so, in few bytes and without reading theirs.
async fn turn_away(mut stream: TcpStream) {
    let body = r#"{"error":{"message":"too many connections","type":"server_error","code":"overloaded"}}"#;
    let full = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\n\
         x-should-retry: true\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let write = async {
        let _ = stream.write_all(full.as_bytes()).await;
        let _ = stream.close().await;
    };
    let late = async {
        Timer::after(CLOSE_AFTER).await;
    };
    future::or(write, late).await;
}

async fn connection(stream: TcpStream, peer: SocketAddr, inside: Inside, gateway: Gateway) {
    // Tokens are small and must not wait for each other.
    let _ = stream.set_nodelay(true);
    let inside = Rc::new(inside);
    let head_time = Duration::from_nanos(gateway.settings().limits.body_time);
    let within = Duration::from_nanos(pace::stalled_for()) + CLOSE_AFTER;
    let service = service_fn(move |request| {
        let (gateway, inside) = (gateway.clone(), inside.clone());
        async move { Ok::<_, Infallible>(route(request, inside, gateway).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(SmolTimer::new()).header_read_timeout(head_time).max_buf_size(HEAD).max_headers(FIELDS);
    let io = FuturesIo::new(StallGuard::new(stream, within));
    if let Err(error) = builder.serve_connection(io, service).await {
        debug!(%error, %peer, "client connection ended");
    }
}

async fn route(request: Request<Incoming>, inside: Rc<Inside>, gateway: Gateway) -> Reply {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            chat(request, &inside, gateway).await.unwrap_or_else(|error| error.reply())
        }
        (&Method::GET, "/v1/models") => models(request.headers(), &gateway, None),
        (&Method::GET, path) if path.starts_with("/v1/models/") => {
            models(request.headers(), &gateway, path.strip_prefix("/v1/models/"))
        }
        (_, "/v1/chat/completions" | "/v1/models") => {
            wrong(405, format!("{} is not allowed at {path}", request.method())).reply()
        }
        _ => wrong(404, format!("there is nothing at {}", path.chars().take(64).collect::<String>())).reply(),
    }
}

fn wrong(status: u16, message: impl Into<String>) -> Error {
    Wrong { status, message: message.into(), param: None, code: None }.into()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn head(headers: &HeaderMap) -> Head<'_> {
    Head {
        authorization: text(headers, "authorization"),
        idempotency_key: text(headers, "idempotency-key"),
        session: text(headers, "x-session-id"),
        traffic: text(headers, "x-traffic-type"),
        abandon_ms: text(headers, "x-abandon-ms"),
    }
}

fn models(headers: &HeaderMap, gateway: &Gateway, one: Option<&str>) -> Reply {
    if let Err(wrong) = request::caller(gateway.settings(), &head(headers)) {
        return Error::from(wrong).reply();
    }
    let names = gateway.settings().traffic.iter().flat_map(|traffic| traffic.models.iter());
    let entry = |name: &String| serde_json::json!({ "id": name, "object": "model", "created": 0, "owned_by": "petrelshore" });
    match one {
        None => {
            let all: Vec<_> = names.map(entry).collect();
            reply::json_reply(200, &serde_json::json!({ "object": "list", "data": all }))
        }
        Some(one) => match names.into_iter().find(|name| name.as_str() == one) {
            Some(name) => reply::json_reply(200, &entry(name)),
            None => wrong(404, "this model does not exist here").reply(),
        },
    }
}

/// The way of one chat request: its body whole, understood, taken, answered.
async fn chat(request: Request<Incoming>, inside: &Inside, gateway: Gateway) -> Result<Reply, Error> {
    let arrived = gateway.clock().now();
    let settings = gateway.settings();
    let headers = request.headers().clone();
    let head = head(&headers);
    let tenant = request::caller(settings, &head)?;
    let (body, room) = body(request.into_body(), inside, settings.limits.body_time).await?;
    let Chat { ask, include_usage } =
        request::decode(settings, &head, tenant, inside.client, arrived, &body)?;
    drop((body, room));
    let (model, streamed) =
        (ask.request.model.clone(), ask.request.relay == petrelshore_conductor::Relay::Streamed);
    let mut answer = gateway.take(ask)?;
    let id = format!("chatcmpl-{:016x}", answer.id().0);
    let created = arrived / 1_000_000_000;
    let mut reply = if streamed {
        // The status waits for the first token: a sequence that is rejected must not look begun.
        let first = answer.next().await;
        if let Some(Next::Final(last)) = &first
            && let Some(error) = reply::error_of(last)
        {
            return Ok(error.reply());
        }
        let chunks = Chunks::new(&id, created, &model, include_usage);
        reply::event_reply(Box::pin(events(answer, chunks, first)))
    } else {
        whole(answer, &id, created, &model).await
    };
    if let Ok(id) = hyper::header::HeaderValue::from_str(&id) {
        reply.headers_mut().insert("x-request-id", id);
    }
    Ok(reply)
}

/// The events of a stream, from its first text on. The answer goes with the stream: a client that leaves drops it.
fn events(answer: Answer, chunks: Chunks, first: Option<Next>) -> impl stream::Stream<Item = Bytes> {
    let opening = chunks.opening();
    stream::unfold((answer, chunks, first, opening), |(mut answer, chunks, first, mut part)| async move {
        let next = match first {
            Some(next) => Some(next),
            None => answer.next().await,
        };
        match next? {
            Next::Text(text) => part.push_str(&chunks.text(&text)),
            Next::Final(last) => part.push_str(&chunks.closing(&last)),
        }
        Some((Bytes::from(part), (answer, chunks, None, String::new())))
    })
}

async fn whole(mut answer: Answer, id: &str, created: u64, model: &str) -> Reply {
    let mut gathered = String::new();
    while let Some(next) = answer.next().await {
        match next {
            Next::Text(text) => gathered.push_str(&text),
            Next::Final(Final::Generated { finish, usage }) => {
                let body = reply::completion(id, created, model, &gathered, &finish, usage);
                return reply::json_reply(200, &body);
            }
            Next::Final(last) => {
                if let Some(error) = reply::error_of(&last) {
                    return error.reply();
                }
            }
        }
        if gathered.len() > WHOLE_ANSWER {
            break;
        }
    }
    let message = "aborted: the answer is larger than a whole answer may be".to_owned();
    let (kind, code) = ("server_error", Some("aborted"));
    Error { status: 502, kind, code, param: None, message, retry: Retry::Never }.reply()
}

/// The whole body, within its size, its time, and what there is room for.
async fn body(mut incoming: Incoming, inside: &Inside, within: Nanos) -> Result<(Vec<u8>, Reading), Error> {
    let mut room = Reading { doors: inside.doors.clone(), client: inside.client, bytes: 0 };
    let read = async {
        let told = usize::try_from(incoming.size_hint().lower()).unwrap_or(usize::MAX);
        room.more(told)?;
        let mut whole = Vec::with_capacity(told);
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| wrong(400, "the body ended early"))?;
            let bytes = frame.into_data().unwrap_or_default();
            room.more((whole.len() + bytes.len()).saturating_sub(room.bytes))?;
            whole.extend_from_slice(&bytes);
        }
        Ok(whole)
    };
    let late = async {
        Timer::after(Duration::from_nanos(within)).await;
        Err(wrong(408, "the body was not whole in time"))
    };
    let whole = future::or(read, late).await?;
    Ok((whole, room))
}

impl Reading {
    /// Room for so many bytes more.
    fn more(&mut self, bytes: usize) -> Result<(), Error> {
        let more = self.doors.borrow_mut().more(self.client, self.bytes, bytes);
        match more {
            Ok(()) => self.bytes += bytes,
            Err(Shut::TooLarge) => return Err(wrong(413, "the body is larger than any may be")),
            Err(Shut::Full | Shut::AddressFull) => {
                let mut full = wrong(503, "too many requests are being read");
                (full.kind, full.code, full.retry) = ("server_error", Some("overloaded"), Retry::After(SOON));
                return Err(full);
            }
        }
        Ok(())
    }
}
