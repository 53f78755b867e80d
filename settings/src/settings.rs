//! Settings as the program uses them.

use petrelshore::interface::{Deployment, Idempotency, Nanos, TenantId, TrafficTypeId};
use petrelshore_gateway_core::fingerprint::stable_id;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The gateway's name.
    pub name: String,
    /// Where the chat API listens.
    pub chat: SocketAddr,
    /// Where the gRPC chat service listens, if it does.
    pub grpc: Option<SocketAddr>,
    /// Where metrics and health are served, if they are.
    pub operator: Option<SocketAddr>,
    /// The inventory file.
    pub inventory: PathBuf,
    /// Where the last good endpoint list is cached.
    pub cached_list: PathBuf,
    /// Names of server kinds, by id.
    pub kinds: Vec<String>,
    /// This gateway's zone. The endpoint list may name others.
    pub zone: String,
    /// What the ingress needs to know of the traffic types, by id.
    pub traffic: Vec<Traffic>,
    /// Names of tenants, by id.
    pub tenants: Vec<String>,
    /// Bearer keys and their tenants.
    pub keys: BTreeMap<String, TenantId>,
    /// Whether requests without a known key are served, as no tenant.
    pub allow_anonymous: bool,
    /// What the gateway admits at most.
    pub limits: Limits,
    /// How long running streams may go on during a graceful shutdown.
    pub drain_time: Nanos,
    /// What the scheduler needs to know.
    pub deployment: Deployment,
}

/// What the ingress needs to know of a traffic type.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The type's name.
    pub name: String,
    /// The model names that stand for it.
    pub models: Vec<String>,
    /// How long its clients wait for a first token.
    pub abandon_time: Nanos,
    /// Most tokens of an answer.
    pub max_tokens: u32,
    /// Whether its requests may run again.
    pub idempotency: Idempotency,
}

/// What a gateway admits at most.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Sequences in flight.
    pub sequences: usize,
    /// Client connections.
    pub connections: usize,
    /// Streams on one multiplexed connection.
    pub streams: u32,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Time until a request is complete.
    pub body_time: Nanos,
}

impl Settings {
    /// The traffic type that a model name stands for.
    pub fn model(&self, name: &str) -> Option<TrafficTypeId> {
        self.position(|traffic| traffic.models.iter().any(|model| model == name))
    }

    /// The traffic type of this name.
    pub fn traffic_type(&self, name: &str) -> Option<TrafficTypeId> {
        self.position(|traffic| traffic.name == name)
    }

    fn position(&self, matches: impl Fn(&Traffic) -> bool) -> Option<TrafficTypeId> {
        self.traffic.iter().position(matches).map(TrafficTypeId)
    }

    /// The tenant that a bearer key belongs to.
    pub fn tenant(&self, key: &str) -> Option<TenantId> {
        self.keys.get(key).copied()
    }

    /// A number that differs between gateways and runs, which seeds ids and random draws.
    pub fn seed(&self, started: Nanos) -> u64 {
        stable_id(&self.name) ^ started
    }
}
