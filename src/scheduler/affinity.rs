//! Prefix affinity: selects the prefill servers that should get a session or a shared prefix.

use super::Scheduler;
use super::parameters::MIN_DIVISOR;
use crate::fleet::{Candidates, Server, Slot, jump_hash, mix_bits, rendezvous_rank};
use crate::interface::{Nanos, PrefixId, Role, Sequence, ServerId};
use crate::statistics::PrefixKey;
use std::collections::HashMap;

/// Maximum number of affinity replicas of a session, or of its shared prefix, that are candidates.
const MAX_REPLICA_CANDIDATES: u64 = 8;
/// The share of all prefill servers that are affinity replicas of a shared prefix, as a multiple of the prefix's share
/// of this gateway's sends.
const REPLICAS_PER_SEND_SHARE: f64 = 8.0;
/// Number of sends of shared prefixes that are assumed before the first counted send. Until enough sends are counted, a
/// prefix counts as at most one of these assumed sends.
const PREFIX_SHARE_PRIOR: f64 = 10.0;
/// Distance between a sequence and a prefill server that is not one of its affinity replicas.
pub(super) const NON_REPLICA_DISTANCE: f64 = 1e9;

/// The prefill servers that a sequence's prefixes belong to. Every gateway computes the same servers.
pub(super) struct AffinityReplicas {
    /// The distance of each server from the session; the nearest server is the session's first replica. A server that
    /// is not a replica of the shared prefix has a distance of [`NON_REPLICA_DISTANCE`] or more, or no entry.
    pub(super) distances: HashMap<ServerId, f64>,
    /// The prefill servers to choose from.
    pub(super) candidates: Candidates,
}

impl AffinityReplicas {
    /// The smallest of the distances; infinite if there are none.
    pub(super) fn nearest(&self) -> f64 {
        self.distances.values().copied().fold(f64::INFINITY, f64::min)
    }
}

/// The distances of a prefill server from a sequence's session and from its shared prefix.
struct AffinityDistance {
    server: ServerId,
    to_session: f64,
    to_shared_prefix: f64,
}

impl Scheduler {
    /// Returns the distances of prefill servers from a sequence's session, and the candidates. The distances come from
    /// a hash that is weighted by each server's intended share of all prefills, so that all gateways prefer the same
    /// servers. This avoids prefilling prefixes again after a gateway has restarted or when a session comes through
    /// another gateway.
    pub(super) fn affinity_replicas(&self, now: Nanos, sequence: &Sequence) -> AffinityReplicas {
        let session_key = sequence.session.map_or(sequence.id.0, |session| session.0);
        let prefill_servers = self.fleet.index().prefill_servers().max(1) as f64;
        let replica_share = self.prefix_replica_share(now, sequence, prefill_servers);
        if self.scans_in_full() {
            self.scanned_replicas(sequence, session_key, replica_share)
        } else {
            self.sampled_replicas(sequence, session_key, replica_share * prefill_servers)
        }
    }

    /// The share of all prefill servers that should cache a sequence's shared prefix. It is proportional to the
    /// prefix's share of this gateway's sends, so that frequent prefixes do not evict all others. The more often
    /// prefills miss their prefix, the fewer servers a new prefix gets.
    fn prefix_replica_share(&self, now: Nanos, sequence: &Sequence, prefill_servers: f64) -> f64 {
        let new_prefix =
            (self.new_prefix_replicas * PREFIX_SHARE_PRIOR / prefill_servers).min(REPLICAS_PER_SEND_SHARE);
        (new_prefix + REPLICAS_PER_SEND_SHARE * self.prefix_send_count(now, sequence))
            / (PREFIX_SHARE_PRIOR + self.statistics.all_prefix_sends.read(now))
    }

    /// The decayed number of this gateway's recent sends of a sequence's shared prefix.
    fn prefix_send_count(&self, now: Nanos, sequence: &Sequence) -> f64 {
        let sends = sequence.prefix.and_then(|id| self.statistics.prefix_sends.get(&id));
        sends.map_or(0.0, |sends| sends.read(now))
    }

    /// Computes the replicas of a large fleet from a few servers. The candidates are these replicas, the servers that
    /// the prefixes were last sent to, and a sample.
    fn sampled_replicas(&self, sequence: &Sequence, session_key: u64, replicas: f64) -> AffinityReplicas {
        let mut slots = self.replica_slots(session_key, sequence.prefix, replicas);
        let distance_of = |slot: &Slot| {
            let distance = self.affinity_distance(self.fleet.at(*slot), sequence, session_key)?;
            Some((distance.server, distance.to_session))
        };
        let distances = slots.iter().filter_map(distance_of).collect();
        let prefixes = [sequence.session.map(PrefixKey::Session), sequence.prefix.map(PrefixKey::Shared)];
        let recent = prefixes.into_iter().flatten().flat_map(|key| self.statistics.recent_servers(key));
        slots.extend(recent.filter_map(|server| self.fleet.slot(server)));
        self.sample_role(sequence, Role::Prefill, self.deployment.zone, &mut slots);
        AffinityReplicas { distances, candidates: Candidates::distinct(slots) }
    }

    /// Computes the replicas from all servers of a small fleet.
    fn scanned_replicas(
        &self,
        sequence: &Sequence,
        session_key: u64,
        replica_share: f64,
    ) -> AffinityReplicas {
        let prefill_servers = self.fleet.values().filter(|s| s.role == Role::Prefill);
        let distances: Vec<AffinityDistance> =
            prefill_servers.filter_map(|s| self.affinity_distance(s, sequence, session_key)).collect();
        // The nearest server is always a replica, even if the replica share is smaller than its distance.
        let nearest = distances.iter().map(|d| d.to_shared_prefix).fold(f64::INFINITY, f64::min);
        let max_distance = nearest.max(replica_share);
        let distance_of = |distance: AffinityDistance| {
            let is_replica = distance.to_shared_prefix <= max_distance;
            (distance.server, distance.to_session + if is_replica { 0.0 } else { NON_REPLICA_DISTANCE })
        };
        AffinityReplicas {
            distances: distances.into_iter().map(distance_of).collect(),
            candidates: Candidates::All,
        }
    }

    /// The prefill servers that are affinity replicas of a session, or of its shared prefix. The replicas are spread
    /// over the zones that this gateway sends prefills to.
    fn replica_slots(&self, session_key: u64, prefix: Option<PrefixId>, replicas: f64) -> Vec<Slot> {
        let zones = &self.quotas.zones;
        let per_zone = ((replicas / zones.len().max(1) as f64).ceil() as u64).max(1);
        let count =
            if prefix.is_some() { per_zone.min(MAX_REPLICA_CANDIDATES) } else { MAX_REPLICA_CANDIDATES };
        (0..count)
            .map(|number| replica_key(session_key, prefix, per_zone, number))
            .filter_map(|key| self.fleet.affinity_replica(key, zones))
            .collect()
    }

    /// The distances of a prefill server from a sequence's session and shared prefix; `None` if the server's cell has
    /// no prefill quota yet.
    fn affinity_distance(
        &self,
        server: &Server,
        sequence: &Sequence,
        session_key: u64,
    ) -> Option<AffinityDistance> {
        let cell = self.quotas.cells.get(&server.endpoint.cell)?;
        let zone = self.quotas.zones.get(&cell.zone)?;
        let weight = zone.gateway_quota * cell.prefill_quota / zone.prefill_quota * server.weight
            / cell.prefill_capacity.max(MIN_DIVISOR);
        let id = server.endpoint.server;
        let to_shared_prefix =
            sequence.prefix.map_or(0.0, |PrefixId(prefix)| rendezvous_rank(mix_bits(prefix), id.0, weight));
        let to_session = rendezvous_rank(session_key, id.0, weight);
        Some(AffinityDistance { server: id, to_session, to_shared_prefix })
    }
}

/// The hash key of one affinity replica. If a shared prefix has more replicas than may be candidates, a hash of the
/// session selects the candidates among them.
fn replica_key(session_key: u64, prefix: Option<PrefixId>, replicas: u64, number: u64) -> u64 {
    match prefix {
        None => mix_bits(session_key ^ mix_bits(number)),
        Some(PrefixId(prefix)) if replicas <= MAX_REPLICA_CANDIDATES => {
            mix_bits(mix_bits(prefix) ^ mix_bits(number))
        }
        Some(PrefixId(prefix)) => {
            let replica = jump_hash(mix_bits(session_key ^ mix_bits(number)), replicas);
            mix_bits(mix_bits(prefix) ^ mix_bits(replica))
        }
    }
}
