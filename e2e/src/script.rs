//! Rehearsal scripts: Nickel files that define the fleet, the clients and the timed faults of a rehearsal.

use crate::client::Api;
use petrelshore_emulator::profile::Fault;
use petrelshore_settings::{Problem, evaluate};
use serde::Deserialize;
use std::fmt;
use std::path::Path;

const SCHEMA: &str = include_str!("script.ncl");
const MILLIS_PER_SECOND: f64 = 1e3;
const NANOS_PER_MS: f64 = 1e6;

/// The script of a rehearsal.
#[derive(Clone, Debug, Deserialize)]
pub struct Script {
    /// The name of the rehearsal.
    pub name: String,
    /// The seed of the random arrivals, prompts and client decisions.
    pub seed: f64,
    /// The time for which clients send requests, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: f64,
    /// The emulated servers.
    pub fleet: FleetShape,
    /// The number of gateways.
    pub gateways: f64,
    /// Groups of clients.
    pub clients: Vec<Clients>,
    /// The faults to inject, in any order.
    pub faults: Vec<TimedFault>,
}

/// The emulated servers of a rehearsal.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetShape {
    /// The number of cells.
    pub cells: f64,
    /// The number of prefill servers in each cell.
    #[serde(rename = "readers")]
    pub prefill: f64,
    /// The number of decode servers in each cell.
    #[serde(rename = "writers")]
    pub decode: f64,
    /// The number of combined servers in each cell.
    #[serde(rename = "mixed")]
    pub combined: f64,
    /// The number of answers that a server generates concurrently.
    pub slots: f64,
    /// The time between two tokens, in milliseconds.
    pub token_ms: f64,
    /// The prefill speed of a server, in tokens per second.
    #[serde(rename = "read_tokens_per_second")]
    pub prefill_tokens_per_second: f64,
    /// The time that a server takes to warm up, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub warm_up_ms: f64,
    /// A server that is warming up fails when its load exceeds this multiple of its current capacity.
    #[serde(rename = "cold_multiple")]
    pub overload_factor: f64,
}

/// A group of clients.
#[derive(Clone, Debug, Deserialize)]
pub struct Clients {
    /// The model that the clients use.
    pub model: Model,
    /// The APIs that the clients use.
    #[serde(rename = "front")]
    pub api: ApiChoice,
    /// The rate of requests of the whole group, per second.
    pub per_second: f64,
    /// The number of words of each question.
    pub words: f64,
    /// The maximum number of tokens of an answer.
    pub max_tokens: f64,
    /// The number of sessions, each with a growing history. With zero, each question is independent.
    pub sessions: f64,
    /// The share of clients that disconnect early.
    #[serde(rename = "leave_share")]
    pub disconnect_share: f64,
    /// The maximum number of retries of a request.
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
    /// Chat completions and the gRPC service in turn.
    Both,
}

impl ApiChoice {
    /// Returns the API for the request with this client number.
    pub fn for_client(self, client: u64) -> Api {
        match self {
            ApiChoice::Chat => Api::Chat,
            ApiChoice::Grpc => Api::Grpc,
            ApiChoice::Both => Api::ALL[(client % 2) as usize],
        }
    }
}

/// A model of the rehearsal. Each model has its own traffic type.
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
    /// Returns the name of the model in requests and settings.
    pub fn name(self) -> &'static str {
        match self {
            Model::RiderQuery => "rider-query",
            Model::WorkshopChat => "workshop-chat",
            Model::UnlockOnce => "unlock-once",
            Model::DockTokened => "dock-tokened",
        }
    }
}

/// A fault that is injected at a given time.
#[derive(Clone, Debug, Deserialize)]
pub struct TimedFault {
    /// The time from the start of the clients to the fault, in milliseconds.
    pub at_ms: f64,
    /// Names of servers, or prefixes of names followed by a `*`.
    pub servers: Vec<String>,
    /// Numbers of gateways, counted from one.
    pub gateways: Vec<f64>,
    /// The kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// A slowdown factor, a number of tokens or milliseconds, depending on the kind.
    #[serde(rename = "by")]
    pub amount: f64,
}

/// The effect of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers accept all requests and send no response.
    Silent,
    /// Servers accept connections and read nothing.
    Hangs,
    /// Servers work more slowly.
    Slow,
    /// Servers reject all requests because they are at capacity.
    Full,
    /// Servers fail after working for a while.
    FailsSlowly,
    /// Servers reset connections after some tokens.
    ResetAfter,
    /// Servers end streams after some tokens, without the end marker.
    EndsBadly,
    /// Servers send an invalid event after some tokens.
    Garbage,
    /// Servers work normally again.
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
    /// The inventory no longer lists servers.
    Unlist,
    /// Gateways are killed.
    KillGateway,
    /// Killed gateways start again.
    StartGateway,
    /// The inventory file is deleted.
    LoseInventory,
}

impl TimedFault {
    /// Returns the fault to set in servers; `None` for a kind that isn't a server fault.
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

    /// Returns whether the fault applies to a server with this name.
    pub fn matches_server(&self, server: &str) -> bool {
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

/// Reads a script from a file. The error names the file, the field and the problem.
pub fn read(file: &Path) -> Result<Script, Problem> {
    let text = std::fs::read_to_string(file).map_err(|error| Problem {
        file: file.to_owned(),
        field: None,
        message: format!("can't be read: {error}"),
    })?;
    read_text(file, &text)
}

/// Reads a script from its text. Errors name `file` as the source.
pub fn read_text(file: &Path, text: &str) -> Result<Script, Problem> {
    evaluate(file, text, SCHEMA, "Script")
}
