//! Limits the unacknowledged bytes of each stream of an HTTP/2 connection, and selects the stream to reset when all
//! streams are blocked.
//!
//! The streams of a connection share its flow-control window. If a client does not read a stream, that stream's
//! unacknowledged bytes take up the shared window until no bytes are left for the other streams. So a stream may hold
//! only a share of the window. The share is large enough that a client that reads sends a window update before the
//! stream reaches it.
//!
//! Several unread streams can still exhaust the window. Then the stream with the most unacknowledged bytes is reset, so
//! that the others can continue. Streams are reset one at a time, since most clients acknowledge the bytes of a reset
//! stream at once. A stream without unacknowledged bytes is never reset, however long it waits.

use petrelshore::interface::Nanos;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;

/// The initial flow-control window of a connection, in bytes, as HTTP/2 defines it.
const DEFAULT_WINDOW: i64 = 65_535;
/// Share of the connection's window that one stream may hold. It must be more than half, since clients send a window
/// update once they have read half of a stream's own window.
const MAX_STREAM_SHARE: f64 = 0.625;
/// A window with fewer bytes left than this counts as exhausted, since no message fits.
const MIN_USABLE_WINDOW: i64 = 64;
/// Time for which a connection may be blocked before a stream is reset, and before each further reset, in nanoseconds.
const BLOCKED_TIMEOUT: Nanos = 3 * SECOND;
/// A stream with less than this share of all unacknowledged bytes does not count as the cause and is not reset.
const MIN_CAUSE_SHARE: f64 = 0.125;

/// The id of a stream on its connection.
pub type StreamId = u32;

/// The flow-control window of a connection, and the unacknowledged bytes of its streams.
#[derive(Debug)]
pub struct FlowControl {
    /// The connection's window when no bytes are unacknowledged, as far as window updates of the peer have shown, in
    /// bytes.
    window: i64,
    /// Bytes sent for which the peer has not sent a window update for the connection.
    unacknowledged: i64,
    /// The unacknowledged bytes of each open stream.
    streams: BTreeMap<StreamId, i64>,
    /// The time since which the window is exhausted. A window update for the connection or a reset starts it anew.
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
    /// Records that a stream was opened.
    pub fn stream_opened(&mut self, stream: StreamId) {
        self.streams.insert(stream, 0);
    }

    /// Number of bytes that a stream may send now without blocking the others. The windows of the protocol apply too.
    pub fn sendable(&self, stream: StreamId) -> usize {
        let held = self.streams.get(&stream).copied().unwrap_or(0);
        let max_held = (self.window as f64 * MAX_STREAM_SHARE) as i64;
        (max_held - held).max(0) as usize
    }

    /// Records that a stream has sent `bytes` bytes.
    pub fn data_sent(&mut self, now: Nanos, stream: StreamId, bytes: usize) {
        self.unacknowledged += bytes as i64;
        if let Some(held) = self.streams.get_mut(&stream) {
            *held += bytes as i64;
        }
        if self.is_exhausted() {
            self.blocked_since.get_or_insert(now);
        }
    }

    /// Records a window update of `bytes` bytes for a stream or, as stream 0, for the connection.
    pub fn window_update(&mut self, now: Nanos, stream: StreamId, bytes: u32) {
        let bytes = i64::from(bytes);
        if stream == 0 {
            self.connection_window_update(now, bytes);
        } else if let Some(held) = self.streams.get_mut(&stream) {
            // Any excess enlarges the stream's own window, which is not tracked here.
            *held = (*held - bytes).max(0);
        }
    }

    fn connection_window_update(&mut self, now: Nanos, bytes: i64) {
        // An update of more than the unacknowledged bytes enlarges the window.
        let growth = (bytes - self.unacknowledged).max(0);
        self.window = self.window.saturating_add(growth).min(i64::from(i32::MAX));
        self.unacknowledged = (self.unacknowledged - bytes).max(0);
        self.blocked_since = self.is_exhausted().then_some(now);
    }

    /// Records that a stream was closed. Its unacknowledged bytes count towards the connection until the peer sends a
    /// window update.
    pub fn stream_closed(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// Time at which [`FlowControl::stream_to_reset`] has to be called next; none while the window is not exhausted.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.blocked_since.map(|since| since + BLOCKED_TIMEOUT)
    }

    /// The stream to reset now, so that the others can continue. None if the connection has not been blocked for long
    /// enough, if only one stream is open, or if no single stream is the cause.
    pub fn stream_to_reset(&mut self, now: Nanos) -> Option<StreamId> {
        let since = self.blocked_since.filter(|since| now >= since + BLOCKED_TIMEOUT)?;
        // Each reset gets the full timeout to take effect before the next one.
        self.blocked_since = Some(now.max(since));
        let total_held: i64 = self.streams.values().sum();
        let (id, held) = self.streams.iter().max_by_key(|(id, held)| (**held, **id))?;
        let is_alone = self.streams.len() == 1;
        let is_cause = *held > 0 && *held as f64 >= MIN_CAUSE_SHARE * total_held as f64;
        (!is_alone && is_cause).then_some(*id)
    }

    fn is_exhausted(&self) -> bool {
        self.window - self.unacknowledged < MIN_USABLE_WINDOW
    }
}
