//! The last check before an attempt is sent, immediately before its first byte is written.
//!
//! An attempt is scheduled before its connection is established. Meanwhile the client may disconnect, the sequence may
//! get its final answer, the server may drain, disappear, change its address or restart, and the timeout of the attempt
//! may pass, while the event loop is too busy to handle that event. So every path that writes an attempt calls
//! [`check_send`] first.

use crate::request_manager::Dispatch;
use petrelshore::interface::{EndpointState, Nanos};
use std::net::SocketAddr;

/// The reason why an attempt may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SendDenial {
    /// The client has closed its connection, or the sending side of its connection.
    ClientLeft,
    /// The sequence has its final answer, or another attempt in flight.
    Superseded,
    /// The server is draining, or not ready.
    Draining,
    /// The server is not in the endpoint list any more.
    Gone,
    /// The server has another address now.
    AddressChanged,
    /// The server has restarted since the attempt was scheduled, so the scheduler's assumptions about the server are
    /// outdated.
    Restarted,
    /// The servers that know the sequence's idempotency key may have forgotten this key by now.
    KeyExpired,
    /// The timeout of the attempt has passed.
    DeadlineExceeded,
}

/// An attempt whose connection is established.
#[derive(Clone, Copy, Debug)]
pub struct PendingSend<'a> {
    /// The attempt.
    pub dispatch: &'a Dispatch,
    /// Time at which the attempt was scheduled.
    pub decided_at: Nanos,
    /// The address that the connection leads to.
    pub address: SocketAddr,
    /// Start time of the server in the endpoint list when the attempt was scheduled.
    pub server_started_at: Option<Nanos>,
    /// True if the client has disconnected.
    pub client_left: bool,
}

/// The present entry of a server in the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct CurrentEndpoint {
    /// The address of the server.
    pub address: SocketAddr,
    /// The state of the server, which decides whether the server may be sent anything.
    pub state: EndpointState,
    /// Time at which the server last started.
    pub started_at: Nanos,
}

/// Checks whether an attempt may be sent. `attempt_in_flight` is the present attempt of the sequence, or `None` if the
/// sequence has its final answer. `listed` is the server's entry in the endpoint list.
pub fn check_send(
    now: Nanos,
    pending: &PendingSend,
    attempt_in_flight: Option<usize>,
    listed: Option<CurrentEndpoint>,
) -> Result<(), SendDenial> {
    if pending.client_left {
        return Err(SendDenial::ClientLeft);
    }
    if attempt_in_flight != Some(pending.dispatch.attempt) {
        return Err(SendDenial::Superseded);
    }
    let endpoint = listed.filter(|listed| listed.state != EndpointState::Gone).ok_or(SendDenial::Gone)?;
    if endpoint.state != EndpointState::Ready {
        return Err(SendDenial::Draining);
    }
    if endpoint.address != pending.address {
        return Err(SendDenial::AddressChanged);
    }
    if Some(endpoint.started_at) != pending.server_started_at {
        return Err(SendDenial::Restarted);
    }
    if now >= pending.dispatch.send_deadline {
        return Err(SendDenial::KeyExpired);
    }
    if now >= pending.decided_at.saturating_add(pending.dispatch.timeout) {
        return Err(SendDenial::DeadlineExceeded);
    }
    Ok(())
}
