//! Benchmarks of lookups and cache events, by the number of servers and of blocks.

use divan::{Bencher, counter::ItemsCount};
use petrelshore::interface::ServerId;
use petrelshore_prefix_index::BlockHash;
use petrelshore_prefix_index::index::Index;

/// The number of blocks in a prompt: 32,000 tokens in blocks of 16 tokens.
const PROMPT_BLOCKS: usize = 2_000;

fn main() {
    divan::main();
}

fn chain(number: u64) -> Vec<BlockHash> {
    let hash = |depth| (number << 20 | depth as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (0..PROMPT_BLOCKS).map(|depth| BlockHash(hash(depth + 1))).collect()
}

/// Returns an index in which all servers have one hot prompt cached, each to a different depth. Another `blocks` blocks
/// belong to prompts that are cached on a single server each.
fn filled_index(servers: u64, blocks: u64) -> Index {
    let mut index = Index::new(200_000_000, 11);
    for number in 0..blocks / PROMPT_BLOCKS as u64 {
        let server = ServerId(number % servers);
        chain(number + 1).iter().for_each(|block| assert!(index.insert(server, *block)));
    }
    let hot_prompt = chain(0);
    for server in 0..servers {
        let depth = 1 + (server as usize * PROMPT_BLOCKS) / servers as usize;
        hot_prompt[..depth].iter().for_each(|block| assert!(index.insert(ServerId(server), *block)));
    }
    index
}

#[divan::bench(args = [(100, 1_000_000), (1_000, 1_000_000), (1_000, 10_000_000), (1_000, 100_000_000)], sample_count = 20)]
fn lookup_all_depths(bencher: Bencher, (servers, blocks): (u64, u64)) {
    let mut index = filled_index(servers, blocks);
    eprintln!("{servers} servers: {:?}", index.size());
    let hot_prompt = chain(0);
    bencher.bench_local(|| index.matches(divan::black_box(&hot_prompt)).len());
}

#[divan::bench(args = [1_000_000, 10_000_000, 100_000_000], sample_count = 20)]
fn lookup_one_holder(bencher: Bencher, blocks: u64) {
    let mut index = filled_index(1_000, blocks);
    let prompt = chain(7);
    bencher.bench_local(|| index.matches(divan::black_box(&prompt)).len());
}

/// Inserts the blocks of a prompt that is not in the index and removes them again.
#[divan::bench(args = [1_000_000, 10_000_000], sample_count = 20)]
fn events(bencher: Bencher, blocks: u64) {
    let mut index = filled_index(1_000, blocks);
    let prompt = chain(1 << 30);
    bencher.counter(ItemsCount::new(2 * PROMPT_BLOCKS)).bench_local(|| {
        prompt.iter().for_each(|block| assert!(index.insert(ServerId(3), *block)));
        prompt.iter().rev().for_each(|block| index.remove(ServerId(3), *block));
    });
}
