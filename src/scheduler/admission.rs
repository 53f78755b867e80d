//! Admission control: sheds overload before the prefill.

use super::decode_load::MAX_DECODE_LOAD;
use super::{Scheduler, Selection};
use crate::interface::{Nanos, Role, Sequence, Step, TenantId};

/// Share of the least loaded decode server's memory that is reserved for sequences of the highest priority.
const PRIORITY_HEADROOM: f64 = 0.1;
/// Length up to which a prompt counts toward the rejection of its own sequence, as a multiple of the mean prompt
/// length. The latency objective and the client of a longer prompt allow for the extra length.
const MAX_COUNTED_PROMPT_RATIO: f64 = 1.4;
/// A tenant is over quota if its rate at this gateway exceeds this multiple of the gateway's part of the tenant's
/// quota.
const OVER_QUOTA_RATIO: f64 = 1.2;
/// Share of the time left, until the latency objective or the client's deadline, that the expected wait of a sequence
/// with priority zero may take.
const MIN_WAIT_SHARE: f64 = 0.5;

impl Scheduler {
    /// Returns true if the fleet is too loaded for a new sequence. Sequences of lower priority are rejected at lower
    /// load. The check also protects the service when servers are lost or links are slow. It rejects sequences
    /// needlessly when a short overload clears faster than estimated.
    pub(super) fn is_overloaded(&self, now: Nanos, sequence: &Sequence, selection: &Selection) -> bool {
        if sequence.resumed {
            return false;
        }
        let wait = self.expected_wait(now, sequence, selection);
        let priority = self.effective_priority(now, sequence);
        if self.lacks_decode_headroom(now, sequence, selection, priority) {
            return true;
        }
        let wait_share = MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * priority;
        let slo = self.deployment.slo(sequence) as f64;
        let time_left = slo.min(sequence.first_token_deadline.saturating_sub(now) as f64);
        wait > time_left * wait_share
    }

    /// The expected time to the first token, in nanoseconds.
    fn expected_wait(&self, now: Nanos, sequence: &Sequence, selection: &Selection) -> f64 {
        let median_time = |step| self.fleet_response_time(now, step, 0.0).unwrap_or(0.0);
        if selection.step != Step::Prefill {
            return median_time(selection.step);
        }
        // The part of a prompt above this length is not counted: otherwise the longest prompts would be rejected first,
        // whatever the reason for the wait.
        let max_counted_tokens = MAX_COUNTED_PROMPT_RATIO * self.statistics.mean_prompt_tokens(now);
        let uncounted_tokens = sequence.prompt_tokens - selection.cached_tokens - max_counted_tokens;
        let server = &self.fleet[selection.server];
        let work = self.prefill_work(now, server, sequence, selection.cached_tokens);
        self.prefill_wait(now, work - uncounted_tokens.max(0.0)) + median_time(Step::Decode)
    }

    /// Returns true if even the least loaded available decode or combined server is too full for a sequence of this
    /// priority.
    fn lacks_decode_headroom(
        &self,
        now: Nanos,
        sequence: &Sequence,
        selection: &Selection,
        priority: f64,
    ) -> bool {
        let prefill_endpoint = &self.fleet[selection.server].endpoint;
        let candidates = self.decode_candidates(sequence, Some(prefill_endpoint));
        let decoding =
            self.fleet.among(&candidates).filter(|s| s.role != Role::Prefill && self.is_available(now, s));
        let min_load = decoding.map(|s| self.decode_load(now, s)).min_by(f64::total_cmp);
        min_load.is_some_and(|load| load > MAX_DECODE_LOAD - (1.0 - priority) * PRIORITY_HEADROOM)
    }

    /// The priority weight of a sequence as a share of the highest weight, reduced if its tenant is over quota.
    fn effective_priority(&self, now: Nanos, sequence: &Sequence) -> f64 {
        let priority = self.deployment.relative_priority(sequence.traffic);
        let over_quota = sequence.tenant.is_some_and(|tenant| self.is_over_quota(now, tenant));
        if over_quota { priority * self.deployment.over_quota_factor } else { priority }
    }

    /// Returns true if a tenant sends more through this gateway than the gateway's part of the tenant's quota allows.
    fn is_over_quota(&self, now: Nanos, TenantId(tenant): TenantId) -> bool {
        let gateway_quota = self.deployment.tenants[tenant].per_second / self.deployment.gateways as f64;
        let rate = self.statistics.tenant_arrivals[tenant].per_second(now, self.statistics.started_at);
        rate > OVER_QUOTA_RATIO * gateway_quota
    }
}
