//! Simple model servers in virtual time.
//!
//! A prefill server processes one prompt after the other, less what it has cached of it. A decode server generates all
//! its streams at once, slower the more there are, and rejects what does not fit its memory.

use crate::inventory::{MEMORY_TOKENS, MILLISECOND};
use petrelshore::interface::{CellId, Deployment, Endpoint, EndpointState, LoadReport, Nanos, ZoneId};
use std::collections::{BTreeMap, HashMap};

/// Prompt tokens that a warm prefill server processes in a second.
const PREFILL_TOKENS_PER_SECOND: f64 = 80_000.0;
const NANOS_PER_SECOND: f64 = 1e9;
/// A prefill or the first token of a decode takes this long beside its work.
const OVERHEAD: Nanos = 15 * MILLISECOND;
/// The additional time to transfer a KV cache to another cell.
const CELL_TRANSFER_TIME: Nanos = 40 * MILLISECOND;
/// The additional time to transfer a KV cache to another zone.
const ZONE_TRANSFER_TIME: Nanos = 120 * MILLISECOND;
/// The time between two tokens of a lone stream, in nanoseconds.
const TOKEN_INTERVAL: f64 = 24.0 * MILLISECOND as f64;
/// What each further stream adds to that.
const TOKEN_INTERVAL_PER_STREAM: f64 = 0.06 * MILLISECOND as f64;
/// A prefill server with more work than this in its queue rejects.
const MAX_QUEUE: Nanos = 4_000 * MILLISECOND;

/// A cached prompt or prefix.
struct CachedText {
    tokens: f64,
    last_used: u64,
}

/// The prefix cache of a prefill server; the least recently used text is evicted first.
#[derive(Default)]
struct PrefixCache {
    texts: HashMap<u64, CachedText>,
    by_last_use: BTreeMap<u64, u64>,
    tokens: f64,
    uses: u64,
}

impl PrefixCache {
    fn cached_tokens(&self, text: u64) -> f64 {
        self.texts.get(&text).map_or(0.0, |cached| cached.tokens)
    }

    fn insert(&mut self, text: u64, tokens: f64) {
        self.uses += 1;
        let cached = CachedText { tokens, last_used: self.uses };
        if let Some(before) = self.texts.insert(text, cached) {
            self.by_last_use.remove(&before.last_used);
            self.tokens -= before.tokens;
        }
        self.by_last_use.insert(self.uses, text);
        self.tokens += tokens;
        while self.tokens > MEMORY_TOKENS
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.tokens -= self.texts.remove(&oldest).map_or(0.0, |cached| cached.tokens);
        }
    }
}

/// A prompt, as a server sees it.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Identifies the session.
    pub session: u64,
    /// Identifies the shared prefix.
    pub prefix: u64,
    /// All tokens.
    pub tokens: f64,
    /// Tokens of the shared prefix.
    pub prefix_tokens: f64,
    /// Tokens that an earlier turn of its session had.
    pub earlier_tokens: f64,
}

/// Where a KV cache is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheLocation {
    /// The cell.
    pub cell: CellId,
    /// The zone.
    pub zone: ZoneId,
}

/// An accepted prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillTiming {
    /// When it is done.
    pub done_at: Nanos,
    /// Tokens that were cached.
    pub cached_tokens: f64,
}

/// An accepted decode.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecodeTiming {
    /// When the first token is generated.
    pub first_token_at: Nanos,
    /// The time between two tokens.
    pub token_interval: Nanos,
}

/// A model server.
pub struct ModelServer {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Identifies its process: another number for each start and loss.
    pub incarnation: u64,
    /// It responds to nothing.
    pub lost: bool,
    /// Work done: prompt tokens processed, or requests decoded.
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
    /// A warm server.
    pub fn new(endpoint: Endpoint, deployment: &Deployment) -> Self {
        ModelServer {
            endpoint,
            incarnation: 0,
            lost: false,
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

    /// Loses the server's process.
    pub fn lose(&mut self) {
        self.lost = true;
        self.incarnation += 1;
    }

    /// Starts a new process, in slow start and with empty memory.
    pub fn restart(&mut self, now: Nanos) {
        self.endpoint.started_at = now;
        self.endpoint.state = EndpointState::Ready;
        self.incarnation += 1;
        self.lost = false;
        self.slow_start_until = now + self.slow_start_duration;
        self.busy_until = now;
        self.cache = PrefixCache::default();
        self.streams = 0;
        self.stream_tokens = 0.0;
    }

    /// The share of its capacity that it has by now.
    pub fn capacity_share(&self, now: Nanos) -> f64 {
        let left = self.slow_start_until.saturating_sub(now) as f64 / self.slow_start_duration.max(1) as f64;
        1.0 - (1.0 - self.initial_share) * left.clamp(0.0, 1.0)
    }

    /// Whether it is in slow start.
    pub fn in_slow_start(&self, now: Nanos) -> bool {
        now < self.slow_start_until
    }

    /// Accepts a prompt; `None` where its queue is full.
    pub fn prefill(&mut self, now: Nanos, prompt: &Prompt) -> Option<PrefillTiming> {
        if self.busy_until > now + MAX_QUEUE {
            return None;
        }
        let session = self.cache.cached_tokens(prompt.session).min(prompt.earlier_tokens);
        let prefix = self.cache.cached_tokens(prompt.prefix).min(prompt.prefix_tokens);
        let cached_tokens = session.max(prefix);
        let tokens = prompt.tokens - cached_tokens;
        let takes = tokens / (PREFILL_TOKENS_PER_SECOND * self.capacity_share(now)) * NANOS_PER_SECOND;
        self.busy_until = self.busy_until.max(now) + takes as Nanos;
        self.cache.insert(prompt.session, prompt.tokens);
        self.cache.insert(prompt.prefix, prompt.prefix_tokens);
        self.work += tokens;
        Some(PrefillTiming { done_at: self.busy_until + OVERHEAD, cached_tokens })
    }

    /// Accepts a stream of so many tokens, prompt included; `None` where its memory is full.
    pub fn decode(&mut self, now: Nanos, tokens: f64, cache: CacheLocation) -> Option<DecodeTiming> {
        if self.stream_tokens + tokens > MEMORY_TOKENS {
            return None;
        }
        self.streams += 1;
        self.stream_tokens += tokens;
        self.work += 1.0;
        let transfer = if self.endpoint.cell == cache.cell {
            0
        } else if self.endpoint.zone == cache.zone {
            CELL_TRANSFER_TIME
        } else {
            ZONE_TRANSFER_TIME
        };
        let slowdown = TOKEN_INTERVAL_PER_STREAM * self.streams as f64 / self.capacity_share(now);
        let token_interval = (TOKEN_INTERVAL + slowdown) as Nanos;
        Some(DecodeTiming { first_token_at: now + OVERHEAD + transfer + token_interval, token_interval })
    }

    /// A stream of so many tokens has ended.
    pub fn end_stream(&mut self, tokens: f64) {
        self.streams = self.streams.saturating_sub(1);
        self.stream_tokens = (self.stream_tokens - tokens).max(0.0);
    }

    /// The load report that goes with a response.
    pub fn load_report(&self, now: Nanos) -> LoadReport {
        let queued_seconds = self.busy_until.saturating_sub(now) as f64 / NANOS_PER_SECOND;
        LoadReport {
            memory_share: Some(self.stream_tokens / MEMORY_TOKENS),
            queued_prompt_tokens: Some(queued_seconds * PREFILL_TOKENS_PER_SECOND),
            in_flight: Some(self.streams as f64),
        }
    }
}
