//! Limits on what the peer of an HTTP/2 connection may send, and its keepalive.
//!
//! Such a connection can cause work without asking for any answer: pings, settings, streams opened and reset. Each
//! kind of frame has a limit that ordinary clients never meet, on bursts and on the rate; past it the connection is
//! ended, with the reason. A peer that vanished without closing is detected by a ping.

use petrelshore::interface::Nanos;

const SECOND: Nanos = 1_000_000_000;

/// Pings that come this soon after each other, with nothing sent to the peer in between, count as unprompted. Clients
/// that measure a path send one for each burst of data they get.
const MIN_PING_INTERVAL: Nanos = 5 * SECOND;
const MAX_UNPROMPTED_PINGS: u32 = 8;
/// All pings, whatever was sent to the peer.
const PING_LIMIT: RateLimit = RateLimit { burst: 200.0, per_second: 50.0 };
const SETTINGS_LIMIT: RateLimit = RateLimit { burst: 32.0, per_second: 1.0 };
/// Frames that carry nothing, or nothing that was asked for.
const SMALL_FRAME_LIMIT: RateLimit = RateLimit { burst: 20_000.0, per_second: 5_000.0 };
/// Streams reset by the peer: all that a connection may have may be reset at once, and so many times over.
const RESET_BURST_PER_STREAM: f64 = 2.0;
const RESETS_PER_SECOND: f64 = 100.0;

/// A peer that has calls in flight and sends nothing is pinged after this.
const PING_AFTER_SILENCE: Nanos = 15 * SECOND;
/// And has so long to answer the ping.
const PING_TIMEOUT: Nanos = 10 * SECOND;
/// A connection without calls is closed after this.
const IDLE_TIMEOUT: Nanos = 300 * SECOND;

/// A frame that a peer sent, by the limit that it counts to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFrame {
    /// A ping that wants an answer.
    Ping,
    /// A change of settings.
    Settings,
    /// The reset of a stream.
    Reset,
    /// A frame that carries a call or its data.
    Call,
    /// Any other.
    Small,
}

/// What a peer sent too much of: why its connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Abuse {
    /// Pings.
    Pings,
    /// Changes of settings.
    Settings,
    /// Resets of streams.
    Resets,
    /// Frames that carry nothing.
    SmallFrames,
}

/// What a timeout of a connection asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepaliveAction {
    /// Ping the peer.
    Ping,
    /// The peer has not answered: end the connection.
    PeerGone,
    /// The connection was idle for long: close it.
    CloseIdle,
}

#[derive(Clone, Copy, Debug)]
struct RateLimit {
    burst: f64,
    per_second: f64,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    updated_at: Nanos,
}

impl TokenBucket {
    fn new(now: Nanos, limit: RateLimit) -> Self {
        TokenBucket { limit, tokens: limit.burst, updated_at: now }
    }

    /// Takes a token; false where none was left, which is counted all the same.
    fn take(&mut self, now: Nanos) -> bool {
        let elapsed_seconds = now.saturating_sub(self.updated_at) as f64 / SECOND as f64;
        let refilled = self.tokens + elapsed_seconds * self.limit.per_second;
        self.tokens = refilled.min(self.limit.burst) - 1.0;
        self.updated_at = now.max(self.updated_at);
        self.tokens >= 0.0
    }
}

/// What the peer of one connection has sent, and how long it has been silent.
#[derive(Debug)]
pub struct AbuseDetector {
    pings: TokenBucket,
    settings: TokenBucket,
    resets: TokenBucket,
    small_frames: TokenBucket,
    last_ping: Option<Nanos>,
    unprompted_pings: u32,
    last_frame: Nanos,
    /// When it was pinged, if nothing has come since.
    pinged_at: Option<Nanos>,
    calls: usize,
    last_call_ended: Nanos,
    detected: Option<Abuse>,
}

impl AbuseDetector {
    /// For a connection that was made just now and may carry up to `max_calls` calls.
    pub fn new(now: Nanos, max_calls: usize) -> Self {
        let reset_burst = max_calls as f64 * RESET_BURST_PER_STREAM;
        let reset_limit = RateLimit { burst: reset_burst, per_second: RESETS_PER_SECOND };
        AbuseDetector {
            pings: TokenBucket::new(now, PING_LIMIT),
            settings: TokenBucket::new(now, SETTINGS_LIMIT),
            resets: TokenBucket::new(now, reset_limit),
            small_frames: TokenBucket::new(now, SMALL_FRAME_LIMIT),
            last_ping: None,
            unprompted_pings: 0,
            last_frame: now,
            pinged_at: None,
            calls: 0,
            last_call_ended: now,
            detected: None,
        }
    }

    /// The peer sent a frame.
    pub fn frame_received(&mut self, now: Nanos, frame: PeerFrame) {
        self.last_frame = now;
        self.pinged_at = None;
        let (within_limit, abuse) = match frame {
            PeerFrame::Call => return,
            PeerFrame::Ping => (self.take_ping(now), Abuse::Pings),
            PeerFrame::Settings => (self.settings.take(now), Abuse::Settings),
            PeerFrame::Reset => (self.resets.take(now), Abuse::Resets),
            PeerFrame::Small => (self.small_frames.take(now), Abuse::SmallFrames),
        };
        if !within_limit {
            self.detected.get_or_insert(abuse);
        }
    }

    fn take_ping(&mut self, now: Nanos) -> bool {
        let previous = self.last_ping.replace(now);
        let is_unprompted = previous.is_some_and(|previous| now < previous + MIN_PING_INTERVAL);
        self.unprompted_pings += u32::from(is_unprompted);
        self.pings.take(now) && self.unprompted_pings <= MAX_UNPROMPTED_PINGS
    }

    /// Something was sent to the peer for a call.
    pub fn frame_sent(&mut self) {
        self.unprompted_pings = 0;
    }

    /// A call has begun.
    pub fn call_started(&mut self) {
        self.calls += 1;
    }

    /// A call has ended.
    pub fn call_ended(&mut self, now: Nanos) {
        self.calls = self.calls.saturating_sub(1);
        self.last_call_ended = now;
    }

    /// Why the connection is to be ended, once it is.
    pub fn detected(&self) -> Option<Abuse> {
        self.detected
    }

    /// When to call [`AbuseDetector::on_timeout`] next.
    pub fn next_timeout(&self) -> Nanos {
        match (self.calls, self.pinged_at) {
            (0, _) => self.last_call_ended.max(self.last_frame) + IDLE_TIMEOUT,
            (_, Some(pinged_at)) => pinged_at + PING_TIMEOUT,
            (_, None) => self.last_frame + PING_AFTER_SILENCE,
        }
    }

    /// What to do by now; nothing before the next timeout.
    pub fn on_timeout(&mut self, now: Nanos) -> Option<KeepaliveAction> {
        if now < self.next_timeout() {
            return None;
        }
        Some(match (self.calls, self.pinged_at) {
            (0, _) => KeepaliveAction::CloseIdle,
            (_, Some(_)) => KeepaliveAction::PeerGone,
            (_, None) => {
                self.pinged_at = Some(now);
                KeepaliveAction::Ping
            }
        })
    }
}
