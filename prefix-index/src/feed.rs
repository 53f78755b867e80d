//! One server's batches of cache events, put in order.
//!
//! Batches carry a number. One that comes twice is passed by, one that comes early waits for those before it, and for
//! those a replay is asked. While a gap is open the server is unsure: it may hold less than the index says. Where the
//! gap can't be closed, all that was told before it is dropped: what is told after it is true again, if less.

use crate::BlockHash;
use petrelshore::interface::Nanos;
use std::collections::BTreeMap;

/// Batches kept that came before others which are missing.
const EARLY: usize = 256;
/// A replay that has not closed the gap by then is asked again, so often.
const REPLAY_WITHIN: Nanos = 1_000_000_000;
const REPLAYS: u32 = 3;

/// What a server tells of its cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    Stored(Vec<BlockHash>),
    Removed(Vec<BlockHash>),
    Cleared,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    pub number: u64,
    pub events: Vec<CacheEvent>,
}

/// What follows for the index and the subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Apply these, in order.
    Apply(Vec<CacheEvent>),
    /// Ask the server for its batches from this number on.
    Replay { from: u64 },
    /// Drop everything of this server: what it holds is not known.
    Drop,
}

#[derive(Debug, Default)]
pub struct Feed {
    next: Option<u64>,
    early: BTreeMap<u64, Vec<CacheEvent>>,
    /// When a replay was last asked for, and how often for this gap.
    asked: Option<(Nanos, u32)>,
}

impl Feed {
    /// A batch has come, live or replayed.
    pub fn came(&mut self, now: Nanos, batch: Batch) -> Vec<Step> {
        let next = *self.next.get_or_insert(batch.number);
        if batch.number < next {
            return Vec::new();
        }
        if batch.number > next {
            self.early.insert(batch.number, batch.events);
            if self.early.len() > EARLY {
                return self.give_up();
            }
            return self.ask(now);
        }
        let mut steps = self.take(batch.events);
        while let Some(events) = self.next.and_then(|next| self.early.remove(&next)) {
            steps.extend(self.take(events));
        }
        if self.early.is_empty() {
            self.asked = None;
        }
        steps
    }

    /// Time has passed: a replay that did not come is asked for again, and at last not waited for.
    pub fn due(&mut self, now: Nanos) -> Vec<Step> {
        match self.asked {
            Some((at, times)) if now >= at + REPLAY_WITHIN => {
                if times >= REPLAYS {
                    return self.give_up();
                }
                self.asked = None;
                let steps = self.ask(now);
                self.asked = Some((now, times + 1));
                steps
            }
            _ => Vec::new(),
        }
    }

    /// When [`Feed::due`] next has something to do.
    pub fn next_due(&self) -> Option<Nanos> {
        self.asked.map(|(at, _)| at + REPLAY_WITHIN)
    }

    /// The connection broke, or the server started anew: numbers begin wherever they begin next.
    pub fn restarted(&mut self) -> Vec<Step> {
        *self = Feed::default();
        vec![Step::Drop]
    }

    /// Whether what the index holds of this server can be relied on.
    pub fn sure(&self) -> bool {
        self.early.is_empty()
    }

    fn take(&mut self, events: Vec<CacheEvent>) -> Vec<Step> {
        self.next = self.next.map(|next| next.wrapping_add(1));
        vec![Step::Apply(events)]
    }

    fn ask(&mut self, now: Nanos) -> Vec<Step> {
        if self.asked.is_some() {
            return Vec::new();
        }
        self.asked = Some((now, 1));
        self.next.map(|from| Step::Replay { from }).into_iter().collect()
    }

    /// The gap stays: what was told before it is dropped, and what comes after it is taken as it comes.
    fn give_up(&mut self) -> Vec<Step> {
        let early = std::mem::take(&mut self.early);
        self.asked = None;
        self.next = early.keys().next().copied().or(self.next);
        let mut steps = vec![Step::Drop];
        for (number, events) in early {
            if self.next == Some(number) {
                steps.extend(self.take(events));
            } else {
                self.early.insert(number, events);
            }
        }
        steps
    }
}
