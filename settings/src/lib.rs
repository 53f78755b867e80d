//! The settings of a gateway as typed records: read, checked by contracts, and decoded once.
//!
//! A settings file is a Nickel record, checked against the contracts in `schema.ncl`; what ties several fields
//! together is checked here. Nothing is guessed: an error names the file, and the field or the line.

mod records;

use petrelshore::interface::*;
use petrelshore_gateway_core::fingerprint::stable_id;
pub use records::{Problem, evaluate, read, read_text};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings as the program uses them.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    pub chat: SocketAddr,
    pub grpc: Option<SocketAddr>,
    pub operator: Option<SocketAddr>,
    pub inventory: PathBuf,
    pub kept: PathBuf,
    pub kinds: Vec<String>,
    /// Zones known so far: this gateway's own first. Lists may name others.
    pub zone: String,
    pub traffic: Vec<Traffic>,
    pub tenants: Vec<String>,
    /// Bearer keys and whose they are.
    pub keys: BTreeMap<String, TenantId>,
    pub open: bool,
    pub limits: Limits,
    pub drain_time: Nanos,
    /// What the decisions are told.
    pub deployment: Deployment,
}

/// What the fronts know of a traffic type.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub name: String,
    pub models: Vec<String>,
    pub abandon_time: Nanos,
    pub max_tokens: u32,
    pub effect: Idempotency,
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub sequences: usize,
    pub connections: usize,
    /// On one connection that carries many.
    pub streams: u32,
    pub body_bytes: usize,
    pub body_time: Nanos,
}

impl Settings {
    /// The traffic type that a model name stands for.
    pub fn model(&self, name: &str) -> Option<TrafficTypeId> {
        self.traffic.iter().position(|t| t.models.iter().any(|m| m == name)).map(TrafficTypeId)
    }

    /// The traffic type of this name.
    pub fn traffic_type(&self, name: &str) -> Option<TrafficTypeId> {
        self.traffic.iter().position(|traffic| traffic.name == name).map(TrafficTypeId)
    }

    /// Whose key it is.
    pub fn tenant(&self, key: &str) -> Option<TenantId> {
        self.keys.get(key).copied()
    }

    /// A number of this gateway's own, from which its ids and its chance start.
    pub fn seed(&self, started: Nanos) -> u64 {
        stable_id(&self.name) ^ started
    }
}
