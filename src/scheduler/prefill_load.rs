//! Estimates of the prompt work that waits at prefill servers, and of the time that it takes.

use super::Scheduler;
use super::parameters::LOAD_REPORT_STALENESS;
use crate::fleet::Server;
use crate::interface::{Nanos, Sequence};

/// Share of the estimated work that counts as already prefilled in zero time. Without this prior, work that was once
/// rejected would stay rejected.
const PREFILL_ESTIMATE_PRIOR: f64 = 0.1;

impl Scheduler {
    /// Prompt tokens that a server has to prefill until a sequence's prefill is done: the tokens queued at the server,
    /// from its report or from this gateway's attempts, plus the sequence's prompt without the tokens that the server
    /// is expected to have cached.
    pub(super) fn prefill_work(
        &self,
        now: Nanos,
        server: &Server,
        sequence: &Sequence,
        cached_tokens: f64,
    ) -> f64 {
        let own_tokens = server.own_tokens_since(0);
        let queued = server.report.queued_prompt_tokens.map_or(own_tokens, |reported| {
            let age = now.saturating_sub(server.reported_at) as f64;
            let remaining = reported * (-age / LOAD_REPORT_STALENESS as f64).exp2();
            let unreported_since = server.reported_at.saturating_sub(LOAD_REPORT_STALENESS);
            own_tokens.max(remaining + server.own_tokens_since(unreported_since))
        });
        queued + sequence.prompt_tokens - cached_tokens
    }

    /// The time that prefills of `work` prompt tokens have recently taken, in nanoseconds. The time includes waits in
    /// queues that servers do not report. The estimate fades while few prefills are measured.
    pub(super) fn prefill_wait(&self, now: Nanos, work: f64) -> f64 {
        let measured_time = self.statistics.prefill_time.read(now);
        let measured_tokens = self.statistics.prefill_tokens.read(now);
        measured_time * work / (measured_tokens + PREFILL_ESTIMATE_PRIOR * work).max(1.0)
    }
}
