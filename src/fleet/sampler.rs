//! A few servers out of many: at random, or in turn.

use super::index::Members;
use super::server::Slot;
use crate::interface::Role;
use oorandom::Rand64;

/// How many servers to sample.
#[derive(Clone, Copy, Debug)]
pub struct SampleSize {
    /// Of those whose slow start is over.
    pub warm: usize,
    /// Of those in slow start.
    pub slow_start: usize,
}

/// Samples with a seeded generator, and round robin.
pub struct Sampler {
    random: Rand64,
    /// For each role, the number of the member whose turn is next.
    turns: [usize; 3],
}

impl Sampler {
    /// A sampler whose draws all follow from the seed.
    pub fn new(seed: u64) -> Self {
        Sampler { random: Rand64::new(seed.into()), turns: [0; 3] }
    }

    /// Adds so many warm servers at random, and so many in slow start in a row from a random one; all of them where there
    /// are no more. Those in slow start fill the places that warm ones leave.
    pub fn sample(&mut self, members: &Members, size: SampleSize, sampled: &mut Vec<Slot>) {
        let before = sampled.len();
        let warm_count = members.warm.len();
        if warm_count <= size.warm {
            sampled.extend(&members.warm);
        } else {
            sampled.extend((0..size.warm).map(|_| members.warm[self.below(warm_count)]));
        }
        let places_left = size.warm.saturating_sub(sampled.len() - before);
        let slow_start_count = members.slow_start.len();
        let count = (size.slow_start + places_left).min(slow_start_count);
        let first = if count < slow_start_count { self.below(slow_start_count) } else { 0 };
        let in_row = (0..count).map(|number| members.slow_start[(first + number) % slow_start_count]);
        sampled.extend(in_row);
    }

    /// Adds the next so many servers of a role in turn, warm or in slow start: none is left out for ever.
    pub fn next_in_turn(&mut self, role: Role, members: &Members, max_count: usize, sampled: &mut Vec<Slot>) {
        let member_count = members.len();
        let turn = &mut self.turns[role as usize];
        let count = max_count.min(member_count);
        sampled.extend((0..count).filter_map(|number| members.get((*turn + number) % member_count)));
        *turn = if count < member_count { (*turn + count) % member_count } else { 0 };
    }

    fn below(&mut self, bound: usize) -> usize {
        self.random.rand_range(0..bound as u64) as usize
    }
}
