//! Memory load of the servers that decode.

use super::Scheduler;
use super::parameters::{LOAD_REPORT_STALENESS, MEASUREMENT_HALF_LIFE};
use crate::fleet::Server;
use crate::interface::{Nanos, Role, Sequence};

/// Maximum share of a server's memory in use, reported or estimated. Above this share the server has no capacity for
/// another answer.
pub(super) const MAX_DECODE_LOAD: f64 = 0.95;
/// Expected length of an answer without a length hint, as a share of the maximum number of tokens.
const DEFAULT_OUTPUT_SHARE: f64 = 0.5;

impl Scheduler {
    /// Returns true if a server decodes answers, is available and has capacity for a sequence.
    pub(super) fn can_decode(&self, now: Nanos, server: &Server, sequence: &Sequence) -> bool {
        server.role != Role::Prefill
            && self.is_available(now, server)
            && self.has_capacity(now, server, sequence)
    }

    /// Returns true if a sequence's KV cache and answer still fit into a server's memory.
    fn has_capacity(&self, now: Nanos, server: &Server, sequence: &Sequence) -> bool {
        self.decode_load(now, server) + self.expected_memory_tokens(sequence) / server.memory_tokens
            <= MAX_DECODE_LOAD
    }

    /// The last reported share of memory in use. Without an attempt of this gateway in flight, no new report is due,
    /// and the old one decays: otherwise a server that was once full would never be tried again.
    pub(super) fn reported_memory_share(&self, now: Nanos, server: &Server) -> Option<f64> {
        let age = if server.in_flight.is_empty() { now.saturating_sub(server.reported_at) } else { 0 };
        server.report.memory_share.map(|share| share * (-(age as f64) / MEASUREMENT_HALF_LIFE as f64).exp2())
    }

    /// The share of a server's memory in use: the reported share plus this gateway's attempts that the report does not
    /// include yet. The result is at least the share of all this gateway's attempts in flight.
    pub(super) fn decode_load(&self, now: Nanos, server: &Server) -> f64 {
        let own_load = server.own_tokens_since(0) / server.memory_tokens;
        let Some(share) = self.reported_memory_share(now, server) else { return own_load };
        let unreported_since = server.reported_at.saturating_sub(LOAD_REPORT_STALENESS);
        let unreported_load = server.own_tokens_since(unreported_since) / server.memory_tokens;
        own_load.max(share + unreported_load)
    }

    /// The load by which servers that decode are ranked. A server that has not reported its load yet counts as if it
    /// had reported the mean of the reported loads, or as empty while it is in slow start. This load is not used for
    /// capacity checks: a gateway that has had reports from full servers only must not treat all servers as full.
    pub(super) fn ranked_load(&self, now: Nanos, server: &Server) -> f64 {
        let is_known = server.report.memory_share.is_some() || server.in_slow_start(now);
        let unreported = if is_known { 0.0 } else { self.quotas.mean_reported_memory };
        self.decode_load(now, server) + unreported
    }

    /// Tokens of memory that a sequence is expected to hold at a decode server: its prompt and its answer. An answer
    /// without a length hint counts with a fixed share of its maximum number of tokens.
    pub(super) fn expected_memory_tokens(&self, sequence: &Sequence) -> f64 {
        let token_interval = self.deployment.types[sequence.traffic.0].token_interval.max(1) as f64;
        let max_tokens = sequence.max_output_tokens;
        let output_tokens = match sequence.output_length_hint {
            Some(hint) => (hint as f64 / token_interval).min(max_tokens),
            None => max_tokens * DEFAULT_OUTPUT_SHARE,
        };
        sequence.prompt_tokens + output_tokens
    }
}
