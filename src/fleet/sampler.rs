//! A few servers out of many: by chance, or one after the other.

use super::{Members, Slot};
use crate::interface::Role;
use oorandom::Rand64;

/// How many to draw.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    pub warm: usize,
    pub cold: usize,
}

/// Draws from a seeded generator, and goes round.
pub struct Sampler {
    random: Rand64,
    /// For each role, how far the turns have come.
    turns: [usize; 3],
}

impl Sampler {
    pub fn new(seed: u64) -> Self {
        Sampler { random: Rand64::new(seed.into()), turns: [0; 3] }
    }

    /// Adds so many warm servers by chance, and cold ones in a row from one drawn by chance; all of them where there are
    /// no more. Cold ones fill the places that warm ones leave.
    pub fn sample(&mut self, members: &Members, Draw { warm, cold }: Draw, to: &mut Vec<Slot>) {
        let before = to.len();
        match members.warm.len() {
            all if all <= warm => to.extend(&members.warm),
            all => to.extend((0..warm).map(|_| members.warm[self.below(all)])),
        }
        let all = members.cold.len();
        let cold = (cold + warm.saturating_sub(to.len() - before)).min(all);
        let first = if cold < all { self.below(all) } else { 0 };
        to.extend((0..cold).map(|number| members.cold[(first + number) % all]));
    }

    /// Adds the next so many servers of a role, warm or cold, in turn: nobody is left out for ever.
    pub fn next(&mut self, role: Role, members: &Members, many: usize, to: &mut Vec<Slot>) {
        let (all, turn) = (members.len(), &mut self.turns[role as usize]);
        let many = many.min(all);
        to.extend((0..many).filter_map(|number| members.get((*turn + number) % all)));
        *turn = if many < all { (*turn + many) % all } else { 0 };
    }

    fn below(&mut self, all: usize) -> usize {
        self.random.rand_range(0..all as u64) as usize
    }
}
