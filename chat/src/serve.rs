//! Connections of clients, and the way of one request through the front.

use crate::reply::{self, Chunks, Error, Reply, Retry};
use crate::request::{self, Chat, Head, Wrong};
use crate::stall::StallGuard;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, future, stream};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::service::service_fn;
use hyper::{Method, Request};
use petrelshore::interface::Nanos;
use petrelshore_conductor::{intake, pace};
use petrelshore_gateway::{Answer, Final, Gateway, Next};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::Cell;
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
    let open = Rc::new(Cell::new(0usize));
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
        if open.get() >= gateway.settings().limits.connections {
            spawner.run(turn_away(stream));
            continue;
        }
        open.set(open.get() + 1);
        let open = open.clone();
        let connection = async move {
            connection(stream, peer, gateway).await;
            open.set(open.get() - 1);
        };
        spawner.run(connection);
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

async fn connection(stream: TcpStream, peer: SocketAddr, gateway: Gateway) {
    // Tokens are small and must not wait for each other.
    let _ = stream.set_nodelay(true);
    let client = intake::stable_id(&peer.ip().to_string());
    let head_time = Duration::from_nanos(gateway.settings().limits.body_time);
    let within = Duration::from_nanos(pace::stalled_for()) + CLOSE_AFTER;
    let service = service_fn(move |request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(route(request, client, gateway).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(SmolTimer::new()).header_read_timeout(head_time).max_buf_size(HEAD).max_headers(FIELDS);
    let io = FuturesIo::new(StallGuard::new(stream, within));
    if let Err(error) = builder.serve_connection(io, service).await {
        debug!(%error, %peer, "client connection ended");
    }
}

async fn route(request: Request<Incoming>, client: u64, gateway: Gateway) -> Reply {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            chat(request, client, gateway).await.unwrap_or_else(|error| error.reply())
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
async fn chat(request: Request<Incoming>, client: u64, gateway: Gateway) -> Result<Reply, Error> {
    let arrived = gateway.clock().now();
    let settings = gateway.settings();
    let headers = request.headers().clone();
    let head = head(&headers);
    let tenant = request::caller(settings, &head)?;
    let body = body(request.into_body(), settings.limits.body_bytes, settings.limits.body_time).await?;
    let Chat { ask, include_usage } = request::decode(settings, &head, tenant, client, arrived, &body)?;
    drop(body);
    let (model, streamed) = (ask.model.clone(), ask.relay == petrelshore_conductor::Relay::Streamed);
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

/// The whole body, within its size and its time.
async fn body(incoming: Incoming, most: usize, within: Nanos) -> Result<Bytes, Error> {
    let too_large = || wrong(413, format!("the body is larger than {most} bytes"));
    if incoming.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let read = async {
        let body = Limited::new(incoming, most).collect().await;
        body.map(|body| body.to_bytes()).map_err(|error| match error.downcast_ref::<LengthLimitError>() {
            Some(_) => too_large(),
            None => wrong(400, "the body ended early"),
        })
    };
    let late = async {
        Timer::after(Duration::from_nanos(within)).await;
        Err(wrong(408, "the body was not whole in time"))
    };
    future::or(read, late).await
}
