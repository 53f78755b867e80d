//! Compares a valid endpoint list with the current list and rejects a change that is too large to be routine.
//!
//! Configuration tools can write lists that are complete and valid but wrong, for example with an empty group, or from
//! a template that gave every server the same role. Applying such a list would drain the fleet. A suspicious list is
//! therefore rejected the first time, with the reason; offering the same list again confirms it.

use crate::endpoint_list::{EndpointList, Server};
use petrelshore_gateway_core::fingerprint::stable_id;
use std::collections::BTreeMap;
use std::fmt;

/// The minimum number of serving servers on the current list; with fewer, changes are not checked.
const MIN_CHECKED_SERVERS: usize = 4;
/// At most the number of serving servers divided by this value may leave at once, and as many may move at once.
const MAX_CHANGE_DIVISOR: usize = 2;

/// The reason why a list is rejected the first time. A serving server is a listed server that is not draining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspiciousChange {
    /// More than half of the serving servers would be removed or draining.
    MostLeave {
        /// The number of serving servers that would be removed or draining.
        leaving: usize,
        /// The number of serving servers on the current list.
        total: usize,
    },
    /// More than half of the serving servers would change their kind, cell or zone and go on serving.
    MostMove {
        /// The number of serving servers that would change their kind, cell or zone.
        moving: usize,
        /// The number of serving servers on the current list.
        total: usize,
    },
    /// No serving server of a kind would be left.
    KindEmpty {
        /// The name of the kind.
        kind: String,
    },
}

impl fmt::Display for SuspiciousChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SuspiciousChange::MostLeave { leaving, total } => {
                write!(f, "{leaving} of {total} servers would leave at once")?;
            }
            SuspiciousChange::MostMove { moving, total } => {
                write!(f, "{moving} of {total} servers would change their kind, cell or zone at once")?;
            }
            SuspiciousChange::KindEmpty { kind } => {
                write!(f, "no server of the kind '{kind}' would be left")?;
            }
        }
        f.write_str("; the same list offered again is taken")
    }
}

impl std::error::Error for SuspiciousChange {}

/// Checks each new list, and remembers the last rejected list so that it is accepted when it is offered again.
#[derive(Debug, Default)]
pub struct ChangeGuard {
    /// The fingerprint of the last rejected list, until a list is accepted.
    last_rejected: Option<u64>,
}

impl ChangeGuard {
    /// Checks whether `next` may replace `current`.
    ///
    /// # Errors
    /// Returns the suspicious change, unless `next` is the last rejected list.
    pub fn check(&mut self, current: &EndpointList, next: &EndpointList) -> Result<(), SuspiciousChange> {
        let fingerprint = stable_id(&format!("{next:?}"));
        match suspicious_change(current, next) {
            Some(change) if self.last_rejected != Some(fingerprint) => {
                self.last_rejected = Some(fingerprint);
                Err(change)
            }
            _ => {
                self.last_rejected = None;
                Ok(())
            }
        }
    }
}

fn suspicious_change(current: &EndpointList, next: &EndpointList) -> Option<SuspiciousChange> {
    let serving: Vec<&Server> = serving(current).collect();
    let total = serving.len();
    if total < MIN_CHECKED_SERVERS {
        return None;
    }
    let max_changed = total / MAX_CHANGE_DIVISOR;
    let next: BTreeMap<&str, &Server> =
        self::serving(next).map(|server| (server.name.as_str(), server)).collect();
    let leaving = serving.iter().filter(|server| !next.contains_key(server.name.as_str())).count();
    if leaving > max_changed {
        return Some(SuspiciousChange::MostLeave { leaving, total });
    }
    let moves = |server: &&&Server| next.get(server.name.as_str()).is_some_and(|next| is_moved(server, next));
    let moving = serving.iter().filter(moves).count();
    if moving > max_changed {
        return Some(SuspiciousChange::MostMove { moving, total });
    }
    let is_served = |kind: &str| next.values().any(|server| server.kind == kind);
    let empty = serving.iter().map(|server| &server.kind).find(|kind| !is_served(kind));
    empty.map(|kind| SuspiciousChange::KindEmpty { kind: kind.clone() })
}

fn serving(list: &EndpointList) -> impl Iterator<Item = &Server> {
    list.servers.iter().filter(|server| !server.draining)
}

fn is_moved(current: &Server, next: &Server) -> bool {
    (&next.kind, &next.cell, &next.zone) != (&current.kind, &current.cell, &current.zone)
}
