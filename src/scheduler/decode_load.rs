//! How full servers that answer are.

use super::Scheduler;
use super::parameters::{LOAD_REPORT_STALENESS, MEASUREMENT_HALF_LIFE};
use crate::fleet::Server;
use crate::interface::{Nanos, Role, Sequence};

/// Share of its memory in use, reported or estimated, past which a server has no capacity for another answer.
pub(super) const MAX_DECODE_LOAD: f64 = 0.95;
/// Length of an answer that gives no hint, as a share of the most tokens that it may have.
const DEFAULT_OUTPUT_SHARE: f64 = 0.5;

impl Scheduler {
    /// Whether a server that answers is available and has capacity for a sequence.
    pub(super) fn can_decode(&self, now: Nanos, server: &Server, sequence: &Sequence) -> bool {
        server.role != Role::Prefill
            && self.is_available(now, server)
            && self.has_capacity(now, server, sequence)
    }

    /// Whether a sequence's KV cache and answer still fit into a server's memory.
    fn has_capacity(&self, now: Nanos, server: &Server, sequence: &Sequence) -> bool {
        self.decode_load(now, server) + self.expected_memory_tokens(sequence) / server.memory_tokens
            <= MAX_DECODE_LOAD
    }

    /// The last reported share of memory in use. One that nothing of ours will renew decays, or a server that was once
    /// full would never be tried again.
    pub(super) fn reported_memory_share(&self, now: Nanos, server: &Server) -> Option<f64> {
        let age = if server.in_flight.is_empty() { now.saturating_sub(server.reported_at) } else { 0 };
        server.report.memory_share.map(|share| share * (-(age as f64) / MEASUREMENT_HALF_LIFE as f64).exp2())
    }

    /// The share of a server's memory in use: as reported, with own answers since, and never less than all own answers in
    /// flight.
    pub(super) fn decode_load(&self, now: Nanos, server: &Server) -> f64 {
        let own = server.own_tokens_since(0) / server.memory_tokens;
        let Some(share) = self.reported_memory_share(now, server) else { return own };
        let not_in_report = server.reported_at.saturating_sub(LOAD_REPORT_STALENESS);
        let since = server.own_tokens_since(not_in_report) / server.memory_tokens;
        own.max(share + since)
    }

    /// The load by which servers that answer are ranked: one that has reported none yet counts as the mean of those that
    /// have, one that has restarted as empty. Says nothing of capacity: a gateway that has heard from full servers only
    /// must not take all for full.
    pub(super) fn ranked_load(&self, now: Nanos, server: &Server) -> f64 {
        let is_known = server.report.memory_share.is_some() || server.in_slow_start(now);
        let unreported = if is_known { 0.0 } else { self.quotas.mean_reported_memory };
        self.decode_load(now, server) + unreported
    }

    /// Tokens of memory that a sequence will hold at a decode server: its prompt and its answer, half the most that it may
    /// have where its length is not known.
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
