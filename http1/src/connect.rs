//! Opens connections, with retries while this machine briefly lacks file descriptors, ports or a route to the peer.

use crate::io_retry::{FailureClass, classify, retry_delay};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The time for which connecting is retried while there is no route to the peer. The route may come back shortly, but
/// an unreachable peer must not use up the time that remains for trying the next peer.
const NO_ROUTE_RETRY_TIMEOUT: Duration = Duration::from_millis(150);

/// The reason why a connection was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// This machine had no file descriptor, port or memory for the connection. The failure says nothing about the peer.
    LocalResources,
    /// The peer refused the connection, did not answer in time, or is unreachable.
    Unreachable,
}

impl std::fmt::Display for ConnectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ConnectError::LocalResources => "no local file descriptor, port or memory for the connection",
            ConnectError::Unreachable => "the peer is unreachable, refused the connection or timed out",
        })
    }
}

impl std::error::Error for ConnectError {}

/// Opens a connection to `address`. Failures for want of local resources are retried until `timeout` has passed. While
/// there is no route to the peer, connecting is retried for at most `NO_ROUTE_RETRY_TIMEOUT`.
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
