//! Admission control: overload is shed before the prefill.

use super::decode_load::MAX_DECODE_LOAD;
use super::{Scheduler, Selection};
use crate::interface::{Nanos, Role, Sequence, Step, TenantId};

/// Share of the least loaded decode server's memory that is kept for sequences of the highest priority.
const PRIORITY_HEADROOM: f64 = 0.1;
/// Length up to which a prompt counts in its own rejection, as a multiple of the mean prompt: past that its latency
/// objective and its client allow for it.
const MAX_COUNTED_PROMPT_RATIO: f64 = 1.4;
/// A tenant's rate at this gateway, as a multiple of its part of the quota, past which it counts as over quota.
const OVER_QUOTA_RATIO: f64 = 1.2;
/// Share of the time left that the expected wait of a sequence of no priority may take.
const MIN_WAIT_SHARE: f64 = 0.5;

impl Scheduler {
    /// Overload is shed before the prefill: the lower a sequence's priority, the earlier it is rejected. Also guards
    /// against lost servers and slow links; harmful when a short overload clears faster than it seems.
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
        let left = slo.min(sequence.first_token_deadline.saturating_sub(now) as f64);
        wait > left * wait_share
    }

    /// The time to the first token that is to be expected, in nanoseconds.
    fn expected_wait(&self, now: Nanos, sequence: &Sequence, selection: &Selection) -> f64 {
        let median_time = |step| self.fleet_response_time(now, step, 0.0).unwrap_or(0.0);
        if selection.step != Step::Prefill {
            return median_time(selection.step);
        }
        // Guards against rejecting the longest prompts first, whatever makes all of them wait.
        let max_counted = MAX_COUNTED_PROMPT_RATIO * self.statistics.mean_prompt_tokens(now);
        let not_counted = sequence.prompt_tokens - selection.cached_tokens - max_counted;
        let server = &self.fleet[selection.server];
        let work = self.prefill_work(now, server, sequence, selection.cached_tokens);
        self.prefill_wait(now, work - not_counted.max(0.0)) + median_time(Step::Decode)
    }

    /// Whether even the least loaded server that could answer is too full for a sequence of this priority.
    fn lacks_decode_headroom(
        &self,
        now: Nanos,
        sequence: &Sequence,
        selection: &Selection,
        priority: f64,
    ) -> bool {
        let home = &self.fleet[selection.server].endpoint;
        let candidates = self.decode_candidates(sequence, Some(home));
        let answering =
            self.fleet.among(&candidates).filter(|s| s.role != Role::Prefill && self.is_available(now, s));
        let min_load = answering.map(|s| self.decode_load(now, s)).min_by(f64::total_cmp);
        min_load.is_some_and(|load| load > MAX_DECODE_LOAD - (1.0 - priority) * PRIORITY_HEADROOM)
    }

    /// Priority weight as a share of the highest, less for a tenant over its quota.
    fn effective_priority(&self, now: Nanos, sequence: &Sequence) -> f64 {
        let priority = self.deployment.relative_priority(sequence.traffic);
        let over_quota = sequence.tenant.is_some_and(|tenant| self.is_over_quota(now, tenant));
        if over_quota { priority * self.deployment.over_quota_factor } else { priority }
    }

    /// Whether a tenant sends more through this gateway than the gateway's part of its quota allows.
    fn is_over_quota(&self, now: Nanos, TenantId(tenant): TenantId) -> bool {
        let part = self.deployment.tenants[tenant].per_second / self.deployment.gateways as f64;
        let rate = self.statistics.tenant_arrivals[tenant].per_second(now, self.statistics.started_at);
        rate > OVER_QUOTA_RATIO * part
    }
}
