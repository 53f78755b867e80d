//! Decode selection: after the prefill the least loaded server of its cell.

use super::candidates::DECODE_ROLES;
use super::parameters::{MEASUREMENT_HALF_LIFE, MIN_DIVISOR};
use super::{Scheduler, Selection};
use crate::fleet::{Candidates, Server, rendezvous_rank};
use crate::interface::{Endpoint, Nanos, Role, Sequence, ServerId, Step};

/// A KV cache is migrated when the least loaded decode server of its cell is fuller by this share of memory than the least
/// loaded of the zone.
const SPILLOVER_LOAD_GAP: f64 = 0.3;
/// The same for servers of other zones.
const REMOTE_ZONE_LOAD_GAP: f64 = 1.0;
/// Weight of another zone's decode servers for KV caches that are handed on by chance.
const REMOTE_ZONE_WEIGHT: f64 = 0.25;

impl Scheduler {
    /// The least loaded decode server of the prefill server's cell; without one, elsewhere, own zone first. Two
    /// exceptions. A KV cache leaves a cell that is much fuller than another of the zone. And a cell that prefills more
    /// than its decode servers can take hands on the rest, by chance and to where less is prefilled, while their loads are
    /// not known.
    pub(super) fn select_decode(
        &mut self,
        now: Nanos,
        sequence: &Sequence,
        prefill_server: ServerId,
    ) -> Option<Selection> {
        let chance = self.random.rand_float();
        let home = &self.fleet[prefill_server].endpoint;
        let candidates = self.decode_candidates(sequence, Some(home));
        if chance < self.spillover_probability(now, home, &candidates)
            && let Some(server) = self.select_spillover(now, sequence, home, &candidates)
        {
            return Some(Selection { server, step: Step::MigratedDecode, cached_tokens: 0.0 });
        }
        let failures = self.class_failures(now, sequence);
        let rank = |s: &Server| {
            (s.role != Role::Prefill).then(|| {
                let distance = self.distance_from_home(s, home);
                let available = self.can_decode(now, s, sequence);
                let penalty = self.unavailable_penalty(now, s, available) * (1.0 + distance);
                let retries = self.expected_retries(now, s, sequence, &failures);
                self.ranked_load(now, s) + distance + retries + penalty
            })
        };
        let server = self.select_lowest(now, sequence, &candidates, &DECODE_ROLES, &rank)?;
        let in_cell = self.fleet[server].endpoint.cell == home.cell;
        let step = if in_cell { Step::Decode } else { Step::MigratedDecode };
        Some(Selection { server, step, cached_tokens: 0.0 })
    }

    /// The share of its KV caches that a cell should hand on, by its quotas, as far as the loads of its decode servers are
    /// not known.
    fn spillover_probability(&self, now: Nanos, home: &Endpoint, candidates: &Candidates) -> f64 {
        let in_cell = self.fleet.among(candidates).filter(|s| self.decodes_in_cell(s, home));
        let known = in_cell.map(|s| report_freshness(now, s)).fold(0.0, f64::max);
        let excess = self
            .quotas
            .cells
            .get(&home.cell)
            .map_or(0.0, |cell| 1.0 - cell.decode_capacity / cell.prefill_quota.max(MIN_DIVISOR));
        excess * (1.0 - known)
    }

    /// A decode server of a cell that can take more than is prefilled in it, by a hash over the cells' spare capacity.
    fn select_spillover(
        &self,
        now: Nanos,
        sequence: &Sequence,
        home: &Endpoint,
        candidates: &Candidates,
    ) -> Option<ServerId> {
        let rank = |s: &Server| {
            let cell = self.quotas.cells.get(&s.endpoint.cell)?;
            if cell.spare_decode_capacity() <= 0.0 || !self.can_decode(now, s, sequence) {
                return None;
            }
            let zone_weight = if cell.zone == home.zone { 1.0 } else { REMOTE_ZONE_WEIGHT };
            let weight =
                zone_weight * cell.spare_decode_capacity() * s.weight / cell.decode_capacity.max(MIN_DIVISOR);
            Some(rendezvous_rank(sequence.id.0, s.endpoint.server.0, weight))
        };
        self.lowest_ranked(now, sequence, candidates, &rank)
    }

    /// Whether a server decodes beside the prefill server that holds a KV cache.
    fn decodes_in_cell(&self, server: &Server, home: &Endpoint) -> bool {
        let decodes = match server.role {
            Role::Decode => true,
            Role::Combined => self.quotas.no_decode_servers,
            Role::Prefill => false,
        };
        server.endpoint.cell == home.cell && decodes
    }

    /// What migrating a KV cache to a server counts for, as a share of its memory.
    fn distance_from_home(&self, server: &Server, home: &Endpoint) -> f64 {
        if self.decodes_in_cell(server, home) {
            0.0
        } else if server.endpoint.zone == home.zone {
            SPILLOVER_LOAD_GAP
        } else {
            REMOTE_ZONE_LOAD_GAP
        }
    }
}

/// How much a server's load report still counts: 1 when it has just come, less with its age; 0 without one.
fn report_freshness(now: Nanos, server: &Server) -> f64 {
    let age = now.saturating_sub(server.reported_at) as f64 / MEASUREMENT_HALF_LIFE as f64;
    server.report.memory_share.map_or(0.0, |_| (-age).exp2())
}
