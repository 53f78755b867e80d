//! How much each stream of an HTTP/2 connection may have unacknowledged, and which one to reset when all are blocked.
//!
//! The streams of a connection share its flow-control window. A client that does not read one of them leaves that
//! stream's bytes in the shared window, until nothing is left for the others. So no stream may hold more than a share
//! that leaves the others some; that share is more than a client that reads needs before it sends a window update.
//! Several such streams can still exhaust the window. Then the one that holds most is reset, so that the others
//! go on; one at a time, since with most clients a reset frees its bytes at once. Streams that only wait are not at
//! fault, however long.

use petrelshore::interface::Nanos;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;

/// The window in bytes until the peer enlarges it, by the protocol.
const DEFAULT_WINDOW: i64 = 65_535;
/// Share of the connection's window that one stream may hold. Clients send a window update once half of a stream's own
/// window is read, so it must be more than half.
const MAX_STREAM_SHARE: f64 = 0.625;
/// A window with fewer bytes left than this is exhausted: no message fits.
const MIN_USABLE_WINDOW: i64 = 64;
/// A connection may be blocked for so long before a stream is reset, and again so long before the next.
const BLOCKED_TIMEOUT: Nanos = 3 * SECOND;
/// A stream that holds less than this share of all unacknowledged bytes is not the cause.
const MIN_CAUSE_SHARE: f64 = 0.125;

/// The number of a stream on its connection.
pub type StreamId = u32;

/// The flow-control window of a connection, and what its streams hold of it.
#[derive(Debug)]
pub struct FlowControl {
    /// The connection's window when nothing is unacknowledged, as far as the peer has announced it.
    window: i64,
    /// Bytes sent for which the peer has not sent a window update of the connection.
    unacknowledged: i64,
    /// The same of each open stream.
    streams: BTreeMap<StreamId, i64>,
    /// Since when nothing could be sent, and no window update came.
    blocked_since: Option<Nanos>,
}

impl Default for FlowControl {
    fn default() -> Self {
        FlowControl {
            window: DEFAULT_WINDOW,
            unacknowledged: 0,
            streams: BTreeMap::new(),
            blocked_since: None,
        }
    }
}

impl FlowControl {
    /// A stream is open.
    pub fn stream_opened(&mut self, stream: StreamId) {
        self.streams.insert(stream, 0);
    }

    /// Bytes that a stream may send now without harm to the others; the protocol's windows bound it too.
    pub fn sendable(&self, stream: StreamId) -> usize {
        let held = self.streams.get(&stream).copied().unwrap_or(0);
        let max_held = (self.window as f64 * MAX_STREAM_SHARE) as i64;
        (max_held - held).max(0) as usize
    }

    /// A stream has sent so many bytes.
    pub fn data_sent(&mut self, now: Nanos, stream: StreamId, bytes: usize) {
        self.unacknowledged += bytes as i64;
        if let Some(held) = self.streams.get_mut(&stream) {
            *held += bytes as i64;
        }
        if self.is_exhausted() {
            self.blocked_since.get_or_insert(now);
        }
    }

    /// A window update of so many bytes has come for a stream or, as stream 0, for the connection.
    pub fn window_update(&mut self, now: Nanos, stream: StreamId, bytes: u32) {
        let bytes = i64::from(bytes);
        if stream == 0 {
            self.connection_window_update(now, bytes);
        } else if let Some(held) = self.streams.get_mut(&stream) {
            // More than that enlarges the stream's own window, which is not tracked here.
            *held = (*held - bytes).max(0);
        }
    }

    fn connection_window_update(&mut self, now: Nanos, bytes: i64) {
        // More than what is unacknowledged enlarges the window.
        let growth = (bytes - self.unacknowledged).max(0);
        self.window = self.window.saturating_add(growth).min(i64::from(i32::MAX));
        self.unacknowledged = (self.unacknowledged - bytes).max(0);
        self.blocked_since = self.is_exhausted().then_some(now);
    }

    /// A stream is closed. Its unacknowledged bytes count to the connection until the peer sends a window update.
    pub fn stream_closed(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// When [`FlowControl::stream_to_reset`] may next name a stream.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.blocked_since.map(|since| since + BLOCKED_TIMEOUT)
    }

    /// The stream to reset by now, so that the others can go on; none where no single one is the cause.
    pub fn stream_to_reset(&mut self, now: Nanos) -> Option<StreamId> {
        let since = self.blocked_since.filter(|since| now >= since + BLOCKED_TIMEOUT)?;
        // A reset must have had its time to help before the next.
        self.blocked_since = Some(now.max(since));
        let held_by_all: i64 = self.streams.values().sum();
        let (id, held) = self.streams.iter().max_by_key(|(id, held)| (**held, **id))?;
        let is_alone = self.streams.len() == 1;
        let is_cause = *held > 0 && *held as f64 >= MIN_CAUSE_SHARE * held_by_all as f64;
        (!is_alone && is_cause).then_some(*id)
    }

    fn is_exhausted(&self) -> bool {
        self.window - self.unacknowledged < MIN_USABLE_WINDOW
    }
}
