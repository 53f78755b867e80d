//! Decoded settings, as the program uses them.

use petrelshore::interface::{Deployment, Idempotency, Nanos, TenantId, TrafficTypeId};
use petrelshore_gateway_core::fingerprint::stable_id;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the gateway.
    pub name: String,
    /// The address that the chat API listens on.
    pub chat: SocketAddr,
    /// The address that the gRPC chat service listens on, if it is enabled.
    pub grpc: Option<SocketAddr>,
    /// The address at which metrics and health are served, if they are enabled.
    pub operator: Option<SocketAddr>,
    /// The path of the inventory file, which contains the endpoint list.
    pub inventory: PathBuf,
    /// The path of the file that caches the last valid endpoint list.
    pub cached_list: PathBuf,
    /// The names of the server kinds, indexed by kind id.
    pub kinds: Vec<String>,
    /// The zone of this gateway. The endpoint list may contain servers of other zones.
    pub zone: String,
    /// The traffic types as the ingress uses them, indexed by [`TrafficTypeId`].
    pub traffic: Vec<Traffic>,
    /// The names of the tenants, indexed by [`TenantId`].
    pub tenants: Vec<String>,
    /// The tenant of each bearer key.
    pub keys: BTreeMap<String, TenantId>,
    /// True if requests without a known key are served. These requests belong to no tenant.
    pub allow_anonymous: bool,
    /// The limits on what the gateway admits.
    pub limits: Limits,
    /// The time for which running streams may continue during a graceful shutdown, in nanoseconds.
    pub drain_time: Nanos,
    /// The settings of the scheduler.
    pub deployment: Deployment,
}

/// A traffic type as the ingress uses it.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The name of the traffic type.
    pub name: String,
    /// The model names by which requests select the traffic type.
    pub models: Vec<String>,
    /// The time that clients wait for the first token, in nanoseconds.
    pub abandon_time: Nanos,
    /// The maximum number of tokens in an answer.
    pub max_tokens: u32,
    /// The idempotency of the traffic type, which determines if a request may run more than once.
    pub idempotency: Idempotency,
}

/// The limits on what the gateway admits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of sequences in flight.
    pub sequences: usize,
    /// The maximum number of client connections.
    pub connections: usize,
    /// The maximum number of streams on one multiplexed connection.
    pub streams: u32,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum time until a request is received in full, in nanoseconds.
    pub body_time: Nanos,
}

impl Settings {
    /// Returns the traffic type of a model.
    pub fn model(&self, name: &str) -> Option<TrafficTypeId> {
        self.position(|traffic| traffic.models.iter().any(|model| model == name))
    }

    /// Returns the traffic type with a given name.
    pub fn traffic_type(&self, name: &str) -> Option<TrafficTypeId> {
        self.position(|traffic| traffic.name == name)
    }

    fn position(&self, matches: impl Fn(&Traffic) -> bool) -> Option<TrafficTypeId> {
        self.traffic.iter().position(matches).map(TrafficTypeId)
    }

    /// Returns the tenant of a bearer key.
    pub fn tenant(&self, key: &str) -> Option<TenantId> {
        self.keys.get(key).copied()
    }

    /// Returns a seed for ids and random draws. The seed differs between gateways and between runs.
    pub fn seed(&self, started: Nanos) -> u64 {
        stable_id(&self.name) ^ started
    }
}
