//! Slow start (rule 4): how much a server that has just started may be sent by this gateway.

use super::Scheduler;
use super::parameters::MIN_DIVISOR;
use crate::decay::NANOS_PER_SECOND;
use crate::fleet::Server;
use crate::interface::{EndpointState, Nanos, Role};

/// Traffic of a server in slow start, as a multiple of its present capacity share of a warm server's traffic.
const SLOW_START_TRAFFIC_FACTOR: f64 = 1.25;
/// Share of the overload limit that is used at most, as a margin for chance and for gateways of unequal traffic.
const SLOW_START_SAFETY_FACTOR: f64 = 0.8;

impl Scheduler {
    /// Whether a server is listed as ready, and within this gateway's part of its slow-start budget.
    pub(super) fn is_eligible(&self, now: Nanos, server: &Server) -> bool {
        server.endpoint.state == EndpointState::Ready
            && (!server.in_slow_start(now)
                || now >= server.slow_start_sent_at.saturating_add(self.slow_start_interval(now, server)))
    }

    /// The time that one send takes up of this gateway's part of a slow-start budget. The admitted sequences that a warm
    /// server of the pool gets stand for capacity; for a prefill server only those that were prefilled first. All
    /// gateways keep to the same part. There is no lower bound, and the first send waits for a random part of the
    /// interval: over hundreds of gateways both add up.
    fn slow_start_interval(&self, now: Nanos, server: &Server) -> Nanos {
        let pool_weight = self.fleet.index().pool_weight(server.role);
        let pool_rate = self.admitted_per_second(now, server.role);
        let warm_rate = pool_rate * server.weight / pool_weight.max(MIN_DIVISOR);
        let overload_share = SLOW_START_SAFETY_FACTOR
            * self.deployment.slow_start_overload_factor
            * self.deployment.slow_start_initial_share;
        let share = overload_share.min(SLOW_START_TRAFFIC_FACTOR * self.capacity_share(now, server));
        (server.slow_start_cost * NANOS_PER_SECOND / (warm_rate * share).max(MIN_DIVISOR)) as Nanos
    }

    /// Sequences per second that this gateway has admitted to the servers that share a role's traffic.
    fn admitted_per_second(&self, now: Nanos, role: Role) -> f64 {
        let statistics = &self.statistics;
        let prefilled = statistics.admitted_prefill.per_second(now, statistics.started_at);
        let combined = statistics.admitted_combined.per_second(now, statistics.started_at);
        match role {
            Role::Prefill => prefilled,
            Role::Decode | Role::Combined => prefilled + combined,
        }
    }

    /// The share of its capacity that a server should have by now: linear in the time since its start.
    pub(super) fn capacity_share(&self, now: Nanos, server: &Server) -> f64 {
        let remaining = server.slow_start_until.saturating_sub(now) as f64
            / self.deployment.slow_start_duration.max(1) as f64;
        1.0 - (1.0 - self.deployment.slow_start_initial_share) * remaining.clamp(0.0, 1.0)
    }
}
