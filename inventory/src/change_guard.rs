//! Whether a list that reads well is plausible, compared with the one before.
//!
//! Configuration tools write lists that are complete, valid and wrong: an empty group, a template that gave every server
//! the same role. Taking such a list would drain the fleet. So a change that is too large to be routine is rejected the
//! first time, with its reason; offering the same list again confirms it.

use crate::endpoint_list::{EndpointList, Server};
use petrelshore_gateway_core::fingerprint::stable_id;
use std::collections::BTreeMap;
use std::fmt;

/// Lists with fewer serving servers are not checked.
const MIN_CHECKED_SERVERS: usize = 4;
/// At most one server in so many may leave, or change what it is, at once.
const MAX_CHANGE_DIVISOR: usize = 2;

/// Why a list is not taken the first time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspiciousChange {
    /// Most servers would be gone or draining.
    MostLeave {
        /// How many would be gone or draining.
        leaving: usize,
        /// Out of how many that serve.
        of: usize,
    },
    /// Most would change their kind, cell or zone while they serve.
    MostMove {
        /// How many would change.
        moving: usize,
        /// Out of how many that serve.
        of: usize,
    },
    /// No server of this kind would be left to serve.
    KindEmpty {
        /// The kind's name.
        kind: String,
    },
}

impl fmt::Display for SuspiciousChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SuspiciousChange::MostLeave { leaving, of } => {
                write!(f, "{leaving} of {of} servers would leave at once")?;
            }
            SuspiciousChange::MostMove { moving, of } => {
                write!(f, "{moving} of {of} servers would change their kind, cell or zone at once")?;
            }
            SuspiciousChange::KindEmpty { kind } => {
                write!(f, "no server of the kind '{kind}' would be left")?;
            }
        }
        f.write_str("; the same list offered again is taken")
    }
}

impl std::error::Error for SuspiciousChange {}

/// Checks lists one after another.
#[derive(Debug, Default)]
pub struct ChangeGuard {
    /// A fingerprint of the list that was rejected last.
    rejected: Option<u64>,
}

impl ChangeGuard {
    /// Whether `next` may replace `before`.
    ///
    /// # Errors
    /// The suspicious change, unless this list was the last one rejected.
    pub fn check(&mut self, before: &EndpointList, next: &EndpointList) -> Result<(), SuspiciousChange> {
        let fingerprint = stable_id(&format!("{next:?}"));
        match suspicious_change(before, next) {
            Some(change) if self.rejected != Some(fingerprint) => {
                self.rejected = Some(fingerprint);
                Err(change)
            }
            _ => {
                self.rejected = None;
                Ok(())
            }
        }
    }
}

fn suspicious_change(before: &EndpointList, next: &EndpointList) -> Option<SuspiciousChange> {
    let serving: Vec<&Server> = serving(before).collect();
    let of = serving.len();
    if of < MIN_CHECKED_SERVERS {
        return None;
    }
    let max_changed = of / MAX_CHANGE_DIVISOR;
    let next: BTreeMap<&str, &Server> =
        self::serving(next).map(|server| (server.name.as_str(), server)).collect();
    let leaving = serving.iter().filter(|server| !next.contains_key(server.name.as_str())).count();
    if leaving > max_changed {
        return Some(SuspiciousChange::MostLeave { leaving, of });
    }
    let moves = |server: &&&Server| next.get(server.name.as_str()).is_some_and(|next| is_moved(server, next));
    let moving = serving.iter().filter(moves).count();
    if moving > max_changed {
        return Some(SuspiciousChange::MostMove { moving, of });
    }
    let is_served = |kind: &str| next.values().any(|server| server.kind == kind);
    let empty = serving.iter().map(|server| &server.kind).find(|kind| !is_served(kind));
    empty.map(|kind| SuspiciousChange::KindEmpty { kind: kind.clone() })
}

fn serving(list: &EndpointList) -> impl Iterator<Item = &Server> {
    list.servers.iter().filter(|server| !server.draining)
}

fn is_moved(before: &Server, next: &Server) -> bool {
    (&next.kind, &next.cell, &next.zone) != (&before.kind, &before.cell, &before.zone)
}
