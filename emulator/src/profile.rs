//! What a model server can do, and how it fails.

use crate::record::Nanos;
use std::fmt;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000_000_000;

/// The steps that a model server executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Processes prompts.
    Prefill,
    /// Generates answers from a KV cache that it fetches.
    Decode,
    /// Both.
    Combined,
}

impl Role {
    /// The name of such servers in inventory files.
    pub fn kind(self) -> &'static str {
        match self {
            Role::Prefill => "reader",
            Role::Decode => "writer",
            Role::Combined => "mixed",
        }
    }
}

/// What a kind of model server can do. Times are in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// The steps that it executes.
    pub role: Role,
    /// Answers that it generates at once.
    pub slots: usize,
    /// Requests that may wait besides.
    pub queue: usize,
    /// The capacity of its KV cache, in tokens.
    pub memory_tokens: u64,
    /// It drops a KV cache that nobody fetches or releases within this time.
    pub cache_timeout: Nanos,
    /// Its prefill speed.
    pub prefill_tokens_per_second: f64,
    /// The time between two tokens of an answer while it is otherwise idle; twice that when all slots are used.
    pub token_interval: Nanos,
    /// How long it takes to warm up.
    pub warm_up: Nanos,
    /// The share of its speed that it has as it starts cold.
    pub initial_capacity: f64,
    /// While it warms up it fails for good when sent more than this multiple of what it can do at that moment.
    pub overload_factor: f64,
    /// Overload is measured over this time.
    pub overload_window: Nanos,
}

impl Profile {
    /// The profile of a role where nothing else is configured.
    pub fn default_for(role: Role) -> Profile {
        Profile {
            role,
            slots: 64,
            queue: 64,
            memory_tokens: 200_000,
            cache_timeout: 20 * SECOND,
            prefill_tokens_per_second: 20_000.0,
            token_interval: 20 * MILLISECOND,
            warm_up: 10 * SECOND,
            initial_capacity: 0.3,
            overload_factor: 2.5,
            overload_window: 2 * SECOND,
        }
    }
}

/// How a model server misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Not at all.
    None,
    /// Works so many times slower.
    Slow(f64),
    /// Accepts everything and sends no response.
    Silent,
    /// Rejects everything as over capacity.
    Full,
    /// Fails after working for so many nanoseconds.
    FailsSlowly(Nanos),
    /// Breaks connections after so many tokens.
    ResetAfter(u64),
    /// Ends its streams without their end marker after so many tokens.
    EndsBadly(u64),
    /// Sends an invalid event after so many tokens.
    Garbage(u64),
    /// Accepts connections and reads no request from them.
    Hangs,
}

impl fmt::Display for Fault {
    /// Writes the words that records use.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::None => formatter.write_str("None"),
            Fault::Slow(factor) => write!(formatter, "Slow({factor:?})"),
            Fault::Silent => formatter.write_str("Silent"),
            Fault::Full => formatter.write_str("Full"),
            Fault::FailsSlowly(after) => write!(formatter, "FailsSlowly({after})"),
            Fault::ResetAfter(tokens) => write!(formatter, "ResetAfter({tokens})"),
            Fault::EndsBadly(tokens) => write!(formatter, "EndsBadly({tokens})"),
            Fault::Garbage(tokens) => write!(formatter, "Garbage({tokens})"),
            Fault::Hangs => formatter.write_str("Hangs"),
        }
    }
}
