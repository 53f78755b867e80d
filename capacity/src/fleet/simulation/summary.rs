//! Computes the summary of a simulation.

use super::Simulation;
use crate::fleet::measures::{Counts, Spread, Summary, work_by_role};
use crate::limits;
use petrelshore::interface::Role;
use petrelshore_gateway_core::PolicyKind;
use std::time::Duration;

const BYTES_PER_MIB_LOG2: u32 = 20;

impl Simulation {
    /// Computes the printed row of the simulation. `real_time` is the real time that the simulation took.
    pub(super) fn summary(&self, real_time: Duration) -> Summary {
        let Counts { requests, within_slo, answered, rejected, failed, .. } = self.counts;
        let work = self.servers.iter().map(|server| (self.role(&server.endpoint), server.work));
        let by_role = work_by_role(work);
        let spread = |role: Role| Spread::of(by_role.get(&(role as usize)).cloned().unwrap_or_default());
        let (prefill, decode) = (spread(Role::Prefill), spread(Role::Decode));
        let examined: u64 = self.gateways.iter().map(|gateway| gateway.manager.servers_examined()).sum();
        let first_token_ms = self.counts.first_token_ms.as_ref();
        Summary {
            scenario: self.setup.scenario.name().to_owned(),
            policy: if self.setup.policy_kind == PolicyKind::FullScan { "scan" } else { "candidates" }
                .to_owned(),
            seed: self.setup.seed,
            gateways: self.setup.gateways,
            servers: self.setup.servers,
            rate: self.setup.rate,
            requests,
            within_slo: ratio(within_slo, requests),
            answered: ratio(answered, requests),
            rejected: ratio(rejected, requests),
            failed: ratio(failed, requests),
            first_token_p95_ms: first_token_ms.map_or(0, |times| times.value_at_quantile(0.95)),
            cached: self.counts.cached_tokens / self.counts.prompt_tokens.max(1.0),
            prefill_p99_over_mean: prefill.p99,
            prefill_max_over_mean: prefill.max,
            decode_p99_over_mean: decode.p99,
            decode_max_over_mean: decode.max,
            max_over_mean: prefill.max.max(decode.max),
            migrated: ratio(self.counts.migrated, self.counts.decodes),
            attempts: ratio(self.counts.attempts, requests),
            slow_start_worst: self.slow_start_worst,
            rules_broken: self.counts.rules_broken,
            examined_per_request: ratio(examined, self.requests),
            us_per_request: self.decision_time.as_secs_f64() * 1e6 / self.requests.max(1) as f64,
            real_seconds: real_time.as_secs_f64(),
            peak_mib: limits::peak_resident_memory().unwrap_or(0) >> BYTES_PER_MIB_LOG2,
        }
    }
}

/// Returns `count / total`, or `count` if `total` is 0.
fn ratio(count: u64, total: u64) -> f64 {
    count as f64 / total.max(1) as f64
}
