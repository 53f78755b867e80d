//! The prefix cache of a model server: prompt blocks with eviction of the least recently used blocks.

use std::collections::HashMap;

/// The number of tokens in a cached block.
pub const BLOCK_TOKENS: u64 = 16;

/// The hashes of the cached blocks.
pub(super) struct PrefixCache {
    max_blocks: usize,
    /// The value of `uses` at the last use of each block.
    last_used: HashMap<u64, u64>,
    /// The number of prompts that were inserted.
    uses: u64,
}

impl PrefixCache {
    pub(super) fn new(memory_tokens: u64) -> PrefixCache {
        PrefixCache {
            max_blocks: (memory_tokens / BLOCK_TOKENS) as usize,
            last_used: HashMap::new(),
            uses: 0,
        }
    }

    pub(super) fn clear(&mut self) {
        self.last_used.clear();
    }

    /// Caches the blocks of a prompt. Returns the number of the prompt's tokens that were already cached.
    pub(super) fn insert(&mut self, blocks: &[u64]) -> u64 {
        self.uses += 1;
        let cached = blocks.iter().take_while(|block| self.last_used.contains_key(block)).count() as u64;
        for block in blocks {
            self.last_used.insert(*block, self.uses);
        }
        if self.last_used.len() > self.max_blocks {
            self.evict();
        }
        cached * BLOCK_TOKENS
    }

    /// Evicts the least recently used blocks until about half of the capacity is in use.
    fn evict(&mut self) {
        let mut uses: Vec<u64> = self.last_used.values().copied().collect();
        uses.sort_unstable();
        let oldest = uses[uses.len() - self.max_blocks / 2];
        self.last_used.retain(|_, used| *used >= oldest);
    }
}
