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
pub enum Denial {
    /// Its client has closed its connection, or ended its sending.
    ClientLeft,
    /// Its sequence has its final answer, or goes by another attempt.
    Superseded,
    /// Its server drains, or is not ready.
    Draining,
    /// Its server is listed no more.
    Gone,
    /// Its server is reached elsewhere now.
    Moved,
    /// Its server has started anew since: what was reckoned of it holds no more.
    StartedAnew,
    /// The servers that know the sequence's mark forget it by now.
    WindowOver,
    /// Nothing is left of its own time.
    OutOfTime,
}

/// An attempt whose connection has come up.
#[derive(Clone, Copy, Debug)]
pub struct Due<'a> {
    pub dispatch: &'a Dispatch,
    /// When it was decided on.
    pub ordered: Nanos,
    /// Where it would go, and its server's start as listed when it was decided on.
    pub to: SocketAddr,
    pub server_start: Option<Nanos>,
    pub client_left: bool,
}

/// Where a server is listed now.
#[derive(Clone, Copy, Debug)]
pub struct ListedNow {
    pub address: SocketAddr,
    pub condition: EndpointState,
    pub start: Nanos,
}

/// Whether it may begin; `current` where it is the attempt that its sequence has out.
pub fn may_begin(now: Nanos, due: &Due, current: bool, listed: Option<ListedNow>) -> Result<(), Denial> {
    if due.client_left {
        return Err(Denial::ClientLeft);
    }
    if !current {
        return Err(Denial::Superseded);
    }
    let server = listed.filter(|listed| listed.condition != EndpointState::Gone).ok_or(Denial::Gone)?;
    if server.condition != EndpointState::Ready {
        return Err(Denial::Draining);
    }
    if server.address != due.to {
        return Err(Denial::Moved);
    }
    if Some(server.start) != due.server_start {
        return Err(Denial::StartedAnew);
    }
    if now >= due.dispatch.send_by {
        return Err(Denial::WindowOver);
    }
    if now >= due.ordered.saturating_add(due.dispatch.limit) {
        return Err(Denial::OutOfTime);
    }
    Ok(())
}
