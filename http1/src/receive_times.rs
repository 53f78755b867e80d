//! Records when the bytes in a connection's buffer were received.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that are received less than this time after the first byte of a segment belong to that segment and share the
/// receive time of its first byte. This limits the number of segments for a peer that sends single bytes.
const COALESCE_WINDOW: Duration = Duration::from_millis(20);

struct Segment {
    /// The number of bytes that the connection had received at the end of this segment.
    end: u64,
    received_at: Instant,
}

/// The receive times of the bytes that are not consumed yet, in segments.
#[derive(Default)]
pub struct ReceiveTimes {
    total_bytes: u64,
    segments: VecDeque<Segment>,
}

impl ReceiveTimes {
    /// Records that `count` bytes were received at `now`, behind `unread` bytes that are not consumed yet. Drops the
    /// times of consumed bytes, so that they do not accumulate on a connection whose times are never queried.
    pub fn record(&mut self, now: Instant, count: usize, unread: usize) {
        self.first_unread(unread);
        self.total_bytes += count as u64;
        match self.segments.back_mut() {
            Some(last) if now.saturating_duration_since(last.received_at) < COALESCE_WINDOW => {
                last.end = self.total_bytes
            }
            _ => self.segments.push_back(Segment { end: self.total_bytes, received_at: now }),
        }
    }

    /// Returns the number of segments in memory.
    pub fn segments(&self) -> usize {
        self.segments.len()
    }

    /// Returns the time at which the first of the last `unread` bytes was received, or `None` if `unread` is zero.
    pub fn first_unread(&mut self, unread: usize) -> Option<Instant> {
        let consumed = self.total_bytes.saturating_sub(unread as u64);
        while self.segments.front().is_some_and(|segment| segment.end <= consumed) {
            self.segments.pop_front();
        }
        self.segments.front().map(|segment| segment.received_at)
    }
}
