//! Consistent hashing: assigns each key to a server. All gateways assign it to the same server, and a change of the
//! endpoint list moves few keys to another server.

use super::hashing::mix_bits;
use super::server::Slot;
use crate::interface::ServerId;

/// A server on a hash ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingMember {
    /// The id of the server. The hashes of its points are computed from it.
    pub server: ServerId,
    /// The slot of the server, the result of a lookup.
    pub slot: Slot,
}

/// A point on a hash ring. Points are ordered by their hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    hash: u64,
    slot: Slot,
}

/// A hash ring with several points for each server. A key belongs to the server of the first point at or after it; past
/// the last point it belongs to the server of the first point of the ring.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ring {
    /// All points, sorted by hash.
    points: Vec<Point>,
    members: Vec<RingMember>,
}

impl Ring {
    /// A ring with `points_per_member` points for each server.
    pub fn new(members: Vec<RingMember>, points_per_member: usize) -> Self {
        let mut points = Vec::with_capacity(members.len() * points_per_member);
        for member in &members {
            for number in 0..points_per_member as u64 {
                let hash = mix_bits(member.server.0 ^ mix_bits(number + 1));
                points.push(Point { hash, slot: member.slot });
            }
        }
        points.sort_unstable();
        Ring { points, members }
    }

    /// Returns true if the ring was built from exactly these members.
    pub fn has_members(&self, members: &[RingMember]) -> bool {
        self.members == members
    }

    /// The server that a key belongs to; `None` if the ring is empty.
    pub fn server(&self, key: u64) -> Option<Slot> {
        let next = self.points.partition_point(|point| point.hash < key);
        self.points.get(next).or(self.points.first()).map(|point| point.slot)
    }
}
