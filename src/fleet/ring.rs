//! Consistent hashing: each key has a server, the same at every gateway, that a change of the list rarely moves.

use super::hashing::mix_bits;
use super::server::Slot;
use crate::interface::ServerId;

/// A server on a ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingMember {
    /// Its id, which its points are hashed from.
    pub server: ServerId,
    /// Its slot, which keys are looked up for.
    pub slot: Slot,
}

/// A point on a circle of hashes. Points are in the order of their hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    hash: u64,
    slot: Slot,
}

/// Points on a circle of hashes; a key belongs to the server of the next point.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ring {
    points: Vec<Point>,
    members: Vec<RingMember>,
}

impl Ring {
    /// A ring of servers, with so many points each.
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

    /// Whether it is a ring of just these servers.
    pub fn has_members(&self, members: &[RingMember]) -> bool {
        self.members == members
    }

    /// The server of a key.
    pub fn server(&self, key: u64) -> Option<Slot> {
        let next = self.points.partition_point(|point| point.hash < key);
        self.points.get(next).or(self.points.first()).map(|point| point.slot)
    }
}
