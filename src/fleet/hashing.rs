//! Hash functions that come out the same at every gateway.

/// Least weight in [`rendezvous_rank`], which divides by it.
const MIN_WEIGHT: f64 = 1e-9;
/// Least hash, as a number between 0 and 1, that [`rendezvous_rank`] takes the logarithm of.
const MIN_UNIT_HASH: f64 = 1e-18;

/// Which of so many buckets a key belongs to; with one bucket more, only that one's share of the keys moves (jump
/// consistent hashing, by Lamping and Veach).
pub fn jump_hash(mut key: u64, buckets: u64) -> u64 {
    let (mut bucket, mut next) = (0, 0);
    while next < buckets {
        bucket = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let share = (1u64 << 31) as f64 / ((key >> 33) + 1) as f64;
        next = ((bucket + 1) as f64 * share) as u64;
    }
    bucket
}

/// The rank of an id for a key: each id ranks lowest for its weight's share of all keys (weighted rendezvous hashing).
pub fn rendezvous_rank(key: u64, id: u64, weight: f64) -> f64 {
    let unit_hash = mix_bits(key ^ mix_bits(id)) as f64 / u64::MAX as f64;
    -unit_hash.max(MIN_UNIT_HASH).ln() / weight.max(MIN_WEIGHT)
}

/// Spreads the bits of a number (the finalizer of splitmix64).
pub fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
