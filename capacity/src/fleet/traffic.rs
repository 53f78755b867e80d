//! Generates requests as an open arrival process, distributed unevenly over gateways, tenants and prefixes.

use super::servers::Prompt;
use crate::inventory::ZONES;
use oorandom::Rand64;
use petrelshore::interface::{Nanos, TenantId};
use std::collections::VecDeque;

/// The share of the gateways that are busy.
const BUSY_GATEWAY_SHARE: f64 = 0.2;
/// The share of requests that goes only to busy gateways. The other requests are distributed over all gateways.
const BUSY_GATEWAY_TRAFFIC_SHARE: f64 = 0.5;
/// The share of requests that continue a session.
const CONTINUED_SHARE: f64 = 0.5;
/// Number of sessions per zone that may continue, for each request per second in the zone. The value of 10 keeps the
/// sessions of the last ten seconds.
const SESSIONS_PER_REQUEST_RATE: f64 = 10.0;
/// Number of shared prefixes. Their popularity follows a Zipf distribution.
const PREFIXES: u64 = 2_000;
/// Mean number of tokens that the first prompt of a session has beyond its shared prefix.
const MEAN_PROMPT_TOKENS: f64 = 700.0;
/// Mean number of tokens that each further turn of a session adds to the prompt.
const MEAN_TURN_TOKENS: f64 = 300.0;
/// Number of prompt tokens at which a session ends.
const MAX_SESSION_TOKENS: f64 = 6_000.0;
/// Mean number of tokens of an answer. The service generates 17 million tokens per second for 63,000 requests per
/// second.
const MEAN_ANSWER_TOKENS: f64 = 270.0;

/// A request that a client sends.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The index of the gateway that receives the request.
    pub gateway: usize,
    /// The tenant that sends the request.
    pub tenant: Option<TenantId>,
    /// The prompt.
    pub prompt: Prompt,
    /// Number of tokens of the answer.
    pub answer_tokens: u32,
}

/// A random generator of requests.
pub struct Traffic {
    random: Rand64,
    /// Requests per second over all gateways.
    rate: f64,
    /// The indices of the gateways of each zone.
    gateways: Vec<Vec<usize>>,
    tenants: usize,
    /// The last prompt of each session that may continue, indexed by zone.
    sessions: Vec<VecDeque<Prompt>>,
    next_session: u64,
}

impl Traffic {
    /// Creates a generator of `rate` requests per second over `gateways` gateways and `tenants` tenants.
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

    /// Draws the time until the next request, in nanoseconds.
    pub fn time_to_next_request(&mut self) -> Nanos {
        (-self.random.rand_float().max(1e-12).ln() / self.rate * 1e9) as Nanos
    }

    /// Draws the next request.
    pub fn next_request(&mut self) -> Request {
        let zone = self.draw_zone();
        let gateways = &self.gateways[zone];
        let busy = (gateways.len() as f64 * BUSY_GATEWAY_SHARE).ceil() as u64;
        let candidates =
            if self.random.rand_float() < BUSY_GATEWAY_TRAFFIC_SHARE { busy } else { gateways.len() as u64 };
        let gateway = gateways[self.random.rand_range(0..candidates.max(1)) as usize];
        let tenant = (self.tenants > 0).then(|| TenantId(self.zipf_rank(self.tenants as u64) as usize));
        let prompt = self.draw_prompt(zone);
        let answer_tokens = 1 + self.draw_exponential(MEAN_ANSWER_TOKENS) as u32;
        Request { gateway, tenant, prompt, answer_tokens }
    }

    /// Draws a zone that has gateways.
    fn draw_zone(&mut self) -> usize {
        let zones = self.gateways.iter().filter(|gateways| !gateways.is_empty()).count();
        self.random.rand_range(0..zones.max(1) as u64) as usize
    }

    /// Draws the first prompt of a new session, or the next turn of one of the zone's sessions.
    fn draw_prompt(&mut self, zone: usize) -> Prompt {
        let session_count = self.sessions[zone].len();
        let prompt = if session_count > 0 && self.random.rand_float() < CONTINUED_SHARE {
            let index = self.random.rand_range(0..session_count as u64) as usize;
            let previous = self.sessions[zone].swap_remove_back(index);
            previous.map(|previous| self.next_turn(previous))
        } else {
            None
        };
        let prompt = prompt.unwrap_or_else(|| self.first_turn());
        let max_sessions = self.rate / ZONES as f64 * SESSIONS_PER_REQUEST_RATE;
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
        let prefix = self.zipf_rank(PREFIXES);
        // Each prefix always has the same length.
        let prefix_tokens = 200.0 + (prefix * 7_919 % 1_000) as f64;
        let tokens = prefix_tokens + self.draw_exponential(MEAN_PROMPT_TOKENS);
        Prompt {
            session: self.next_session << 20,
            prefix: prefix + 1,
            tokens,
            prefix_tokens,
            earlier_tokens: 0.0,
        }
    }

    fn next_turn(&mut self, previous: Prompt) -> Prompt {
        let tokens = previous.tokens + self.draw_exponential(MEAN_TURN_TOKENS);
        Prompt { tokens, earlier_tokens: previous.tokens, ..previous }
    }

    /// Draws from the exponential distribution with this mean.
    fn draw_exponential(&mut self, mean: f64) -> f64 {
        -self.random.rand_float().max(1e-12).ln() * mean
    }

    /// Draws a rank from 0 to `count - 1`. The probability of a rank is about proportional to `1 / (rank + 1)` (Zipf).
    fn zipf_rank(&mut self, count: u64) -> u64 {
        let rank = ((count as f64 + 1.0).powf(self.random.rand_float()) - 1.0) as u64;
        rank.min(count - 1)
    }
}
