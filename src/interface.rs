//! The plain types that cross into and out of the decisions. Nothing here decides.

/// Whole nanoseconds, of the clock or of a span.
pub type Nanos = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SeqId(pub u64);
/// The same at every gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub i64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TypeId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// What a gateway is told once, at its start.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub gateways: usize,
    pub zone: ZoneId,
    pub types: Vec<TrafficType>,
    pub kinds: Vec<Kind>,
    pub tenants: Vec<Tenant>,
    pub over_share_utility: f64,
    pub weights: Weights,
    pub discovery: Discovery,
    pub ask_within: Nanos,
    pub max_attempts: usize,
    pub longest_retry_after: Option<Nanos>,
    pub writers_read: bool,
    pub release_within: Nanos,
    pub cold_for: Nanos,
    pub cold_from: f64,
    pub cold_multiple: f64,
    pub cold_window: Nanos,
    /// A timer may come this much later than it was asked for.
    pub tick: Nanos,
    pub start_stamps: StartStamps,
}

impl Deployment {
    /// Whether a server of this role takes sequences whole.
    pub fn takes_whole(&self, role: Role) -> bool {
        role == Role::Mixed || (role == Role::Writer && self.writers_read)
    }

    /// Whether servers of any kind do.
    pub fn some_take_whole(&self) -> bool {
        self.kinds.iter().any(|kind| self.takes_whole(kind.role))
    }

    /// Whether a step shows that it goes well before all of it is done: an answer that comes whole does not.
    pub fn shows(&self, traffic: TypeId, step: Step) -> bool {
        step == Step::Read || self.types[traffic.0].delivery == Delivery::Streamed
    }

    /// A type's utility against the highest.
    pub fn utility(&self, traffic: TypeId) -> f64 {
        let highest = self.types.iter().map(|t| t.utility).fold(f64::MIN_POSITIVE, f64::max);
        self.types[traffic.0].utility / highest
    }

    /// The time to the first token that a sequence is meant to have.
    pub fn slo(&self, seq: &Sequence) -> Nanos {
        let traffic = &self.types[seq.traffic.0];
        traffic.latency_slo.saturating_add((seq.prompt_tokens * traffic.slo_per_prompt_token as f64) as Nanos)
    }
}

/// By which clock lists tell when servers started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStamps {
    /// The clock that the decisions are told the time by.
    OwnClock,
    /// The wall clocks of other machines, which may be wrong, and be stepped.
    WallClock,
}

#[derive(Clone, Debug)]
pub struct TrafficType {
    pub utility: f64,
    pub latency_slo: Nanos,
    pub slo_per_prompt_token: Nanos,
    pub token_pace: Nanos,
    pub effect: Effect,
    pub delivery: Delivery,
}

/// What shows of an answer before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Its first token, and each one after.
    Streamed,
    /// Nothing.
    Whole,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    Tokened { scope: Scope, window: Nanos },
    OnceOnly,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct Kind {
    pub role: Role,
    pub memory_tokens: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Reader,
    Writer,
    Mixed,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    pub per_second: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    Size,
    Unused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    Pushed,
    Asked,
}

/// One line of the list of servers.
#[derive(Clone, Debug)]
pub struct Listing {
    pub server: ServerId,
    pub kind: KindId,
    pub cell: CellId,
    pub zone: ZoneId,
    pub weight: f64,
    /// When it last started; zero: long ago.
    pub since: Nanos,
    pub condition: Condition,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    Whole,
    Remembered,
    Changes,
}

/// The load that a server reports of itself, as far as this deployment's reports go.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub memory_share: Option<f64>,
    pub queued_prompt_tokens: Option<f64>,
    /// Sequences that it has in hand, those that wait among them.
    pub in_flight: Option<f64>,
}

/// A sequence in hand: what the client told, and what was tried.
#[derive(Clone, Debug)]
pub struct Sequence {
    pub id: SeqId,
    pub traffic: TypeId,
    pub tenant: Option<TenantId>,
    pub session: Option<SessionId>,
    pub prefix: Option<PrefixId>,
    pub prompt_tokens: f64,
    pub prefix_tokens: f64,
    pub max_out: f64,
    /// Rough length of the answer, as time at the type's token pace.
    pub hint: Option<Nanos>,
    pub resumed: bool,
    pub arrived: Nanos,
    pub abandon_at: Nanos,
    pub attempts: Vec<Attempt>,
    /// The reader whose memory holds the read state, and when it was read.
    pub state: Option<(ServerId, Nanos)>,
    /// Since when readers may hold something for it while no server has an attempt: what rule 5 counts.
    pub held_since: Option<Nanos>,
    pub admitted: bool,
    pub ended: bool,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub server: ServerId,
    pub sent: Nanos,
    pub step: Step,
    pub status: Status,
    /// Its server has it, as far as its socket proves: until then it is not out, as rule 5 counts.
    pub reached: bool,
    /// Tokens this attempt was thought to load its server with.
    pub tokens: f64,
    pub credit: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Read,
    Write,
    /// Written out of the reader's cell: the state has to be moved.
    Move,
    Whole,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    Out,
    Streaming,
    Closed(Outcome),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Generated,
    Error,
    Full,
    NoState,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NeverSent,
    /// The prompt is read and its state waits; so many prompt tokens had been kept.
    ReadDone {
        kept: f64,
    },
}

/// Where to send a sequence now, or not yet, or never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Schedule {
    Send(ServerId),
    NotYet,
    Rejected { retry_after: Option<Nanos>, release: bool },
    Aborted { release: bool },
}

/// What to do after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    Schedule,
    Wait,
    Ended { release: bool },
}
