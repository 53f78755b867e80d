//! When the bytes in a connection's buffer were received.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes received within this time of each other form one segment, with the time of its first byte. Bounds the number
/// of segments for a peer that sends byte by byte.
const COALESCE_WINDOW: Duration = Duration::from_millis(20);

struct Segment {
    /// Bytes received on the connection up to the end of this segment.
    end: u64,
    received_at: Instant,
}

/// The receive times of the bytes that are not consumed yet.
#[derive(Default)]
pub struct ReceiveTimes {
    total_bytes: u64,
    segments: VecDeque<Segment>,
}

impl ReceiveTimes {
    /// Records that `count` bytes were received behind `unread` ones. Times of consumed bytes are dropped here, so that
    /// a connection whose times are never queried keeps none of them.
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

    /// The number of segments that are kept.
    pub fn segments(&self) -> usize {
        self.segments.len()
    }

    /// When the first of the last `unread` bytes was received; none if `unread` is zero.
    pub fn first_unread(&mut self, unread: usize) -> Option<Instant> {
        let consumed = self.total_bytes.saturating_sub(unread as u64);
        while self.segments.front().is_some_and(|segment| segment.end <= consumed) {
            self.segments.pop_front();
        }
        self.segments.front().map(|segment| segment.received_at)
    }
}
