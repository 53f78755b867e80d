//! One server's batches of cache events, put in order.
//!
//! Batches are numbered. A duplicate is skipped, one that comes early waits for those before it, and for those a replay is
//! requested. While a gap is open the server is inconsistent: it may have less cached than the index says. Where the gap
//! can't be closed, everything reported before it is dropped: what is reported after it is true again, if less.

use crate::BlockHash;
use petrelshore::interface::Nanos;
use std::collections::BTreeMap;

/// Batches buffered that came before others which are missing.
const MAX_EARLY_BATCHES: usize = 256;
/// A replay that has not closed the gap by then is requested again. In nanoseconds.
const REPLAY_TIMEOUT: Nanos = 1_000_000_000;
/// Replays requested for one gap before it is given up.
const MAX_REPLAY_REQUESTS: u32 = 3;

/// What a server reports of its cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// Blocks were cached.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Removed(Vec<BlockHash>),
    /// The cache is empty.
    Cleared,
}

/// Cache events under one number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Grows by one from batch to batch.
    pub number: u64,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// What follows for the index and the subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedAction {
    /// Apply these events to the index, in order.
    Apply(Vec<CacheEvent>),
    /// Request the server's batches from this number on.
    RequestReplay {
        /// The number of the first missing batch.
        from: u64,
    },
    /// Drop every block of this server from the index: what it has cached is unknown.
    DropServer,
}

/// A replay that was requested for the open gap.
#[derive(Clone, Copy, Debug)]
struct ReplayRequest {
    sent_at: Nanos,
    /// How many were sent for this gap.
    attempts: u32,
}

/// The state of one server's subscription.
#[derive(Debug, Default)]
pub struct EventFeed {
    next: Option<u64>,
    early: BTreeMap<u64, Vec<CacheEvent>>,
    replay: Option<ReplayRequest>,
}

impl EventFeed {
    /// A batch has come, live or replayed.
    pub fn batch_received(&mut self, now: Nanos, batch: Batch) -> Vec<FeedAction> {
        let next = *self.next.get_or_insert(batch.number);
        if batch.number < next {
            return Vec::new();
        }
        if batch.number > next {
            self.early.insert(batch.number, batch.events);
            if self.early.len() > MAX_EARLY_BATCHES {
                return self.give_up();
            }
            return self.request_replay(now);
        }
        let mut actions = vec![self.apply(batch.events)];
        while let Some(events) = self.next.and_then(|next| self.early.remove(&next)) {
            actions.push(self.apply(events));
        }
        if self.early.is_empty() {
            self.replay = None;
        }
        actions
    }

    /// Time has passed: a replay that did not come is requested again, and at last given up.
    pub fn on_timeout(&mut self, now: Nanos) -> Vec<FeedAction> {
        match self.replay {
            Some(replay) if now >= replay.sent_at + REPLAY_TIMEOUT => {
                if replay.attempts >= MAX_REPLAY_REQUESTS {
                    return self.give_up();
                }
                self.replay = Some(ReplayRequest { sent_at: now, attempts: replay.attempts + 1 });
                self.replay_action()
            }
            _ => Vec::new(),
        }
    }

    /// When [`EventFeed::on_timeout`] next has something to do.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.replay.map(|replay| replay.sent_at + REPLAY_TIMEOUT)
    }

    /// The connection broke, or the server restarted: numbers begin wherever they begin next.
    pub fn restarted(&mut self) -> Vec<FeedAction> {
        *self = EventFeed::default();
        vec![FeedAction::DropServer]
    }

    /// Whether what the index has of this server can be relied on.
    pub fn is_consistent(&self) -> bool {
        self.early.is_empty()
    }

    fn apply(&mut self, events: Vec<CacheEvent>) -> FeedAction {
        self.next = self.next.map(|next| next.wrapping_add(1));
        FeedAction::Apply(events)
    }

    fn request_replay(&mut self, now: Nanos) -> Vec<FeedAction> {
        if self.replay.is_some() {
            return Vec::new();
        }
        self.replay = Some(ReplayRequest { sent_at: now, attempts: 1 });
        self.replay_action()
    }

    fn replay_action(&self) -> Vec<FeedAction> {
        self.next.map(|from| FeedAction::RequestReplay { from }).into_iter().collect()
    }

    /// The gap stays: what was reported before it is dropped, and what comes after it is taken as it comes.
    fn give_up(&mut self) -> Vec<FeedAction> {
        let early = std::mem::take(&mut self.early);
        self.replay = None;
        self.next = early.keys().next().copied().or(self.next);
        let mut actions = vec![FeedAction::DropServer];
        for (number, events) in early {
            if self.next == Some(number) {
                actions.push(self.apply(events));
            } else {
                self.early.insert(number, events);
            }
        }
        actions
    }
}
