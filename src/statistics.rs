//! Recent measurements of a gateway, in decaying sums and bounded tables. This module makes no decisions.

use crate::bounded::BoundedTable;
use crate::decay::{DecayingShare, DecayingSum, DecayingTimes};
use crate::fleet::Server;
use crate::interface::{Nanos, PrefixId, Sequence, ServerId, SessionId, TenantId, TrafficTypeId};

/// Lower bound of the count that a mean is divided by.
const MIN_COUNT: f64 = 1e-9;

/// A class of requests that a server may treat differently from others, for example by rejecting them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestClass {
    /// The traffic type of the requests.
    pub traffic: TrafficTypeId,
    /// The tenant of the requests.
    pub tenant: Option<TenantId>,
}

impl RequestClass {
    /// The class that a sequence belongs to.
    pub fn of(sequence: &Sequence) -> Self {
        RequestClass { traffic: sequence.traffic, tenant: sequence.tenant }
    }
}

/// A class of requests at one server, the key of a measurement. Measurements from before a restart of the
/// server have another generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerClass {
    /// The generation of the server.
    pub generation: u64,
    /// The class of requests.
    pub class: RequestClass,
}

/// A prompt prefix that servers cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PrefixKey {
    /// The prompt that the turns of a session have in common.
    Session(SessionId),
    /// A prefix that many sequences have in common.
    Shared(PrefixId),
}

/// A prefix at one server, the key of a measurement. Measurements from before a restart of the server have
/// another generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerPrefix {
    /// The generation of the server.
    pub generation: u64,
    /// The prompt prefix.
    pub prefix: PrefixKey,
}

/// A prefix that was sent to a server, which should have it cached until it is evicted.
#[derive(Clone, Copy, Debug)]
pub struct CachedPrefix {
    /// The length of the prefix, in tokens.
    pub tokens: f64,
    /// The number of prompt tokens that this gateway had sent the server to prefill before this prefix.
    pub prefilled_before: f64,
}

/// The half-lives of the measurements, in nanoseconds, and the maximum numbers of entries of the tables.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// The half-life of response times and rates.
    pub measurements: Nanos,
    /// The half-life of the prefill rate.
    pub prefills: Nanos,
    /// The half-life of sends and cache misses of shared prefixes.
    pub prefixes: Nanos,
    /// The maximum number of classes of requests.
    pub max_classes: usize,
    /// The maximum number of pairs of a server and a class of requests.
    pub max_server_classes: usize,
    /// The maximum number of pairs of a server and a prefix, and of prefixes whose most recent servers are remembered.
    pub max_cached_prefixes: usize,
    /// The maximum number of shared prefixes whose sends are counted.
    pub max_shared_prefixes: usize,
}

/// The measurements of a gateway.
pub struct Statistics {
    /// When the measurements began.
    pub started_at: Nanos,
    /// Response times of all servers, indexed by [`Step`](crate::interface::Step).
    pub response_times: [DecayingTimes; 4],
    /// The share of attempts that failed, over all servers, by class of requests.
    pub failures: BoundedTable<RequestClass, DecayingShare>,
    /// The share of attempts that failed, by server and class of requests.
    pub server_failures: BoundedTable<ServerClass, DecayingShare>,
    /// Sequences whose first attempt after admission was a prefill.
    pub admitted_prefill: DecayingSum,
    /// Sequences whose first attempt after admission was sent to one server for both steps.
    pub admitted_combined: DecayingSum,
    /// Prompt tokens of all admitted sequences.
    pub admitted_prompt_tokens: DecayingSum,
    /// Sequences that arrived, by tenant.
    pub tenant_arrivals: Vec<DecayingSum>,
    /// Duration of the completed prefills, in nanoseconds.
    pub prefill_time: DecayingSum,
    /// Prompt tokens that the servers had to prefill for these prefills: their own uncached tokens and the tokens
    /// queued ahead of them when they were sent.
    pub prefill_tokens: DecayingSum,
    /// Prefixes that were sent to servers, by server and prefix.
    pub cached_prefixes: BoundedTable<ServerPrefix, CachedPrefix>,
    /// The servers that each prefix was sent to, the most recent first.
    pub last_servers: BoundedTable<PrefixKey, Vec<ServerId>>,
    /// The decayed number of sends of each shared prefix.
    pub prefix_sends: BoundedTable<PrefixId, DecayingSum>,
    /// The decayed number of sends of all shared prefixes together.
    pub all_prefix_sends: DecayingSum,
    /// The share of prefills that did not find their shared prefix cached.
    pub prefix_misses: DecayingShare,
}

impl Statistics {
    /// Statistics without any measurements, for a deployment with this number of tenants.
    pub fn new(now: Nanos, tenants: usize, retention: Retention) -> Self {
        let sum = || DecayingSum::new(retention.measurements);
        Statistics {
            started_at: now,
            response_times: std::array::from_fn(|_| DecayingTimes::new(retention.measurements)),
            failures: BoundedTable::new(retention.max_classes),
            server_failures: BoundedTable::new(retention.max_server_classes),
            admitted_prefill: sum(),
            admitted_combined: sum(),
            admitted_prompt_tokens: sum(),
            tenant_arrivals: vec![sum(); tenants],
            prefill_time: DecayingSum::new(retention.prefills),
            prefill_tokens: DecayingSum::new(retention.prefills),
            cached_prefixes: BoundedTable::new(retention.max_cached_prefixes),
            last_servers: BoundedTable::new(retention.max_cached_prefixes),
            prefix_sends: BoundedTable::new(retention.max_shared_prefixes),
            all_prefix_sends: DecayingSum::new(retention.prefixes),
            prefix_misses: DecayingShare::new(retention.prefixes),
        }
    }

    /// Records that a prefix was sent to a server. Each prefix remembers its `max_servers` most recent servers.
    pub fn prefix_sent(
        &mut self,
        server: &Server,
        prefix: PrefixKey,
        sent: CachedPrefix,
        max_servers: usize,
    ) {
        self.cached_prefixes.insert(ServerPrefix { generation: server.generation, prefix }, sent);
        let recent = self.last_servers.entry_or_insert_with(prefix, Vec::new);
        recent.retain(|known| *known != server.endpoint.server);
        recent.insert(0, server.endpoint.server);
        recent.truncate(max_servers);
    }

    /// The servers that a prefix was sent to, the most recent first.
    pub fn recent_servers(&self, prefix: PrefixKey) -> impl Iterator<Item = ServerId> {
        self.last_servers.get(&prefix).into_iter().flatten().copied()
    }

    /// The mean number of prompt tokens of recently admitted sequences.
    pub fn mean_prompt_tokens(&self, now: Nanos) -> f64 {
        let admitted = self.admitted_prefill.read(now) + self.admitted_combined.read(now);
        self.admitted_prompt_tokens.read(now) / admitted.max(MIN_COUNT)
    }
}
