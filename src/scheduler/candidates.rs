//! Selects the servers that a decision examines: all servers of a small fleet; in a large fleet, the affinity replicas
//! and a sample.

use super::Scheduler;
use crate::fleet::{Candidates, SampleSize, Server, ServerScope, Slot, in_scope};
use crate::interface::{Endpoint, Nanos, Role, Sequence, ServerId, ZoneId};

/// Number of servers of a role that are sampled from one zone.
const ZONE_SAMPLE: SampleSize = SampleSize { warm: 8, slow_start: 4 };
/// Number of servers of a role that are sampled from the fleet, or from an idempotency scope.
const FLEET_SAMPLE: SampleSize = SampleSize { warm: 4, slow_start: 2 };
/// Number of servers of a role that are sampled from the prefill server's cell.
const CELL_SAMPLE: SampleSize = SampleSize { warm: 24, slow_start: 4 };
/// Number of servers of a role that are examined in one fallback batch, if the selected candidate is not available.
const FALLBACK_BATCH_SIZE: usize = 64;
/// Maximum number of fallback batches of one decision.
const MAX_FALLBACK_BATCHES: usize = 4;
/// Roles that decode answers.
pub(super) const DECODE_ROLES: [Role; 2] = [Role::Decode, Role::Combined];

/// Ranks a server. The server with the lowest rank is selected; a server with `None` cannot be selected.
pub(super) type Rank<'a> = dyn Fn(&Server) -> Option<f64> + 'a;

impl Scheduler {
    /// Returns true if decisions examine all servers.
    pub(super) fn scans_in_full(&self) -> bool {
        self.fleet.len() <= self.max_full_scan_servers
    }

    /// Selects the lowest ranked of the candidates that may be sent this sequence. Ties are resolved by a random number
    /// that each gateway draws for each server.
    pub(super) fn lowest_ranked(
        &self,
        now: Nanos,
        sequence: &Sequence,
        candidates: &Candidates,
        rank: &Rank,
    ) -> Option<ServerId> {
        let scope = self.idempotency_scope(sequence);
        let servers = self.fleet.among(candidates);
        let eligible = servers.filter(|s| self.is_eligible(now, s) && in_scope(scope, s));
        let ranked = eligible.filter_map(|s| Some((rank(s)?, s)));
        let lowest =
            ranked.min_by(|(a, x), (b, y)| a.total_cmp(b).then(x.tie_breaker.total_cmp(&y.tie_breaker)));
        lowest.map(|(_, server)| server.endpoint.server)
    }

    /// Selects the lowest ranked of the candidates. If that server is not available, further servers are examined in
    /// turn, a batch at a time, until an available server is found or the maximum number of batches is reached.
    pub(super) fn select_lowest(
        &self,
        now: Nanos,
        sequence: &Sequence,
        candidates: &Candidates,
        roles: &[Role],
        rank: &Rank,
    ) -> Option<ServerId> {
        let is_available = |id: &ServerId| self.is_available(now, &self.fleet[*id]);
        let mut selected = self.lowest_ranked(now, sequence, candidates, rank);
        for _ in 0..MAX_FALLBACK_BATCHES {
            if self.scans_in_full() || selected.as_ref().is_some_and(is_available) {
                return selected;
            }
            let batch = self.fallback_batch(sequence, roles);
            let fallback = self.lowest_ranked(now, sequence, &batch, rank);
            selected = fallback.filter(is_available).or(selected).or(fallback);
        }
        selected
    }

    /// The next servers of the roles, in round-robin order.
    fn fallback_batch(&self, sequence: &Sequence, roles: &[Role]) -> Candidates {
        let mut slots = Vec::new();
        for role in roles {
            let pool = self.fleet.pool(*role, self.idempotency_scope(sequence));
            self.sampler.borrow_mut().next_in_turn(*role, pool, FALLBACK_BATCH_SIZE, &mut slots);
        }
        Candidates::Slots(slots)
    }

    /// The candidates for decoding. In a large fleet they are samples of the prefill server's cell, of its zone and of
    /// the fleet. Without a prefill server, no cell is sampled, and the zone is this gateway's own zone.
    pub(super) fn decode_candidates(
        &self,
        sequence: &Sequence,
        prefill_endpoint: Option<&Endpoint>,
    ) -> Candidates {
        if self.scans_in_full() {
            return Candidates::All;
        }
        let zone = prefill_endpoint.map_or(self.deployment.zone, |endpoint| endpoint.zone);
        let mut slots = Vec::new();
        for role in DECODE_ROLES {
            if let Some(endpoint) = prefill_endpoint {
                let in_cell = self.fleet.cell(endpoint.cell, role);
                self.sampler.borrow_mut().sample(in_cell, CELL_SAMPLE, &mut slots);
            }
            self.sample_role(sequence, role, zone, &mut slots);
        }
        Candidates::distinct(slots)
    }

    /// Adds a sample of the servers of a role: from the sequence's idempotency scope if it has one, otherwise from a
    /// zone and from the fleet.
    pub(super) fn sample_role(&self, sequence: &Sequence, role: Role, zone: ZoneId, slots: &mut Vec<Slot>) {
        let mut sampler = self.sampler.borrow_mut();
        let scope = self.idempotency_scope(sequence);
        if scope.is_none() {
            let in_zone = self.fleet.pool(role, Some(ServerScope::Zone(zone)));
            sampler.sample(in_zone, ZONE_SAMPLE, slots);
        }
        sampler.sample(self.fleet.pool(role, scope), FLEET_SAMPLE, slots);
    }
}
