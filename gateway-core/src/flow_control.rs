//! What each stream of a connection may have on its way, and whose fault it is when none goes on.
//!
//! Streams of one connection share its window. A client that does not read one of them leaves that stream's bytes in
//! the shared window, until nothing is left for the others. So no stream may hold more of it than a part that leaves
//! the others room; that part is more than a client that reads takes before it gives back. Several such streams can
//! still use the window up. Then the one that holds most is ended, so that the others go on; one at a time, since
//! ending it gives its bytes back at once with most clients. Streams that only wait are not at fault, however long.

use petrelshore::interface::Nanos;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
/// Windows before a peer says otherwise, by the protocol.
const DEFAULT: i64 = 65_535;
/// The part of the connection's window that one stream may hold. Clients give back when half of a stream's own
/// window is read, so it must be more than half.
const HOLDS: f64 = 0.625;
/// A window with less than this left is used up: no message fits.
const USED_UP: i64 = 64;
/// The whole connection may stand still for so long before a stream is ended for it, and again so long after.
const STANDSTILL: Nanos = 3 * SECOND;
/// A stream that holds less than this part of what is out is not the cause.
const PART: f64 = 0.125;

pub type StreamId = u32;

#[derive(Debug)]
pub struct FlowControl {
    /// The connection's window when nothing is out, as far as the peer has told.
    whole: i64,
    /// Bytes sent that the peer has not given back to the connection.
    out: i64,
    /// The same for each open stream.
    streams: BTreeMap<StreamId, i64>,
    /// Since when nothing could be sent, and nothing was given back.
    still_since: Option<Nanos>,
}

impl Default for FlowControl {
    fn default() -> Self {
        FlowControl { whole: DEFAULT, out: 0, streams: BTreeMap::new(), still_since: None }
    }
}

impl FlowControl {
    pub fn stream_opened(&mut self, stream: StreamId) {
        self.streams.insert(stream, 0);
    }

    /// Bytes that a stream may send now, as far as the others are concerned; the protocol's windows bound it too.
    pub fn sendable(&self, stream: StreamId) -> usize {
        let holds = self.streams.get(&stream).copied().unwrap_or(0);
        ((self.whole as f64 * HOLDS) as i64 - holds).max(0) as usize
    }

    /// A stream has sent so many bytes.
    pub fn data_sent(&mut self, now: Nanos, stream: StreamId, bytes: usize) {
        self.out += bytes as i64;
        if let Some(out) = self.streams.get_mut(&stream) {
            *out += bytes as i64;
        }
        if self.left() < USED_UP {
            self.still_since.get_or_insert(now);
        }
    }

    /// The peer gave back so many bytes, of a stream or, for stream 0, of the connection.
    pub fn window_update(&mut self, now: Nanos, stream: StreamId, bytes: u32) {
        let bytes = i64::from(bytes);
        if stream != 0 {
            if let Some(out) = self.streams.get_mut(&stream) {
                // What is given beyond that enlarges the stream's own window, which is not counted here.
                *out = (*out - bytes).max(0);
            }
            return;
        }
        // What is given beyond what is out enlarges the window.
        self.whole = self.whole.saturating_add((bytes - self.out).max(0)).min(i64::from(i32::MAX));
        self.out = (self.out - bytes).max(0);
        self.still_since = (self.left() < USED_UP).then_some(now);
    }

    /// A stream is over. What it had out counts against the connection until the peer gives it back.
    pub fn stream_closed(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// When [`FlowControl::to_end`] may next name a stream.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.still_since.map(|since| since + STANDSTILL)
    }

    /// The stream to be ended by now, so that the others can go on. None where no single one is the cause.
    pub fn stream_to_reset(&mut self, now: Nanos) -> Option<StreamId> {
        let since = self.still_since.filter(|since| now >= since + STANDSTILL)?;
        // Ending one must have had its time to help before the next goes.
        self.still_since = Some(now.max(since));
        let all: i64 = self.streams.values().sum();
        let (id, most) = self.streams.iter().max_by_key(|(id, out)| (**out, **id))?;
        let alone = self.streams.len() == 1;
        (!alone && *most > 0 && *most as f64 >= PART * all as f64).then_some(*id)
    }

    fn left(&self) -> i64 {
        self.whole - self.out
    }
}
