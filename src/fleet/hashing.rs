//! Hash functions with the same results at every gateway.

/// Lower bound of the weight that [`rendezvous_rank`] divides by.
const MIN_WEIGHT: f64 = 1e-9;
/// Lower bound of the hash, as a number between 0 and 1, whose logarithm [`rendezvous_rank`] takes.
const MIN_UNIT_HASH: f64 = 1e-18;

/// Assigns a key to one of `buckets` buckets by jump consistent hashing (Lamping and Veach). If a bucket is added, only
/// the keys that the new bucket gets move.
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

/// The rank of an id for a key by weighted rendezvous hashing: each id has the lowest rank for a share of all keys that
/// is proportional to its weight.
pub fn rendezvous_rank(key: u64, id: u64, weight: f64) -> f64 {
    let unit_hash = mix_bits(key ^ mix_bits(id)) as f64 / u64::MAX as f64;
    -unit_hash.max(MIN_UNIT_HASH).ln() / weight.max(MIN_WEIGHT)
}

/// Mixes the bits of a number with the finalizer of splitmix64.
pub fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
