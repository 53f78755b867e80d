//! The index beside a slow plain one, feeds in every order, and credit lost and regained.

use oorandom::Rand64;
use petrelshore::interface::ServerId;
use petrelshore_prefix_index::BlockHash;
use petrelshore_prefix_index::feed::{Batch, CacheEvent, Feed, Step};
use petrelshore_prefix_index::index::Index;
use petrelshore_prefix_index::trust::Trust;
use std::collections::{BTreeMap, BTreeSet};

const S: u64 = 1_000_000_000;

/// A block of one of a few families of prompts, which share beginnings.
fn block(family: u64, depth: usize) -> BlockHash {
    let family = if depth < 8 { family / 4 } else { family };
    BlockHash((family * 1_000 + depth as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn chain(family: u64, length: usize) -> Vec<BlockHash> {
    (0..length).map(|depth| block(family, depth)).collect()
}

/// Servers hold the first blocks of chains, as engines do, which drop the last ones first.
#[derive(Default)]
struct Plain {
    held: BTreeMap<ServerId, BTreeSet<BlockHash>>,
}

impl Plain {
    fn held(&self, chain: &[BlockHash]) -> Vec<(ServerId, usize)> {
        let depth =
            |held: &BTreeSet<BlockHash>| chain.iter().take_while(|block| held.contains(block)).count();
        let all = self.held.iter().map(|(server, held)| (*server, depth(held)));
        all.filter(|(_, depth)| *depth > 0).collect()
    }
}

fn course(seed: u64) -> bool {
    let mut chance = Rand64::new(seed.into());
    let mut index = Index::new(100_000, seed);
    let mut plain = Plain::default();
    // How much of each family a server holds.
    let mut lengths: BTreeMap<(ServerId, u64), usize> = BTreeMap::new();
    for _ in 0..600 {
        let server = ServerId(chance.rand_range(0..20));
        let family = chance.rand_range(0..12);
        match chance.rand_range(0..20) {
            0 => {
                index.cleared(server);
                plain.held.remove(&server);
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
                    index.removed(server, block(family, depth));
                    plain.held.entry(server).or_default().remove(&block(family, depth));
                }
                if length > keep {
                    lengths.insert((server, family), keep);
                }
            }
            _ => {
                let length = chance.rand_range(1..60) as usize;
                for block in chain(family, length) {
                    index.stored(server, block);
                    plain.held.entry(server).or_default().insert(block);
                }
                let known = lengths.entry((server, family)).or_insert(0);
                *known = (*known).max(length);
            }
        }
        let asked = chain(chance.rand_range(0..12), 60);
        let mut held = index.held(&asked);
        held.sort();
        if held != plain.held(&asked) {
            return false;
        }
    }
    while index.sweep(1_000) {}
    let blocks: BTreeSet<BlockHash> = plain.held.values().flatten().copied().collect();
    index.size().blocks == blocks.len()
}

#[test]
fn whatever_happens_it_says_what_a_plain_index_says() {
    quickcheck::QuickCheck::new().tests(30).quickcheck(course as fn(u64) -> bool);
}

#[test]
fn a_restart_drops_all_of_a_server_at_once_and_its_place_serves_again() {
    let mut index = Index::new(1_000_000, 7);
    for block in chain(1, 500) {
        (0..3).for_each(|server| assert!(index.stored(ServerId(server), block)));
    }
    for _ in 0..70_000 {
        index.cleared(ServerId(1));
        index.stored(ServerId(1), block(1, 0));
        // Places of the many that are gone must come back, or there were none left.
        index.sweep(1_100);
    }
    let mut held = index.held(&chain(1, 500));
    held.sort();
    assert_eq!(held, [(ServerId(0), 500), (ServerId(1), 1), (ServerId(2), 500)]);
}

#[test]
fn past_its_room_it_drops_what_nobody_asks_for() {
    let mut index = Index::new(5_000, 3);
    let hot = chain(1, 200);
    hot.iter().for_each(|block| assert!(index.stored(ServerId(1), *block)));
    // A flood of unique prompts; the hot one is asked for now and then.
    for prompt in 0..2_000u64 {
        for depth in 0..20 {
            index.stored(
                ServerId(2),
                BlockHash((prompt * 100 + depth + 7).wrapping_mul(0x2545_f491_4f6c_dd1d)),
            );
        }
        if prompt % 20 == 0 {
            (0..200).for_each(|depth| assert!(index.held(&hot[..=depth]).len() <= 1));
        }
    }
    let size = index.size();
    assert!(size.blocks <= 5_000 && size.dropped > 30_000, "{size:?}");
    assert!(size.bytes / size.blocks < 48, "{size:?}");
    assert_eq!(index.held(&hot), [(ServerId(1), 200)], "the hot prompt was dropped for the flood");
}

#[test]
fn batches_out_of_order_twice_or_lost_are_put_right_or_leave_their_server_unsure() {
    let batch = |number: u64| Batch { number, events: vec![CacheEvent::Stored(vec![BlockHash(number)])] };
    let apply = |number: u64| Step::Apply(batch(number).events);
    let mut feed = Feed::default();
    assert_eq!(feed.came(S, batch(5)), [apply(5)]);
    assert_eq!(feed.came(S, batch(5)), []);
    // Two early ones: a replay is asked for once, and closes the gap.
    assert_eq!(feed.came(S, batch(8)), [Step::Replay { from: 6 }]);
    assert_eq!((feed.came(S, batch(7)), feed.sure()), (vec![], false));
    assert_eq!((feed.came(S, batch(6)), feed.sure()), (vec![apply(6), apply(7), apply(8)], true));
    // A gap that stays: asked for three times, then everything is dropped, and what follows is taken.
    assert_eq!(feed.came(2 * S, batch(11)), [Step::Replay { from: 9 }]);
    assert_eq!(feed.due(3 * S), [Step::Replay { from: 9 }]);
    assert_eq!(feed.due(4 * S), [Step::Replay { from: 9 }]);
    assert_eq!(feed.due(5 * S), [Step::Drop, apply(11)]);
    assert_eq!((feed.sure(), feed.next_due()), (true, None));
    assert_eq!(feed.came(6 * S, batch(12)), [apply(12)]);
    // After a restart numbers begin wherever they do.
    assert_eq!((feed.restarted(), feed.came(6 * S, batch(0))), (vec![Step::Drop], vec![apply(0)]));
    // A subscriber far behind does not gather without bound.
    let mut feed = Feed::default();
    feed.came(S, batch(0));
    let steps: Vec<Step> = (2..1_000).flat_map(|number| feed.came(S, batch(number))).collect();
    assert_eq!(steps.iter().filter(|step| **step == Step::Drop).count(), 1);
}

#[test]
fn a_server_that_forgets_without_a_word_loses_its_credit_and_regains_it_by_proof() {
    let (mut trust, liar) = (Trust::default(), ServerId(1));
    assert_eq!(trust.of(liar), 1.0);
    let lies = (1..20).find(|_| {
        trust.found(liar, 4_000.0, 0.0);
        trust.of(liar) == 0.0
    });
    assert!(lies.is_some_and(|lies| lies <= 4), "{lies:?} lies were believed");
    let proofs = (1..20).find(|_| {
        trust.found(liar, 4_000.0, 4_000.0);
        trust.of(liar) > 0.8
    });
    assert!(proofs.is_some_and(|proofs| (2..8).contains(&proofs)), "{proofs:?}");
    // Small promises and small differences are no lies.
    (0..100).for_each(|_| trust.found(ServerId(2), 32.0, 0.0));
    (0..100).for_each(|_| trust.found(ServerId(3), 1_000.0, 984.0));
    assert!(trust.of(ServerId(2)) == 1.0 && trust.of(ServerId(3)) > 0.98);
}

#[test]
fn a_place_that_is_given_out_again_says_nothing_of_who_had_it_before() {
    for seed in 0..200 {
        let mut index = Index::new(100_000, seed);
        let name = |number: u64| BlockHash((seed * 10_000 + number + 1).wrapping_mul(0x2545_f491_4f6c_dd1d));
        // Two servers' blocks lie among each other in a table that is nearly full, the second's pushed on by the first's.
        (380..760).for_each(|number| assert!(index.stored(ServerId(2), name(number))));
        (0..380).for_each(|number| assert!(index.stored(ServerId(1), name(number))));
        index.cleared(ServerId(1));
        // While the one is swept away the other's go, and entries move to close the gaps.
        for number in 380..760 {
            index.sweep(3);
            index.removed(ServerId(2), name(number));
        }
        while index.sweep(100) {}
        assert!(index.stored(ServerId(3), name(9_999)));
        let wrong = (0..760).filter(|number| !index.held(&[name(*number)]).is_empty()).count();
        assert_eq!((wrong, index.size().blocks), (0, 1), "seed {seed}");
    }
}
