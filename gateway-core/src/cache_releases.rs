//! Releases that are owed: states that readers hold and that no attempt will take any more.
//!
//! Rule 5 gives a release little time, and a message can get lost, so each is told again until its reader has
//! answered. A reader that can't be reached gets the message for as long as it may still hold the state: readers
//! drop what nobody fetched after a time of their own.
//!
//! A read that was cut off may still reach its reader after the release did: the two ride on different connections.
//! Its reader then answers that it holds nothing, and holds a state a moment later. So for such a read an answer
//! settles nothing until the read can no longer be on its way, and the word is repeated often enough for the rule.
//!
//! A word lets go of all that is held for its request. So while a sequence reads anew or writes, nothing is said for
//! it: what is owed is taken back, and owed again once nothing is out.

use petrelshore::interface::{Nanos, ServerId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The first wait for an answer, as a part of the time that the rule allows; each next one is twice as long.
const FIRST: u64 = 4;
const LONGEST: Nanos = 5_000_000_000;
/// A state that was not let go after this long is taken for dropped by its reader.
const GIVE_UP: Nanos = 60_000_000_000;
/// More than this are not remembered: the oldest is dropped, and counted.
const MOST: usize = 10_000;

/// A word that its reader does not take goes by way of so many others, until one answers.
const OTHERS: usize = 3;
/// Each next one is told after this part of the time for an answer, while those before are still awaited.
const NEXT: u64 = 2;
/// Connections that are kept for telling them, beyond one for each sequence in hand.
pub const RELEASE_CONNECTIONS: usize = 8;

/// A read that was cut off may come to its reader for this long after.
const ON_ITS_WAY: Nanos = 2_000_000_000;

/// What is known of the state that is to be let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheState {
    /// The reader has said that it holds it.
    Held,
    /// Its read was cut off: it may be held, never be held, or be held a moment later.
    Uncertain,
}

/// What came of telling a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    Acknowledged,
    /// It provably does not run, or is not known any more.
    ServerGone,
}

/// Tells a reader to let go of what it holds for a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheRelease {
    pub server: ServerId,
    pub request_id: String,
}

struct Owed {
    since: Nanos,
    /// Answers before this settle nothing.
    settles_from: Nanos,
    next: Nanos,
    wait: Nanos,
    tries: usize,
}

/// All that this gateway owes.
pub struct CacheReleases {
    within: Nanos,
    owed: BTreeMap<CacheRelease, Owed>,
    due: BTreeSet<(Nanos, CacheRelease)>,
    lost: u64,
}

impl CacheReleases {
    /// `within` is the time in which a state must be let go.
    pub fn new(within: Nanos) -> Self {
        CacheReleases { within, owed: BTreeMap::new(), due: BTreeSet::new(), lost: 0 }
    }

    /// A state is to be let go of: tell its reader now, whatever it was told before: a second read may have left
    /// another one there.
    pub fn add(&mut self, now: Nanos, release: &CacheRelease, state: CacheState) {
        self.settled(release);
        if self.owed.len() >= MOST {
            self.drop_oldest();
        }
        let wait = self.answer_timeout();
        let settles_from = match state {
            CacheState::Held => now,
            CacheState::Uncertain => now.saturating_add(ON_ITS_WAY),
        };
        self.due.insert((now + wait, release.clone()));
        self.owed
            .insert(release.clone(), Owed { since: now, settles_from, next: now + wait, wait, tries: 0 });
    }

    /// Takes back what is owed for a request: the readers that may still hold something.
    pub fn revoke(&mut self, request: &str) -> Vec<ServerId> {
        let owed: Vec<CacheRelease> =
            self.owed.keys().filter(|owed| owed.request_id == request).cloned().collect();
        owed.iter().for_each(|release| self.settled(release));
        owed.into_iter().map(|release| release.server).collect()
    }

    /// Its reader has answered, or provably runs no more.
    pub fn finished(&mut self, now: Nanos, release: &CacheRelease, word: ReleaseOutcome) {
        let early = self.owed.get(release).is_some_and(|owed| now < owed.settles_from);
        if word == ReleaseOutcome::ServerGone || !early {
            self.settled(release);
        }
    }

    fn settled(&mut self, release: &CacheRelease) {
        if let Some(owed) = self.owed.remove(release) {
            self.due.remove(&(owed.next, release.clone()));
        }
    }

    /// How long a reader may take to answer before it is told again.
    pub fn answer_timeout(&self) -> Nanos {
        (self.within / FIRST).max(1)
    }

    /// How long an answer is awaited before the next server is told as well.
    pub fn relay_interval(&self) -> Nanos {
        (self.answer_timeout() / NEXT).max(1)
    }

    /// By way of whom else a reader that can't be had is told: of the servers that should be there, given with when
    /// they were last heard of, the ones heard last, others with each try, since those may be lost too.
    pub fn relays(&self, release: &CacheRelease, ready: &[(Nanos, ServerId)]) -> Vec<ServerId> {
        let mut others: Vec<_> = ready.iter().filter(|(_, id)| *id != release.server).copied().collect();
        others.sort_unstable_by_key(|(heard, id)| (Reverse(*heard), *id));
        let tries = self.owed.get(release).map_or(0, |owed| owed.tries);
        let from = tries.saturating_mul(OTHERS) % others.len().max(1);
        others.rotate_left(from);
        others.into_iter().take(OTHERS).map(|(_, id)| id).collect()
    }

    pub fn next_timeout(&self) -> Option<Nanos> {
        self.due.first().map(|(at, _)| *at)
    }

    /// What is to be told again by now.
    pub fn on_timeout(&mut self, now: Nanos) -> Vec<CacheRelease> {
        let mut again = Vec::new();
        while let Some((at, release)) = self.due.first().cloned().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, release.clone()));
            let Some(owed) = self.owed.get_mut(&release) else { continue };
            if now >= owed.since.saturating_add(GIVE_UP) {
                self.owed.remove(&release);
                self.lost += 1;
                continue;
            }
            // A read that was cut off may come at any time yet, and its state has the rule's time from then on.
            let longest = if now < owed.settles_from { self.within / 2 } else { LONGEST };
            owed.wait = (owed.wait * 2).min(longest);
            owed.tries += 1;
            owed.next = now + owed.wait;
            self.due.insert((owed.next, release.clone()));
            again.push(release);
        }
        again
    }

    /// Since when that one is owed.
    pub fn pending_since(&self, release: &CacheRelease) -> Option<Nanos> {
        self.owed.get(release).map(|owed| owed.since)
    }

    pub fn pending(&self) -> usize {
        self.owed.len()
    }

    /// How many were given up without an answer.
    pub fn abandoned(&self) -> u64 {
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
