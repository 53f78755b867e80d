//! Open arrivals: who requests what, at which gateway. Skewed over gateways, tenants and prefixes.

use super::servers::Prompt;
use crate::inventory::ZONES;
use oorandom::Rand64;
use petrelshore::interface::{Nanos, TenantId};
use std::collections::VecDeque;

/// The share of gateways that are busy.
const BUSY_GATEWAY_SHARE: f64 = 0.2;
/// The share of traffic that goes to them.
const BUSY_TRAFFIC_SHARE: f64 = 0.5;
/// The share of requests that continue a session.
const CONTINUED_SHARE: f64 = 0.5;
/// Sessions of a zone that may continue, for each request per second there: those of the last ten seconds.
const SESSIONS_PER_RATE: f64 = 10.0;
/// Shared prefixes of all requests, popular by their rank.
const PREFIXES: u64 = 2_000;
/// Mean tokens of a first prompt beyond its prefix.
const MEAN_PROMPT_TOKENS: f64 = 700.0;
/// Mean tokens that each turn adds.
const MEAN_TURN_TOKENS: f64 = 300.0;
/// A session with a longer prompt ends.
const MAX_SESSION_TOKENS: f64 = 6_000.0;
/// Mean tokens of an answer: 17 million per second over 63,000 requests.
const MEAN_ANSWER_TOKENS: f64 = 270.0;

/// A request as its client sends it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The gateway that receives it.
    pub gateway: usize,
    /// The tenant that sends it.
    pub tenant: Option<TenantId>,
    /// The prompt.
    pub prompt: Prompt,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

/// Draws requests.
pub struct Traffic {
    random: Rand64,
    rate: f64,
    /// The gateways of each zone.
    gateways: Vec<Vec<usize>>,
    tenants: usize,
    /// The last prompt of each session that may continue, by zone.
    sessions: Vec<VecDeque<Prompt>>,
    next_session: u64,
}

impl Traffic {
    /// Draws so many requests per second over so many gateways.
    pub fn new(seed: u64, rate: f64, gateways: usize, tenants: usize) -> Self {
        let zones = (0..ZONES).map(|zone| (zone..gateways).step_by(ZONES).collect()).collect();
        Traffic {
            random: Rand64::new(seed.into()),
            rate,
            gateways: zones,
            tenants,
            sessions: vec![VecDeque::new(); ZONES],
            next_session: 1,
        }
    }

    /// The time until the next request.
    pub fn pause(&mut self) -> Nanos {
        (-self.random.rand_float().max(1e-12).ln() / self.rate * 1e9) as Nanos
    }

    /// The next request.
    pub fn request(&mut self) -> Request {
        let zone = self.zone();
        let gateways = &self.gateways[zone];
        let busy = (gateways.len() as f64 * BUSY_GATEWAY_SHARE).ceil() as u64;
        let candidates =
            if self.random.rand_float() < BUSY_TRAFFIC_SHARE { busy } else { gateways.len() as u64 };
        let gateway = gateways[self.random.rand_range(0..candidates.max(1)) as usize];
        let tenant = (self.tenants > 0).then(|| TenantId(self.ranked(self.tenants as u64) as usize));
        let prompt = self.prompt(zone);
        let answer_tokens = 1 + self.exponential(MEAN_ANSWER_TOKENS) as u32;
        Request { gateway, tenant, prompt, answer_tokens }
    }

    /// A zone that has gateways.
    fn zone(&mut self) -> usize {
        let zones = self.gateways.iter().filter(|gateways| !gateways.is_empty()).count();
        self.random.rand_range(0..zones.max(1) as u64) as usize
    }

    /// A first prompt, or the next turn of one of the zone's sessions.
    fn prompt(&mut self, zone: usize) -> Prompt {
        let known = self.sessions[zone].len();
        let prompt = if known > 0 && self.random.rand_float() < CONTINUED_SHARE {
            let index = self.random.rand_range(0..known as u64) as usize;
            let before = self.sessions[zone].swap_remove_back(index);
            before.map(|before| self.next_turn(before))
        } else {
            None
        };
        let prompt = prompt.unwrap_or_else(|| self.first_turn());
        let max_sessions = self.rate / ZONES as f64 * SESSIONS_PER_RATE;
        if prompt.tokens < MAX_SESSION_TOKENS {
            self.sessions[zone].push_back(prompt);
        }
        if self.sessions[zone].len() as f64 > max_sessions {
            self.sessions[zone].pop_front();
        }
        prompt
    }

    fn first_turn(&mut self) -> Prompt {
        self.next_session += 1;
        let prefix = self.ranked(PREFIXES);
        // Each prefix always has the same length.
        let prefix_tokens = 200.0 + (prefix * 7_919 % 1_000) as f64;
        let tokens = prefix_tokens + self.exponential(MEAN_PROMPT_TOKENS);
        Prompt {
            session: self.next_session << 20,
            prefix: prefix + 1,
            tokens,
            prefix_tokens,
            earlier_tokens: 0.0,
        }
    }

    fn next_turn(&mut self, before: Prompt) -> Prompt {
        let tokens = before.tokens + self.exponential(MEAN_TURN_TOKENS);
        Prompt { tokens, earlier_tokens: before.tokens, ..before }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -self.random.rand_float().max(1e-12).ln() * mean
    }

    /// One of `count` by its rank: about as often as one over the rank (Zipf).
    fn ranked(&mut self, count: u64) -> u64 {
        let rank = ((count as f64 + 1.0).powf(self.random.rand_float()) - 1.0) as u64;
        rank.min(count - 1)
    }
}
