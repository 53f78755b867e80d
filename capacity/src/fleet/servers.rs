//! Simple model servers in virtual time.
//!
//! A prefill server reads one prompt after the other at its rate, less what it has kept of it. A decode server writes all
//! its streams at once, the slower the more there are, and turns away what does not fit its memory.

use crate::inventory::{MEMORY_TOKENS, MILLISECOND};
use petrelshore::interface::*;
use std::collections::{BTreeMap, HashMap};

/// Prompt tokens that a warm prefill server reads in a second.
const PREFILL_RATE: f64 = 80_000.0;
/// A prefill or the first token of a decode takes this long beside its work.
const OVERHEAD: Nanos = 15 * MILLISECOND;
/// What a state needs more to be moved to another cell, and to another zone.
const MOVE_CELL: Nanos = 40 * MILLISECOND;
const MOVE_ZONE: Nanos = 120 * MILLISECOND;
/// Time between two tokens of a lone stream, and what each further stream adds.
const TOKEN: f64 = 24.0 * MILLISECOND as f64;
const TOKEN_MORE: f64 = 0.06 * MILLISECOND as f64;
/// More prompt work than this in its queue, and a prefill server turns away.
const LONGEST_QUEUE: Nanos = 4_000 * MILLISECOND;

/// Texts that a prefill server keeps, the one used longest ago leaving first.
#[derive(Default)]
struct Cache {
    texts: HashMap<u64, (f64, u64)>,
    by_use: BTreeMap<u64, u64>,
    tokens: f64,
    uses: u64,
}

impl Cache {
    fn kept(&self, text: u64) -> f64 {
        self.texts.get(&text).map_or(0.0, |(tokens, _)| *tokens)
    }

    fn keep(&mut self, text: u64, tokens: f64) {
        self.uses += 1;
        if let Some((before, used)) = self.texts.insert(text, (tokens, self.uses)) {
            self.by_use.remove(&used);
            self.tokens -= before;
        }
        self.by_use.insert(self.uses, text);
        self.tokens += tokens;
        while self.tokens > MEMORY_TOKENS
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.tokens -= self.texts.remove(&oldest).map_or(0.0, |(tokens, _)| tokens);
        }
    }
}

/// A prompt as a server sees it.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    pub session: u64,
    pub prefix: u64,
    pub tokens: f64,
    pub prefix_tokens: f64,
    /// Tokens of it that an earlier turn of its session had.
    pub earlier_tokens: f64,
}

/// What comes of a request: when, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The prompt is read by then; so much of it had been kept.
    Read {
        at: Nanos,
        kept: f64,
    },
    /// The first token comes then, the others this far apart.
    Writes {
        first: Nanos,
        token: Nanos,
    },
    Full,
}

pub struct ModelServer {
    pub endpoint: Endpoint,
    /// Another number for each start.
    pub start: u64,
    pub lost: bool,
    cold_until: Nanos,
    slow_start: Nanos,
    cold_from: f64,
    busy_until: Nanos,
    cache: Cache,
    streams: usize,
    tokens: f64,
    /// Work done: prompt tokens read, or requests decoded.
    pub work: f64,
}

impl ModelServer {
    pub fn new(endpoint: Endpoint, deployment: &Deployment) -> Self {
        ModelServer {
            endpoint,
            start: 0,
            lost: false,
            cold_until: 0,
            slow_start: deployment.slow_start_duration,
            cold_from: deployment.slow_start_initial_share,
            busy_until: 0,
            cache: Cache::default(),
            streams: 0,
            tokens: 0.0,
            work: 0.0,
        }
    }

    /// Starts anew, cold and empty.
    pub fn restart(&mut self, now: Nanos) {
        let endpoint = Endpoint { started_at: now, state: EndpointState::Ready, ..self.endpoint.clone() };
        self.start += 1;
        (self.endpoint, self.lost) = (endpoint, false);
        self.cold_until = now + self.slow_start;
        (self.busy_until, self.cache) = (now, Cache::default());
        (self.streams, self.tokens) = (0, 0.0);
    }

    /// The share of its capacity that it has by now.
    pub fn present(&self, now: Nanos) -> f64 {
        let cold = self.cold_until.saturating_sub(now) as f64 / self.slow_start.max(1) as f64;
        1.0 - (1.0 - self.cold_from) * cold.clamp(0.0, 1.0)
    }

    pub fn is_cold(&self, now: Nanos) -> bool {
        now < self.cold_until
    }

    /// Takes a prompt to read.
    pub fn read(&mut self, now: Nanos, prompt: &Prompt) -> Outcome {
        if self.busy_until > now + LONGEST_QUEUE {
            return Outcome::Full;
        }
        let session = self.cache.kept(prompt.session).min(prompt.earlier_tokens);
        let prefix = self.cache.kept(prompt.prefix).min(prompt.prefix_tokens);
        let kept = session.max(prefix);
        let read = prompt.tokens - kept;
        let takes = read / (PREFILL_RATE * self.present(now)) * 1e9;
        self.busy_until = self.busy_until.max(now) + takes as Nanos;
        self.cache.keep(prompt.session, prompt.tokens);
        self.cache.keep(prompt.prefix, prompt.prefix_tokens);
        self.work += read;
        Outcome::Read { at: self.busy_until + OVERHEAD, kept }
    }

    /// Takes a state to write from, of a prefill server in that cell and zone.
    pub fn write(&mut self, now: Nanos, tokens: f64, cell: CellId, zone: ZoneId) -> Outcome {
        if self.tokens + tokens > MEMORY_TOKENS {
            return Outcome::Full;
        }
        self.streams += 1;
        self.tokens += tokens;
        self.work += 1.0;
        let moves = match (self.endpoint.cell == cell, self.endpoint.zone == zone) {
            (true, _) => 0,
            (false, true) => MOVE_CELL,
            (false, false) => MOVE_ZONE,
        };
        let token = (TOKEN + TOKEN_MORE * self.streams as f64 / self.present(now)) as Nanos;
        Outcome::Writes { first: now + OVERHEAD + moves + token, token }
    }

    /// A stream has ended.
    pub fn ended(&mut self, tokens: f64) {
        self.streams = self.streams.saturating_sub(1);
        self.tokens = (self.tokens - tokens).max(0.0);
    }

    /// The load that goes with an answer.
    pub fn report(&self, now: Nanos) -> LoadReport {
        let queue = self.busy_until.saturating_sub(now) as f64 / 1e9 * PREFILL_RATE;
        LoadReport {
            memory_share: Some(self.tokens / MEMORY_TOKENS),
            queued_prompt_tokens: Some(queue),
            in_flight: Some(self.streams as f64),
        }
    }
}
