//! What a gateway knows of one model server.

use crate::decay::FadingTimes;
use crate::interface::*;

/// An attempt that is out to a server.
pub struct Out {
    pub sequence: SequenceId,
    pub sent: Nanos,
    pub tokens: f64,
    /// Nothing of its answer has come yet.
    pub waiting: bool,
}

pub struct Server {
    pub endpoint: Endpoint,
    pub role: Role,
    /// Its size against others; 1 where sizes are not used.
    pub weight: f64,
    /// Tokens that its memory holds.
    pub memory: f64,
    /// Another number for each start of a server: what is kept elsewhere of an older start is not found.
    pub generation: u64,
    pub report: LoadReport,
    pub reported: Nanos,
    pub out: Vec<Out>,
    /// When anything last came from it.
    pub heard: Nanos,
    pub times: FadingTimes,
    pub paused_until: Nanos,
    pub cold_until: Nanos,
    /// When it was last sent something while cold, or listed, and the part of a pause to be kept since.
    pub cold_sent: Nanos,
    pub cold_part: f64,
    /// Prompt tokens that it was sent in all, and how many of them it had forgotten when that last showed.
    pub read_in_all: f64,
    pub forgotten: f64,
    /// Settles ties, drawn anew at each gateway, so that they do not all turn to the same server.
    pub lot: f64,
}

impl Server {
    /// A server as it is listed first, cold until `cold_until`. Times of its answers halve once in `half_life`.
    pub fn new(now: Nanos, endpoint: Endpoint, cold_until: Nanos, lot: f64, half_life: Nanos) -> Self {
        Server {
            endpoint,
            role: Role::Combined,
            weight: 1.0,
            memory: 1.0,
            generation: 0,
            report: LoadReport::default(),
            reported: 0,
            out: Vec::new(),
            heard: 0,
            times: FadingTimes::new(half_life),
            paused_until: 0,
            cold_until,
            cold_sent: now,
            cold_part: lot,
            read_in_all: 0.0,
            forgotten: 0.0,
            lot,
        }
    }

    /// Tokens of own attempts that are out, of those sent since then.
    pub fn own_tokens(&self, since: Nanos) -> f64 {
        self.out.iter().filter(|out| out.sent >= since).map(|out| out.tokens).sum()
    }

    /// How long the oldest attempt without a sign has waited, if nothing has been heard since it was sent.
    pub fn silence(&self, now: Nanos) -> Nanos {
        let oldest = self.out.iter().filter(|out| out.waiting).map(|out| out.sent).min();
        oldest.map_or(0, |sent| now.saturating_sub(sent.max(self.heard)))
    }
}
