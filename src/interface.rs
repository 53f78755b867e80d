//! The plain data types of the scheduler's inputs and outputs. This module makes no decisions.
//!
//! Times are readings of one monotonic clock, and durations are differences of such readings, both in nanoseconds.
//! Amounts of work are counted in tokens.

/// Nanoseconds: a reading of the monotonic clock, or a duration on that clock.
pub type Nanos = u64;

/// Identifies a sequence at one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SequenceId(pub u64);
/// Identifies a model server. All gateways use the same id for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u64);
/// Identifies a conversation whose turns share a growing prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);
/// Identifies a prompt prefix that many sequences share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixId(pub u64);
/// Identifies a cell: a group of servers within which KV caches are transferred fast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub i64);
/// Identifies a zone by its index in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub usize);
/// Identifies a kind of server by its index in [`Deployment::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKindId(pub usize);
/// Identifies a traffic type by its index in [`Deployment::types`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TrafficTypeId(pub usize);
/// Identifies a tenant by its index in [`Deployment::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// The settings of a gateway: all that the gateway knows about the service before the first request arrives.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The number of gateways that share the fleet.
    pub gateways: usize,
    /// The zone that this gateway runs in.
    pub zone: ZoneId,
    /// The traffic types, indexed by [`TrafficTypeId`].
    pub types: Vec<TrafficType>,
    /// The kinds of servers, indexed by [`ServerKindId`].
    pub kinds: Vec<ServerKind>,
    /// The tenants, indexed by [`TenantId`].
    pub tenants: Vec<Tenant>,
    /// The factor on the priority weight of requests of a tenant that exceeds its quota.
    pub over_quota_factor: f64,
    /// The meaning of endpoint weights: sizes of servers, or ignored.
    pub weights: Weights,
    /// The way in which the gateway learns of changes to the endpoint list.
    pub discovery: Discovery,
    /// The maximum interval between two polls of the endpoint list.
    pub max_poll_interval: Nanos,
    /// The maximum number of attempts per sequence; a prefill and a decode count as two attempts.
    pub max_attempts: usize,
    /// The maximum Retry-After of a rejection; `None` where rejections carry no Retry-After.
    pub max_retry_after: Option<Nanos>,
    /// True if decode servers also run whole sequences, from prompt to answer.
    pub decode_servers_prefill: bool,
    /// The maximum time for which a KV cache may stay reserved while no attempt is in flight.
    pub release_timeout: Nanos,
    /// The duration of slow start after the start of a server.
    pub slow_start_duration: Nanos,
    /// The share of its full capacity that a server has when it starts.
    pub slow_start_initial_share: f64,
    /// The load at which a server in slow start fails, as a multiple of its present capacity.
    pub slow_start_overload_factor: f64,
    /// The window over which that load is counted.
    pub slow_start_window: Nanos,
    /// The maximum delay of a timer after the time that it was set for.
    pub timer_resolution: Nanos,
    /// The clock of the server start times in endpoint lists.
    pub start_time_clock: StartTimeClock,
}

impl Deployment {
    /// Returns true if servers of a role run whole sequences, from prompt to answer.
    pub fn serves_combined(&self, role: Role) -> bool {
        role == Role::Combined || (role == Role::Decode && self.decode_servers_prefill)
    }

    /// Returns true if servers of any kind run whole sequences, from prompt to answer.
    pub fn any_kind_serves_combined(&self) -> bool {
        self.kinds.iter().any(|kind| self.serves_combined(kind.role))
    }

    /// Returns true if an attempt at a step shows progress before the whole answer is complete. A prefill and a
    /// streamed answer show progress; a buffered answer does not.
    pub fn shows_progress(&self, traffic: TrafficTypeId, step: Step) -> bool {
        step == Step::Prefill || self.types[traffic.0].delivery == Delivery::Streamed
    }

    /// The priority weight of a traffic type as a share of the highest priority weight of all types.
    pub fn relative_priority(&self, traffic: TrafficTypeId) -> f64 {
        let highest = self.types.iter().map(|t| t.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
        self.types[traffic.0].priority_weight / highest
    }

    /// The latency objective of a sequence: the time from its arrival to its first token. It grows with the prompt.
    pub fn slo(&self, sequence: &Sequence) -> Nanos {
        let traffic = &self.types[sequence.traffic.0];
        let for_prompt = (sequence.prompt_tokens * traffic.slo_per_prompt_token as f64) as Nanos;
        traffic.latency_slo.saturating_add(for_prompt)
    }
}

/// The clock of the server start times in endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartTimeClock {
    /// The monotonic clock whose readings the scheduler gets as `now`.
    Local,
    /// The wall clocks of other machines, which may be wrong and may be stepped.
    Wall,
}

/// A class of requests with the same objectives and guarantees.
#[derive(Clone, Debug)]
pub struct TrafficType {
    /// The value of an answer within its latency objective, relative to the other types.
    pub priority_weight: f64,
    /// The latency objective for an empty prompt: the time to its first token.
    pub latency_slo: Nanos,
    /// The time that each prompt token adds to the latency objective.
    pub slo_per_prompt_token: Nanos,
    /// The usual time between two tokens of an answer.
    pub token_interval: Nanos,
    /// The conditions under which a request may run more than once.
    pub idempotency: Idempotency,
    /// The delivery of answers: streamed or buffered.
    pub delivery: Delivery,
}

/// The delivery of an answer to the client: token by token or all at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Each token of the answer is sent as soon as it is decoded.
    Streamed,
    /// Nothing of the answer is sent before it is complete.
    Buffered,
}

/// The conditions under which a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times: further runs have no further effect.
    Idempotent,
    /// The request has an idempotency key. Servers of one scope share their keys and run the request once, until the
    /// window that begins with its first run has passed.
    Keyed {
        /// The servers that share their idempotency keys.
        scope: KeyScope,
        /// The time for which servers remember a key.
        window: Nanos,
    },
    /// The request may run only once.
    AtMostOnce,
}

/// The servers that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    Fleet,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A kind of model server.
#[derive(Clone, Debug)]
pub struct ServerKind {
    /// The steps of a sequence that servers of this kind run.
    pub role: Role,
    /// The capacity of a server's KV cache memory, in tokens.
    pub memory_tokens: f64,
}

/// The steps of a sequence that a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Prefills prompts, and keeps each KV cache until a decode server has fetched it.
    Prefill,
    /// Fetches KV caches and decodes answers.
    Decode,
    /// Prefills prompts and decodes their answers.
    Combined,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The tenant's quota in requests per second, over all gateways.
    pub per_second: f64,
}

/// The meaning of endpoint weights: sizes of servers, or ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// A weight is the size of a server relative to other servers of its kind.
    Size,
    /// Weights are ignored: all servers of a kind have the same size.
    Unused,
}

/// The way in which the gateway learns of changes to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// The gateway watches the list: changes are pushed to it.
    Pushed,
    /// The gateway polls the list.
    Polled,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server that the entry describes.
    pub server: ServerId,
    /// The kind of the server.
    pub kind: ServerKindId,
    /// The cell of the server.
    pub cell: CellId,
    /// The zone of the server.
    pub zone: ZoneId,
    /// The size of the server relative to other servers of its kind, where weights are used.
    pub weight: f64,
    /// When the server last started; zero stands for a start long ago.
    pub started_at: Nanos,
    /// The state of the server, which determines if the server takes new work.
    pub state: EndpointState,
}

/// The state of a server in the endpoint list, which determines if the server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The server takes new work.
    Ready,
    /// The server finishes the work that it has and takes no new work.
    Draining,
    /// The server is no longer listed.
    Gone,
}

/// The set of endpoints that a list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotKind {
    /// All current endpoints.
    Full,
    /// All endpoints that were known when the list was stored.
    Cached,
    /// Only the endpoints that have changed.
    Delta,
}

/// The load that a server reports. Values that the servers of this deployment don't report are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The share of the server's KV cache memory that is in use.
    pub memory_share: Option<f64>,
    /// The number of prompt tokens that wait to be prefilled.
    pub queued_prompt_tokens: Option<f64>,
    /// The number of sequences in flight at the server, including those that wait.
    pub in_flight: Option<f64>,
}

/// A sequence in flight: the request of its client and its attempts so far.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// The id of the sequence at its gateway.
    pub id: SequenceId,
    /// The traffic type of the sequence.
    pub traffic: TrafficTypeId,
    /// The tenant whose quota the sequence counts toward.
    pub tenant: Option<TenantId>,
    /// The conversation that the sequence belongs to.
    pub session: Option<SessionId>,
    /// The prefix that the prompt shares with other sequences.
    pub prefix: Option<PrefixId>,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// The length of the shared prefix, in tokens.
    pub prefix_tokens: f64,
    /// The maximum length of the answer, in tokens.
    pub max_output_tokens: f64,
    /// The approximate length of the answer, as the time that it takes at the traffic type's token interval.
    pub output_length_hint: Option<Nanos>,
    /// True if the request continues an answer whose stream broke off.
    pub resumed: bool,
    /// When the request arrived.
    pub arrived_at: Nanos,
    /// When the sequence is given up if its first token has not come.
    pub first_token_deadline: Nanos,
    /// The attempts in the order in which they were sent. Only the last one may be in flight.
    pub attempts: Vec<Attempt>,
    /// The prefill server whose KV cache a decode server may fetch.
    pub kv_cache: Option<KvCacheLocation>,
    /// The time since which prefill servers may hold a KV cache for the sequence while no attempt is in flight. The
    /// release timeout (rule 5) counts from this time.
    pub cache_held_since: Option<Nanos>,
    /// True if the sequence has passed admission control.
    pub admitted: bool,
    /// True if the sequence has its final answer.
    pub completed: bool,
}

/// The prefill server that holds the KV cache of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvCacheLocation {
    /// The prefill server.
    pub server: ServerId,
    /// When the prefill ended.
    pub since: Nanos,
}

/// One attempt at a step of a sequence.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// When the scheduler decided to send the attempt.
    pub sent_at: Nanos,
    /// The step that the server is to run.
    pub step: Step,
    /// The progress or the outcome of the attempt.
    pub status: AttemptStatus,
    /// True if the server has received the attempt, as far as the gateway's socket proves it. Until then the attempt
    /// does not count as in flight for the release timeout (rule 5).
    pub delivered: bool,
    /// The estimated load that the attempt puts on its server, in tokens.
    pub load_tokens: f64,
    /// The estimated number of prompt tokens that the server had cached.
    pub expected_cached_tokens: f64,
}

/// The part of a sequence that an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The server prefills the prompt and holds the KV cache.
    Prefill,
    /// The server decodes the answer in the cell of the prefill server, where the KV cache is.
    Decode,
    /// The server decodes the answer in another cell than the prefill server's: the KV cache has to be migrated.
    MigratedDecode,
    /// One server prefills the prompt and decodes the answer.
    Combined,
}

/// The progress or the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptStatus {
    /// The attempt was sent and has had no response.
    InFlight,
    /// The first token has come.
    Streaming,
    /// The attempt has ended.
    Finished(Outcome),
}

/// The way in which an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The answer is complete.
    Completed,
    /// The server failed, or its response violated the protocol.
    Error,
    /// The server had no capacity and did not start the attempt.
    AtCapacity,
    /// The prefill server did not hold the KV cache that the attempt was to fetch.
    KvCacheMissing,
    /// The attempt timed out.
    TimedOut,
    /// No connection to the server could be established.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The gateway cancelled the attempt.
    Cancelled,
    /// The attempt never left the gateway.
    NeverSent,
    /// The prompt is prefilled, and the prefill server holds the KV cache.
    PrefillDone {
        /// The number of prompt tokens that the server had already cached.
        cached_tokens: f64,
    },
}

/// The decision on a sequence: send it to a server, wait, or end it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send the attempt that was added to the sequence to this server.
    Send(ServerId),
    /// Send nothing yet.
    Wait,
    /// Reject the sequence: a retry by its client is harmless.
    Reject {
        /// The time that the client is asked to wait before it retries.
        retry_after: Option<Nanos>,
        /// True if servers may hold a KV cache for the sequence.
        release: bool,
    },
    /// Abort the sequence. Unlike a rejection, this doesn't promise that a retry is harmless.
    Abort {
        /// True if servers may hold a KV cache for the sequence.
        release: bool,
    },
}

/// The gateway's next step after the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Schedule the sequence again.
    Schedule,
    /// Do nothing: another attempt is in flight, or the outcome was already known.
    Wait,
    /// Complete the sequence.
    Complete {
        /// True if servers may hold a KV cache for the sequence.
        release: bool,
    },
}
