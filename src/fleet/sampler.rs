//! Selects a few servers out of many: at random or round robin.

use super::index::Members;
use super::server::Slot;
use crate::interface::Role;
use oorandom::Rand64;

/// The number of servers to sample.
#[derive(Clone, Copy, Debug)]
pub struct SampleSize {
    /// The number of servers whose slow start is over.
    pub warm: usize,
    /// The number of servers in slow start.
    pub slow_start: usize,
}

/// Selects servers at random, with a seeded generator, or round robin.
pub struct Sampler {
    random: Rand64,
    /// For each role, the index of the member that comes next round robin.
    next_members: [usize; 3],
}

impl Sampler {
    /// A sampler whose random draws are determined by the seed.
    pub fn new(seed: u64) -> Self {
        Sampler { random: Rand64::new(seed.into()), next_members: [0; 3] }
    }

    /// Adds `size.warm` random warm servers, with possible duplicates, and `size.slow_start` consecutive servers in
    /// slow start that begin at a random one. If there are fewer servers of a group, all of them are added. If there
    /// are too few warm servers, additional servers in slow start take their places.
    pub fn sample(&mut self, members: &Members, size: SampleSize, sampled: &mut Vec<Slot>) {
        let before = sampled.len();
        let warm_count = members.warm.len();
        if warm_count <= size.warm {
            sampled.extend(&members.warm);
        } else {
            sampled.extend((0..size.warm).map(|_| members.warm[self.random_below(warm_count)]));
        }
        let missing_warm = size.warm.saturating_sub(sampled.len() - before);
        let slow_start_count = members.slow_start.len();
        let count = (size.slow_start + missing_warm).min(slow_start_count);
        let first = if count < slow_start_count { self.random_below(slow_start_count) } else { 0 };
        let consecutive = (0..count).map(|offset| members.slow_start[(first + offset) % slow_start_count]);
        sampled.extend(consecutive);
    }

    /// Adds the next `max_count` servers of a role round robin, warm or in slow start, so that repeated calls reach
    /// every server.
    pub fn next_in_turn(&mut self, role: Role, members: &Members, max_count: usize, sampled: &mut Vec<Slot>) {
        let member_count = members.len();
        let next = &mut self.next_members[role as usize];
        let count = max_count.min(member_count);
        sampled.extend((0..count).filter_map(|offset| members.get((*next + offset) % member_count)));
        *next = if count < member_count { (*next + count) % member_count } else { 0 };
    }

    fn random_below(&mut self, bound: usize) -> usize {
        self.random.rand_range(0..bound as u64) as usize
    }
}
