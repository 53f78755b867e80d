//! Liveness probes, which show that the process of a model server runs.
//!
//! The operating system of the server's machine establishes connections and accepts bytes even after the server's
//! process has stopped, and an open connection may have gone silent. Only an answer shows that the process runs. A
//! probe is therefore a request that the server answers immediately and that has no effect.

use crate::connections::{Connections, PooledConnection};
use crate::response::Response;
use async_io::Timer;
use futures_lite::future;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const HEALTH_PATH: &str = "/healthz";

/// The request that serves as a probe.
#[derive(Clone, Debug)]
pub enum LivenessProbe {
    /// A release request for a request that is finished. Every server answers it, and it has no effect.
    ReleaseFinished {
        /// The ID of the finished request.
        request_id: Rc<str>,
    },
    /// A health check, for use while no request is finished yet and if the settings allow health checks.
    HealthCheck,
}

impl LivenessProbe {
    fn encode(&self, address: SocketAddr) -> Vec<u8> {
        match self {
            LivenessProbe::ReleaseFinished { request_id } => encode_release(address, request_id),
            LivenessProbe::HealthCheck => {
                format!("GET {HEALTH_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n").into_bytes()
            }
        }
    }
}

/// A connection on which a server has answered a probe.
pub(crate) enum ProbedConnection {
    /// The connection may carry a request.
    Usable(PooledConnection),
    /// The connection must not carry a request: the server closes it, or sent more than the answer.
    Closing,
}

/// Encodes a release request.
pub(crate) fn encode_release(address: SocketAddr, request_id: &str) -> Vec<u8> {
    format!("DELETE /kv/leases/{request_id} HTTP/1.1\r\nHost: {address}\r\n\r\n").into_bytes()
}

impl Connections {
    /// Sends a probe on a connection and waits for the server's answer for at most the timeout.
    pub(crate) async fn probe(
        &self,
        connection: PooledConnection,
        address: SocketAddr,
        probe: &LivenessProbe,
        timeout: Duration,
    ) -> Result<ProbedConnection, AttemptEnd> {
        let exchange = async {
            connection.http.write_all(&probe.encode(address)).await.map_err(|_| AttemptEnd::Reset)?;
            let mut response = Response::read(connection).await?;
            response.read_body().await?;
            let Response { head, connection, .. } = response;
            let usable = head.keep_alive && connection.http.buffer.is_empty();
            Ok(if usable { ProbedConnection::Usable(connection) } else { ProbedConnection::Closing })
        };
        let timed_out = async {
            Timer::after(timeout).await;
            Err(AttemptEnd::TimedOut)
        };
        future::or(exchange, timed_out).await
    }

    /// Opens a connection and probes the server on it. The timeout covers both.
    pub(crate) async fn connect_and_probe(
        &self,
        address: SocketAddr,
        probe: &LivenessProbe,
        timeout: Duration,
    ) -> Result<ProbedConnection, AttemptEnd> {
        let started = self.now();
        let connection = self.connect(address, timeout).await?;
        let elapsed = Duration::from_nanos(self.now().saturating_sub(started));
        self.probe(connection, address, probe, timeout.saturating_sub(elapsed)).await
    }
}
