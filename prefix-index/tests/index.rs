//! The index compared with a slow reference model, feeds in every order, and trust lost and regained.

use oorandom::Rand64;
use petrelshore::interface::ServerId;
use petrelshore_prefix_index::BlockHash;
use petrelshore_prefix_index::event_feed::{Batch, CacheEvent, EventFeed, FeedAction};
use petrelshore_prefix_index::index::{Index, PrefixMatch};
use petrelshore_prefix_index::trust::Trust;
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000_000;

/// A block of one of a few families of prompts, which share beginnings.
fn block(family: u64, depth: usize) -> BlockHash {
    let family = if depth < 8 { family / 4 } else { family };
    BlockHash((family * 1_000 + depth as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn chain(family: u64, length: usize) -> Vec<BlockHash> {
    (0..length).map(|depth| block(family, depth)).collect()
}

fn found(server: u64, blocks: usize) -> PrefixMatch {
    PrefixMatch { server: ServerId(server), blocks }
}

/// Servers have the first blocks of chains cached, as engines do, which drop the last ones first.
#[derive(Default)]
struct ReferenceModel {
    cached: BTreeMap<ServerId, BTreeSet<BlockHash>>,
}

impl ReferenceModel {
    fn matches(&self, chain: &[BlockHash]) -> Vec<PrefixMatch> {
        let depth =
            |cached: &BTreeSet<BlockHash>| chain.iter().take_while(|block| cached.contains(block)).count();
        let all = self.cached.iter().map(|(server, cached)| found(server.0, depth(cached)));
        all.filter(|found| found.blocks > 0).collect()
    }
}

fn course(seed: u64) -> bool {
    let mut chance = Rand64::new(seed.into());
    let mut index = Index::new(100_000, seed);
    let mut model = ReferenceModel::default();
    // How much of each family a server holds.
    let mut lengths: BTreeMap<(ServerId, u64), usize> = BTreeMap::new();
    for _ in 0..600 {
        let server = ServerId(chance.rand_range(0..20));
        let family = chance.rand_range(0..12);
        match chance.rand_range(0..20) {
            0 => {
                index.clear(server);
                model.cached.remove(&server);
                lengths.retain(|(of, _), _| *of != server);
            }
            1 => {
                index.sweep(chance.rand_range(0..3_000) as usize);
            }
            2..8 => {
                // Its end is dropped, as far as no other family needs it.
                let length = lengths.get(&(server, family)).copied().unwrap_or(0);
                let keep = chance.rand_range(8..60) as usize;
                for depth in (keep..length).rev() {
                    index.remove(server, block(family, depth));
                    model.cached.entry(server).or_default().remove(&block(family, depth));
                }
                if length > keep {
                    lengths.insert((server, family), keep);
                }
            }
            _ => {
                let length = chance.rand_range(1..60) as usize;
                for block in chain(family, length) {
                    index.insert(server, block);
                    model.cached.entry(server).or_default().insert(block);
                }
                let known = lengths.entry((server, family)).or_insert(0);
                *known = (*known).max(length);
            }
        }
        let asked = chain(chance.rand_range(0..12), 60);
        let mut matches = index.matches(&asked);
        matches.sort();
        if matches != model.matches(&asked) {
            return false;
        }
    }
    while index.sweep(1_000) {}
    let blocks: BTreeSet<BlockHash> = model.cached.values().flatten().copied().collect();
    index.size().blocks == blocks.len()
}

#[test]
fn index_agrees_with_a_plain_model_in_random_runs() {
    quickcheck::QuickCheck::new().tests(30).quickcheck(course as fn(u64) -> bool);
}

#[test]
fn cleared_server_is_gone_at_once_and_its_slot_is_reused() {
    let mut index = Index::new(1_000_000, 7);
    for block in chain(1, 500) {
        (0..3).for_each(|server| assert!(index.insert(ServerId(server), block)));
    }
    for _ in 0..70_000 {
        index.clear(ServerId(1));
        index.insert(ServerId(1), block(1, 0));
        // Places of the many that are gone must come back, or there were none left.
        index.sweep(1_100);
    }
    let mut matches = index.matches(&chain(1, 500));
    matches.sort();
    assert_eq!(matches, [found(0, 500), found(1, 1), found(2, 500)]);
}

#[test]
fn full_index_evicts_blocks_that_are_not_looked_up() {
    let mut index = Index::new(5_000, 3);
    let hot = chain(1, 200);
    hot.iter().for_each(|block| assert!(index.insert(ServerId(1), *block)));
    // A flood of unique prompts; the hot one is asked for now and then.
    for prompt in 0..2_000u64 {
        for depth in 0..20 {
            index.insert(
                ServerId(2),
                BlockHash((prompt * 100 + depth + 7).wrapping_mul(0x2545_f491_4f6c_dd1d)),
            );
        }
        if prompt % 20 == 0 {
            (0..200).for_each(|depth| assert!(index.matches(&hot[..=depth]).len() <= 1));
        }
    }
    let size = index.size();
    assert!(size.blocks <= 5_000 && size.evicted > 30_000, "{size:?}");
    assert!(size.bytes / size.blocks < 48, "{size:?}");
    assert_eq!(index.matches(&hot), [found(1, 200)], "the hot prompt was evicted for the flood");
}

#[test]
fn reordered_duplicate_and_lost_batches_are_repaired_or_dropped() {
    let batch = |number: u64| Batch { number, events: vec![CacheEvent::Stored(vec![BlockHash(number)])] };
    let apply = |number: u64| FeedAction::Apply(batch(number).events);
    let mut feed = EventFeed::default();
    assert_eq!(feed.batch_received(SECOND, batch(5)), [apply(5)]);
    assert_eq!(feed.batch_received(SECOND, batch(5)), []);
    // Two early ones: a replay is asked for once, and closes the gap.
    assert_eq!(feed.batch_received(SECOND, batch(8)), [FeedAction::RequestReplay { from: 6 }]);
    assert_eq!((feed.batch_received(SECOND, batch(7)), feed.is_consistent()), (vec![], false));
    assert_eq!(
        (feed.batch_received(SECOND, batch(6)), feed.is_consistent()),
        (vec![apply(6), apply(7), apply(8)], true)
    );
    // A gap that stays: asked for three times, then everything is dropped, and what follows is taken.
    assert_eq!(feed.batch_received(2 * SECOND, batch(11)), [FeedAction::RequestReplay { from: 9 }]);
    assert_eq!(feed.on_timeout(3 * SECOND), [FeedAction::RequestReplay { from: 9 }]);
    assert_eq!(feed.on_timeout(4 * SECOND), [FeedAction::RequestReplay { from: 9 }]);
    assert_eq!(feed.on_timeout(5 * SECOND), [FeedAction::DropServer, apply(11)]);
    assert_eq!((feed.is_consistent(), feed.next_timeout()), (true, None));
    assert_eq!(feed.batch_received(6 * SECOND, batch(12)), [apply(12)]);
    // After a restart numbers begin wherever they do.
    assert_eq!(
        (feed.restarted(), feed.batch_received(6 * SECOND, batch(0))),
        (vec![FeedAction::DropServer], vec![apply(0)])
    );
    // A subscriber far behind does not gather without bound.
    let mut feed = EventFeed::default();
    feed.batch_received(SECOND, batch(0));
    let steps: Vec<FeedAction> =
        (2..1_000).flat_map(|number| feed.batch_received(SECOND, batch(number))).collect();
    assert_eq!(steps.iter().filter(|step| **step == FeedAction::DropServer).count(), 1);
}

#[test]
fn silently_evicting_server_loses_trust_and_regains_it_by_proof() {
    let (mut trust, liar) = (Trust::default(), ServerId(1));
    assert_eq!(trust.weight(liar), 1.0);
    let lies = (1..20).find(|_| {
        trust.record_prefill(liar, 4_000.0, 0.0);
        trust.weight(liar) == 0.0
    });
    assert!(lies.is_some_and(|lies| lies <= 4), "{lies:?} lies were believed");
    let proofs = (1..20).find(|_| {
        trust.record_prefill(liar, 4_000.0, 4_000.0);
        trust.weight(liar) > 0.8
    });
    assert!(proofs.is_some_and(|proofs| (2..8).contains(&proofs)), "{proofs:?}");
    // Small promises and small differences are no lies.
    (0..100).for_each(|_| trust.record_prefill(ServerId(2), 32.0, 0.0));
    (0..100).for_each(|_| trust.record_prefill(ServerId(3), 1_000.0, 984.0));
    assert!(trust.weight(ServerId(2)) == 1.0 && trust.weight(ServerId(3)) > 0.98);
}

#[test]
fn reused_slot_shows_no_blocks_of_its_former_server() {
    for seed in 0..200 {
        let mut index = Index::new(100_000, seed);
        let name = |number: u64| BlockHash((seed * 10_000 + number + 1).wrapping_mul(0x2545_f491_4f6c_dd1d));
        // Two servers' blocks lie among each other in a table that is nearly full, the second's pushed on by the first's.
        (380..760).for_each(|number| assert!(index.insert(ServerId(2), name(number))));
        (0..380).for_each(|number| assert!(index.insert(ServerId(1), name(number))));
        index.clear(ServerId(1));
        // While the one is swept away the other's go, and entries move to close the gaps.
        for number in 380..760 {
            index.sweep(3);
            index.remove(ServerId(2), name(number));
        }
        while index.sweep(100) {}
        assert!(index.insert(ServerId(3), name(9_999)));
        let wrong = (0..760).filter(|number| !index.matches(&[name(*number)]).is_empty()).count();
        assert_eq!((wrong, index.size().blocks), (0, 1), "seed {seed}");
    }
}
