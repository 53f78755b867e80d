//! Releases that are owed: states that readers hold and that no attempt will take any more.
//!
//! Rule 5 gives a release little time, and a message can get lost, so each is told again until its reader has
//! answered. A reader that can't be reached gets the message for as long as it may still hold the state: readers
//! drop what nobody fetched after a time of their own.
//!
//! A read that was cut off may still reach its reader after the release did: the two ride on different connections.
//! Its reader then answers that it holds nothing, and holds a state a moment later. So for such a read an answer
//! settles nothing until the read can no longer be on its way.

use petrelshore::interface::{Nanos, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// The first wait for an answer, as a part of the time that the rule allows; each next one is twice as long.
const FIRST: u64 = 4;
const LONGEST: Nanos = 5_000_000_000;
/// A state that was not let go after this long is taken for dropped by its reader.
const GIVE_UP: Nanos = 60_000_000_000;
/// More than this are not remembered: the oldest is dropped, and counted.
const MOST: usize = 10_000;

/// A read that was cut off may come to its reader for this long after.
const ON_ITS_WAY: Nanos = 2_000_000_000;

/// What is known of the state that is to be let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The reader has said that it holds it.
    Held,
    /// Its read was cut off: it may be held, never be held, or be held a moment later.
    CutOff,
}

/// What came of telling a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Answered,
    /// It provably does not run, or is not known any more.
    Gone,
}

/// Tells a reader to let go of what it holds for a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Release {
    pub server: ServerId,
    pub request: String,
}

struct Owed {
    since: Nanos,
    /// Answers before this settle nothing.
    settles_from: Nanos,
    next: Nanos,
    wait: Nanos,
}

/// All that this gateway owes.
pub struct Releases {
    within: Nanos,
    owed: BTreeMap<Release, Owed>,
    due: BTreeSet<(Nanos, Release)>,
    lost: u64,
}

impl Releases {
    /// `within` is the time in which a state must be let go.
    pub fn new(within: Nanos) -> Self {
        Releases { within, owed: BTreeMap::new(), due: BTreeSet::new(), lost: 0 }
    }

    /// A state is to be let go of: tell its reader now. False where that is owed already.
    pub fn owe(&mut self, now: Nanos, release: &Release, state: State) -> bool {
        if self.owed.contains_key(release) {
            return false;
        }
        if self.owed.len() >= MOST {
            self.drop_oldest();
        }
        let wait = self.answer_within();
        let settles_from = match state {
            State::Held => now,
            State::CutOff => now.saturating_add(ON_ITS_WAY),
        };
        self.due.insert((now + wait, release.clone()));
        self.owed.insert(release.clone(), Owed { since: now, settles_from, next: now + wait, wait });
        true
    }

    /// Its reader has answered, or provably runs no more.
    pub fn told(&mut self, now: Nanos, release: &Release, word: Word) {
        let early = self.owed.get(release).is_some_and(|owed| now < owed.settles_from);
        if word == Word::Gone || !early {
            self.settled(release);
        }
    }

    fn settled(&mut self, release: &Release) {
        if let Some(owed) = self.owed.remove(release) {
            self.due.remove(&(owed.next, release.clone()));
        }
    }

    /// A server started anew: it holds nothing from before.
    pub fn started_anew(&mut self, server: ServerId) {
        let gone: Vec<Release> =
            self.owed.keys().filter(|release| release.server == server).cloned().collect();
        for release in gone {
            self.settled(&release);
        }
    }

    /// How long a reader may take to answer before it is told again.
    pub fn answer_within(&self) -> Nanos {
        (self.within / FIRST).max(1)
    }

    /// By way of whom else a reader that can't be had is told, of the servers that should be there: another one with
    /// each try, since that one may be lost too.
    pub fn by_way_of(&self, release: &Release, ready: &[ServerId]) -> Option<ServerId> {
        let others: Vec<ServerId> = ready.iter().copied().filter(|id| *id != release.server).collect();
        let first = self.owed.get(release).map_or(self.within, |owed| owed.wait);
        let tries = (first / self.answer_within()).max(1).ilog2() as usize;
        let at = (release.server.0 as usize).wrapping_add(tries) % others.len().max(1);
        others.get(at).copied()
    }

    pub fn next_due(&self) -> Option<Nanos> {
        self.due.first().map(|(at, _)| *at)
    }

    /// What is to be told again by now.
    pub fn due(&mut self, now: Nanos) -> Vec<Release> {
        let mut again = Vec::new();
        while let Some((at, release)) = self.due.first().cloned().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, release.clone()));
            let Some(owed) = self.owed.get_mut(&release) else { continue };
            if now >= owed.since.saturating_add(GIVE_UP) {
                self.owed.remove(&release);
                self.lost += 1;
                continue;
            }
            owed.wait = (owed.wait * 2).min(LONGEST);
            owed.next = now + owed.wait;
            self.due.insert((owed.next, release.clone()));
            again.push(release);
        }
        again
    }

    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    /// How many were given up without an answer.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    fn drop_oldest(&mut self) {
        let oldest = self.owed.iter().min_by_key(|(_, owed)| owed.since).map(|(release, _)| release.clone());
        if let Some(release) = oldest {
            self.settled(&release);
            self.lost += 1;
        }
    }
}
