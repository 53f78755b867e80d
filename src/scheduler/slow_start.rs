//! Slow start, rule 4: how much a cold server may be sent by this gateway.

use super::*;

/// A cold server's ordinary part, against its present share of a warm fellow's traffic.
pub(super) const COLD_PART: f64 = 1.25;
/// Part of the rule's figure for a cold server that is used at the most, for chance and unequal gateways.
pub(super) const COLD_SAFE: f64 = 0.8;

impl Scheduler {
    /// Listed as ready, and within this gateway's part of what a cold server may be sent.
    pub(super) fn allowed(&self, now: Nanos, server: &Server) -> bool {
        server.endpoint.state == EndpointState::Ready
            && (now >= server.cold_until
                || now >= server.cold_sent.saturating_add(self.cold_pause(now, server)))
    }

    /// Rule 4: the time one send takes up of this gateway's part of a cold server. What a server of the pool carries
    /// of its admitted sequences stands for capacity, of a reader only of those that were read first; all gateways
    /// keep the same part. There is no floor, and the first send waits for a part of the pause drawn by lot: over
    /// hundreds of gateways both add up.
    pub(super) fn cold_pause(&self, now: Nanos, server: &Server) -> Nanos {
        let prefills = server.role == Role::Prefill;
        let weight = self.fleet.index().pool_weight(prefills);
        let [read, whole] =
            [0, 1].map(|taken| self.stats.admitted[taken].per_second(now, self.stats.started));
        let carried = if prefills { read } else { read + whole };
        let fair = carried * server.weight / weight.max(1e-9);
        let present = self.present(now, server);
        let most =
            COLD_SAFE * self.deployment.slow_start_overload_factor * self.deployment.slow_start_initial_share;
        (server.cold_part * 1e9 / (fair * most.min(COLD_PART * present)).max(1e-9)) as Nanos
    }

    /// The share of its capacity that a server should have by now: a straight line from the stated start.
    pub(super) fn present(&self, now: Nanos, server: &Server) -> f64 {
        let cold =
            server.cold_until.saturating_sub(now) as f64 / self.deployment.slow_start_duration.max(1) as f64;
        1.0 - (1.0 - self.deployment.slow_start_initial_share) * cold.clamp(0.0, 1.0)
    }
}
