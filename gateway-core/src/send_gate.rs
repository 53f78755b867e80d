//! The last check before an attempt is sent, immediately before its first byte is written.
//!
//! An attempt is scheduled before its connection is established. Until then its client may leave, its sequence may be
//! answered, its server may drain, disappear, move or restart, and its timeout may pass; and the event loop may be too
//! busy to have noticed. So every path that writes an attempt calls [`check_send`] first.

use crate::request_manager::Dispatch;
use petrelshore::interface::{EndpointState, Nanos};
use std::net::SocketAddr;

/// Why an attempt may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SendDenial {
    /// Its client has closed its connection, or its sending side.
    ClientLeft,
    /// Its sequence has its final answer, or another attempt in flight.
    Superseded,
    /// Its server is draining, or not ready.
    Draining,
    /// Its server is not listed any more.
    Gone,
    /// Its server has another address now.
    AddressChanged,
    /// Its server has restarted since: what the scheduler assumed of it is out of date.
    Restarted,
    /// The servers that know the sequence's idempotency key forget it by now.
    KeyExpired,
    /// Its timeout has passed.
    DeadlineExceeded,
}

/// An attempt whose connection is established.
#[derive(Clone, Copy, Debug)]
pub struct PendingSend<'a> {
    /// The attempt.
    pub dispatch: &'a Dispatch,
    /// When it was scheduled.
    pub decided_at: Nanos,
    /// The address that its connection leads to.
    pub address: SocketAddr,
    /// When its server had started, as listed when it was scheduled.
    pub server_started_at: Option<Nanos>,
    /// Whether its client has left.
    pub client_left: bool,
}

/// Where a server is listed now.
#[derive(Clone, Copy, Debug)]
pub struct CurrentEndpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it may be sent anything.
    pub state: EndpointState,
    /// When it last started.
    pub started_at: Nanos,
}

/// Whether an attempt may be sent. `attempt_in_flight` is the present attempt of its sequence, unless that has its final
/// answer; `listed` is its server's entry in the endpoint list.
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
