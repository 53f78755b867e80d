//! The client, which sends prefill, decode and release requests to model servers.

use crate::connections::{ConnectionCounts, Connections};
use crate::exchange::{OutgoingRequest, Route};
use crate::liveness::encode_release;
use crate::request::{AttemptRequest, Reply, SendPermission};
use crate::response::Response;
use crate::stream::Stream;
use crate::trace::ExchangeTrace;
use async_io::Timer;
use futures_lite::future;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_platform_protocol::load_report::Field;
use petrelshore_runtime::Clock;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// The release timeout is divided by this number to get the time limit for an attempt on a pooled connection. The rest
/// of the timeout is left for an attempt on a new connection.
const POOLED_RELEASE_TIMEOUT_DIVISOR: u32 = 2;

/// The client through which one gateway reaches all its model servers. Clones share their connections.
#[derive(Clone)]
pub struct Client(Rc<Connections>);

impl Client {
    /// Creates a client with at most `max_connections` open connections. `idle_timeout` is the time after which servers
    /// close idle connections, in nanoseconds. `load_fields` describes the fields in load reports.
    pub fn new(clock: Clock, max_connections: usize, idle_timeout: Nanos, load_fields: Vec<Field>) -> Self {
        Client(Rc::new(Connections::new(clock, max_connections, idle_timeout, load_fields)))
    }

    /// Sends a prefill request. Returns the number of prompt tokens that the server had in its cache. `on_delivered` is
    /// called as soon as it is proved that the server has the request.
    pub async fn prefill(&self, request: &AttemptRequest, on_delivered: &dyn Fn()) -> Reply<f64> {
        let mut response = match self.send(request, on_delivered).await {
            Ok(response) => response,
            Err(end) => return Reply::failed(end),
        };
        let load = self.0.load_in_head(&response.head);
        let result = async {
            let body = response.read_body().await;
            if response.head.status != 202 {
                return Err(response.failure());
            }
            let body = body?;
            self.0.check_in(request.address, response.connection, &response.head);
            cached_tokens(&body)
        };
        Reply { result: result.await, load }
    }

    /// Sends a decode request. `on_delivered` is called as soon as it is proved that the server has the request.
    pub async fn decode(&self, request: &AttemptRequest, on_delivered: &dyn Fn()) -> Reply<Stream> {
        let mut response = match self.send(request, on_delivered).await {
            Ok(response) => response,
            Err(end) => return Reply::failed(end),
        };
        let load = self.0.load_in_head(&response.head);
        if response.head.status == 200 {
            let stream = Stream::new(self.0.clone(), request.address, response);
            return Reply { result: Ok(stream), load };
        }
        let end = response.failure();
        if response.read_body().await.is_ok() {
            self.0.check_in(request.address, response.connection, &response.head);
        }
        Reply { result: Err(end), load }
    }

    /// Sends one release request, which makes the server free everything that it holds for the request ID. The request
    /// is not sent if `send_check` reports that the release is no longer pending: another attempt may have begun to use
    /// the KV cache.
    pub async fn release(
        &self,
        address: SocketAddr,
        id: &str,
        timeout: Duration,
        send_check: &dyn Fn() -> SendPermission,
    ) -> Result<(), AttemptEnd> {
        let encode = || encode_release(address, id);
        let trace = ExchangeTrace::default();
        let request = OutgoingRequest { encode: &encode, on_delivered: &|| {}, trace: &trace };
        let exchange = async {
            send_check().into_result()?;
            let route = Route {
                address,
                connect_timeout: timeout,
                holds_cache: false,
                probe: None,
                new_connection: false,
                send_check,
            };
            let response = self.release_on_pooled(&route, &request).await;
            let response = match response {
                Some(response) => response,
                None => self.0.exchange_on_new(&route, &request, timeout).await,
            };
            let mut response = response?;
            response.read_body().await?;
            self.0.check_in(address, response.connection, &response.head);
            match response.head.status {
                204 => Ok(()),
                status => Err(AttemptEnd::ErrorStatus { status }),
            }
        };
        with_timeout(timeout, exchange).await
    }

    /// Sends a release request on a pooled connection. Returns `None` if the pool has no usable connection to the
    /// server, or if the connection broke or the server did not answer in time. The caller then sends the request on a
    /// new connection, which is safe because releases are idempotent.
    async fn release_on_pooled(
        &self,
        route: &Route<'_>,
        request: &OutgoingRequest<'_>,
    ) -> Option<Result<Response, AttemptEnd>> {
        let pooled = self.0.check_out(route.address)?;
        let exchange = async {
            let result = self.0.exchange_on_pooled(route, request, pooled).await;
            result.unwrap_or(Err(AttemptEnd::Reset))
        };
        match with_timeout(route.connect_timeout / POOLED_RELEASE_TIMEOUT_DIVISOR, exchange).await {
            Err(AttemptEnd::Reset | AttemptEnd::TimedOut) => {
                self.0.close_idle(route.address);
                None
            }
            result => Some(result),
        }
    }

    /// Closes the idle connections to servers that are not in the endpoint list.
    pub fn retain_endpoints(&self, listed: impl Fn(&SocketAddr) -> bool) {
        self.0.retain(listed);
    }

    /// Returns the number of open connections and the number of idle connections among them.
    pub fn connection_counts(&self) -> ConnectionCounts {
        self.0.counts()
    }

    async fn send(&self, request: &AttemptRequest, on_delivered: &dyn Fn()) -> Result<Response, AttemptEnd> {
        let target = std::str::from_utf8(&request.target).map_err(|_| AttemptEnd::NotConnected)?;
        // The request is encoded right before it is written, so that `Req-Deadline-Ms` excludes the time spent on
        // queueing and connecting.
        let encode = || encode_request(request, target, self.0.now());
        let route = Route {
            address: request.address,
            connect_timeout: request.connect_timeout,
            holds_cache: request.holds_cache,
            probe: request.probe.as_ref(),
            new_connection: request.new_connection,
            send_check: &*request.send_check,
        };
        self.0
            .exchange(&route, &OutgoingRequest { encode: &encode, on_delivered, trace: &request.trace })
            .await
    }
}

/// Returns the result of an exchange, or [`AttemptEnd::TimedOut`] if the exchange takes longer than the timeout.
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

/// Encodes a request that is sent at `now`. `Req-Deadline-Ms` states the time that remains of the request's timeout.
fn encode_request(request: &AttemptRequest, target: &str, now: Nanos) -> Vec<u8> {
    let (address, id, length) = (request.address, &request.id, request.body.len());
    let elapsed = now.saturating_sub(request.decided_at);
    let remaining_ms = request.timeout.saturating_sub(elapsed) / NANOS_PER_MILLISECOND;
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: {address}\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {remaining_ms}\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n"
    );
    [head.as_bytes(), &request.fields, b"\r\n", &request.body].concat()
}

/// Returns the number of cached tokens that the body of a prefill response reports, or zero if the body reports none.
fn cached_tokens(body: &[u8]) -> Result<f64, AttemptEnd> {
    let response: serde_json::Value = serde_json::from_slice(body).map_err(|_| AttemptEnd::Malformed)?;
    let cached = response["cached_tokens"].as_f64().filter(|cached| cached.is_finite());
    Ok(cached.unwrap_or(0.0).max(0.0))
}
