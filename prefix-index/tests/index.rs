//! Tests of the index against a slow reference model, of event feeds with reordered and lost batches, and of the trust
//! scores.

use oorandom::Rand64;
use petrelshore::interface::ServerId;
use petrelshore_prefix_index::BlockHash;
use petrelshore_prefix_index::event_feed::{Batch, CacheEvent, EventFeed, FeedAction};
use petrelshore_prefix_index::index::{Index, PrefixMatch};
use petrelshore_prefix_index::trust::Trust;
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000_000;

/// Returns a block of a prompt family. Four families in a row share their first eight blocks.
fn block(family: u64, depth: usize) -> BlockHash {
    let family = if depth < 8 { family / 4 } else { family };
    BlockHash((family * 1_000 + depth as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn chain(family: u64, length: usize) -> Vec<BlockHash> {
    (0..length).map(|depth| block(family, depth)).collect()
}

fn prefix_match(server: u64, blocks: usize) -> PrefixMatch {
    PrefixMatch { server: ServerId(server), blocks }
}

/// The blocks that each server has cached. As on real engines, the last blocks of a chain are evicted first, so that a
/// server always has a prefix of each chain cached.
#[derive(Default)]
struct ReferenceModel {
    cached: BTreeMap<ServerId, BTreeSet<BlockHash>>,
}

impl ReferenceModel {
    fn matches(&self, chain: &[BlockHash]) -> Vec<PrefixMatch> {
        let depth =
            |cached: &BTreeSet<BlockHash>| chain.iter().take_while(|block| cached.contains(block)).count();
        let all = self.cached.iter().map(|(server, cached)| prefix_match(server.0, depth(cached)));
        all.filter(|prefix| prefix.blocks > 0).collect()
    }
}

/// Runs 600 random steps. Returns true if the index agrees with the reference model in a lookup of a random prompt
/// after each step, and in the number of blocks after a full sweep.
fn agrees_with_reference_model(seed: u64) -> bool {
    let mut random = Rand64::new(seed.into());
    let mut index = Index::new(100_000, seed);
    let mut model = ReferenceModel::default();
    // The number of blocks of each family that each server has cached.
    let mut lengths: BTreeMap<(ServerId, u64), usize> = BTreeMap::new();
    for _ in 0..600 {
        let server = ServerId(random.rand_range(0..20));
        let family = random.rand_range(0..12);
        match random.rand_range(0..20) {
            0 => {
                index.clear(server);
                model.cached.remove(&server);
                lengths.retain(|(holder, _), _| *holder != server);
            }
            1 => {
                index.sweep(random.rand_range(0..3_000) as usize);
            }
            2..8 => {
                // Evicts the end of the chain, except for the first eight blocks, which other families share.
                let length = lengths.get(&(server, family)).copied().unwrap_or(0);
                let keep = random.rand_range(8..60) as usize;
                for depth in (keep..length).rev() {
                    index.remove(server, block(family, depth));
                    model.cached.entry(server).or_default().remove(&block(family, depth));
                }
                if length > keep {
                    lengths.insert((server, family), keep);
                }
            }
            _ => {
                let length = random.rand_range(1..60) as usize;
                for block in chain(family, length) {
                    index.insert(server, block);
                    model.cached.entry(server).or_default().insert(block);
                }
                let known = lengths.entry((server, family)).or_insert(0);
                *known = (*known).max(length);
            }
        }
        let prompt = chain(random.rand_range(0..12), 60);
        let mut matches = index.matches(&prompt);
        matches.sort();
        if matches != model.matches(&prompt) {
            return false;
        }
    }
    while index.sweep(1_000) {}
    let blocks: BTreeSet<BlockHash> = model.cached.values().flatten().copied().collect();
    index.size().blocks == blocks.len()
}

#[test]
fn index_agrees_with_a_plain_model_in_random_runs() {
    quickcheck::QuickCheck::new().tests(30).quickcheck(agrees_with_reference_model as fn(u64) -> bool);
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
        // Each clear takes a slot out of use until it is swept. The 65,536 slots would run out if slots were not
        // reused.
        index.sweep(1_100);
    }
    let mut matches = index.matches(&chain(1, 500));
    matches.sort();
    assert_eq!(matches, [prefix_match(0, 500), prefix_match(1, 1), prefix_match(2, 500)]);
}

#[test]
fn full_index_evicts_blocks_that_are_not_looked_up() {
    let mut index = Index::new(5_000, 3);
    let hot = chain(1, 200);
    hot.iter().for_each(|block| assert!(index.insert(ServerId(1), *block)));
    // Inserts many unique prompts and looks up the hot prompt once every 20 prompts.
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
    assert_eq!(
        index.matches(&hot),
        [prefix_match(1, 200)],
        "the hot prompt was evicted to make room for unique prompts"
    );
}

#[test]
fn reordered_duplicate_and_lost_batches_are_repaired_or_dropped() {
    let batch = |number: u64| Batch { number, events: vec![CacheEvent::Stored(vec![BlockHash(number)])] };
    let apply = |number: u64| FeedAction::Apply(batch(number).events);
    let mut feed = EventFeed::default();
    assert_eq!(feed.batch_received(SECOND, batch(5)), [apply(5)]);
    assert_eq!(feed.batch_received(SECOND, batch(5)), []);
    // Two early batches: the feed requests one replay, which closes the gap.
    assert_eq!(feed.batch_received(SECOND, batch(8)), [FeedAction::RequestReplay { from: 6 }]);
    assert_eq!((feed.batch_received(SECOND, batch(7)), feed.is_consistent()), (vec![], false));
    assert_eq!(
        (feed.batch_received(SECOND, batch(6)), feed.is_consistent()),
        (vec![apply(6), apply(7), apply(8)], true)
    );
    // A gap that is not closed: after three replay requests, the feed drops the server's blocks and applies later
    // batches.
    assert_eq!(feed.batch_received(2 * SECOND, batch(11)), [FeedAction::RequestReplay { from: 9 }]);
    assert_eq!(feed.on_timeout(3 * SECOND), [FeedAction::RequestReplay { from: 9 }]);
    assert_eq!(feed.on_timeout(4 * SECOND), [FeedAction::RequestReplay { from: 9 }]);
    assert_eq!(feed.on_timeout(5 * SECOND), [FeedAction::DropServer, apply(11)]);
    assert_eq!((feed.is_consistent(), feed.next_timeout()), (true, None));
    assert_eq!(feed.batch_received(6 * SECOND, batch(12)), [apply(12)]);
    // After a restart, the first batch may have any number.
    assert_eq!(
        (feed.restarted(), feed.batch_received(6 * SECOND, batch(0))),
        (vec![FeedAction::DropServer], vec![apply(0)])
    );
    // The number of buffered early batches is limited.
    let mut feed = EventFeed::default();
    feed.batch_received(SECOND, batch(0));
    let actions: Vec<FeedAction> =
        (2..1_000).flat_map(|number| feed.batch_received(SECOND, batch(number))).collect();
    assert_eq!(actions.iter().filter(|action| **action == FeedAction::DropServer).count(), 1);
}

#[test]
fn silently_evicting_server_loses_trust_and_regains_it_by_correct_predictions() {
    let (mut trust, server) = (Trust::default(), ServerId(1));
    assert_eq!(trust.weight(server), 1.0);
    let failures = (1..20).find(|_| {
        trust.record_prefill(server, 4_000.0, 0.0);
        trust.weight(server) == 0.0
    });
    assert!(
        failures.is_some_and(|failures| failures <= 4),
        "weight zero after {failures:?} failed predictions"
    );
    let successes = (1..20).find(|_| {
        trust.record_prefill(server, 4_000.0, 4_000.0);
        trust.weight(server) > 0.8
    });
    assert!(
        successes.is_some_and(|successes| (2..8).contains(&successes)),
        "weight above 0.8 after {successes:?} correct predictions"
    );
    // Failures of small predictions are ignored, and small differences hardly reduce the weight.
    (0..100).for_each(|_| trust.record_prefill(ServerId(2), 32.0, 0.0));
    (0..100).for_each(|_| trust.record_prefill(ServerId(3), 1_000.0, 984.0));
    assert!(trust.weight(ServerId(2)) == 1.0 && trust.weight(ServerId(3)) > 0.98);
}

/// Guards against a sweep that misses an entry because an erased entry made it move back past the sweep position. The
/// entry would keep the swept slot, and its block would be attributed to the server that is assigned the slot next.
#[test]
fn reused_slot_shows_no_blocks_of_its_former_server() {
    for seed in 0..200 {
        let mut index = Index::new(100_000, seed);
        let block = |number: u64| BlockHash((seed * 10_000 + number + 1).wrapping_mul(0x2545_f491_4f6c_dd1d));
        // Mixes the blocks of two servers in a table that is nearly full, so that collisions displace many entries of
        // server 1 behind entries of server 2.
        (380..760).for_each(|number| assert!(index.insert(ServerId(2), block(number))));
        (0..380).for_each(|number| assert!(index.insert(ServerId(1), block(number))));
        index.clear(ServerId(1));
        // Removes the blocks of server 2 while the blocks of server 1 are swept. Entries move back to close the gaps.
        for number in 380..760 {
            index.sweep(3);
            index.remove(ServerId(2), block(number));
        }
        while index.sweep(100) {}
        assert!(index.insert(ServerId(3), block(9_999)));
        let wrong = (0..760).filter(|number| !index.matches(&[block(*number)]).is_empty()).count();
        assert_eq!((wrong, index.size().blocks), (0, 1), "seed {seed}");
    }
}
