//! Consistent hashing: each key has a server, the same at every gateway, that a change of the list rarely moves.

use super::Slot;

/// Points on a circle of hashes; a key belongs to the server of the next point.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ring {
    points: Vec<(u64, Slot)>,
    servers: Vec<(u64, Slot)>,
}

impl Ring {
    /// A ring of servers by their names, with so many points each.
    pub fn new(servers: Vec<(u64, Slot)>, points: usize) -> Self {
        let mut ring = Vec::with_capacity(servers.len() * points);
        for (name, slot) in &servers {
            ring.extend((0..points as u64).map(|point| (mix(name ^ mix(point + 1)), *slot)));
        }
        ring.sort_unstable();
        Ring { points: ring, servers }
    }

    /// Whether it is a ring of just these servers.
    pub fn is_of(&self, servers: &[(u64, Slot)]) -> bool {
        self.servers == servers
    }

    /// The server of a key.
    pub fn server(&self, key: u64) -> Option<Slot> {
        let next = self.points.partition_point(|(point, _)| *point < key);
        self.points.get(next).or(self.points.first()).map(|(_, slot)| *slot)
    }
}

/// Which of so many buckets a key belongs to; with one bucket more, only that one's part of the keys moves (jump
/// consistent hashing, by Lamping and Veach).
pub fn bucket(mut key: u64, buckets: u64) -> u64 {
    let (mut bucket, mut next) = (0, 0);
    while next < buckets {
        bucket = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let share = (1u64 << 31) as f64 / ((key >> 33) + 1) as f64;
        next = ((bucket + 1) as f64 * share) as u64;
    }
    bucket
}

/// How late a name comes in for a key: it comes first for its part of all keys, the same at every gateway (weighted
/// rendezvous hashing).
pub fn race(key: u64, name: u64, part: f64) -> f64 {
    let lot = mix(key ^ mix(name)) as f64 / u64::MAX as f64;
    -lot.max(1e-18).ln() / part.max(1e-9)
}

/// Spreads the bits of a number (the finalizer of splitmix64).
pub fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
