//! Puts the batches of cache events from one server in order.
//!
//! Batches are numbered. The feed skips duplicate batches, buffers batches that arrive early, and requests a replay of
//! the missing batches. While a gap is open, the index is inconsistent with the server, which may have less cached than
//! the index says. If the gap can't be closed, all blocks that were reported before the gap are dropped from the index.
//! The index is then correct again, but may lack blocks that the server has cached.

use crate::BlockHash;
use petrelshore::interface::Nanos;
use std::collections::BTreeMap;

/// The maximum number of early batches that are buffered while earlier batches are missing.
const MAX_EARLY_BATCHES: usize = 256;
/// Time after which a replay is requested again if it has not closed the gap, in nanoseconds.
const REPLAY_TIMEOUT: Nanos = 1_000_000_000;
/// The maximum number of replay requests for a gap. The gap is given up after the last request has timed out.
const MAX_REPLAY_REQUESTS: u32 = 3;

/// A change of a server's cache, as the server reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The server cached these blocks.
    Stored(Vec<BlockHash>),
    /// The server evicted these blocks.
    Removed(Vec<BlockHash>),
    /// The server cleared its cache.
    Cleared,
}

/// A numbered batch of cache events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The sequence number, which increases by one from batch to batch.
    pub number: u64,
    /// The events, in the order in which they took place.
    pub events: Vec<CacheEvent>,
}

/// An action that the feed asks of the index or of the subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedAction {
    /// Apply these events to the index, in order.
    Apply(Vec<CacheEvent>),
    /// Request a replay of the server's batches from a number on.
    RequestReplay {
        /// The number of the first missing batch.
        from: u64,
    },
    /// Drop every block of this server from the index, because the contents of its cache are unknown.
    DropServer,
}

/// The last replay request for the open gap.
#[derive(Clone, Copy, Debug)]
struct ReplayRequest {
    sent_at: Nanos,
    /// The number of replay requests sent for this gap.
    attempts: u32,
}

/// The state of one server's subscription.
#[derive(Debug, Default)]
pub struct EventFeed {
    /// The number of the next batch to apply; `None` until the first batch arrives.
    next_number: Option<u64>,
    /// Buffered events of early batches, by batch number.
    early_batches: BTreeMap<u64, Vec<CacheEvent>>,
    replay: Option<ReplayRequest>,
}

impl EventFeed {
    /// Handles a batch, whether live or replayed.
    pub fn batch_received(&mut self, now: Nanos, batch: Batch) -> Vec<FeedAction> {
        let next = *self.next_number.get_or_insert(batch.number);
        if batch.number < next {
            return Vec::new();
        }
        if batch.number > next {
            self.early_batches.insert(batch.number, batch.events);
            if self.early_batches.len() > MAX_EARLY_BATCHES {
                return self.give_up();
            }
            return self.request_replay(now);
        }
        let mut actions = vec![self.apply(batch.events)];
        while let Some(events) = self.next_number.and_then(|next| self.early_batches.remove(&next)) {
            actions.push(self.apply(events));
        }
        if self.early_batches.is_empty() {
            self.replay = None;
        }
        actions
    }

    /// Requests a replay again if it has not closed the gap in time, and gives the gap up after the last attempt.
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

    /// Returns the time at which [`EventFeed::on_timeout`] has to be called, or `None` if no replay is pending.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.replay.map(|replay| replay.sent_at + REPLAY_TIMEOUT)
    }

    /// Resets the feed after the connection broke or the server restarted. The next batch may have any number.
    pub fn restarted(&mut self) -> Vec<FeedAction> {
        *self = EventFeed::default();
        vec![FeedAction::DropServer]
    }

    /// Returns true if the index reflects the server's cache, because no gap between batches is open.
    pub fn is_consistent(&self) -> bool {
        self.early_batches.is_empty()
    }

    fn apply(&mut self, events: Vec<CacheEvent>) -> FeedAction {
        self.next_number = self.next_number.map(|next| next.wrapping_add(1));
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
        self.next_number.map(|from| FeedAction::RequestReplay { from }).into_iter().collect()
    }

    /// Gives up the gap: drops all blocks that were reported before the gap, and applies the early batches up to the
    /// next gap.
    fn give_up(&mut self) -> Vec<FeedAction> {
        let early = std::mem::take(&mut self.early_batches);
        self.replay = None;
        self.next_number = early.keys().next().copied().or(self.next_number);
        let mut actions = vec![FeedAction::DropServer];
        for (number, events) in early {
            if self.next_number == Some(number) {
                actions.push(self.apply(events));
            } else {
                self.early_batches.insert(number, events);
            }
        }
        actions
    }
}
