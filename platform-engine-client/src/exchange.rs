//! One exchange: sends a request over a pooled or new connection and reads the head of the response.

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

/// Time limit for writing a request. A request states how much time remains for it. If writing takes longer than this
/// limit, the stated time is outdated, so the request is aborted before its last byte is written.
const MAX_WRITE_TIME: Duration = Duration::from_millis(100);

/// The destination of a request, and the conditions under which the request is sent.
#[derive(Clone, Copy)]
pub(crate) struct Route<'a> {
    /// The address of the model server.
    pub(crate) address: SocketAddr,
    /// Time limit for establishing the connection and writing the request.
    pub(crate) connect_timeout: Duration,
    /// True if a KV cache is reserved while the request is sent. The server must then prove that its process runs.
    pub(crate) holds_cache: bool,
    /// The request by which the server proves that its process runs, if one is available.
    pub(crate) probe: Option<&'a LivenessProbe>,
    /// True if the request must not use a pooled connection.
    pub(crate) new_connection: bool,
    /// Checks whether the request may be sent now.
    pub(crate) send_check: &'a dyn Fn() -> SendPermission,
}

/// A request to be sent.
pub(crate) struct OutgoingRequest<'a> {
    /// Encodes the request. This function is called right before writing because the request states the remaining time.
    pub(crate) encode: &'a dyn Fn() -> Vec<u8>,
    /// Called as soon as it is proved that the server has the request.
    pub(crate) on_delivered: &'a dyn Fn(),
    /// The record of the exchange's progress.
    pub(crate) trace: &'a ExchangeTrace,
}

impl OutgoingRequest<'_> {
    /// Records that a running server is proved to have the request, and notifies the caller.
    fn mark_delivered(&self) {
        self.trace.record_delivered();
        (self.on_delivered)();
    }
}

/// The result of writing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    /// The whole request was written.
    Complete,
    /// The connection broke before the last byte was written.
    Broken,
    /// The server did not read enough of the request in time, so the last byte was never written.
    TimedOut,
}

impl Connections {
    /// Sends one request. If a connection breaks before the last byte is written, the server has run nothing, so a
    /// broken pooled connection is replaced by a new one. The send check is repeated right before the first byte is
    /// written.
    pub(crate) async fn exchange(
        &self,
        route: &Route<'_>,
        request: &OutgoingRequest<'_>,
    ) -> Result<Response, AttemptEnd> {
        (route.send_check)().into_result()?;
        let started = self.now();
        if let Some(pooled) = self.check_out_for(route)
            && let Some(result) = self.exchange_on_pooled(route, request, pooled).await
        {
            return result;
        }
        let elapsed = Duration::from_nanos(self.now().saturating_sub(started));
        self.exchange_on_new(route, request, route.connect_timeout.saturating_sub(elapsed)).await
    }

    /// Takes a connection from the pool if the request may use one. While a KV cache is reserved, a pooled connection
    /// is used only if a probe is available.
    fn check_out_for(&self, route: &Route<'_>) -> Option<CheckedOut> {
        let usable = !route.new_connection && (route.probe.is_some() || !route.holds_cache);
        usable.then(|| self.check_out(route.address)).flatten()
    }

    /// Sends a request over a pooled connection. Returns `None` if the server did not answer the probe or closed the
    /// connection after the probe, or if the connection broke before the request was completely written.
    pub(crate) async fn exchange_on_pooled(
        &self,
        route: &Route<'_>,
        request: &OutgoingRequest<'_>,
        pooled: CheckedOut,
    ) -> Option<Result<Response, AttemptEnd>> {
        let CheckedOut { connection, idle_time } = pooled;
        request.trace.record_connection(ConnectionSource::Pooled);
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
        if let Err(end) = (route.send_check)().into_result() {
            self.check_in_unused(route.address, connection);
            return Some(Err(end));
        }
        match write_within(&connection, &(request.encode)(), route.connect_timeout / 2).await {
            WriteOutcome::Complete => request.trace.record_written(),
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

    /// Probes a pooled connection if a KV cache is reserved for the request. A connection accepts bytes even if the
    /// server's process has stopped or the connection has gone silent, so the request is written only after the server
    /// has answered on this connection.
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

    /// Sends a request over a new connection. The timeout covers establishing and probing the connection and writing
    /// the request.
    pub(crate) async fn exchange_on_new(
        &self,
        route: &Route<'_>,
        request: &OutgoingRequest<'_>,
        timeout: Duration,
    ) -> Result<Response, AttemptEnd> {
        let started = self.now();
        let connection = self.connect(route.address, timeout).await?;
        request.trace.record_connection(ConnectionSource::New);
        let connect_time = self.now().saturating_sub(started);
        let remaining = || timeout.saturating_sub(Duration::from_nanos(self.now().saturating_sub(started)));
        let connection = self.probe_new(route, connection, remaining()).await?;
        if let Err(end) = (route.send_check)().into_result() {
            self.check_in_unused(route.address, connection);
            return Err(end);
        }
        if write_within(&connection, &(request.encode)(), remaining()).await != WriteOutcome::Complete {
            return Err(AttemptEnd::NotConnected);
        }
        request.trace.record_written();
        if route.holds_cache {
            return self.await_with_liveness_proof(route, request, connection).await;
        }
        await_past_round_trip(request, Response::read(connection), connect_time).await
    }

    /// Probes a new connection if a KV cache is reserved for the request. A connection that the server closes after the
    /// probe is replaced.
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

    /// Waits for a response while a KV cache is reserved. The server's process may have stopped right after it answered
    /// the probe. The server's machine then still accepts the written bytes, and no error occurs. So if no response
    /// arrives within half the connect timeout, the server has to answer a probe on another connection. If the server
    /// does not answer, nothing proves that it has the request. For a slow server this costs one additional handshake,
    /// and the additional connection serves the next exchange.
    async fn await_with_liveness_proof(
        &self,
        route: &Route<'_>,
        request: &OutgoingRequest<'_>,
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
                request.mark_delivered();
                response.await
            }
            Err(Err(_)) => {
                self.close_idle(route.address);
                Err(AttemptEnd::Unproven)
            }
        }
    }

    /// Probes the server on another connection. If no probe or no connection is available, this function fails only
    /// after the time that such a probe may take, so that the server's response has as much time to arrive.
    async fn prove_liveness(&self, route: &Route<'_>) -> Result<(), AttemptEnd> {
        let timeout = route.connect_timeout;
        let Some(probe) = route.probe else {
            Timer::after(timeout).await;
            return Err(AttemptEnd::TimedOut);
        };
        match self.connect_and_probe(route.address, probe, timeout).await {
            Ok(ProbedConnection::Usable(connection)) => self.check_in_probed(route.address, connection),
            Ok(ProbedConnection::Closing) => {}
            // No connection was available on the gateway's side, which says nothing about the server.
            Err(AttemptEnd::NotSent) => {
                Timer::after(timeout).await;
                return Err(AttemptEnd::NotSent);
            }
            Err(end) => return Err(end),
        }
        Ok(())
    }
}

/// Waits for a response on a new connection. If the server's process is killed after its machine accepted the
/// connection, the machine resets the connection within one round trip. Until a round trip has passed, nothing proves
/// that the server has the request. `round_trip` is the time that establishing the connection took, in nanoseconds.
async fn await_past_round_trip(
    request: &OutgoingRequest<'_>,
    response: impl Future<Output = Result<Response, AttemptEnd>>,
    round_trip: Nanos,
) -> Result<Response, AttemptEnd> {
    let mut response = pin!(response);
    let round_trip_over = async {
        Timer::after(Duration::from_nanos(round_trip)).await;
        None
    };
    match future::or(async { Some(response.as_mut().await) }, round_trip_over).await {
        Some(Err(AttemptEnd::Reset)) => Err(AttemptEnd::Reset),
        Some(result) => {
            request.mark_delivered();
            result
        }
        None => {
            request.mark_delivered();
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
