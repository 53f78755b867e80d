//! Tests of the affinity of shared prefixes, with a simple model of the prefix caches of prefill servers.

mod common;

use common::*;
use oorandom::Rand64;
use petrelshore::Scheduler;
use petrelshore::interface::*;
use std::collections::{BTreeMap, HashMap};

/// Length of each prefix, in tokens.
const PREFIX_TOKENS: f64 = 4000.0;

/// Gateways in front of pairs of a prefill and a decode server, and the prefixes that the prefill servers have cached.
/// The popularity of prefixes falls with their index as a power law.
struct Simulation {
    schedulers: Vec<Scheduler>,
    prefill_servers: u64,
    /// For each server and prefix, the number of the last prefill that used the prefix at the server.
    cached: HashMap<(ServerId, u64), u64>,
    /// For each prefix, the sum of the weights up to and including its own weight.
    cumulative_weights: Vec<f64>,
    random: Rand64,
    now: Nanos,
    prefills: u64,
}

/// Statistics of a run of prefills.
struct PrefillStats {
    /// Share of the prefills that found their prefix cached.
    hit_share: f64,
    /// Prefills of the server with the most prefills, as a multiple of the mean.
    max_load: f64,
}

impl Simulation {
    fn new(gateways: usize, prefill_servers: u64, prefixes: usize) -> Simulation {
        let pair =
            |n: u64| Endpoint { zone: ZoneId(0), ..ready_endpoint(n, (n % 2) as usize, (n / 2) as i64) };
        let fleet: Vec<Endpoint> = (0..2 * prefill_servers).map(pair).collect();
        let settings = Deployment { gateways, ..deployment() };
        let start = |seed| {
            let mut scheduler = Scheduler::new(START, settings.clone(), seed as u64);
            scheduler.update_endpoints(START, SnapshotKind::Cached, &fleet);
            scheduler
        };
        let weights = (0..prefixes).map(|n| 1.0 / (n as f64 + 1.0).powf(0.85));
        let cumulative_weights = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        Simulation {
            schedulers: (0..gateways).map(start).collect(),
            prefill_servers,
            cached: HashMap::new(),
            cumulative_weights: cumulative_weights.collect(),
            random: Rand64::new(7),
            now: START,
            prefills: 0,
        }
    }

    /// Runs `count` prefills, at five per second and server. A server evicts a prefix once the whole fleet has run
    /// `eviction_age` prefills since that server last used the prefix.
    fn prefill(&mut self, count: u64, eviction_age: u64) -> PrefillStats {
        let (mut hits, mut by_server) = (0u64, BTreeMap::<ServerId, u64>::new());
        for _ in 0..count {
            self.prefills += 1;
            self.now += 200 * MILLISECOND / self.prefill_servers;
            let at = self.random.rand_range(0..self.schedulers.len() as u64) as usize;
            let random_weight =
                self.random.rand_float() * self.cumulative_weights[self.cumulative_weights.len() - 1];
            let prefix = self.cumulative_weights.partition_point(|sum| *sum < random_weight) as u64;
            let mut sequence = new_sequence(self.prefills, 0, self.now);
            sequence.session = Some(SessionId(self.prefills));
            (sequence.prefix, sequence.prefix_tokens) = (Some(PrefixId(1_000 + prefix)), PREFIX_TOKENS);
            sequence.prompt_tokens = PREFIX_TOKENS + 1000.0;
            let prefill_server = sent_to(self.schedulers[at].schedule(self.now, &mut sequence));
            let last_use = self.cached.insert((prefill_server, prefix), self.prefills);
            let cached_tokens = if last_use.is_some_and(|last_use| self.prefills - last_use < eviction_age) {
                PREFIX_TOKENS
            } else {
                0.0
            };
            hits += u64::from(cached_tokens > 0.0);
            *by_server.entry(prefill_server).or_default() += 1;
            finish_last_attempt(
                &mut self.schedulers[at],
                self.now,
                &mut sequence,
                Outcome::PrefillDone { cached_tokens },
            );
            sequence.completed = true;
        }
        let max_count = by_server.values().copied().max().unwrap_or(0) as f64;
        PrefillStats {
            hit_share: hits as f64 / count as f64,
            max_load: max_count * self.prefill_servers as f64 / count as f64,
        }
    }
}

#[test]
fn prefixes_hit_cache_with_any_number_of_gateways() {
    for gateways in [3, 30, 300] {
        // With thousands of prefixes, each should be cached at only one or two servers.
        let mut many = Simulation::new(gateways, 60, 2000);
        many.prefill(3000, 12_000);
        let many = many.prefill(5000, 12_000);
        assert!(
            many.hit_share > 0.75,
            "{gateways} gateways: hit share {} with many prefixes",
            many.hit_share
        );
        assert!(many.max_load < 6.0, "{gateways} gateways: one server got {} times the mean", many.max_load);
        // Ten prefixes are cached at so many servers that all servers get a share of the traffic.
        let mut few = Simulation::new(gateways, 60, 10);
        few.prefill(4000, 12_000);
        let few = few.prefill(3000, 12_000);
        assert!(few.hit_share > 0.9, "{gateways} gateways: hit share {} with few prefixes", few.hit_share);
        assert!(few.max_load < 3.0, "{gateways} gateways: one server got {} times the mean", few.max_load);
    }
}

#[test]
fn cache_hits_recover_after_eviction() {
    for gateways in [3, 300] {
        let mut simulation = Simulation::new(gateways, 60, 500);
        let before = simulation.prefill(4000, 12_000).hit_share;
        simulation.cached.clear();
        simulation.prefill(1500, 12_000);
        let after = simulation.prefill(1500, 12_000).hit_share;
        assert!(
            after > 0.6 * before,
            "{gateways} gateways: hit share {before} before the eviction, {after} five seconds after it"
        );
    }
}
