//! Scripts of rehearsals: typed files that name fleet, clients and timed faults.

use crate::client::Front;
use petrelshore_emulator::profile::Fault;
use petrelshore_settings::{Problem, evaluate};
use serde::Deserialize;
use std::path::Path;

const SCHEMA: &str = include_str!("script.ncl");

#[derive(Clone, Debug, Deserialize)]
pub struct Script {
    pub name: String,
    pub seed: f64,
    pub lasts_ms: f64,
    pub fleet: FleetShape,
    pub gateways: f64,
    pub clients: Vec<Clients>,
    pub faults: Vec<Timed>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct FleetShape {
    pub cells: f64,
    pub readers: f64,
    pub writers: f64,
    pub mixed: f64,
    pub slots: f64,
    pub token_ms: f64,
    pub read_tokens_per_second: f64,
    pub cold_ms: f64,
    pub cold_multiple: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Clients {
    pub model: Model,
    pub front: Fronts,
    pub per_second: f64,
    pub words: f64,
    pub max_tokens: f64,
    pub sessions: f64,
    pub leave_share: f64,
    pub retries: f64,
}

/// Which fronts a group of clients speaks to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fronts {
    Chat,
    Grpc,
    Both,
}

impl Fronts {
    /// The front of a client with this number.
    pub fn of(self, client: u64) -> Front {
        match self {
            Fronts::Chat => Front::Chat,
            Fronts::Grpc => Front::Grpc,
            Fronts::Both => Front::ALL[(client % 2) as usize],
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Model {
    RiderQuery,
    WorkshopChat,
    UnlockOnce,
    DockTokened,
}

impl Model {
    pub fn name(self) -> &'static str {
        match self {
            Model::RiderQuery => "rider-query",
            Model::WorkshopChat => "workshop-chat",
            Model::UnlockOnce => "unlock-once",
            Model::DockTokened => "dock-tokened",
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Timed {
    pub at_ms: f64,
    pub servers: Vec<String>,
    pub gateways: Vec<f64>,
    pub what: Trouble,
    pub by: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    Silent,
    Hangs,
    Slow,
    Full,
    FailsSlowly,
    ResetAfter,
    EndsBadly,
    Garbage,
    Recover,
    Forget,
    Kill,
    Restart,
    Drain,
    Undrain,
    Unlist,
    KillGateway,
    StartGateway,
    LoseInventory,
}

impl Timed {
    /// The fault that a box is to have, where the trouble is one.
    pub fn fault(&self) -> Option<Fault> {
        Some(match self.what {
            Trouble::Silent => Fault::Silent,
            Trouble::Hangs => Fault::Hangs,
            Trouble::Slow => Fault::Slow(self.by),
            Trouble::Full => Fault::Full,
            Trouble::FailsSlowly => Fault::FailsSlowly((self.by * 1e6) as u64),
            Trouble::ResetAfter => Fault::ResetAfter(self.by as u64),
            Trouble::EndsBadly => Fault::EndsBadly(self.by as u64),
            Trouble::Garbage => Fault::Garbage(self.by as u64),
            Trouble::Recover => Fault::None,
            _ => return None,
        })
    }

    pub fn names(&self, server: &str) -> bool {
        self.servers.iter().any(|name| match name.strip_suffix('*') {
            Some(beginning) => server.starts_with(beginning),
            None => server == name,
        })
    }
}

/// Reads a script, or says what is wrong with it and where.
pub fn read(file: &Path) -> Result<Script, Problem> {
    let text = std::fs::read_to_string(file).map_err(|error| Problem {
        file: file.to_owned(),
        field: None,
        message: format!("can't be read: {error}"),
    })?;
    read_text(file, &text)
}

pub fn read_text(file: &Path, text: &str) -> Result<Script, Problem> {
    evaluate(file, text, SCHEMA, "Script")
}
