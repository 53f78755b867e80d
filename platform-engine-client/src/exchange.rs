//! One exchange: a request over a pooled or new connection, up to the head of its response.

use crate::connections::{CheckedOut, Connections, PooledConnection};
use crate::request::SendPermission;
use crate::response::Response;
use crate::trace::{ConnectionSource, ExchangeTrace};
use async_io::Timer;
use futures_lite::future;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// A request states how much time its client has left. If writing takes longer than this, that statement is stale: the
/// request is aborted before its last byte.
const MAX_WRITE_TIME: Duration = Duration::from_millis(100);

/// How a request gets to its server.
#[derive(Clone, Copy)]
pub(crate) struct Route<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) connect_timeout: Duration,
    /// A KV cache is held for the request meanwhile, so its server must prove to be alive.
    pub(crate) holds_cache: bool,
    /// The request must not use a pooled connection.
    pub(crate) new_connection: bool,
    /// Asks whether the request may be sent now.
    pub(crate) send_check: &'a dyn Fn() -> SendPermission,
}

/// A request to be sent.
pub(crate) struct Outgoing<'a> {
    /// Encodes the request. It is called right before writing, since the request states the remaining time.
    pub(crate) encode: &'a dyn Fn() -> Vec<u8>,
    /// Called once the server provably has the request.
    pub(crate) on_delivered: &'a dyn Fn(),
    /// Its progress.
    pub(crate) trace: &'a ExchangeTrace,
}

impl Outgoing<'_> {
    /// A running server provably has the request.
    fn delivered(&self) {
        self.trace.delivered();
        (self.on_delivered)();
    }
}

/// How writing a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    Complete,
    /// The connection broke before the last byte was written.
    Broken,
    /// The server read too little of it in time: its last byte was never written.
    TimedOut,
}

impl Connections {
    /// Sends one request. If a connection breaks before the last byte is written, nothing has run: a pooled one is then
    /// replaced by a new one. Whether the request may be sent is asked right before its first byte.
    pub(crate) async fn exchange(
        &self,
        route: &Route<'_>,
        request: &Outgoing<'_>,
    ) -> Result<Response, AttemptEnd> {
        (route.send_check)().require()?;
        let pooled = if route.new_connection { None } else { self.check_out(route.address) };
        if let Some(pooled) = pooled
            && let Some(result) = self.exchange_on_pooled(route, request, pooled).await
        {
            return result;
        }
        self.exchange_on_new(route, request).await
    }

    /// Sends a request over a pooled connection. Returns none if the connection broke before the request was written.
    async fn exchange_on_pooled(
        &self,
        route: &Route<'_>,
        request: &Outgoing<'_>,
        pooled: CheckedOut,
    ) -> Option<Result<Response, AttemptEnd>> {
        let CheckedOut { connection, idle_time } = pooled;
        request.trace.connected(ConnectionSource::Pooled);
        match write_within(&connection, &(request.encode)(), route.connect_timeout / 2).await {
            WriteOutcome::Complete => request.trace.written(),
            WriteOutcome::Broken => {
                self.reuse_failed(route.address, idle_time);
                return None;
            }
            WriteOutcome::TimedOut => {
                self.close_idle(route.address);
                return Some(Err(AttemptEnd::NotConnected));
            }
        }
        let response = Response::read(connection);
        let result = match route.holds_cache {
            true => self.await_with_liveness_proof(route, request, response).await,
            false => response.await,
        };
        match result {
            Err(AttemptEnd::Reset) => self.reuse_failed(route.address, idle_time),
            Err(_) => {}
            Ok(_) => self.reuse_succeeded(),
        }
        Some(result)
    }

    /// Sends a request over a new connection.
    async fn exchange_on_new(
        &self,
        route: &Route<'_>,
        request: &Outgoing<'_>,
    ) -> Result<Response, AttemptEnd> {
        let started = self.now();
        let connection = self.connect(route.address, route.connect_timeout).await?;
        request.trace.connected(ConnectionSource::New);
        let connect_time = self.now().saturating_sub(started);
        if let Err(end) = (route.send_check)().require() {
            self.check_in_unused(route.address, connection);
            return Err(end);
        }
        let remaining = route.connect_timeout.saturating_sub(Duration::from_nanos(connect_time));
        if write_within(&connection, &(request.encode)(), remaining).await != WriteOutcome::Complete {
            return Err(AttemptEnd::NotConnected);
        }
        request.trace.written();
        let response = Response::read(connection);
        if route.holds_cache {
            // The server may have fallen silent right after the connection was established.
            return self.await_with_liveness_proof(route, request, response).await;
        }
        await_past_round_trip(request, response, connect_time).await
    }

    /// Waits for a response on a connection whose other machine may have fallen silent: what is written to it then never
    /// arrives, and no error shows. So if no response comes soon, another connection has to be established as a proof
    /// that the machine is alive; if that fails, the request counts as reset. A slow server pays one handshake for
    /// it, and the connection serves the next exchange.
    async fn await_with_liveness_proof(
        &self,
        route: &Route<'_>,
        request: &Outgoing<'_>,
        response: impl Future<Output = Result<Response, AttemptEnd>>,
    ) -> Result<Response, AttemptEnd> {
        let mut response = pin!(response);
        let proof_timeout = route.connect_timeout / 2;
        let proof = async {
            Timer::after(proof_timeout).await;
            Err(self.connect(route.address, proof_timeout).await)
        };
        match future::or(async { Ok(response.as_mut().await) }, proof).await {
            Ok(result) => result,
            Err(Ok(connection)) => {
                request.delivered();
                self.check_in_unused(route.address, connection);
                response.await
            }
            // No connection was available for the proof, which says nothing about the server. But the KV cache is held
            // without a proof meanwhile.
            Err(Err(AttemptEnd::NotSent)) => {
                let timed_out = async {
                    Timer::after(proof_timeout).await;
                    Err(AttemptEnd::Reset)
                };
                future::or(response, timed_out).await
            }
            Err(Err(_)) => {
                self.close_idle(route.address);
                Err(AttemptEnd::Reset)
            }
        }
    }
}

/// Waits for a response on a new connection. If a server is killed after its machine accepted the connection, the machine
/// resets it within one round trip, which establishing the connection took too: until then nothing proves that the
/// server had the request.
async fn await_past_round_trip(
    request: &Outgoing<'_>,
    response: impl Future<Output = Result<Response, AttemptEnd>>,
    round_trip: Nanos,
) -> Result<Response, AttemptEnd> {
    let mut response = pin!(response);
    let survived = async {
        Timer::after(Duration::from_nanos(round_trip)).await;
        None
    };
    match future::or(async { Some(response.as_mut().await) }, survived).await {
        Some(Err(AttemptEnd::Reset)) => Err(AttemptEnd::Reset),
        Some(result) => {
            request.delivered();
            result
        }
        None => {
            request.delivered();
            response.await
        }
    }
}

/// Writes a request within the timeout and [`MAX_WRITE_TIME`].
async fn write_within(connection: &PooledConnection, message: &[u8], timeout: Duration) -> WriteOutcome {
    let write = async {
        match connection.http.write_all(message).await {
            Ok(()) => WriteOutcome::Complete,
            Err(_) => WriteOutcome::Broken,
        }
    };
    let timed_out = async {
        Timer::after(timeout.min(MAX_WRITE_TIME)).await;
        WriteOutcome::TimedOut
    };
    future::or(write, timed_out).await
}
