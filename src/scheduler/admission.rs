//! Admission control: overload is met before the prefill.

use super::*;

/// Part of its own work that a guess takes to have been read in no time, or work once refused stays refused.
pub(super) const UNREAD: f64 = 0.1;
/// Part of the emptiest writer's memory that is kept for sequences worth more.
pub(super) const RESERVE: f64 = 0.1;
/// A prompt counts in its own refusal up to so many mean ones: past that its SLO and client allow for it.
pub(super) const OWN_PART: f64 = 1.4;
/// Own rate of a tenant past its share of the quota before it counts as over.
pub(super) const OVER_SHARE: f64 = 1.2;

impl Scheduler {
    /// Overload is met before the read: the less a sequence is worth, the earlier it is turned away. Also holds
    /// against lost servers and slow links; hurts when a short jam clears faster than it seems.
    pub(super) fn overloaded(&self, now: Nanos, sequence: &Sequence, pick: &Pick) -> bool {
        if sequence.resumed {
            return false;
        }
        let time = |step| self.known_time(now, step, 0.0).unwrap_or(0.0);
        let wait = match pick.step {
            // Guards against turning the longest prompts away first, by whatever makes all wait.
            Step::Prefill => {
                let longer = sequence.prompt_tokens - pick.kept - OWN_PART * self.stats.mean_prompt(now);
                let work = self.read_work(now, &self.fleet[pick.server], sequence, pick.kept);
                self.read_wait(now, work - longer.max(0.0)) + time(Step::Decode)
            }
            step => time(step),
        };
        let value = self.value(now, sequence);
        let among = self.decode_candidates(sequence, Some(&self.fleet[pick.server].endpoint));
        let answering = self.fleet.among(&among).filter(|s| s.role != Role::Prefill && self.ready(now, s));
        let load = answering.map(|s| self.decode_load(now, s)).min_by(f64::total_cmp);
        if load.is_some_and(|load| load > FULL - (1.0 - value) * RESERVE) {
            return true;
        }
        let slack = 0.5 + 0.5 * value;
        let left = (self.deployment.slo(sequence) as f64)
            .min(sequence.first_token_deadline.saturating_sub(now) as f64);
        wait > left * slack
    }

    /// Queued prompt tokens, reported or own, and this prompt less what the reader should have kept of it.
    pub(super) fn read_work(&self, now: Nanos, server: &Server, sequence: &Sequence, kept: f64) -> f64 {
        let own = server.own_tokens(0);
        let queued = server.report.queued_prompt_tokens.map_or(own, |queue| {
            let age = now.saturating_sub(server.reported) as f64;
            let faded = queue * (-age / REPORT_LAG as f64).exp2();
            own.max(faded + server.own_tokens(server.reported.saturating_sub(REPORT_LAG)))
        });
        queued + sequence.prompt_tokens - kept
    }

    /// How long such prompt work has taken of late, hidden queues included; it fades when hardly a read is known.
    pub(super) fn read_wait(&self, now: Nanos, work: f64) -> f64 {
        self.stats.read_time.read(now) * work / (self.stats.read_tokens.read(now) + UNREAD * work).max(1.0)
    }

    /// Utility against the highest, less for a tenant past its share.
    pub(super) fn value(&self, now: Nanos, sequence: &Sequence) -> f64 {
        let utility = self.deployment.relative_priority(sequence.traffic);
        let over = sequence.tenant.is_some_and(|TenantId(tenant)| {
            let part = self.deployment.tenants[tenant].per_second / self.deployment.gateways as f64;
            self.stats.tenants[tenant].per_second(now, self.stats.started) > OVER_SHARE * part
        });
        if over { utility * self.deployment.over_quota_factor } else { utility }
    }
}
