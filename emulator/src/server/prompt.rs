//! Reads the number of tokens, the block hashes and the number of the client's request from a prompt.

use crate::model::BLOCK_TOKENS;

/// The number of prompt bytes that count as one token. Gateways use the same estimate.
const TOKEN_BYTES: usize = 4;
/// The offset basis and the prime of the 64-bit FNV hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// The text before the request number that end-to-end clients write into their prompts. The number links the
/// observations of clients to those of servers.
const CLIENT_MARKER: &str = "#client ";

/// The number of tokens in a prompt.
pub(super) fn tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES) as u64
}

/// The hashes of a prompt's full blocks, each chained to the preceding hash.
pub(super) fn blocks(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(TOKEN_BYTES * BLOCK_TOKENS as usize);
    let hashes = blocks.scan(FNV_OFFSET, |hash, block| {
        *hash = block.iter().fold(*hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
        Some(*hash)
    });
    hashes.collect()
}

/// The number of the client's request; `None` if the text contains no such number.
pub(super) fn client_number(text: &str) -> Option<u64> {
    text.rsplit(CLIENT_MARKER).next()?.split_whitespace().next()?.parse().ok()
}
