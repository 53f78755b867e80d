//! Whether a list that reads well is believable, set against the one before.
//!
//! Configuration tools write lists that are whole, valid and wrong: an empty group, a template that put every box
//! into one role. Taking such a list would drain the fleet. So a change that is too large to be everyday is
//! refused the first time, with its reason; the same list offered again is what somebody wants.

use crate::{List, Server};
use petrelshore_gateway_core::fingerprint::stable_id;
use std::collections::BTreeMap;
use std::fmt;

/// Lists with fewer servers change as they like.
const SMALL: usize = 4;
/// So many parts of the servers may leave, or change what they are, at once: one of `PARTS`.
const PARTS: usize = 2;

/// Why a list is not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// So many of the servers would be gone or draining.
    MostLeave { leaving: usize, of: usize },
    /// So many would change their kind, cell or zone while they serve.
    MostMove { moving: usize, of: usize },
    /// No server of this kind would be left to serve.
    KindEmpty { kind: String },
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Doubt::MostLeave { leaving, of } => write!(f, "{leaving} of {of} servers would leave at once")?,
            Doubt::MostMove { moving, of } => {
                write!(f, "{moving} of {of} servers would change their kind, cell or zone at once")?;
            }
            Doubt::KindEmpty { kind } => write!(f, "no server of the kind '{kind}' would be left")?,
        }
        f.write_str("; the same list offered again is taken")
    }
}

/// Judges lists one after another.
#[derive(Debug, Default)]
pub struct Guard {
    /// The list that was refused last.
    refused: Option<u64>,
}

impl Guard {
    pub fn judge(&mut self, before: &List, next: &List) -> Result<(), Doubt> {
        let mark = stable_id(&format!("{next:?}"));
        let doubt = doubt(before, next);
        match doubt {
            Some(doubt) if self.refused != Some(mark) => {
                self.refused = Some(mark);
                Err(doubt)
            }
            _ => {
                self.refused = None;
                Ok(())
            }
        }
    }
}

fn doubt(before: &List, next: &List) -> Option<Doubt> {
    let serving: Vec<&Server> = before.servers.iter().filter(|server| !server.draining).collect();
    let of = serving.len();
    if of < SMALL {
        return None;
    }
    let after: BTreeMap<&str, &Server> = next
        .servers
        .iter()
        .filter(|server| !server.draining)
        .map(|server| (server.name.as_str(), server))
        .collect();
    let leaving = serving.iter().filter(|server| !after.contains_key(server.name.as_str())).count();
    if leaving > of / PARTS {
        return Some(Doubt::MostLeave { leaving, of });
    }
    let moved = |server: &&&Server| {
        let now = after.get(server.name.as_str());
        now.is_some_and(|now| (&now.kind, &now.cell, &now.zone) != (&server.kind, &server.cell, &server.zone))
    };
    let moving = serving.iter().filter(moved).count();
    if moving > of / PARTS {
        return Some(Doubt::MostMove { moving, of });
    }
    let empty =
        serving.iter().map(|server| &server.kind).find(|kind| !after.values().any(|s| s.kind == **kind));
    empty.map(|kind| Doubt::KindEmpty { kind: kind.clone() })
}
