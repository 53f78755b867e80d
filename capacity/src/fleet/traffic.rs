//! Open arrivals: who asks what, at which gateway. Skewed over gateways, tenants and texts.

use super::servers::Prompt;
use crate::inventory::ZONES;
use oorandom::Rand64;
use petrelshore::interface::{Nanos, TenantId};
use std::collections::VecDeque;

/// A fifth of the gateways take half of the traffic.
const BUSY_GATEWAYS: f64 = 0.2;
const BUSY_TRAFFIC: f64 = 0.5;
/// Part of the requests that go on with a conversation.
const GOES_ON: f64 = 0.5;
/// Conversations of a zone that may go on, for each request a second there: those of the last ten seconds.
const CONVERSATIONS: f64 = 10.0;
/// Shared texts over all requests, popular by their rank.
const TEXTS: u64 = 2_000;
/// Mean tokens of a first prompt beyond its shared text, and of what each turn adds.
const FIRST_PROMPT: f64 = 700.0;
const TURN: f64 = 300.0;
/// Tokens past which a conversation ends.
const LONGEST_PROMPT: f64 = 6_000.0;
/// Mean tokens of an answer: 17 M a second over 63,000 requests.
const ANSWER: f64 = 270.0;

/// A request as its client sends it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub gateway: usize,
    pub tenant: Option<TenantId>,
    pub prompt: Prompt,
    pub answer: u32,
}

pub struct Traffic {
    random: Rand64,
    rate: f64,
    /// Gateways of each zone.
    gateways: Vec<Vec<usize>>,
    tenants: usize,
    conversations: Vec<VecDeque<Prompt>>,
    next_session: u64,
}

impl Traffic {
    /// So many requests a second over so many gateways.
    pub fn new(seed: u64, rate: f64, gateways: usize, tenants: usize) -> Self {
        let zones = (0..ZONES).map(|zone| (zone..gateways).step_by(ZONES).collect()).collect();
        Traffic {
            random: Rand64::new(seed.into()),
            rate,
            gateways: zones,
            tenants,
            conversations: vec![VecDeque::new(); ZONES],
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
        let here = &self.gateways[zone];
        let busy = (here.len() as f64 * BUSY_GATEWAYS).ceil() as u64;
        let among = if self.random.rand_float() < BUSY_TRAFFIC { busy } else { here.len() as u64 };
        let gateway = here[self.random.rand_range(0..among.max(1)) as usize];
        let tenant = (self.tenants > 0).then(|| TenantId(self.ranked(self.tenants as u64) as usize));
        let prompt = self.prompt(zone);
        let answer = 1 + self.exponential(ANSWER) as u32;
        Request { gateway, tenant, prompt, answer }
    }

    /// A zone that has gateways.
    fn zone(&mut self) -> usize {
        let zones = self.gateways.iter().filter(|gateways| !gateways.is_empty()).count();
        self.random.rand_range(0..zones.max(1) as u64) as usize
    }

    /// A first prompt, or the next turn of one of the zone's conversations.
    fn prompt(&mut self, zone: usize) -> Prompt {
        let known = self.conversations[zone].len();
        let prompt = if known > 0 && self.random.rand_float() < GOES_ON {
            let at = self.random.rand_range(0..known as u64) as usize;
            let before = self.conversations[zone].swap_remove_back(at);
            before.map(|before| self.next_turn(before))
        } else {
            None
        };
        let prompt = prompt.unwrap_or_else(|| self.first_turn());
        let most = self.rate / ZONES as f64 * CONVERSATIONS;
        if prompt.tokens < LONGEST_PROMPT {
            self.conversations[zone].push_back(prompt);
        }
        if self.conversations[zone].len() as f64 > most {
            self.conversations[zone].pop_front();
        }
        prompt
    }

    fn first_turn(&mut self) -> Prompt {
        self.next_session += 1;
        let prefix = self.ranked(TEXTS);
        // The same length for each text whenever it comes.
        let prefix_tokens = 200.0 + (prefix * 7_919 % 1_000) as f64;
        let tokens = prefix_tokens + self.exponential(FIRST_PROMPT);
        Prompt {
            session: self.next_session << 20,
            prefix: prefix + 1,
            tokens,
            prefix_tokens,
            earlier_tokens: 0.0,
        }
    }

    fn next_turn(&mut self, before: Prompt) -> Prompt {
        let tokens = before.tokens + self.exponential(TURN);
        Prompt { tokens, earlier_tokens: before.tokens, ..before }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -self.random.rand_float().max(1e-12).ln() * mean
    }

    /// One of so many by its rank: about as often as one over the rank (Zipf).
    fn ranked(&mut self, of: u64) -> u64 {
        let rank = ((of as f64 + 1.0).powf(self.random.rand_float()) - 1.0) as u64;
        rank.min(of - 1)
    }
}
