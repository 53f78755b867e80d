//! Making connections on a machine that may be short of descriptors, ports or a way to the network for a moment.

use crate::io_retry::{Failure, RETRY_PAUSE, failure};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Where there is no way to the network, connecting is tried again for so long: it may be back in a moment, and a peer
/// that is cut off must not take up the time of the next one.
const NETWORK_BACK: Duration = Duration::from_millis(150);

/// Why a connection was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unconnected {
    /// This machine had no descriptor, port or memory for it: that says nothing of the peer.
    Scarce,
    /// The peer refused, did not answer in time, or can't be reached.
    Peer,
}

/// A new connection within the time. What fails for a moment on this machine is tried again until then.
pub async fn connect(to: SocketAddr, within: Duration) -> Result<Async<TcpStream>, Unconnected> {
    let began = Instant::now();
    let scarce = Cell::new(false);
    let connected = async {
        loop {
            let error = match Async::<TcpStream>::connect(to).await {
                Ok(stream) => return Ok(stream),
                Err(error) => error,
            };
            let failure = failure(&error);
            scarce.set(failure == Failure::Scarce);
            match failure {
                Failure::Again => future::yield_now().await,
                Failure::Network if began.elapsed() >= NETWORK_BACK => return Err(Unconnected::Peer),
                Failure::Scarce | Failure::Network => drop(Timer::after(RETRY_PAUSE).await),
                Failure::Lasting => return Err(Unconnected::Peer),
            }
        }
    };
    let late = async {
        Timer::after(within).await;
        Err(if scarce.get() { Unconnected::Scarce } else { Unconnected::Peer })
    };
    future::or(connected, late).await
}
