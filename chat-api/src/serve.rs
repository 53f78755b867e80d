//! Serves client connections and routes each request to its handler.

use crate::error::ApiError;
use crate::response::ApiResponse;
use crate::{chat, models};
use async_net::TcpStream;
use futures_lite::AsyncWriteExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request};
use petrelshore_chat_gateway::Gateway;
use petrelshore_ingress::call::truncated;
use petrelshore_ingress::error::{RequestError, RequestErrorKind};
use petrelshore_ingress::listener::{ClientGuard, Ingress, Listener, stall_timeout};
use petrelshore_ingress::stall::StallGuard;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

const MAX_REQUEST_HEAD_BYTES: usize = 32 << 10;
const MAX_HEADER_FIELDS: usize = 64;
const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
const MODELS_PATH: &str = "/v1/models";
const MODEL_PATH_PREFIX: &str = "/v1/models/";

/// Serves clients until the returned future is dropped. Connections run on the gateway's executor.
pub async fn serve(listener: Listener, ingress: Ingress) {
    let gateway = ingress.gateway.clone();
    let handle_client = move |stream, client| serve_connection(stream, client, gateway.clone());
    ingress.serve(listener, handle_client, reject).await;
}

/// Rejects a connection over the connection limit with a short response, without reading the request.
async fn reject(mut stream: TcpStream) {
    let body = r#"{"error":{"message":"too many connections","type":"server_error","code":"overloaded"}}"#;
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\n\
         x-should-retry: true\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(response.as_bytes()).await;
    let _ = stream.close().await;
}

async fn serve_connection(stream: TcpStream, client: ClientGuard, gateway: Gateway) {
    let (peer, client) = (client.peer, Rc::new(client));
    let head_timeout = Duration::from_nanos(gateway.settings().limits.body_time);
    let service = service_fn(move |request| {
        let (gateway, client) = (gateway.clone(), client.clone());
        async move { Ok::<_, Infallible>(respond(request, &client, &gateway).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(MAX_REQUEST_HEAD_BYTES)
        .max_headers(MAX_HEADER_FIELDS);
    let io = FuturesIo::new(StallGuard::new(stream, stall_timeout()));
    if let Err(error) = builder.serve_connection(io, service).await {
        debug!(%error, %peer, "client connection closed");
    }
}

async fn respond(request: Request<Incoming>, client: &ClientGuard, gateway: &Gateway) -> ApiResponse {
    route(request, client, gateway).await.unwrap_or_else(|error| error.response())
}

async fn route(
    request: Request<Incoming>,
    client: &ClientGuard,
    gateway: &Gateway,
) -> Result<ApiResponse, ApiError> {
    let path = request.uri().path().to_owned();
    let headers = request.headers();
    match (request.method(), path.as_str()) {
        (&Method::POST, CHAT_COMPLETIONS_PATH) => Ok(chat::complete(request, client, gateway).await?),
        (&Method::GET, MODELS_PATH) => models::list(headers, gateway),
        (&Method::GET, path) if path.starts_with(MODEL_PATH_PREFIX) => {
            models::get(headers, gateway, &path[MODEL_PATH_PREFIX.len()..])
        }
        (method, CHAT_COMPLETIONS_PATH | MODELS_PATH) => {
            let message = format!("{method} is not allowed at {path}");
            Err(RequestError::new(RequestErrorKind::UnknownMethod, message).into())
        }
        _ => {
            let message = format!("unknown path: {}", truncated(&path));
            Err(RequestError::new(RequestErrorKind::UnknownPath, message).into())
        }
    }
}
