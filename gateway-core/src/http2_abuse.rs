//! How a peer may behave on a connection that carries many calls, and when it counts as gone.
//!
//! One such connection can make work without asking for any answer: pings, settings, streams opened and reset. Each
//! kind has a bound that ordinary clients never meet, in what comes at once and in what comes for long; past it the
//! connection is ended, told why. A peer that vanished without a word is found out by asking it.

use petrelshore::interface::Nanos;

const SECOND: Nanos = 1_000_000_000;

/// Pings that come this soon after each other, with nothing sent to the peer in between, are strikes. Clients that
/// measure a path send one for each burst of data they get.
const PINGS_APART: Nanos = 5 * SECOND;
const STRIKES: u32 = 8;
/// Pings whatever was sent: at once, and a second.
const PINGS: Allowance = Allowance::of(200.0, 50.0);
const SETTINGS: Allowance = Allowance::of(32.0, 1.0);
/// Frames that carry nothing, or what nobody asked for.
const SMALL: Allowance = Allowance::of(20_000.0, 5_000.0);
/// Streams reset by the peer: all that a connection may have may be reset at once, and then again.
const RESETS_FOR_EACH_STREAM: f64 = 2.0;
const RESETS_A_SECOND: f64 = 100.0;

/// A peer with calls running that sends nothing is asked after this, and has so long to answer.
const ASK_AFTER: Nanos = 15 * SECOND;
const ANSWER_WITHIN: Nanos = 10 * SECOND;
/// A connection without calls is closed after this.
const IDLE: Nanos = 300 * SECOND;

/// What a peer sent, as far as manners go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFrame {
    Ping,
    Settings,
    Reset,
    /// A frame that carries a call or its data.
    Call,
    /// Any other.
    Small,
}

/// Why a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Abuse {
    Pings,
    Settings,
    Resets,
    SmallFrames,
}

/// What is due on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepaliveAction {
    /// Ask the peer whether it is there.
    Ping,
    /// It has not answered: it is gone.
    PeerGone,
    /// Nothing has run on it for long.
    CloseIdle,
}

/// So many at once, and so many a second.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    most: f64,
    a_second: f64,
}

impl Allowance {
    const fn of(most: f64, a_second: f64) -> Self {
        Allowance { most, a_second }
    }
}

#[derive(Clone, Copy, Debug)]
struct Credit {
    allowance: Allowance,
    left: f64,
    at: Nanos,
}

impl Credit {
    fn new(now: Nanos, allowance: Allowance) -> Self {
        Credit { allowance, left: allowance.most, at: now }
    }

    /// Uses one; false where none was left.
    fn uses(&mut self, now: Nanos) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / SECOND as f64;
        self.left = (self.left + passed * self.allowance.a_second).min(self.allowance.most) - 1.0;
        self.at = now.max(self.at);
        self.left >= 0.0
    }
}

#[derive(Debug)]
pub struct AbuseDetector {
    pings: Credit,
    settings: Credit,
    resets: Credit,
    small: Credit,
    last_ping: Option<Nanos>,
    strikes: u32,
    heard: Nanos,
    asked: Option<Nanos>,
    calls: usize,
    empty_since: Nanos,
    bad: Option<Abuse>,
}

impl AbuseDetector {
    /// Of a connection that has just been made and may carry so many calls at once.
    pub fn new(now: Nanos, most_calls: usize) -> Self {
        let resets = Allowance::of(most_calls as f64 * RESETS_FOR_EACH_STREAM, RESETS_A_SECOND);
        AbuseDetector {
            pings: Credit::new(now, PINGS),
            settings: Credit::new(now, SETTINGS),
            resets: Credit::new(now, resets),
            small: Credit::new(now, SMALL),
            last_ping: None,
            strikes: 0,
            heard: now,
            asked: None,
            calls: 0,
            empty_since: now,
            bad: None,
        }
    }

    /// The peer sent a frame.
    pub fn frame_received(&mut self, now: Nanos, what: PeerFrame) {
        (self.heard, self.asked) = (now, None);
        let bad = match what {
            PeerFrame::Call => return,
            PeerFrame::Ping => (!self.ping(now)).then_some(Abuse::Pings),
            PeerFrame::Settings => (!self.settings.uses(now)).then_some(Abuse::Settings),
            PeerFrame::Reset => (!self.resets.uses(now)).then_some(Abuse::Resets),
            PeerFrame::Small => (!self.small.uses(now)).then_some(Abuse::SmallFrames),
        };
        self.bad = self.bad.or(bad);
    }

    fn ping(&mut self, now: Nanos) -> bool {
        let soon = self.last_ping.replace(now).is_some_and(|last| now < last + PINGS_APART);
        self.strikes += u32::from(soon);
        self.pings.uses(now) && self.strikes <= STRIKES
    }

    /// Something was sent to the peer for a call.
    pub fn frame_sent(&mut self) {
        self.strikes = 0;
    }

    /// A call has begun on it.
    pub fn call_started(&mut self) {
        self.calls += 1;
    }

    /// A call on it is over.
    pub fn call_ended(&mut self, now: Nanos) {
        self.calls = self.calls.saturating_sub(1);
        self.empty_since = now;
    }

    /// Why the connection is to be ended, once it is.
    pub fn detected(&self) -> Option<Abuse> {
        self.bad
    }

    /// When [`AbuseDetector::due`] next has something to say.
    pub fn next_timeout(&self) -> Nanos {
        match (self.calls, self.asked) {
            (0, _) => self.empty_since.max(self.heard) + IDLE,
            (_, Some(asked)) => asked + ANSWER_WITHIN,
            (_, None) => self.heard + ASK_AFTER,
        }
    }

    /// What is to be done by now.
    pub fn on_timeout(&mut self, now: Nanos) -> Option<KeepaliveAction> {
        if now < self.next_timeout() {
            return None;
        }
        Some(match (self.calls, self.asked) {
            (0, _) => KeepaliveAction::CloseIdle,
            (_, Some(_)) => KeepaliveAction::PeerGone,
            (_, None) => {
                self.asked = Some(now);
                KeepaliveAction::Ping
            }
        })
    }
}
