//! The plain types that cross into and out of the scheduler. Nothing here decides.
//!
//! Times are readings of one monotonic clock, and spans on it, both in nanoseconds. Amounts of work are tokens.

/// Nanoseconds: a reading of the monotonic clock, or a span on it.
pub type Nanos = u64;

/// Names one sequence at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SequenceId(pub u64);
/// Names a model server, the same at every gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u64);
/// Names a conversation whose turns share a growing prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);
/// Names a prompt prefix that many sequences share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixId(pub u64);
/// Names a group of servers within which a KV cache moves fast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub i64);
/// A zone, by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub usize);
/// A kind of server, by its place in [`Deployment::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKindId(pub usize);
/// A traffic type, by its place in [`Deployment::types`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TrafficTypeId(pub usize);
/// A tenant, by its place in [`Deployment::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Everything a gateway knows of its service before it takes a request: its settings.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Gateways that share the fleet.
    pub gateways: usize,
    /// The zone that this gateway stands in.
    pub zone: ZoneId,
    /// Traffic types, named by their place.
    pub types: Vec<TrafficType>,
    /// Kinds of servers, named by their place.
    pub kinds: Vec<ServerKind>,
    /// Tenants, named by their place.
    pub tenants: Vec<Tenant>,
    /// What the priority weight of a tenant over its quota is multiplied by.
    pub over_quota_factor: f64,
    /// Whether endpoint weights count.
    pub weights: Weights,
    /// How the endpoint list comes.
    pub discovery: Discovery,
    /// The longest pause between two polls of the endpoint list.
    pub max_poll_interval: Nanos,
    /// Attempts that one sequence may take, prefill and decode counted apart.
    pub max_attempts: usize,
    /// The longest Retry-After; none where rejections carry none.
    pub max_retry_after: Option<Nanos>,
    /// Whether decode servers also take sequences from their prompt on.
    pub decode_servers_prefill: bool,
    /// How long a KV cache may stay reserved with no attempt in flight.
    pub release_timeout: Nanos,
    /// How long a server that started is in slow start.
    pub slow_start_duration: Nanos,
    /// The share of its capacity that a server has as it starts.
    pub slow_start_initial_share: f64,
    /// A server in slow start falls over when it gets so many times its present capacity.
    pub slow_start_overload_factor: f64,
    /// Over which time that is counted.
    pub slow_start_window: Nanos,
    /// A timer may fire this much later than it was set for.
    pub timer_resolution: Nanos,
    /// By which clock endpoint lists tell when servers started.
    pub start_time_clock: StartTimeClock,
}

impl Deployment {
    /// Whether a server of this role takes sequences from their prompt to their last token.
    pub fn serves_combined(&self, role: Role) -> bool {
        role == Role::Combined || (role == Role::Decode && self.decode_servers_prefill)
    }

    /// Whether servers of any kind do.
    pub fn any_kind_serves_combined(&self) -> bool {
        self.kinds.iter().any(|kind| self.serves_combined(kind.role))
    }

    /// Whether a step shows progress before all of it is done: a buffered answer does not.
    pub fn shows_progress(&self, traffic: TrafficTypeId, step: Step) -> bool {
        step == Step::Prefill || self.types[traffic.0].delivery == Delivery::Streamed
    }

    /// A type's priority weight as a share of the highest.
    pub fn relative_priority(&self, traffic: TrafficTypeId) -> f64 {
        let highest = self.types.iter().map(|t| t.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
        self.types[traffic.0].priority_weight / highest
    }

    /// The latency objective of a sequence: the time to its first token.
    pub fn slo(&self, sequence: &Sequence) -> Nanos {
        let traffic = &self.types[sequence.traffic.0];
        let for_prompt = (sequence.prompt_tokens * traffic.slo_per_prompt_token as f64) as Nanos;
        traffic.latency_slo.saturating_add(for_prompt)
    }
}

/// By which clock endpoint lists tell when servers started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartTimeClock {
    /// The monotonic clock that the scheduler is told the time by.
    Local,
    /// The wall clocks of other machines, which may be wrong, and be stepped.
    Wall,
}

/// A class of requests with terms in common.
#[derive(Clone, Debug)]
pub struct TrafficType {
    /// What an answer in time is worth, against the other types.
    pub priority_weight: f64,
    /// The time to the first token of an empty prompt.
    pub latency_slo: Nanos,
    /// What each prompt token adds to it.
    pub slo_per_prompt_token: Nanos,
    /// Usual time between two tokens of an answer.
    pub token_interval: Nanos,
    /// Whether an attempt may run twice.
    pub idempotency: Idempotency,
    /// How its answers come.
    pub delivery: Delivery,
}

/// What shows of an answer before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Its first token, and each one after.
    Streamed,
    /// Nothing.
    Buffered,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may: another run has no further effect.
    Idempotent,
    /// Servers of one scope know its idempotency key, and run it once, until the window from its first run is over.
    Keyed {
        /// Which servers know each other's keys.
        scope: KeyScope,
        /// How long they remember a key.
        window: Nanos,
    },
    /// It may not.
    AtMostOnce,
}

/// Which servers know each other's idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All of them.
    Fleet,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A kind of model server.
#[derive(Clone, Debug)]
pub struct ServerKind {
    /// What it does of a sequence.
    pub role: Role,
    /// Tokens of KV cache that it holds.
    pub memory_tokens: f64,
}

/// What a server does of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Prefills prompts, and keeps each KV cache until a decode server has fetched it.
    Prefill,
    /// Fetches KV caches and decodes answers.
    Decode,
    /// Both.
    Combined,
}

/// A tenant, and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its quota of requests per second, over all gateways.
    pub per_second: f64,
}

/// Whether endpoint weights count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// A weight is a server's size against the others of its kind.
    Size,
    /// All servers of a kind count alike.
    Unused,
}

/// How the endpoint list comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// It is watched: changes come by themselves.
    Pushed,
    /// It is polled.
    Polled,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server that it is about.
    pub server: ServerId,
    /// Its kind.
    pub kind: ServerKindId,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its size against others of its kind, where weights count.
    pub weight: f64,
    /// When it last started; zero: long ago.
    pub started_at: Nanos,
    /// Whether it may be sent anything.
    pub state: EndpointState,
}

/// Whether an endpoint may be sent anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is listed no more.
    Gone,
}

/// What a list of endpoints stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotKind {
    /// All endpoints there are.
    Full,
    /// All that were known when the list was stored.
    Cached,
    /// Those that have changed.
    Delta,
}

/// The load that a server reports of itself, as far as this deployment's reports go.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Share of its KV cache memory in use.
    pub memory_share: Option<f64>,
    /// Prompt tokens that wait for their prefill.
    pub queued_prompt_tokens: Option<f64>,
    /// Sequences that it has in flight, those that wait among them.
    pub in_flight: Option<f64>,
}

/// A sequence in flight: what its client asked, and what was attempted.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Its name at this gateway.
    pub id: SequenceId,
    /// Its traffic type.
    pub traffic: TrafficTypeId,
    /// Whose quota it counts to.
    pub tenant: Option<TenantId>,
    /// The conversation that it belongs to.
    pub session: Option<SessionId>,
    /// The prefix that its prompt shares with others.
    pub prefix: Option<PrefixId>,
    /// Length of its prompt.
    pub prompt_tokens: f64,
    /// Length of that prefix.
    pub prefix_tokens: f64,
    /// Most tokens that its answer may have.
    pub max_output_tokens: f64,
    /// Rough length of the answer, as time at the type's token interval.
    pub output_length_hint: Option<Nanos>,
    /// Whether it asks for the rest of an answer that broke off.
    pub resumed: bool,
    /// When it came in.
    pub arrived_at: Nanos,
    /// When it is given up if no token has come.
    pub first_token_deadline: Nanos,
    /// Its attempts, the last one in flight or none.
    pub attempts: Vec<Attempt>,
    /// Where its KV cache waits for a decode server.
    pub kv_cache: Option<KvCacheLocation>,
    /// Since when prefill servers may hold a KV cache for it while no server has an attempt: what rule 5 counts.
    pub cache_held_since: Option<Nanos>,
    /// Whether it was let past admission control.
    pub admitted: bool,
    /// Whether it has its final answer.
    pub completed: bool,
}

/// A prefill server whose memory holds a sequence's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvCacheLocation {
    /// The prefill server.
    pub server: ServerId,
    /// When its prefill ended.
    pub since: Nanos,
}

/// One attempt at a step of a sequence.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server that it was sent to.
    pub server: ServerId,
    /// When that was decided.
    pub sent_at: Nanos,
    /// What it is to do.
    pub step: Step,
    /// How far it is.
    pub status: AttemptStatus,
    /// Its server has it, as far as its socket proves: until then it is not in flight, as rule 5 counts.
    pub delivered: bool,
    /// Tokens this attempt was thought to load its server with.
    pub load_tokens: f64,
    /// Prompt tokens that its server was thought to have cached.
    pub expected_cached_tokens: f64,
}

/// What an attempt does of its sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The prompt, whose KV cache then waits at its server.
    Prefill,
    /// The answer, beside the prefill server: its cell holds the KV cache.
    Decode,
    /// The answer, out of the prefill server's cell: the KV cache has to be migrated.
    MigratedDecode,
    /// Both, at one server.
    Combined,
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptStatus {
    /// It was sent, and nothing has come back.
    InFlight,
    /// Its first token has come.
    Streaming,
    /// It is over.
    Finished(Outcome),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The answer is complete.
    Completed,
    /// Its server failed, or answered what the protocol does not allow.
    Error,
    /// Its server had no capacity, and has not begun.
    AtCapacity,
    /// The KV cache that it was to fetch is not there.
    KvCacheMissing,
    /// Its time was over.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// Its connection broke.
    Reset,
    /// The gateway broke it off.
    Cancelled,
    /// It never left the gateway.
    NeverSent,
    /// The prompt is prefilled and its KV cache waits.
    PrefillDone {
        /// Prompt tokens that the server had cached before.
        cached_tokens: f64,
    },
}

/// Where to send a sequence now, or not yet, or never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// To this server, as the attempt that was added to the sequence.
    Send(ServerId),
    /// Nowhere yet.
    Wait,
    /// Nowhere: a retry of its client is harmless.
    Reject {
        /// How long the client is asked to wait before that.
        retry_after: Option<Nanos>,
        /// Whether servers may hold a KV cache for it.
        release: bool,
    },
    /// Nowhere, and nothing is promised.
    Abort {
        /// Whether servers may hold a KV cache for it.
        release: bool,
    },
}

/// What follows the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Schedule the sequence again.
    Schedule,
    /// Nothing: another attempt is in flight, or the outcome was known.
    Wait,
    /// The sequence is complete.
    Complete {
        /// Whether servers may hold a KV cache for it.
        release: bool,
    },
}
