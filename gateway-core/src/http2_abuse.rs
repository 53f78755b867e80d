//! Limits on what the peer of an HTTP/2 connection may send, and its keepalive.
//!
//! A peer can cause work without requesting any answer: by pings, by settings, and by streams that it opens and
//! resets. Each kind of frame is limited in its bursts and its rate, and ordinary clients never reach these limits. A
//! connection that exceeds a limit is ended, with the reason. A ping detects a peer that has disappeared without
//! closing its connection.

use petrelshore::interface::Nanos;

const SECOND: Nanos = 1_000_000_000;

/// A ping that arrives within this time after the previous ping counts as unprompted, in nanoseconds. The count
/// restarts whenever something is sent to the peer, since clients that measure a path send a ping for each burst of
/// data that they receive.
const MIN_PING_INTERVAL: Nanos = 5 * SECOND;
/// The maximum number of unprompted pings between two frames sent to the peer.
const MAX_UNPROMPTED_PINGS: u32 = 8;
/// Limit on all pings, whatever was sent to the peer.
const PING_LIMIT: RateLimit = RateLimit { burst: 200.0, per_second: 50.0 };
const SETTINGS_LIMIT: RateLimit = RateLimit { burst: 32.0, per_second: 1.0 };
/// Limit on frames that carry no call and no data of a call, such as window updates and empty data frames.
const SMALL_FRAME_LIMIT: RateLimit = RateLimit { burst: 20_000.0, per_second: 5_000.0 };
/// Burst of stream resets by the peer, as a multiple of the maximum number of streams of a connection. A peer may reset
/// all of its streams at once, and may do so this many times in a row.
const RESET_BURST_PER_STREAM: f64 = 2.0;
const RESETS_PER_SECOND: f64 = 100.0;

/// Time without a frame from the peer after which the peer is pinged while calls are in flight, in nanoseconds.
const PING_AFTER_SILENCE: Nanos = 15 * SECOND;
/// Time that a peer has to answer the ping, in nanoseconds.
const PING_TIMEOUT: Nanos = 10 * SECOND;
/// Time after which a connection without calls is closed, in nanoseconds.
const IDLE_TIMEOUT: Nanos = 300 * SECOND;

/// A frame from the peer, by the limit that applies to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFrame {
    /// A ping that requires an answer.
    Ping,
    /// A change of settings.
    Settings,
    /// A stream reset.
    Reset,
    /// A frame that carries a call or its data.
    Call,
    /// Any other frame.
    Small,
}

/// The kind of frame that a peer sent too often, which is the reason to end its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Abuse {
    /// Pings.
    Pings,
    /// Changes of settings.
    Settings,
    /// Resets of streams.
    Resets,
    /// Frames that carry no call and no data of a call.
    SmallFrames,
}

/// The action that a timeout of a connection requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepaliveAction {
    /// Ping the peer.
    Ping,
    /// The peer has not answered a ping: end the connection.
    PeerGone,
    /// The connection has been idle for too long: close it.
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

    /// Takes a token. Returns false if none was left; the token is then taken all the same.
    fn take(&mut self, now: Nanos) -> bool {
        let elapsed_seconds = now.saturating_sub(self.updated_at) as f64 / SECOND as f64;
        let refilled = self.tokens + elapsed_seconds * self.limit.per_second;
        self.tokens = refilled.min(self.limit.burst) - 1.0;
        self.updated_at = now.max(self.updated_at);
        self.tokens >= 0.0
    }
}

/// Counts the frames that the peer of one connection sends, and tracks how long the peer has been silent.
#[derive(Debug)]
pub struct AbuseDetector {
    pings: TokenBucket,
    settings: TokenBucket,
    resets: TokenBucket,
    small_frames: TokenBucket,
    last_ping: Option<Nanos>,
    unprompted_pings: u32,
    last_frame: Nanos,
    /// Time of the last ping to the peer, if no frame has arrived since.
    pinged_at: Option<Nanos>,
    calls: usize,
    last_call_ended: Nanos,
    detected: Option<Abuse>,
}

impl AbuseDetector {
    /// Creates a detector for a new connection that may carry up to `max_calls` calls.
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

    /// Records a frame from the peer.
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

    /// Records that a frame of a call was sent to the peer.
    pub fn frame_sent(&mut self) {
        self.unprompted_pings = 0;
    }

    /// Records that a call has started.
    pub fn call_started(&mut self) {
        self.calls += 1;
    }

    /// Records that a call has ended.
    pub fn call_ended(&mut self, now: Nanos) {
        self.calls = self.calls.saturating_sub(1);
        self.last_call_ended = now;
    }

    /// The reason to end the connection; none as long as the peer has kept the limits.
    pub fn detected(&self) -> Option<Abuse> {
        self.detected
    }

    /// Time at which [`AbuseDetector::on_timeout`] has to be called next.
    pub fn next_timeout(&self) -> Nanos {
        match (self.calls, self.pinged_at) {
            (0, _) => self.last_call_ended.max(self.last_frame) + IDLE_TIMEOUT,
            (_, Some(pinged_at)) => pinged_at + PING_TIMEOUT,
            (_, None) => self.last_frame + PING_AFTER_SILENCE,
        }
    }

    /// The action that is due now; none before the next timeout.
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
