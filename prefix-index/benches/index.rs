//! What an event and a lookup cost, by servers and blocks.

use divan::{Bencher, counter::ItemsCount};
use petrelshore::interface::ServerId;
use petrelshore_prefix_index::BlockHash;
use petrelshore_prefix_index::index::Index;

/// Blocks of 16 tokens in a prompt of 32,000.
const PROMPT: usize = 2_000;

fn main() {
    divan::main();
}

fn chain(number: u64) -> Vec<BlockHash> {
    let name = |depth| (number << 20 | depth as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (0..PROMPT).map(|depth| BlockHash(name(depth + 1))).collect()
}

/// One prompt held by all servers, each to another depth, among so many blocks of prompts of their own.
fn filled(servers: u64, blocks: u64) -> Index {
    let mut index = Index::new(200_000_000, 11);
    for number in 0..blocks / PROMPT as u64 {
        let server = ServerId(number % servers);
        chain(number + 1).iter().for_each(|block| assert!(index.insert(server, *block)));
    }
    let hot = chain(0);
    for server in 0..servers {
        let depth = 1 + (server as usize * PROMPT) / servers as usize;
        hot[..depth].iter().for_each(|block| assert!(index.insert(ServerId(server), *block)));
    }
    index
}

#[divan::bench(args = [(100, 1_000_000), (1_000, 1_000_000), (1_000, 10_000_000), (1_000, 100_000_000)], sample_count = 20)]
fn lookup_all_depths(bencher: Bencher, (servers, blocks): (u64, u64)) {
    let mut index = filled(servers, blocks);
    eprintln!("{servers} servers: {:?}", index.size());
    let hot = chain(0);
    bencher.bench_local(|| index.matches(divan::black_box(&hot)).len());
}

#[divan::bench(args = [1_000_000, 10_000_000, 100_000_000], sample_count = 20)]
fn lookup_one_holder(bencher: Bencher, blocks: u64) {
    let mut index = filled(1_000, blocks);
    let own = chain(7);
    bencher.bench_local(|| index.matches(divan::black_box(&own)).len());
}

/// Blocks stored and removed again, each a new one.
#[divan::bench(args = [1_000_000, 10_000_000], sample_count = 20)]
fn events(bencher: Bencher, blocks: u64) {
    let mut index = filled(1_000, blocks);
    let own = chain(1 << 30);
    bencher.counter(ItemsCount::new(2 * PROMPT)).bench_local(|| {
        own.iter().for_each(|block| assert!(index.insert(ServerId(3), *block)));
        own.iter().rev().for_each(|block| index.remove(ServerId(3), *block));
    });
}
