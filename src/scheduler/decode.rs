//! Decode selection: after a prefill, selects the least loaded server of the prefill server's cell.

use super::candidates::DECODE_ROLES;
use super::parameters::{MEASUREMENT_HALF_LIFE, MIN_DIVISOR};
use super::{Scheduler, Selection};
use crate::fleet::{Candidates, Server, rendezvous_rank};
use crate::interface::{Endpoint, Nanos, Role, Sequence, ServerId, Step};

/// A KV cache is migrated if the load of the least loaded decode server of its cell exceeds that of the least loaded in
/// the zone by this share of memory.
const SPILLOVER_LOAD_GAP: f64 = 0.3;
/// A KV cache is migrated to another zone if the load of the least loaded decode server of its cell exceeds that of the
/// least loaded in the other zone by this share of memory.
const REMOTE_ZONE_LOAD_GAP: f64 = 1.0;
/// Weight of decode servers in other zones, relative to those in the prefill server's zone, for KV caches that spill
/// over at random.
const REMOTE_ZONE_WEIGHT: f64 = 0.25;

impl Scheduler {
    /// Selects the least loaded decode server of the prefill server's cell. If no server can be selected there, the
    /// server comes from another cell, with preference for the same zone. There are two exceptions. A KV cache leaves a
    /// cell whose decode servers are much fuller than others in the zone. And while the loads of a cell's decode
    /// servers are not known, a cell that prefills more than these servers can take spills the rest over, at random, to
    /// cells with spare decode capacity.
    pub(super) fn select_decode(
        &mut self,
        now: Nanos,
        sequence: &Sequence,
        prefill_server: ServerId,
    ) -> Option<Selection> {
        let draw = self.random.rand_float();
        let prefill_endpoint = &self.fleet[prefill_server].endpoint;
        let candidates = self.decode_candidates(sequence, Some(prefill_endpoint));
        if draw < self.spillover_probability(now, prefill_endpoint, &candidates)
            && let Some(server) = self.select_spillover(now, sequence, prefill_endpoint, &candidates)
        {
            return Some(Selection { server, step: Step::MigratedDecode, cached_tokens: 0.0 });
        }
        let failures = self.class_failures(now, sequence);
        let rank = |s: &Server| {
            (s.role != Role::Prefill).then(|| {
                let transfer_cost = self.transfer_cost(s, prefill_endpoint);
                let can_decode = self.can_decode(now, s, sequence);
                let penalty = self.unavailable_penalty(now, s, can_decode) * (1.0 + transfer_cost);
                let retries = self.expected_retries(now, s, sequence, &failures);
                self.ranked_load(now, s) + transfer_cost + retries + penalty
            })
        };
        let server = self.select_lowest(now, sequence, &candidates, &DECODE_ROLES, &rank)?;
        let in_cell = self.fleet[server].endpoint.cell == prefill_endpoint.cell;
        let step = if in_cell { Step::Decode } else { Step::MigratedDecode };
        Some(Selection { server, step, cached_tokens: 0.0 })
    }

    /// The probability that a KV cache spills over to another cell. It is the share of the cell's prefill quota that
    /// exceeds the cell's decode capacity, reduced by the weight of the newest load report from the cell: zero when a
    /// decode server of the cell has just reported its load.
    fn spillover_probability(&self, now: Nanos, prefill_endpoint: &Endpoint, candidates: &Candidates) -> f64 {
        let in_cell = self.fleet.among(candidates).filter(|s| self.decodes_in_cell(s, prefill_endpoint));
        let freshness = in_cell.map(|s| report_freshness(now, s)).fold(0.0, f64::max);
        let excess = self
            .quotas
            .cells
            .get(&prefill_endpoint.cell)
            .map_or(0.0, |cell| 1.0 - cell.decode_capacity / cell.prefill_quota.max(MIN_DIVISOR));
        excess * (1.0 - freshness)
    }

    /// Selects a decode server of a cell that can decode more than is prefilled in it, by a hash weighted by spare
    /// capacity.
    fn select_spillover(
        &self,
        now: Nanos,
        sequence: &Sequence,
        prefill_endpoint: &Endpoint,
        candidates: &Candidates,
    ) -> Option<ServerId> {
        let rank = |s: &Server| {
            let cell = self.quotas.cells.get(&s.endpoint.cell)?;
            if cell.spare_decode_capacity() <= 0.0 || !self.can_decode(now, s, sequence) {
                return None;
            }
            let zone_weight = if cell.zone == prefill_endpoint.zone { 1.0 } else { REMOTE_ZONE_WEIGHT };
            let weight =
                zone_weight * cell.spare_decode_capacity() * s.weight / cell.decode_capacity.max(MIN_DIVISOR);
            Some(rendezvous_rank(sequence.id.0, s.endpoint.server.0, weight))
        };
        self.lowest_ranked(now, sequence, candidates, &rank)
    }

    /// Returns true if a server decodes in the cell of the prefill server that holds a KV cache. Combined servers count
    /// only if no decode server of the fleet has capacity.
    fn decodes_in_cell(&self, server: &Server, prefill_endpoint: &Endpoint) -> bool {
        let decodes = match server.role {
            Role::Decode => true,
            Role::Combined => self.quotas.no_decode_servers,
            Role::Prefill => false,
        };
        server.endpoint.cell == prefill_endpoint.cell && decodes
    }

    /// The cost of sending a KV cache to a server, as a share of the server's memory; zero for a server that decodes in
    /// the prefill server's cell.
    fn transfer_cost(&self, server: &Server, prefill_endpoint: &Endpoint) -> f64 {
        if self.decodes_in_cell(server, prefill_endpoint) {
            0.0
        } else if server.endpoint.zone == prefill_endpoint.zone {
            SPILLOVER_LOAD_GAP
        } else {
            REMOTE_ZONE_LOAD_GAP
        }
    }
}

/// The weight of a server's load report: 1 for a new report, halved with each half-life of its age; 0 without a report.
fn report_freshness(now: Nanos, server: &Server) -> f64 {
    let age = now.saturating_sub(server.reported_at) as f64 / MEASUREMENT_HALF_LIFE as f64;
    server.report.memory_share.map_or(0.0, |_| (-age).exp2())
}
