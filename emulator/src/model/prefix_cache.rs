//! The prefix cache of a model server: blocks of prompts, the least recently used ones evicted.

use std::collections::HashMap;

/// Tokens of one cached block.
pub const BLOCK_TOKENS: u64 = 16;

/// Hashes of cached blocks.
pub(super) struct PrefixCache {
    max_blocks: usize,
    /// When each block was last used, by the count of uses.
    last_used: HashMap<u64, u64>,
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

    /// Caches a prompt; returns how many of its tokens were cached before.
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

    /// Keeps about the most recently used half.
    fn evict(&mut self) {
        let mut uses: Vec<u64> = self.last_used.values().copied().collect();
        uses.sort_unstable();
        let oldest = uses[uses.len() - self.max_blocks / 2];
        self.last_used.retain(|_, used| *used >= oldest);
    }
}
