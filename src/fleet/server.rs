//! The state that a gateway keeps of one model server.

use crate::decay::DecayingTimes;
use crate::interface::{Endpoint, LoadReport, Nanos, Role, SequenceId};

/// The index of a server in the storage of its fleet. It is valid until the next endpoint list is applied.
pub type Slot = usize;

/// An attempt of this gateway that is in flight to a server.
pub struct InFlightAttempt {
    /// The sequence that the attempt belongs to.
    pub sequence: SequenceId,
    /// When the attempt was sent.
    pub sent_at: Nanos,
    /// The load that the attempt puts on the server, in tokens.
    pub load_tokens: f64,
    /// True if the attempt shows progress before the whole answer is complete (see
    /// [`Deployment::shows_progress`](crate::interface::Deployment::shows_progress)) and its first token has not come.
    pub awaits_first_token: bool,
}

/// The state of a model server, from its endpoint entry, its load reports and this gateway's attempts.
pub struct Server {
    /// The last entry of the server in the endpoint list.
    pub endpoint: Endpoint,
    /// The steps of a sequence that the server runs.
    pub role: Role,
    /// The size of the server relative to other servers of its kind; 1 where weights are not used.
    pub weight: f64,
    /// The capacity of the server's KV cache memory, in tokens.
    pub memory_tokens: f64,
    /// A number that is unique for each start of a server. Measurements are stored under it, so that measurements
    /// from before a restart are no longer found.
    pub generation: u64,
    /// The last load report of the server.
    pub report: LoadReport,
    /// When the last load report arrived; zero before the first one.
    pub reported_at: Nanos,
    /// This gateway's attempts in flight to the server, the oldest first.
    pub in_flight: Vec<InFlightAttempt>,
    /// When the gateway last received a response from the server; zero before the first one.
    pub last_heard_at: Nanos,
    /// The recent response times of the server, in nanoseconds.
    pub response_times: DecayingTimes,
    /// The time until which the server is ejected.
    pub ejected_until: Nanos,
    /// When the slow start of the server ends.
    pub slow_start_until: Nanos,
    /// When this gateway last sent the server an attempt, or first saw the server listed.
    pub slow_start_sent_at: Nanos,
    /// The wait during slow start from `slow_start_sent_at` to the next send, as a multiple of the interval that the
    /// slow-start budget allows for a request of mean size. Before the first send it is a random part of the interval.
    pub slow_start_cost: f64,
    /// The number of prompt tokens that this gateway has sent the server to prefill.
    pub prefilled_tokens: f64,
    /// The value of `prefilled_tokens` when a prefill last showed that the server had evicted a prefix that it was
    /// expected to have cached. Prefixes sent before count as evicted.
    pub evicted_tokens: f64,
    /// Breaks ties between servers of equal rank. Each gateway draws its own random number, so that gateways do not all
    /// select the same server.
    pub tie_breaker: f64,
}

impl Server {
    /// A server that was first listed at `now` and is in slow start until `slow_start_until`. `half_life` is the
    /// half-life of its response times.
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

    /// Returns true if the server is in slow start at the time `now`.
    pub fn in_slow_start(&self, now: Nanos) -> bool {
        now < self.slow_start_until
    }

    /// The load of this gateway's attempts in flight that were sent at `since` or later, in tokens.
    pub fn own_tokens_since(&self, since: Nanos) -> f64 {
        self.in_flight.iter().filter(|a| a.sent_at >= since).map(|a| a.load_tokens).sum()
    }

    /// The time for which the server has been silent while an attempt awaits its first token: the time since the oldest
    /// of these attempts was sent, or since the last response from the server if that came later. Zero if no attempt
    /// awaits a token.
    pub fn silence(&self, now: Nanos) -> Nanos {
        let waiting = self.in_flight.iter().filter(|a| a.awaits_first_token);
        let oldest = waiting.map(|a| a.sent_at).min();
        oldest.map_or(0, |sent_at| now.saturating_sub(sent_at.max(self.last_heard_at)))
    }
}
