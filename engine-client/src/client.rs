//! The client: prefill, decode and release requests to model servers.

use crate::decode_stream::DecodeStream;
use crate::orca::{self, Load};
use crate::pool::{Pool, Sender};
use crate::request::{CompletionRequest, PrefillResult, Reply};
use crate::wire_format::{self, PrefillResponse};
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_runtime::Spawner;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

const COMPLETIONS_PATH: &str = "/v1/completions";
const RELEASE_PATH: &str = "/v1/kv/release";
/// The maximum size of the body of a prefill, release or error response. Such a body holds only a few fields.
const MAX_BODY_BYTES: usize = 256 << 10;
/// The timeout of a release request divided by this is the timeout of its exchange on a pooled connection. The rest is
/// left for an exchange on a new connection.
const POOLED_RELEASE_DIVISOR: u32 = 2;
/// Suffix that makes a request id into the id of a probe. No server holds a KV cache for such an id.
const PROBE_SUFFIX: &str = "-probe";

/// The client of one gateway for all its model servers.
pub struct Client {
    pool: Rc<Pool>,
    /// The `user-agent` header, which names this gateway.
    user_agent: String,
}

type Message = Request<Full<Bytes>>;

/// A response whose head was received and whose body has not been read yet.
struct PendingResponse {
    response: Response<Incoming>,
    /// The connection that carries the response.
    sender: Sender,
}

/// The reason why a request got no response.
enum SendError {
    /// No byte of the request was written, so the request can be sent on another connection.
    Unsent(Box<Message>),
    /// The connection broke.
    Broken,
    /// Nothing proved in time that a running server received the request.
    Unproven,
}

/// A response whose body was read completely.
struct CompleteResponse {
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// Creates the client of the gateway with this name.
    pub fn new(spawner: Spawner, gateway_name: &str) -> Self {
        Client { pool: Rc::new(Pool::new(spawner)), user_agent: format!("petrelshore/{gateway_name}") }
    }

    /// Sends a prefill request. After a successful prefill, the prefill server holds the KV cache until the cache is
    /// fetched or released. If a KV cache is already held for the request and the server does not answer soon, a probe
    /// on another connection checks that the server runs; `on_delivered` is called when the server answers the probe.
    pub async fn prefill(
        &self,
        request: &CompletionRequest,
        on_delivered: &dyn Fn(),
    ) -> Reply<PrefillResult> {
        let PendingResponse { response, sender } =
            match self.send_completion(request, wire_format::prefill_body(request), on_delivered).await {
                Ok(pending) => pending,
                Err(end) => return Reply::failed(end),
            };
        let load = load_in_head(&response);
        let result = async {
            let response = read_body(response).await?;
            if response.status != StatusCode::OK {
                return Err(response.failure());
            }
            self.pool.check_in(request.address, sender);
            let answer: PrefillResponse =
                serde_json::from_slice(&response.body).map_err(|_| AttemptEnd::Malformed)?;
            let cached_tokens = answer.cached_tokens() as f64;
            Ok(PrefillResult { transfer_params: Rc::from(answer.kv_transfer_params), cached_tokens })
        };
        Reply { result: result.await, load }
    }

    /// Sends a decode request, for a KV cache that a prefill server holds or for the prompt itself. `on_delivered` is
    /// called in the same case as for [`Client::prefill`].
    pub async fn decode(&self, request: &CompletionRequest, on_delivered: &dyn Fn()) -> Reply<DecodeStream> {
        let PendingResponse { response, sender } =
            match self.send_completion(request, wire_format::decode_body(request), on_delivered).await {
                Ok(pending) => pending,
                Err(end) => return Reply::failed(end),
            };
        let load = load_in_head(&response);
        if response.status() != StatusCode::OK {
            let end = read_body(response).await.map(|response| response.failure());
            return Reply { result: Err(end.unwrap_or_else(|end| end)), load };
        }
        let stream = DecodeStream::new(request.address, self.pool.clone(), sender, response.into_body());
        Reply { result: Ok(stream), load }
    }

    /// Sends one release request, which asks the prefill server to free the KV caches that it holds for a request id.
    pub async fn release(
        &self,
        address: SocketAddr,
        request_id: &str,
        timeout: Duration,
    ) -> Result<(), AttemptEnd> {
        let released = async {
            let pooled = self.pool.check_out(address);
            if let Some(pooled) = pooled {
                // A pooled connection may have broken or gone silent. A release request is idempotent, so it can be
                // sent again on a new connection.
                let release = self.release_on(pooled.sender, address, request_id);
                match with_timeout(timeout / POOLED_RELEASE_DIVISOR, release).await {
                    Err(AttemptEnd::Reset | AttemptEnd::TimedOut) => {
                        self.pool.reuse_failed(address, pooled.idle_time);
                    }
                    result => return result,
                }
            }
            let sender = self.pool.connect(address, timeout).await?;
            self.release_on(sender, address, request_id).await
        };
        with_timeout(timeout, released).await
    }

    async fn release_on(
        &self,
        sender: Sender,
        address: SocketAddr,
        request_id: &str,
    ) -> Result<(), AttemptEnd> {
        let body = Bytes::from(wire_format::release_body(request_id));
        let message = self.build_message(address, RELEASE_PATH, request_id, None, body)?;
        let PendingResponse { response, sender } =
            send(sender, message).await.map_err(|_| AttemptEnd::Reset)?;
        let CompleteResponse { status, .. } = read_body(response).await?;
        self.pool.check_in(address, sender);
        match status.is_success() {
            true => Ok(()),
            false => Err(AttemptEnd::ErrorStatus { status: status.as_u16() }),
        }
    }

    /// Probes a connection if a KV cache is held for the request, and returns the connection if the server answers in
    /// time. An established connection does not prove that the server runs, because the machine of a stopped process
    /// still accepts connections and bytes. The probe is a release request for an id for which no KV cache is held.
    async fn probe(
        &self,
        request: &CompletionRequest,
        mut sender: Sender,
        timeout: Duration,
    ) -> Result<Sender, AttemptEnd> {
        if !request.holds_cache {
            return Ok(sender);
        }
        let request_id = format!("{}{PROBE_SUFFIX}", request.request_id);
        let body = Bytes::from(wire_format::release_body(&request_id));
        let message = self.build_message(request.address, RELEASE_PATH, &request_id, None, body)?;
        let answered = async {
            let pending = send(sender, message).await.map_err(|_| AttemptEnd::Reset)?;
            read_body(pending.response).await?;
            sender = pending.sender;
            sender.ready().await.map_err(|_| AttemptEnd::Reset)?;
            Ok(sender)
        };
        with_timeout(timeout, answered).await
    }

    /// Sends a request on this connection. If a KV cache is held for the request and the server does not answer soon,
    /// the server has to answer a probe on another connection, because it may have stopped since it answered the probe
    /// on this connection.
    async fn send_with_probe(
        &self,
        request: &CompletionRequest,
        sender: Sender,
        message: Message,
        on_delivered: &dyn Fn(),
    ) -> Result<PendingResponse, SendError> {
        let mut response = pin!(send(sender, message));
        if !request.holds_cache {
            return response.await;
        }
        let proof = async {
            Timer::after(request.connect_timeout / 2).await;
            let sender = self.pool.connect(request.address, request.connect_timeout).await?;
            let sender = self.probe(request, sender, request.connect_timeout).await?;
            self.pool.check_in(request.address, sender);
            Ok::<(), AttemptEnd>(())
        };
        let result = async { Ok(response.as_mut().await) };
        let proof = async { Err(with_timeout(request.connect_timeout * 3 / 2, proof).await) };
        match future::or(result, proof).await {
            Ok(result) => result,
            Err(Ok(())) => {
                on_delivered();
                response.await
            }
            Err(Err(_)) => Err(SendError::Unproven),
        }
    }

    /// Closes idle connections to servers that are no longer listed.
    pub fn retain_endpoints(&self, listed: impl Fn(&SocketAddr) -> bool) {
        self.pool.retain(listed);
    }

    /// Sends one completion request. If a pooled connection fails its probe or returns the request unwritten, the
    /// request is sent on a new connection.
    async fn send_completion(
        &self,
        request: &CompletionRequest,
        body: serde_json::Result<Vec<u8>>,
        on_delivered: &dyn Fn(),
    ) -> Result<PendingResponse, AttemptEnd> {
        let body = Bytes::from(body.map_err(|_| AttemptEnd::ReturnedUnsent)?);
        let key = request.idempotency_key.as_deref();
        let mut message =
            self.build_message(request.address, COMPLETIONS_PATH, &request.request_id, key, body)?;
        let pooled = if request.new_connection { None } else { self.pool.check_out(request.address) };
        if let Some(pooled) = pooled {
            let sent = match self.probe(request, pooled.sender, request.connect_timeout / 2).await {
                Ok(sender) => self.send_with_probe(request, sender, message, on_delivered).await,
                Err(_) => Err(SendError::Unsent(Box::new(message))),
            };
            match sent {
                Ok(pending) => {
                    self.pool.reuse_succeeded();
                    return Ok(pending);
                }
                Err(SendError::Unsent(unsent)) => message = *unsent,
                Err(SendError::Broken) => {
                    self.pool.reuse_failed(request.address, pooled.idle_time);
                    return Err(AttemptEnd::Reset);
                }
                Err(SendError::Unproven) => return Err(AttemptEnd::Unproven),
            }
        }
        let sender = self.pool.connect(request.address, request.connect_timeout).await?;
        let sender = self.probe(request, sender, request.connect_timeout / 2).await;
        let sender = sender.map_err(|_| AttemptEnd::Unresponsive)?;
        self.send_with_probe(request, sender, message, on_delivered).await.map_err(|error| match error {
            SendError::Unsent(_) => AttemptEnd::ReturnedUnsent,
            SendError::Broken => AttemptEnd::Reset,
            SendError::Unproven => AttemptEnd::Unproven,
        })
    }

    fn build_message(
        &self,
        address: SocketAddr,
        path: &str,
        request_id: &str,
        idempotency_key: Option<&str>,
        body: Bytes,
    ) -> Result<Message, AttemptEnd> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .header("endpoint-load-metrics-format", "TEXT")
            .header("x-request-id", request_id)
            .header("user-agent", &self.user_agent);
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(body)).map_err(|_| AttemptEnd::ReturnedUnsent)
    }
}

async fn send(mut sender: Sender, message: Message) -> Result<PendingResponse, SendError> {
    match sender.try_send_request(message).await {
        Ok(response) => Ok(PendingResponse { response, sender }),
        Err(mut error) => Err(match error.take_message() {
            Some(unsent) => SendError::Unsent(Box::new(unsent)),
            None => SendError::Broken,
        }),
    }
}

/// Returns the result of an exchange, or [`AttemptEnd::TimedOut`] after the timeout.
async fn with_timeout<T>(
    timeout: Duration,
    exchange: impl Future<Output = Result<T, AttemptEnd>>,
) -> Result<T, AttemptEnd> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(AttemptEnd::TimedOut)
    };
    future::or(exchange, timed_out).await
}

/// Returns the load report in the head of a response.
fn load_in_head(response: &Response<Incoming>) -> Option<Load> {
    let header = response.headers().get("endpoint-load-metrics")?;
    Some(orca::parse(header.to_str().ok()?))
}

/// Reads the complete body of a response, up to [`MAX_BODY_BYTES`]. A longer body counts as malformed.
async fn read_body(response: Response<Incoming>) -> Result<CompleteResponse, AttemptEnd> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| match error.downcast_ref::<LengthLimitError>() {
        Some(_) => AttemptEnd::Malformed,
        None => AttemptEnd::Reset,
    })?;
    Ok(CompleteResponse { status, body: body.to_bytes() })
}

impl CompleteResponse {
    /// Returns the end of an attempt that this error response proves. Status and error code must both match, because a
    /// proxy may answer with a bare 503 without knowing whether the server ran the attempt.
    fn failure(&self) -> AttemptEnd {
        match (self.status, wire_format::error_code(&self.body).as_deref()) {
            (StatusCode::SERVICE_UNAVAILABLE, Some("full")) => AttemptEnd::AtCapacity,
            (StatusCode::CONFLICT, Some("state_missing")) => AttemptEnd::KvCacheMissing,
            _ => AttemptEnd::ErrorStatus { status: self.status.as_u16() },
        }
    }
}
