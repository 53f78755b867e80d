//! How much prompt work waits at prefill servers, and how long it takes.

use super::Scheduler;
use super::parameters::LOAD_REPORT_STALENESS;
use crate::fleet::Server;
use crate::interface::{Nanos, Sequence};

/// Share of its own work that an estimate of prefill time counts as prefilled in no time: without it, work that was once
/// rejected would stay rejected.
const PREFILL_ESTIMATE_PRIOR: f64 = 0.1;

impl Scheduler {
    /// Prompt tokens queued at a server, reported or own, and this prompt less what the server should have cached.
    pub(super) fn prefill_work(
        &self,
        now: Nanos,
        server: &Server,
        sequence: &Sequence,
        cached_tokens: f64,
    ) -> f64 {
        let own = server.own_tokens_since(0);
        let queued = server.report.queued_prompt_tokens.map_or(own, |reported| {
            let age = now.saturating_sub(server.reported_at) as f64;
            let remaining = reported * (-age / LOAD_REPORT_STALENESS as f64).exp2();
            let not_in_report = server.reported_at.saturating_sub(LOAD_REPORT_STALENESS);
            own.max(remaining + server.own_tokens_since(not_in_report))
        });
        queued + sequence.prompt_tokens - cached_tokens
    }

    /// How long so much prompt work has taken of late in nanoseconds, queues that are not reported included. The estimate
    /// fades while hardly a prefill is measured.
    pub(super) fn prefill_wait(&self, now: Nanos, work: f64) -> f64 {
        let measured_time = self.statistics.prefill_time.read(now);
        let measured_tokens = self.statistics.prefill_tokens.read(now);
        measured_time * work / (measured_tokens + PREFILL_ESTIMATE_PRIOR * work).max(1.0)
    }
}
