//! What a gateway knows of one model server.

use crate::decay::DecayingTimes;
use crate::interface::{Endpoint, LoadReport, Nanos, Role, SequenceId};

/// The place of a server in its fleet's memory. It is valid until the next endpoint list.
pub type Slot = usize;

/// An attempt of this gateway that is in flight to a server.
pub struct InFlightAttempt {
    /// The sequence that it is an attempt of.
    pub sequence: SequenceId,
    /// When it was sent.
    pub sent_at: Nanos,
    /// Tokens that it loads the server with.
    pub load_tokens: f64,
    /// Whether its first token is to show, and has not come yet.
    pub awaits_first_token: bool,
}

/// A model server, as its endpoint, its load reports and this gateway's attempts show it.
pub struct Server {
    /// Its last entry in the endpoint list.
    pub endpoint: Endpoint,
    /// What it does of a sequence.
    pub role: Role,
    /// Its size against others of its kind; 1 where weights do not count.
    pub weight: f64,
    /// Tokens of KV cache that it holds.
    pub memory_tokens: f64,
    /// Another number for each start of a server: what was measured of an older start is not found by it.
    pub generation: u64,
    /// Its last load report.
    pub report: LoadReport,
    /// When that came; zero before any.
    pub reported_at: Nanos,
    /// This gateway's attempts that are in flight to it, the oldest first.
    pub in_flight: Vec<InFlightAttempt>,
    /// When anything last came from it.
    pub last_heard_at: Nanos,
    /// Its response times of late.
    pub response_times: DecayingTimes,
    /// Until when it is ejected.
    pub ejected_until: Nanos,
    /// When its slow start is over.
    pub slow_start_until: Nanos,
    /// When it was last sent something, or first listed.
    pub slow_start_sent_at: Nanos,
    /// The part of a slow-start interval to be kept since then.
    pub slow_start_cost: f64,
    /// Prompt tokens that this gateway has sent it to prefill.
    pub prefilled_tokens: f64,
    /// How many of those it had evicted from its cache, when a prefill last showed that.
    pub evicted_tokens: f64,
    /// Settles ties of ranks. It is drawn by each gateway, so that they do not all select the same server.
    pub tie_breaker: f64,
}

impl Server {
    /// A server as it is first listed, in slow start until `slow_start_until`. Its response times have this half-life.
    pub fn new(
        now: Nanos,
        endpoint: Endpoint,
        slow_start_until: Nanos,
        tie_breaker: f64,
        half_life: Nanos,
    ) -> Self {
        Server {
            endpoint,
            role: Role::Combined,
            weight: 1.0,
            memory_tokens: 1.0,
            generation: 0,
            report: LoadReport::default(),
            reported_at: 0,
            in_flight: Vec::new(),
            last_heard_at: 0,
            response_times: DecayingTimes::new(half_life),
            ejected_until: 0,
            slow_start_until,
            slow_start_sent_at: now,
            slow_start_cost: tie_breaker,
            prefilled_tokens: 0.0,
            evicted_tokens: 0.0,
            tie_breaker,
        }
    }

    /// Whether it started so recently that it is in slow start.
    pub fn in_slow_start(&self, now: Nanos) -> bool {
        now < self.slow_start_until
    }

    /// Tokens of this gateway's attempts in flight, of those sent since then.
    pub fn own_tokens_since(&self, since: Nanos) -> f64 {
        self.in_flight.iter().filter(|a| a.sent_at >= since).map(|a| a.load_tokens).sum()
    }

    /// How long the oldest attempt without a first token has waited, as far as nothing has been heard since it was sent.
    pub fn silence(&self, now: Nanos) -> Nanos {
        let waiting = self.in_flight.iter().filter(|a| a.awaits_first_token);
        let oldest = waiting.map(|a| a.sent_at).min();
        oldest.map_or(0, |sent_at| now.saturating_sub(sent_at.max(self.last_heard_at)))
    }
}
