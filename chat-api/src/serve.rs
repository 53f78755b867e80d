//! Connections of clients, and the way of one request through the front.

use crate::reply::{self, Chunks, Error, Reply};
use crate::request::{self, Chat};
use async_io::Timer;
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, future, stream};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::service::service_fn;
use hyper::{Method, Request};
use petrelshore::interface::Nanos;
use petrelshore_chat_gateway::{Answer, FinalAnswer, Gateway, Next};
use petrelshore_gateway_core::capacity::WHOLE_ANSWER;
use petrelshore_gateway_core::error_response::{ErrorCause, ErrorResponse, Retry};
use petrelshore_gateway_core::{FailureReason, Relay};
use petrelshore_ingress::call::{self, CallContext};
use petrelshore_ingress::error::{CallError, RequestError, RequestErrorKind};
use petrelshore_ingress::listener::{BodyReservation, ClientGuard, Ingress, Listener, stall_timeout};
use petrelshore_ingress::metadata::{self, CallMetadata};
use petrelshore_ingress::stall::StallGuard;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

/// Most of a request's head, and most header fields in it.
const HEAD: usize = 32 << 10;
const FIELDS: usize = 64;

/// Serves clients for as long as it is polled. Connections run where the gateway's tasks run.
pub async fn serve(listener: Listener, ingress: Ingress) {
    let gateway = ingress.gateway.clone();
    let connected = move |stream, inside| connection(stream, inside, gateway.clone());
    ingress.serve(listener, connected, reject).await;
}

/// More clients than the gateway may hold are told so, in few bytes and without reading theirs.
async fn reject(mut stream: TcpStream) {
    let body = r#"{"error":{"message":"too many connections","type":"server_error","code":"overloaded"}}"#;
    let full = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\n\
         x-should-retry: true\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(full.as_bytes()).await;
    let _ = stream.close().await;
}

async fn connection(stream: TcpStream, inside: ClientGuard, gateway: Gateway) {
    let (peer, inside) = (inside.peer, Rc::new(inside));
    let head_time = Duration::from_nanos(gateway.settings().limits.body_time);
    let service = service_fn(move |request| {
        let (gateway, inside) = (gateway.clone(), inside.clone());
        async move { Ok::<_, Infallible>(route(request, inside, gateway).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(SmolTimer::new()).header_read_timeout(head_time).max_buf_size(HEAD).max_headers(FIELDS);
    let io = FuturesIo::new(StallGuard::new(stream, stall_timeout()));
    if let Err(error) = builder.serve_connection(io, service).await {
        debug!(%error, %peer, "client connection ended");
    }
}

async fn route(request: Request<Incoming>, inside: Rc<ClientGuard>, gateway: Gateway) -> Reply {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            chat(request, &inside, gateway).await.unwrap_or_else(|failed| Error::from(failed).reply())
        }
        (&Method::GET, "/v1/models") => models(request.headers(), &gateway, None),
        (&Method::GET, path) if path.starts_with("/v1/models/") => {
            models(request.headers(), &gateway, path.strip_prefix("/v1/models/"))
        }
        (_, "/v1/chat/completions" | "/v1/models") => {
            wrong(RequestErrorKind::UnknownMethod, format!("{} is not allowed at {path}", request.method()))
        }
        _ => wrong(RequestErrorKind::UnknownPath, format!("there is nothing at {}", call::truncated(&path))),
    }
}

fn wrong(what: RequestErrorKind, message: impl Into<String>) -> Reply {
    Error::from(RequestError::new(what, message)).reply()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn head(headers: &HeaderMap) -> CallMetadata<'_> {
    CallMetadata::from_fields(|name| text(headers, name))
}

fn models(headers: &HeaderMap, gateway: &Gateway, one: Option<&str>) -> Reply {
    if let Err(wrong) = metadata::authenticate(gateway.settings(), &head(headers)) {
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
            None => wrong(RequestErrorKind::UnknownPath, "this model does not exist here"),
        },
    }
}

/// The way of one chat request: its body whole, understood, taken, answered.
async fn chat(
    request: Request<Incoming>,
    inside: &ClientGuard,
    gateway: Gateway,
) -> Result<Reply, CallError> {
    let arrived = gateway.clock().now();
    let settings = gateway.settings();
    let headers = request.headers().clone();
    let head = request::abandon_time(head(&headers), text(&headers, "x-abandon-ms"))?;
    let tenant = metadata::authenticate(settings, &head)?;
    let (body, room) = body(request.into_body(), inside, settings.limits.body_time).await?;
    let Chat { call, include_usage } = request::decode(&body)?;
    let context =
        CallContext { settings, metadata: &head, tenant, client: inside.client, arrived_at: arrived };
    let ask = context.prepare(call)?;
    drop((body, room));
    let (model, streamed) = (ask.request.model.clone(), ask.request.relay == Relay::Streamed);
    let mut answer = gateway.accept(ask)?;
    let id = format!("chatcmpl-{:016x}", answer.id().0);
    let created = call::unix_seconds(arrived);
    let mut reply = if streamed {
        // The status waits for the first token: a sequence that is rejected must not look begun.
        let first = answer.next().await;
        if let Some(Next::FinalAnswer(last)) = &first
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
            Next::FinalAnswer(last) => part.push_str(&chunks.closing(&last)),
        }
        Some((Bytes::from(part), (answer, chunks, None, String::new())))
    })
}

async fn whole(mut answer: Answer, id: &str, created: u64, model: &str) -> Reply {
    let mut gathered = String::new();
    while let Some(next) = answer.next().await {
        match next {
            Next::Text(text) => gathered.push_str(&text),
            Next::FinalAnswer(FinalAnswer::Completed { finish_reason: finish, usage }) => {
                let body = reply::completion(id, created, model, &gathered, &finish, usage);
                return reply::json_reply(200, &body);
            }
            Next::FinalAnswer(last) => {
                if let Some(error) = reply::error_of(&last) {
                    return error.reply();
                }
            }
        }
        if gathered.len() > WHOLE_ANSWER {
            break;
        }
    }
    Error::from(ErrorResponse {
        cause: ErrorCause::Aborted(FailureReason::AnswerTooLarge),
        retry: Retry::Never,
    })
    .reply()
}

/// The whole body, within its size, its time, and what there is room for.
async fn body(
    mut incoming: Incoming,
    inside: &ClientGuard,
    within: Nanos,
) -> Result<(Vec<u8>, BodyReservation), CallError> {
    let mut room = inside.reserve_body();
    let read = async {
        let told = usize::try_from(incoming.size_hint().lower()).unwrap_or(usize::MAX);
        room.grow_to(told)?;
        let mut whole = Vec::with_capacity(told);
        while let Some(frame) = incoming.frame().await {
            let frame =
                frame.map_err(|_| RequestError::new(RequestErrorKind::Malformed, "the body ended early"))?;
            let bytes = frame.into_data().unwrap_or_default();
            room.grow_to(whole.len() + bytes.len())?;
            whole.extend_from_slice(&bytes);
        }
        Ok(whole)
    };
    let late = async {
        Timer::after(Duration::from_nanos(within)).await;
        Err(CallError::from(RequestError::new(
            RequestErrorKind::ReceiveTimeout,
            "the body was not whole in time",
        )))
    };
    let whole = future::or(read, late).await?;
    Ok((whole, room))
}
