//! One exchange: a request over a pooled or new connection, up to the head of its response.

use crate::connections::{CheckedOut, Connections, PooledConnection};
use crate::liveness::{LivenessProbe, ProbedConnection};
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
    /// A KV cache is held for the request meanwhile, so its server must prove that it runs.
    pub(crate) holds_cache: bool,
    /// How it proves that.
    pub(crate) probe: Option<&'a LivenessProbe>,
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
        let started = self.now();
        if let Some(pooled) = self.check_out_for(route)
            && let Some(result) = self.exchange_on_pooled(route, request, pooled).await
        {
            return result;
        }
        let elapsed = Duration::from_nanos(self.now().saturating_sub(started));
        self.exchange_on_new(route, request, route.connect_timeout.saturating_sub(elapsed)).await
    }

    /// A pooled connection, if one may be used: while a cache is held, none that can't be probed.
    fn check_out_for(&self, route: &Route<'_>) -> Option<CheckedOut> {
        let usable = !route.new_connection && (route.probe.is_some() || !route.holds_cache);
        usable.then(|| self.check_out(route.address)).flatten()
    }

    /// Sends a request over a pooled connection. Returns none if the connection broke, or did not prove that its server
    /// runs, before the request was written.
    pub(crate) async fn exchange_on_pooled(
        &self,
        route: &Route<'_>,
        request: &Outgoing<'_>,
        pooled: CheckedOut,
    ) -> Option<Result<Response, AttemptEnd>> {
        let CheckedOut { connection, idle_time } = pooled;
        request.trace.connected(ConnectionSource::Pooled);
        let connection = match self.probe_pooled(route, connection).await {
            Ok(ProbedConnection::Usable(connection)) => connection,
            Ok(ProbedConnection::Closing) => return None,
            Err(AttemptEnd::TimedOut) => {
                self.close_idle(route.address);
                return None;
            }
            Err(_) => {
                self.reuse_failed(route.address, idle_time);
                return None;
            }
        };
        if let Err(end) = (route.send_check)().require() {
            self.check_in_unused(route.address, connection);
            return Some(Err(end));
        }
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
        let result = match route.holds_cache {
            true => self.await_with_liveness_proof(route, request, connection).await,
            false => Response::read(connection).await,
        };
        match result {
            Err(AttemptEnd::Reset) => self.reuse_failed(route.address, idle_time),
            Err(_) => {}
            Ok(_) => self.reuse_succeeded(),
        }
        Some(result)
    }

    /// While a cache is held, the request goes to no connection on which its server does not answer: what is written to
    /// a stopped process, or to a connection that has fallen silent, is accepted like anything else.
    async fn probe_pooled(
        &self,
        route: &Route<'_>,
        connection: PooledConnection,
    ) -> Result<ProbedConnection, AttemptEnd> {
        match route.probe.filter(|_| route.holds_cache) {
            Some(probe) => self.probe(connection, route.address, probe, route.connect_timeout / 2).await,
            None => Ok(ProbedConnection::Usable(connection)),
        }
    }

    /// Sends a request over a new connection, which is established, and probed, within the timeout.
    pub(crate) async fn exchange_on_new(
        &self,
        route: &Route<'_>,
        request: &Outgoing<'_>,
        timeout: Duration,
    ) -> Result<Response, AttemptEnd> {
        let started = self.now();
        let connection = self.connect(route.address, timeout).await?;
        request.trace.connected(ConnectionSource::New);
        let connect_time = self.now().saturating_sub(started);
        let remaining = || timeout.saturating_sub(Duration::from_nanos(self.now().saturating_sub(started)));
        let connection = self.probe_new(route, connection, remaining()).await?;
        if let Err(end) = (route.send_check)().require() {
            self.check_in_unused(route.address, connection);
            return Err(end);
        }
        if write_within(&connection, &(request.encode)(), remaining()).await != WriteOutcome::Complete {
            return Err(AttemptEnd::NotConnected);
        }
        request.trace.written();
        if route.holds_cache {
            return self.await_with_liveness_proof(route, request, connection).await;
        }
        await_past_round_trip(request, Response::read(connection), connect_time).await
    }

    /// The same for a new connection. One that its server closes after the probe is replaced.
    async fn probe_new(
        &self,
        route: &Route<'_>,
        connection: PooledConnection,
        timeout: Duration,
    ) -> Result<PooledConnection, AttemptEnd> {
        let Some(probe) = route.probe.filter(|_| route.holds_cache) else { return Ok(connection) };
        match self.probe(connection, route.address, probe, timeout).await {
            Ok(ProbedConnection::Usable(connection)) => Ok(connection),
            Ok(ProbedConnection::Closing) => self.connect(route.address, timeout).await,
            Err(_) => Err(AttemptEnd::Unresponsive),
        }
    }

    /// Waits for a response while a KV cache is held. The server may have stopped right after its probe: then its machine
    /// still accepts what is written, and no error shows. So if no response comes soon, the server has to answer once
    /// more, on another connection; if it does not, nothing proves that it has the request. A slow server pays one
    /// handshake for it, and the connection serves the next exchange.
    async fn await_with_liveness_proof(
        &self,
        route: &Route<'_>,
        request: &Outgoing<'_>,
        connection: PooledConnection,
    ) -> Result<Response, AttemptEnd> {
        let mut response = pin!(Response::read_after_probe(connection));
        let proof = async {
            Timer::after(route.connect_timeout / 2).await;
            Err(self.prove_liveness(route).await)
        };
        match future::or(async { Ok(response.as_mut().await) }, proof).await {
            Ok(result) => result,
            Err(Ok(())) => {
                request.delivered();
                response.await
            }
            Err(Err(_)) => {
                self.close_idle(route.address);
                Err(AttemptEnd::Unproven)
            }
        }
    }

    /// Has the server answer on another connection. What can't be probed is awaited for as long.
    async fn prove_liveness(&self, route: &Route<'_>) -> Result<(), AttemptEnd> {
        let timeout = route.connect_timeout;
        let Some(probe) = route.probe else {
            Timer::after(timeout).await;
            return Err(AttemptEnd::TimedOut);
        };
        match self.connect_and_probe(route.address, probe, timeout).await {
            Ok(ProbedConnection::Usable(connection)) => self.check_in_probed(route.address, connection),
            Ok(ProbedConnection::Closing) => {}
            // No connection was available, which says nothing about the server.
            Err(AttemptEnd::NotSent) => {
                Timer::after(timeout).await;
                return Err(AttemptEnd::NotSent);
            }
            Err(end) => return Err(end),
        }
        Ok(())
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
