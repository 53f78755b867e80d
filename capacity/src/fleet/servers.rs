//! Simulates simplified model servers in virtual time.
//!
//! A prefill server processes one prompt at a time and skips the tokens in its prefix cache. A decode server generates
//! all its streams concurrently; the token interval of a new stream grows with the number of streams. A decode server
//! rejects a request whose tokens do not fit its memory.

use crate::inventory::{MEMORY_TOKENS, MILLISECOND};
use petrelshore::interface::{CellId, Deployment, Endpoint, EndpointState, LoadReport, Nanos, ZoneId};
use std::collections::{BTreeMap, HashMap};

/// Number of prompt tokens that a warm prefill server processes per second.
const PREFILL_TOKENS_PER_SECOND: f64 = 80_000.0;
const NANOS_PER_SECOND: f64 = 1e9;
/// Fixed time that a prefill, or the first token of a decode, takes in addition to its processing, in nanoseconds.
const OVERHEAD: Nanos = 15 * MILLISECOND;
/// Additional time to transfer a KV cache to another cell of the same zone, in nanoseconds.
const CELL_TRANSFER_TIME: Nanos = 40 * MILLISECOND;
/// Additional time to transfer a KV cache to another zone, in nanoseconds.
const ZONE_TRANSFER_TIME: Nanos = 120 * MILLISECOND;
/// Time between two tokens, without the part that depends on the number of streams, in nanoseconds.
const TOKEN_INTERVAL: f64 = 24.0 * MILLISECOND as f64;
/// Time that each stream adds to the token interval of a warm server, in nanoseconds.
const TOKEN_INTERVAL_PER_STREAM: f64 = 0.06 * MILLISECOND as f64;
/// Maximum processing time of the queue of a prefill server, in nanoseconds. A server with a longer queue rejects
/// requests.
const MAX_QUEUE_TIME: Nanos = 4_000 * MILLISECOND;

/// A prompt or shared prefix in a prefix cache.
struct CacheEntry {
    tokens: f64,
    /// Number of the last insertion; the key of the entry in `PrefixCache::by_last_use`.
    last_used: u64,
}

/// The prefix cache of a prefill server, which evicts the least recently used entry first.
#[derive(Default)]
struct PrefixCache {
    entries: HashMap<u64, CacheEntry>,
    by_last_use: BTreeMap<u64, u64>,
    tokens: f64,
    uses: u64,
}

impl PrefixCache {
    fn cached_tokens(&self, key: u64) -> f64 {
        self.entries.get(&key).map_or(0.0, |cached| cached.tokens)
    }

    fn insert(&mut self, key: u64, tokens: f64) {
        self.uses += 1;
        let cached = CacheEntry { tokens, last_used: self.uses };
        if let Some(previous) = self.entries.insert(key, cached) {
            self.by_last_use.remove(&previous.last_used);
            self.tokens -= previous.tokens;
        }
        self.by_last_use.insert(self.uses, key);
        self.tokens += tokens;
        while self.tokens > MEMORY_TOKENS
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.tokens -= self.entries.remove(&oldest).map_or(0.0, |cached| cached.tokens);
        }
    }
}

/// A prompt, in the terms that matter to a prefill server.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// The ID of the session.
    pub session: u64,
    /// The ID of the shared prefix.
    pub prefix: u64,
    /// Number of tokens of the whole prompt.
    pub tokens: f64,
    /// Number of tokens of the shared prefix.
    pub prefix_tokens: f64,
    /// Number of prompt tokens of the previous turn of the session; 0 in the first turn.
    pub earlier_tokens: f64,
}

/// The location of the server that holds a KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheLocation {
    /// The cell of the server.
    pub cell: CellId,
    /// The zone of the server.
    pub zone: ZoneId,
}

/// The timing of an accepted prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillTiming {
    /// Time at which the prefill is done, in nanoseconds.
    pub done_at: Nanos,
    /// Number of prompt tokens that were cached.
    pub cached_tokens: f64,
}

/// The timing of an accepted decode.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecodeTiming {
    /// Time at which the server generates the first token, in nanoseconds.
    pub first_token_at: Nanos,
    /// Time between two tokens, in nanoseconds.
    pub token_interval: Nanos,
}

/// A simulated model server.
pub struct ModelServer {
    /// The entry of the server in the endpoint list.
    pub endpoint: Endpoint,
    /// Identifies the process of the server. Each failure and each restart increments the number.
    pub incarnation: u64,
    /// The server has failed and accepts no connections.
    pub failed: bool,
    /// The accepted work: the number of uncached prompt tokens on a prefill server, the number of requests on a decode
    /// server.
    pub work: f64,
    slow_start_until: Nanos,
    slow_start_duration: Nanos,
    initial_share: f64,
    busy_until: Nanos,
    cache: PrefixCache,
    streams: usize,
    stream_tokens: f64,
}

impl ModelServer {
    /// Creates a warm server.
    pub fn new(endpoint: Endpoint, deployment: &Deployment) -> Self {
        ModelServer {
            endpoint,
            incarnation: 0,
            failed: false,
            work: 0.0,
            slow_start_until: 0,
            slow_start_duration: deployment.slow_start_duration,
            initial_share: deployment.slow_start_initial_share,
            busy_until: 0,
            cache: PrefixCache::default(),
            streams: 0,
            stream_tokens: 0.0,
        }
    }

    /// Simulates the failure of the server's process.
    pub fn fail(&mut self) {
        self.failed = true;
        self.incarnation += 1;
    }

    /// Starts a new process of the server, in slow start and with empty memory.
    pub fn restart(&mut self, now: Nanos) {
        self.endpoint.started_at = now;
        self.endpoint.state = EndpointState::Ready;
        self.incarnation += 1;
        self.failed = false;
        self.slow_start_until = now + self.slow_start_duration;
        self.busy_until = now;
        self.cache = PrefixCache::default();
        self.streams = 0;
        self.stream_tokens = 0.0;
    }

    /// Returns the share of its full capacity that the server has at `now`. The share grows linearly during slow start.
    pub fn capacity_share(&self, now: Nanos) -> f64 {
        let left = self.slow_start_until.saturating_sub(now) as f64 / self.slow_start_duration.max(1) as f64;
        1.0 - (1.0 - self.initial_share) * left.clamp(0.0, 1.0)
    }

    /// Returns whether the server is in slow start.
    pub fn in_slow_start(&self, now: Nanos) -> bool {
        now < self.slow_start_until
    }

    /// Accepts a prompt, or returns `None` if the queue of the server is full.
    pub fn prefill(&mut self, now: Nanos, prompt: &Prompt) -> Option<PrefillTiming> {
        if self.busy_until > now + MAX_QUEUE_TIME {
            return None;
        }
        let session = self.cache.cached_tokens(prompt.session).min(prompt.earlier_tokens);
        let prefix = self.cache.cached_tokens(prompt.prefix).min(prompt.prefix_tokens);
        let cached_tokens = session.max(prefix);
        let tokens = prompt.tokens - cached_tokens;
        let processing_time =
            tokens / (PREFILL_TOKENS_PER_SECOND * self.capacity_share(now)) * NANOS_PER_SECOND;
        self.busy_until = self.busy_until.max(now) + processing_time as Nanos;
        self.cache.insert(prompt.session, prompt.tokens);
        self.cache.insert(prompt.prefix, prompt.prefix_tokens);
        self.work += tokens;
        Some(PrefillTiming { done_at: self.busy_until + OVERHEAD, cached_tokens })
    }

    /// Accepts a decode of `tokens` tokens, prompt included. Returns `None` if the tokens do not fit the memory of the
    /// server. The location of the KV cache, `cache`, determines the transfer time.
    pub fn decode(&mut self, now: Nanos, tokens: f64, cache: CacheLocation) -> Option<DecodeTiming> {
        if self.stream_tokens + tokens > MEMORY_TOKENS {
            return None;
        }
        self.streams += 1;
        self.stream_tokens += tokens;
        self.work += 1.0;
        let transfer_time = if self.endpoint.cell == cache.cell {
            0
        } else if self.endpoint.zone == cache.zone {
            CELL_TRANSFER_TIME
        } else {
            ZONE_TRANSFER_TIME
        };
        let slowdown = TOKEN_INTERVAL_PER_STREAM * self.streams as f64 / self.capacity_share(now);
        let token_interval = (TOKEN_INTERVAL + slowdown) as Nanos;
        Some(DecodeTiming { first_token_at: now + OVERHEAD + transfer_time + token_interval, token_interval })
    }

    /// Ends a stream and frees the memory of its `tokens` tokens.
    pub fn end_stream(&mut self, tokens: f64) {
        self.streams = self.streams.saturating_sub(1);
        self.stream_tokens = (self.stream_tokens - tokens).max(0.0);
    }

    /// Returns the load report that the server sends with a response.
    pub fn load_report(&self, now: Nanos) -> LoadReport {
        let queued_seconds = self.busy_until.saturating_sub(now) as f64 / NANOS_PER_SECOND;
        LoadReport {
            memory_share: Some(self.stream_tokens / MEMORY_TOKENS),
            queued_prompt_tokens: Some(queued_seconds * PREFILL_TOKENS_PER_SECOND),
            in_flight: Some(self.streams as f64),
        }
    }
}
