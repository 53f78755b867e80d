//! When the bytes of a connection's buffer came.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that come within this time of each other count as one piece, with the time of the first. Bounds the table for
/// a peer that sends byte by byte.
const SAME_PIECE: Duration = Duration::from_millis(20);

struct Piece {
    /// Bytes that had come on the connection by the end of this piece.
    end: u64,
    came: Instant,
}

/// The times of the pieces that are not used up yet.
#[derive(Default)]
pub struct Arrivals {
    bytes: u64,
    pieces: VecDeque<Piece>,
}

impl Arrivals {
    /// So many bytes have come, behind `unused` that were not used yet: times of the others are dropped, also on a
    /// connection whose times nobody asks for.
    pub fn came(&mut self, now: Instant, count: usize, unused: usize) {
        self.first_of(unused);
        self.bytes += count as u64;
        match self.pieces.back_mut() {
            Some(last) if now.saturating_duration_since(last.came) < SAME_PIECE => last.end = self.bytes,
            _ => self.pieces.push_back(Piece { end: self.bytes, came: now }),
        }
    }

    /// Pieces whose times are kept.
    pub fn pieces(&self) -> usize {
        self.pieces.len()
    }

    /// When the first of the bytes came that are still to be used, `unused` in number; none where there are none.
    pub fn first_of(&mut self, unused: usize) -> Option<Instant> {
        let used = self.bytes.saturating_sub(unused as u64);
        while self.pieces.front().is_some_and(|piece| piece.end <= used) {
            self.pieces.pop_front();
        }
        self.pieces.front().map(|piece| piece.came)
    }
}
