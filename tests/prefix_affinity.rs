//! Shared texts: where they are at home, in a small model of what readers keep.

mod common;

use common::*;
use oorandom::Rand64;
use petrelshore::Scheduler;
use petrelshore::interface::*;
use std::collections::{BTreeMap, HashMap};

const TEXT: f64 = 4000.0;

/// Gateways before pairs of a reader and a writer, and what the readers have kept: texts of which each is asked for in
/// proportion to its place in the list.
struct World {
    schedulers: Vec<Scheduler>,
    readers: u64,
    /// Texts by reader, with when each was last read there, in reads.
    kept: HashMap<(ServerId, u64), u64>,
    shares: Vec<f64>,
    chance: Rand64,
    now: Nanos,
    reads: u64,
}

/// What a stretch of reads came to.
struct Stretch {
    /// Part of the reads whose reader had kept their text.
    found: f64,
    /// The most that one reader got, against the mean.
    most: f64,
}

impl World {
    fn new(gateways: usize, readers: u64, texts: usize) -> World {
        let pair = |n: u64| Endpoint { zone: ZoneId(0), ..entry(n, (n % 2) as usize, (n / 2) as i64) };
        let fleet: Vec<Endpoint> = (0..2 * readers).map(pair).collect();
        let settings = Deployment { gateways, ..deployment() };
        let start = |seed| {
            let mut scheduler = Scheduler::new(START, settings.clone(), seed as u64);
            scheduler.update_endpoints(START, SnapshotKind::Cached, &fleet);
            scheduler
        };
        let weights = (0..texts).map(|n| 1.0 / (n as f64 + 1.0).powf(0.85));
        let shares = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        World {
            schedulers: (0..gateways).map(start).collect(),
            readers,
            kept: HashMap::new(),
            shares: shares.collect(),
            chance: Rand64::new(7),
            now: START,
            reads: 0,
        }
    }

    /// So many reads, five a second for each reader. A text that is not read for `life` reads of all is forgotten.
    fn read(&mut self, count: u64, life: u64) -> Stretch {
        let (mut found, mut by_reader) = (0u64, BTreeMap::<ServerId, u64>::new());
        for _ in 0..count {
            self.reads += 1;
            self.now += 200 * MS / self.readers;
            let at = self.chance.rand_range(0..self.schedulers.len() as u64) as usize;
            let drawn = self.chance.rand_float() * self.shares[self.shares.len() - 1];
            let text = self.shares.partition_point(|sum| *sum < drawn) as u64;
            let mut sequence = new_sequence(self.reads, 0, self.now);
            sequence.session = Some(SessionId(self.reads));
            (sequence.prefix, sequence.prefix_tokens) = (Some(PrefixId(1_000 + text)), TEXT);
            sequence.prompt_tokens = TEXT + 1000.0;
            let reader = sent(self.schedulers[at].schedule(self.now, &mut sequence));
            let last = self.kept.insert((reader, text), self.reads);
            let kept = if last.is_some_and(|last| self.reads - last < life) { TEXT } else { 0.0 };
            found += u64::from(kept > 0.0);
            *by_reader.entry(reader).or_default() += 1;
            close(
                &mut self.schedulers[at],
                self.now,
                &mut sequence,
                Outcome::PrefillDone { cached_tokens: kept },
            );
            sequence.completed = true;
        }
        let most = by_reader.values().copied().max().unwrap_or(0) as f64;
        Stretch { found: found as f64 / count as f64, most: most * self.readers as f64 / count as f64 }
    }
}

#[test]
fn many_texts_are_found_again_and_few_are_spread_whatever_the_number_of_gateways() {
    for gateways in [3, 30, 300] {
        // Thousands of texts: each is worth keeping at a reader or two.
        let mut many = World::new(gateways, 60, 2000);
        many.read(3000, 12_000);
        let many = many.read(5000, 12_000);
        assert!(many.found > 0.75, "{gateways}: found {} of many", many.found);
        assert!(many.most < 6.0, "{gateways}: one reader got {} of its part", many.most);
        // Ten texts: so wide that all readers get their part of them.
        let mut few = World::new(gateways, 60, 10);
        few.read(4000, 12_000);
        let few = few.read(3000, 12_000);
        assert!(few.found > 0.9, "{gateways}: found {} of few", few.found);
        assert!(few.most < 3.0, "{gateways}: one reader got {} of its part", few.most);
    }
}

#[test]
fn after_a_flush_texts_are_found_again_soon() {
    for gateways in [3, 300] {
        let mut world = World::new(gateways, 60, 500);
        let before = world.read(4000, 12_000).found;
        world.kept.clear();
        world.read(1500, 12_000);
        let after = world.read(1500, 12_000).found;
        assert!(after > 0.6 * before, "{gateways}: {before} before, {after} after five seconds");
    }
}
