//! Opening connections on a machine that may briefly lack descriptors, ports or a route to the network.

use crate::io_retry::{FailureClass, classify, retry_delay};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long connecting is retried while there is no route to the peer: the route may come back shortly, and an
/// unreachable peer must not use up the time of the next one.
const NO_ROUTE_RETRY_TIMEOUT: Duration = Duration::from_millis(150);

/// Why a connection was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// This machine had no descriptor, port or memory for it, which says nothing about the peer.
    LocalResources,
    /// The peer refused the connection, did not answer in time, or can't be reached.
    Unreachable,
}

impl std::fmt::Display for ConnectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ConnectError::LocalResources => "no descriptor, port or memory for a connection",
            ConnectError::Unreachable => "the peer can't be reached",
        })
    }
}

impl std::error::Error for ConnectError {}

/// Opens a connection to `address` within `timeout`. Transient failures of this machine are retried until then.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Async<TcpStream>, ConnectError> {
    let started = Instant::now();
    let short_of_resources = Cell::new(false);
    let connected = async {
        loop {
            let error = match Async::<TcpStream>::connect(address).await {
                Ok(stream) => return Ok(stream),
                Err(error) => error,
            };
            let class = classify(&error);
            short_of_resources.set(class == FailureClass::ResourceShortage);
            match class {
                FailureClass::Immediate => future::yield_now().await,
                FailureClass::NoRoute if started.elapsed() >= NO_ROUTE_RETRY_TIMEOUT => {
                    return Err(ConnectError::Unreachable);
                }
                FailureClass::ResourceShortage | FailureClass::NoRoute => retry_delay().await,
                FailureClass::Permanent => return Err(ConnectError::Unreachable),
            }
        }
    };
    let timed_out = async {
        Timer::after(timeout).await;
        Err(if short_of_resources.get() { ConnectError::LocalResources } else { ConnectError::Unreachable })
    };
    future::or(connected, timed_out).await
}
