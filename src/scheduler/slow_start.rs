//! Slow start (rule 4): limits the attempts that this gateway sends to a server that has just started.

use super::Scheduler;
use super::parameters::MIN_DIVISOR;
use crate::decay::NANOS_PER_SECOND;
use crate::fleet::Server;
use crate::interface::{EndpointState, Nanos, Role};

/// Traffic of a server in slow start, as a multiple of a warm server's traffic times the server's present capacity
/// share.
const SLOW_START_TRAFFIC_FACTOR: f64 = 1.25;
/// Maximum share of the overload limit that is used. The rest is a margin for random variation and for unequal traffic
/// of the gateways.
const SLOW_START_SAFETY_FACTOR: f64 = 0.8;

impl Scheduler {
    /// Returns true if a server is listed as ready and, if it is in slow start, this gateway's part of its slow-start
    /// budget allows a send.
    pub(super) fn is_eligible(&self, now: Nanos, server: &Server) -> bool {
        server.endpoint.state == EndpointState::Ready
            && (!server.in_slow_start(now)
                || now >= server.slow_start_sent_at.saturating_add(self.slow_start_interval(now, server)))
    }

    /// The minimum time between two sends of this gateway to a server in slow start, in nanoseconds. It keeps the
    /// gateway within its part of the server's budget. The rate of admitted sequences that a warm server of the pool
    /// gets stands for capacity; for a prefill server, the rate covers only sequences that were admitted to a prefill
    /// server first. All gateways keep to the same share of that rate. The rate has no lower bound, and the first send
    /// waits for a random part of the interval, because a minimum rate or immediate first sends would add up over
    /// hundreds of gateways.
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

    /// The share of its full capacity that a server is expected to have now. It grows linearly with the time since the
    /// server's start.
    pub(super) fn capacity_share(&self, now: Nanos, server: &Server) -> f64 {
        let remaining = server.slow_start_until.saturating_sub(now) as f64
            / self.deployment.slow_start_duration.max(1) as f64;
        1.0 - (1.0 - self.deployment.slow_start_initial_share) * remaining.clamp(0.0, 1.0)
    }
}
