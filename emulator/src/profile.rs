//! The capabilities and the faults of a model server.

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
    /// Processes prompts and generates answers.
    Combined,
}

impl Role {
    /// The name of the role's server kind in inventory files.
    pub fn kind(self) -> &'static str {
        match self {
            Role::Prefill => "reader",
            Role::Decode => "writer",
            Role::Combined => "mixed",
        }
    }
}

/// The capabilities of a kind of model server. Times are in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// The steps that the server executes.
    pub role: Role,
    /// The number of answers that the server generates concurrently.
    pub slots: usize,
    /// The number of requests that may be queued in addition to those in slots.
    pub queue: usize,
    /// The capacity of the server's KV cache, in tokens.
    pub memory_tokens: u64,
    /// The time after which the server drops a KV cache that was not fetched or released.
    pub cache_timeout: Nanos,
    /// The prefill speed at full speed, in tokens per second.
    pub prefill_tokens_per_second: f64,
    /// The time between two tokens of an answer on an otherwise idle server. The time grows with the used slots, up to
    /// twice this value when all slots are used.
    pub token_interval: Nanos,
    /// The duration of the warm-up after a cold start.
    pub warm_up: Nanos,
    /// The share of full speed at which the server starts when it is cold.
    pub initial_capacity: f64,
    /// A server that is warming up fails permanently when its load exceeds this multiple of its current capacity.
    pub overload_factor: f64,
    /// The time window over which the load during warm-up is measured.
    pub overload_window: Nanos,
}

impl Profile {
    /// The default profile of a role.
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

/// A fault of a model server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The server works correctly.
    None,
    /// Divides the server's speed by this factor; factors below 1 have no effect.
    Slow(f64),
    /// Reads every request and sends no response.
    Silent,
    /// Rejects every job as over capacity.
    Full,
    /// Accepts jobs and responds to each with an error after this time, in nanoseconds.
    FailsSlowly(Nanos),
    /// Breaks the connection in the middle of an answer, after this number of tokens.
    ResetAfter(u64),
    /// Ends the stream of an answer without its end marker after this number of tokens.
    EndsBadly(u64),
    /// Sends invalid events in place of the tokens after this number of tokens.
    Garbage(u64),
    /// Accepts connections without serving HTTP on them: no request gets a response.
    Hangs,
}

impl fmt::Display for Fault {
    /// Writes the name of the fault in records.
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
