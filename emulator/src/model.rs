//! A model server without I/O or clock: its memory, its speed and its faults.
//!
//! The server processes one prompt at a time. It generates answers concurrently, and each answer slows down as more
//! slots are in use. The KV cache of a prompt stays in memory until the cache is fetched or released, or expires.

mod prefix_cache;

use crate::profile::{Fault, Profile, Role};
use crate::record::Nanos;
use prefix_cache::PrefixCache;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

pub use prefix_cache::BLOCK_TOKENS;

const NANOS_PER_SECOND: f64 = 1e9;

/// The part of a completion that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Process the prompt and hold its KV cache.
    Prefill,
    /// Generate the answer from a KV cache that is fetched from a prefill server.
    Decode,
    /// Process the prompt and generate the answer.
    Combined,
}

impl Step {
    /// The step's name in records.
    pub fn name(self) -> &'static str {
        match self {
            Step::Prefill => "read",
            Step::Decode => "write",
            Step::Combined => "whole",
        }
    }
}

/// A request to execute a step.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifies the job within its server.
    pub id: u64,
    /// The step to execute.
    pub step: Step,
    /// Hashes of the prompt's blocks, each chained to the preceding hash.
    pub blocks: Vec<u64>,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of tokens to generate.
    pub answer_tokens: u64,
}

/// The reason for rejecting a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The slots and the queue are full, or too little memory is free.
    AtCapacity,
    /// The server's role does not include the step.
    WrongRole,
}

impl fmt::Display for Rejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Rejection::AtCapacity => "at capacity",
            Rejection::WrongRole => "the server's role does not include the step",
        })
    }
}

impl std::error::Error for Rejection {}

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The prompt is processed and the server holds its KV cache.
    PrefillDone {
        /// The job.
        id: u64,
        /// The number of prompt tokens that were in the prefix cache.
        cached_tokens: u64,
    },
    /// A token was generated.
    Token {
        /// The job.
        id: u64,
        /// The position of the token in the answer, starting at 1.
        number: u64,
        /// True for the last token of the answer.
        last: bool,
    },
    /// The server dropped a KV cache that was not fetched or released within the profile's `cache_timeout`.
    CacheExpired {
        /// The job.
        id: u64,
    },
}

/// A prompt that is queued or being processed.
struct Prefill {
    job: Job,
    cached_tokens: u64,
}

/// An answer that is being generated.
struct Decode {
    job: Job,
    generated: u64,
    next_token: Nanos,
}

/// The KV cache of a processed prompt.
struct HeldCache {
    tokens: u64,
    since: Nanos,
}

/// A job that arrived while the server was warming up.
struct WarmUpLoad {
    at: Nanos,
    /// The execution time of the job at full speed, in nanoseconds.
    nanos: f64,
}

/// The state of a model server.
pub struct Model {
    profile: Profile,
    fault: Fault,
    /// The start time of a server that started cold; `None` for a server that started warm.
    warming_up_since: Option<Nanos>,
    /// Prompts in order of arrival. The first prompt is being processed and finishes at `prefill_done_at`.
    prefills: VecDeque<Prefill>,
    prefill_done_at: Option<Nanos>,
    decodes: BTreeMap<u64, Decode>,
    waiting: VecDeque<Job>,
    held: BTreeMap<u64, HeldCache>,
    prefix_cache: PrefixCache,
    recent_load: VecDeque<WarmUpLoad>,
    overloaded: bool,
}

impl Model {
    /// Creates a server that runs at full speed from its start.
    pub fn new(profile: Profile) -> Self {
        Model {
            profile,
            fault: Fault::None,
            warming_up_since: None,
            prefills: VecDeque::new(),
            prefill_done_at: None,
            decodes: BTreeMap::new(),
            waiting: VecDeque::new(),
            held: BTreeMap::new(),
            prefix_cache: PrefixCache::new(profile.memory_tokens),
            recent_load: VecDeque::new(),
            overloaded: false,
        }
    }

    /// Creates a server that starts cold at `started` and has to warm up.
    pub fn cold(profile: Profile, started: Nanos) -> Self {
        Model { warming_up_since: Some(started), ..Model::new(profile) }
    }

    /// Sets the server's fault.
    pub fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
    }

    /// The server's current fault.
    pub fn fault(&self) -> Fault {
        self.fault
    }

    /// Clears the prefix cache. Gateways are not notified.
    pub fn clear_prefix_cache(&mut self) {
        self.prefix_cache.clear();
    }

    /// Returns true if the server failed permanently because of an overload during its warm-up.
    pub fn overloaded(&self) -> bool {
        self.overloaded
    }

    /// Starts or queues a job, or rejects it.
    pub fn accept(&mut self, now: Nanos, job: Job) -> Result<(), Rejection> {
        if !self.executes(job.step) {
            return Err(Rejection::WrongRole);
        }
        self.track_warm_up_load(now, &job);
        if self.fault == Fault::Full || !self.has_capacity(&job) {
            return Err(Rejection::AtCapacity);
        }
        if job.step == Step::Prefill {
            let cached_tokens = self.prefix_cache.insert(&job.blocks).min(job.prompt_tokens);
            self.prefills.push_back(Prefill { job, cached_tokens });
            self.start_prefill(now);
        } else {
            self.waiting.push_back(job);
            self.start_decodes(now);
        }
        Ok(())
    }

    fn executes(&self, step: Step) -> bool {
        match self.profile.role {
            Role::Combined => true,
            Role::Prefill => step == Step::Prefill,
            Role::Decode => step == Step::Decode,
        }
    }

    fn has_capacity(&self, job: &Job) -> bool {
        let jobs = match job.step {
            Step::Prefill => self.prefills.len(),
            Step::Decode | Step::Combined => self.decodes.len() + self.waiting.len(),
        };
        jobs < self.profile.slots + self.profile.queue
            && self.used_tokens() + job.prompt_tokens <= self.profile.memory_tokens
    }

    /// Cancels a job, for example because its client has disconnected.
    pub fn cancel(&mut self, now: Nanos, id: u64) {
        if self.prefills.front().is_some_and(|prefill| prefill.job.id == id) {
            self.prefill_done_at = None;
        }
        self.prefills.retain(|prefill| prefill.job.id != id);
        self.waiting.retain(|job| job.id != id);
        self.decodes.remove(&id);
        self.start_prefill(now);
        self.start_decodes(now);
    }

    /// Releases the KV cache of a job. Returns false if the server held none.
    pub fn release(&mut self, id: u64) -> bool {
        self.held.remove(&id).is_some()
    }

    /// The number of KV caches that the server holds.
    pub fn held_caches(&self) -> usize {
        self.held.len()
    }

    /// The time at which `on_timeout` has to be called next; `None` if nothing is pending, or if an overload or a fault
    /// stops all work.
    pub fn next_timeout(&self) -> Option<Nanos> {
        if self.overloaded || matches!(self.fault, Fault::Silent | Fault::Hangs) {
            return None;
        }
        let expiries = self.held.values().map(|held| held.since + self.profile.cache_timeout);
        let tokens = self.decodes.values().map(|decode| decode.next_token);
        tokens.chain(self.prefill_done_at).chain(expiries).min()
    }

    /// Processes the prefill, the tokens and the cache expiries that are due at `now`. Returns the resulting progress.
    pub fn on_timeout(&mut self, now: Nanos) -> Vec<Progress> {
        let mut progress = Vec::new();
        if self.next_timeout().is_none() {
            return progress;
        }
        self.finish_prefill(now, &mut progress);
        self.expire_caches(now, &mut progress);
        self.generate_tokens(now, &mut progress);
        self.start_decodes(now);
        progress
    }

    fn finish_prefill(&mut self, now: Nanos, progress: &mut Vec<Progress>) {
        if self.prefill_done_at.is_none_or(|done_at| done_at > now) {
            return;
        }
        self.prefill_done_at = None;
        if let Some(Prefill { job, cached_tokens }) = self.prefills.pop_front() {
            self.held.insert(job.id, HeldCache { tokens: job.prompt_tokens, since: now });
            progress.push(Progress::PrefillDone { id: job.id, cached_tokens });
        }
        self.start_prefill(now);
    }

    fn expire_caches(&mut self, now: Nanos, progress: &mut Vec<Progress>) {
        let timeout = self.profile.cache_timeout;
        self.held.retain(|id, held| {
            let expired = held.since + timeout <= now;
            if expired {
                progress.push(Progress::CacheExpired { id: *id });
            }
            !expired
        });
    }

    fn generate_tokens(&mut self, now: Nanos, progress: &mut Vec<Progress>) {
        let interval = self.token_interval(now);
        self.decodes.retain(|id, decode| {
            if decode.next_token > now {
                return true;
            }
            decode.generated += 1;
            decode.next_token = now + interval;
            let last = decode.generated >= decode.job.answer_tokens;
            progress.push(Progress::Token { id: *id, number: decode.generated, last });
            !last
        });
    }

    /// The used share of the server's memory.
    pub fn memory_share(&self) -> f64 {
        self.used_tokens() as f64 / self.profile.memory_tokens.max(1) as f64
    }

    /// The number of prompt tokens that the server still has to process, without those in the prefix cache.
    pub fn queued_prompt_tokens(&self) -> u64 {
        self.prefills.iter().map(|prefill| prefill.job.prompt_tokens - prefill.cached_tokens).sum()
    }

    /// The number of jobs that are queued or being executed.
    pub fn in_flight(&self) -> usize {
        self.prefills.len() + self.decodes.len() + self.waiting.len()
    }

    fn used_tokens(&self) -> u64 {
        let prefills: u64 = self.prefills.iter().map(|prefill| prefill.job.prompt_tokens).sum();
        let held: u64 = self.held.values().map(|held| held.tokens).sum();
        let decodes: u64 =
            self.decodes.values().map(|decode| decode.job.prompt_tokens + decode.generated).sum();
        prefills + held + decodes
    }

    /// The current speed as a share of full speed, reduced by warm-up and by `Fault::Slow`.
    fn speed(&self, now: Nanos) -> f64 {
        let warm_up_share = self.warming_up_since.map_or(1.0, |since| {
            let progress = now.saturating_sub(since) as f64 / self.profile.warm_up.max(1) as f64;
            let initial = self.profile.initial_capacity;
            initial + (1.0 - initial) * progress.min(1.0)
        });
        match self.fault {
            Fault::Slow(factor) => warm_up_share / factor.max(1.0),
            _ => warm_up_share,
        }
    }

    /// Tracks the load that arrives during warm-up. Too much load makes the server fail permanently.
    fn track_warm_up_load(&mut self, now: Nanos, job: &Job) {
        if self.warming_up_since.is_none_or(|since| now >= since + self.profile.warm_up) {
            return self.recent_load.clear();
        }
        self.recent_load.push_back(WarmUpLoad { at: now, nanos: self.execution_nanos_at_full_speed(job) });
        let window = self.profile.overload_window;
        while self.recent_load.front().is_some_and(|load| load.at + window < now) {
            self.recent_load.pop_front();
        }
        let load: f64 = self.recent_load.iter().map(|load| load.nanos).sum();
        if load > self.profile.overload_factor * self.speed(now) * window as f64 {
            self.overloaded = true;
        }
    }

    fn execution_nanos_at_full_speed(&self, job: &Job) -> f64 {
        let profile = &self.profile;
        let decode = job.answer_tokens as f64 * profile.token_interval as f64 / profile.slots.max(1) as f64;
        match job.step {
            Step::Prefill => self.prefill_nanos(job.prompt_tokens),
            Step::Decode => decode,
            Step::Combined => self.prefill_nanos(job.prompt_tokens) + decode,
        }
    }

    fn prefill_nanos(&self, tokens: u64) -> f64 {
        tokens as f64 / self.profile.prefill_tokens_per_second * NANOS_PER_SECOND
    }

    fn start_prefill(&mut self, now: Nanos) {
        if self.prefill_done_at.is_some() {
            return;
        }
        if let Some(prefill) = self.prefills.front() {
            let tokens = (prefill.job.prompt_tokens - prefill.cached_tokens) as f64;
            let tokens_per_second = self.profile.prefill_tokens_per_second * self.speed(now);
            self.prefill_done_at = Some(now + 1 + (tokens / tokens_per_second * NANOS_PER_SECOND) as Nanos);
        }
    }

    fn start_decodes(&mut self, now: Nanos) {
        while self.decodes.len() < self.profile.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            let prefill = match job.step {
                Step::Combined => self.prefill_nanos(job.prompt_tokens),
                Step::Prefill | Step::Decode => 0.0,
            };
            let next_token = now + (prefill / self.speed(now)) as Nanos + self.token_interval(now);
            self.decodes.insert(job.id, Decode { job, generated: 0, next_token });
        }
    }

    fn token_interval(&self, now: Nanos) -> Nanos {
        let slot_usage = self.decodes.len() as f64 / self.profile.slots.max(1) as f64;
        (self.profile.token_interval as f64 * (1.0 + slot_usage) / self.speed(now)) as Nanos
    }
}

#[cfg(test)]
mod tests;
