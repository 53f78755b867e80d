//! The one place that says whether an attempt may begin now, in the instant before its first byte goes out.
//!
//! An attempt is decided on before its connection is there. Until that comes up its client may leave, its sequence be
//! answered, its server drain, go, move or start anew, and its time run out; and the loop may be too busy to have heard
//! of it. So whoever is about to write asks here, on every path.

use crate::Dispatch;
use petrelshore::interface::{EndpointState, Nanos};
use std::net::SocketAddr;

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SendDenial {
    /// Its client has closed its connection, or ended its sending.
    ClientLeft,
    /// Its sequence has its final answer, or goes by another attempt.
    Superseded,
    /// Its server drains, or is not ready.
    Draining,
    /// Its server is listed no more.
    Gone,
    /// Its server is reached elsewhere now.
    AddressChanged,
    /// Its server has started anew since: what was reckoned of it holds no more.
    Restarted,
    /// The servers that know the sequence's mark forget it by now.
    KeyExpired,
    /// Nothing is left of its own time.
    DeadlineExceeded,
}

/// An attempt whose connection has come up.
#[derive(Clone, Copy, Debug)]
pub struct PendingSend<'a> {
    pub dispatch: &'a Dispatch,
    /// When it was decided on.
    pub decided_at: Nanos,
    /// Where it would go, and its server's start as listed when it was decided on.
    pub address: SocketAddr,
    pub server_started_at: Option<Nanos>,
    pub client_left: bool,
}

/// Where a server is listed now.
#[derive(Clone, Copy, Debug)]
pub struct CurrentEndpoint {
    pub address: SocketAddr,
    pub state: EndpointState,
    pub started_at: Nanos,
}

/// Whether it may begin; `current` where it is the attempt that its sequence has out.
pub fn check_send(
    now: Nanos,
    due: &PendingSend,
    current: bool,
    listed: Option<CurrentEndpoint>,
) -> Result<(), SendDenial> {
    if due.client_left {
        return Err(SendDenial::ClientLeft);
    }
    if !current {
        return Err(SendDenial::Superseded);
    }
    let server = listed.filter(|listed| listed.state != EndpointState::Gone).ok_or(SendDenial::Gone)?;
    if server.state != EndpointState::Ready {
        return Err(SendDenial::Draining);
    }
    if server.address != due.address {
        return Err(SendDenial::AddressChanged);
    }
    if Some(server.started_at) != due.server_started_at {
        return Err(SendDenial::Restarted);
    }
    if now >= due.dispatch.send_deadline {
        return Err(SendDenial::KeyExpired);
    }
    if now >= due.decided_at.saturating_add(due.dispatch.timeout) {
        return Err(SendDenial::DeadlineExceeded);
    }
    Ok(())
}
