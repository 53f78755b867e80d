//! What a gateway has measured of late: decaying sums and bounded tables. Plain data, nothing here decides.

use crate::bounded::BoundedTable;
use crate::decay::{DecayingShare, DecayingSum, DecayingTimes};
use crate::fleet::Server;
use crate::interface::{Nanos, PrefixId, Sequence, ServerId, SessionId, TenantId, TrafficTypeId};

/// Least divisor of a mean.
const MIN_COUNT: f64 = 1e-9;

/// Requests that a server may treat apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestClass {
    /// Their traffic type.
    pub traffic: TrafficTypeId,
    /// Whose they are.
    pub tenant: Option<TenantId>,
}

impl RequestClass {
    /// The class of a sequence.
    pub fn of(sequence: &Sequence) -> Self {
        RequestClass { traffic: sequence.traffic, tenant: sequence.tenant }
    }
}

/// A class of requests at one start of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerClass {
    /// The server's generation.
    pub generation: u64,
    /// The class.
    pub class: RequestClass,
}

/// A prefix of prompts that servers cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PrefixKey {
    /// What the turns of a session have in common.
    Session(SessionId),
    /// What many sequences have in common.
    Shared(PrefixId),
}

/// A prefix at one start of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerPrefix {
    /// The server's generation.
    pub generation: u64,
    /// The prefix.
    pub prefix: PrefixKey,
}

/// A prefix that a server was sent.
#[derive(Clone, Copy, Debug)]
pub struct CachedPrefix {
    /// Its length.
    pub tokens: f64,
    /// Prompt tokens that the server had been sent to prefill before.
    pub prefilled_before: f64,
}

/// How long measurements count (half-lives in nanoseconds), and how many entries each table has at most.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Half-life of response times and rates.
    pub measurements: Nanos,
    /// Half-life of the prefill pace.
    pub prefills: Nanos,
    /// Half-life of sends and misses of shared prefixes.
    pub prefixes: Nanos,
    /// Classes of requests.
    pub max_classes: usize,
    /// Classes of requests at a server, over all servers.
    pub max_server_classes: usize,
    /// Prefixes at a server, over all servers; and prefixes whose last servers are known.
    pub max_cached_prefixes: usize,
    /// Shared prefixes whose sends are counted.
    pub max_shared_prefixes: usize,
}

/// What a gateway has measured.
pub struct Statistics {
    /// Since when it has.
    pub started_at: Nanos,
    /// Response times of all servers, by the place of the step in its enum.
    pub response_times: [DecayingTimes; 4],
    /// Attempts that failed, over all servers.
    pub failures: BoundedTable<RequestClass, DecayingShare>,
    /// Attempts that failed, by server.
    pub server_failures: BoundedTable<ServerClass, DecayingShare>,
    /// Sequences that were admitted to a prefill server first.
    pub admitted_prefill: DecayingSum,
    /// Sequences that were admitted to one server for both steps.
    pub admitted_combined: DecayingSum,
    /// Prompt tokens of all that were admitted.
    pub admitted_prompt_tokens: DecayingSum,
    /// Sequences that arrived, by tenant.
    pub tenant_arrivals: Vec<DecayingSum>,
    /// Nanoseconds that prefills took.
    pub prefill_time: DecayingSum,
    /// Prompt tokens of work, queued and their own, that they were sent into.
    pub prefill_tokens: DecayingSum,
    /// Prefixes that servers were sent.
    pub cached_prefixes: BoundedTable<ServerPrefix, CachedPrefix>,
    /// Where a prefix was sent last, the newest first.
    pub last_servers: BoundedTable<PrefixKey, Vec<ServerId>>,
    /// How often each shared prefix was sent.
    pub prefix_sends: BoundedTable<PrefixId, DecayingSum>,
    /// How often shared prefixes were sent, all together.
    pub all_prefix_sends: DecayingSum,
    /// The share of prefills that did not find their shared prefix.
    pub prefix_misses: DecayingShare,
}

impl Statistics {
    /// Nothing measured yet.
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

    /// A server was sent a prefix; the last `max_servers` are remembered for each prefix.
    pub fn prefix_sent(
        &mut self,
        server: &Server,
        prefix: PrefixKey,
        sent: CachedPrefix,
        max_servers: usize,
    ) {
        self.cached_prefixes.insert(ServerPrefix { generation: server.generation, prefix }, sent);
        let last = self.last_servers.entry_or_insert_with(prefix, Vec::new);
        last.retain(|known| *known != server.endpoint.server);
        last.insert(0, server.endpoint.server);
        last.truncate(max_servers);
    }

    /// The servers that a prefix was sent to last.
    pub fn recent_servers(&self, prefix: PrefixKey) -> impl Iterator<Item = ServerId> {
        self.last_servers.get(&prefix).into_iter().flatten().copied()
    }

    /// Prompt tokens of the mean sequence that was admitted.
    pub fn mean_prompt_tokens(&self, now: Nanos) -> f64 {
        let admitted = self.admitted_prefill.read(now) + self.admitted_combined.read(now);
        self.admitted_prompt_tokens.read(now) / admitted.max(MIN_COUNT)
    }
}
