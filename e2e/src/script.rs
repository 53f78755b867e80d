//! Scripts of rehearsals: typed files that name fleet, clients and timed faults.

use crate::client::Api;
use petrelshore_emulator::profile::Fault;
use petrelshore_settings::{Problem, evaluate};
use serde::Deserialize;
use std::fmt;
use std::path::Path;

const SCHEMA: &str = include_str!("script.ncl");
const MILLIS_PER_SECOND: f64 = 1e3;
const NANOS_PER_MS: f64 = 1e6;

/// A rehearsal.
#[derive(Clone, Debug, Deserialize)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// Draws arrivals, prompts and what clients do.
    pub seed: f64,
    /// How long clients send requests, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: f64,
    /// The emulated servers.
    pub fleet: FleetShape,
    /// Gateways.
    pub gateways: f64,
    /// Groups of clients.
    pub clients: Vec<Clients>,
    /// Faults.
    pub faults: Vec<TimedFault>,
}

/// The emulated servers of a rehearsal.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetShape {
    /// Cells.
    pub cells: f64,
    /// Prefill servers of each cell.
    #[serde(rename = "readers")]
    pub prefill: f64,
    /// Decode servers of each cell.
    #[serde(rename = "writers")]
    pub decode: f64,
    /// Combined servers of each cell.
    #[serde(rename = "mixed")]
    pub combined: f64,
    /// Answers that a server generates at once.
    pub slots: f64,
    /// The time between two tokens, in milliseconds.
    pub token_ms: f64,
    /// The prefill speed.
    #[serde(rename = "read_tokens_per_second")]
    pub prefill_tokens_per_second: f64,
    /// How long a server takes to warm up, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub warm_up_ms: f64,
    /// A server that warms up fails at this multiple of its capacity.
    #[serde(rename = "cold_multiple")]
    pub overload_factor: f64,
}

/// A group of clients.
#[derive(Clone, Debug, Deserialize)]
pub struct Clients {
    /// The model that they use.
    pub model: Model,
    /// The APIs that they use.
    #[serde(rename = "front")]
    pub api: ApiChoice,
    /// Requests per second.
    pub per_second: f64,
    /// Words of each question.
    pub words: f64,
    /// The most tokens of an answer.
    pub max_tokens: f64,
    /// Sessions, each with a growing history; none where every question stands alone.
    pub sessions: f64,
    /// The share of clients that disconnect early.
    #[serde(rename = "leave_share")]
    pub disconnect_share: f64,
    /// The most retries of a request.
    pub retries: f64,
}

/// The APIs that a group of clients uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApiChoice {
    /// Chat completions.
    Chat,
    /// The gRPC service.
    Grpc,
    /// Every second client each.
    Both,
}

impl ApiChoice {
    /// The API of a client with this number.
    pub fn of(self, client: u64) -> Api {
        match self {
            ApiChoice::Chat => Api::Chat,
            ApiChoice::Grpc => Api::Grpc,
            ApiChoice::Both => Api::ALL[(client % 2) as usize],
        }
    }
}

/// A model, each with a traffic type of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Model {
    /// Idempotent, with a short deadline.
    RiderQuery,
    /// Idempotent, with a long deadline.
    WorkshopChat,
    /// Executed at most once.
    UnlockOnce,
    /// Retried with an idempotency key.
    DockTokened,
}

impl Model {
    /// Its name in requests and settings.
    pub fn name(self) -> &'static str {
        match self {
            Model::RiderQuery => "rider-query",
            Model::WorkshopChat => "workshop-chat",
            Model::UnlockOnce => "unlock-once",
            Model::DockTokened => "dock-tokened",
        }
    }
}

/// A fault at its time.
#[derive(Clone, Debug, Deserialize)]
pub struct TimedFault {
    /// When it is injected, in milliseconds.
    pub at_ms: f64,
    /// Names of servers, or prefixes of names with a star.
    pub servers: Vec<String>,
    /// Numbers of gateways, from one.
    pub gateways: Vec<f64>,
    /// What happens.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// A factor, tokens, or milliseconds, by the kind.
    #[serde(rename = "by")]
    pub amount: f64,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers accept everything and send no response.
    Silent,
    /// Servers accept connections and read nothing.
    Hangs,
    /// Servers work slower.
    Slow,
    /// Servers reject everything as over capacity.
    Full,
    /// Servers fail after working for a while.
    FailsSlowly,
    /// Servers break connections after some tokens.
    ResetAfter,
    /// Servers end streams without their end marker after some tokens.
    EndsBadly,
    /// Servers send an invalid event after some tokens.
    Garbage,
    /// Servers behave again.
    Recover,
    /// Servers lose their prefix cache.
    Forget,
    /// Servers are killed.
    Kill,
    /// Servers restart, cold.
    Restart,
    /// The inventory lists servers as draining.
    Drain,
    /// The inventory lists servers as ready.
    Undrain,
    /// The inventory lists servers no more.
    Unlist,
    /// Gateways are killed.
    KillGateway,
    /// Killed gateways start again.
    StartGateway,
    /// The inventory file is deleted.
    LoseInventory,
}

impl TimedFault {
    /// The fault of a server, where it is one.
    pub fn server_fault(&self) -> Option<Fault> {
        Some(match self.kind {
            FaultKind::Silent => Fault::Silent,
            FaultKind::Hangs => Fault::Hangs,
            FaultKind::Slow => Fault::Slow(self.amount),
            FaultKind::Full => Fault::Full,
            FaultKind::FailsSlowly => Fault::FailsSlowly((self.amount * NANOS_PER_MS) as u64),
            FaultKind::ResetAfter => Fault::ResetAfter(self.amount as u64),
            FaultKind::EndsBadly => Fault::EndsBadly(self.amount as u64),
            FaultKind::Garbage => Fault::Garbage(self.amount as u64),
            FaultKind::Recover => Fault::None,
            _ => return None,
        })
    }

    /// Whether it names a server.
    pub fn names(&self, server: &str) -> bool {
        self.servers.iter().any(|name| match name.strip_suffix('*') {
            Some(prefix) => server.starts_with(prefix),
            None => server == name,
        })
    }
}

impl fmt::Display for TimedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seconds, servers) = (self.at_ms / MILLIS_PER_SECOND, self.servers.join(" "));
        write!(formatter, "{seconds:6.1} s: {:?} {servers}", self.kind)
    }
}

/// Reads a script; the error says what is wrong with it and where.
pub fn read(file: &Path) -> Result<Script, Problem> {
    let text = std::fs::read_to_string(file).map_err(|error| Problem {
        file: file.to_owned(),
        field: None,
        message: format!("can't be read: {error}"),
    })?;
    read_text(file, &text)
}

/// Reads a script from its text; `file` is named in errors.
pub fn read_text(file: &Path, text: &str) -> Result<Script, Problem> {
    evaluate(file, text, SCHEMA, "Script")
}
