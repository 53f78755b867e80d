//! Prefill selection: selects the server with the least prompt work, taking prefix affinity into account.

use super::affinity::{AffinityReplicas, NON_REPLICA_DISTANCE};
use super::outlier::ClassFailures;
use super::{Scheduler, Selection};
use crate::fleet::Server;
use crate::interface::{Nanos, Role, Sequence, Step};

/// Share of a prompt by which the nearest affinity replica ranks before the other servers.
const AFFINITY_PROMPT_SHARE: f64 = 0.25;
/// Expected share of prefills that miss their shared prefix at a replica, before any prefill has been measured.
const DEFAULT_PREFIX_MISS_SHARE: f64 = 0.5;
/// Number of prefills of the prompt that one expected retry at a server counts as.
const PREFILLS_PER_RETRY: f64 = 2.0;

/// The affinity between one server and a sequence.
struct ServerAffinity {
    /// The distance of the nearest server divided by this server's distance: 1 for the nearest server.
    nearness: f64,
    /// Prompt tokens that the server is expected to have cached.
    cached_tokens: f64,
}

impl Scheduler {
    /// Selects the prefill server with the least prompt work.
    pub(super) fn select_prefill(&self, now: Nanos, sequence: &Sequence) -> Option<Selection> {
        if sequence.attempts.len() + 2 > self.max_attempts(sequence) {
            return None;
        }
        let replicas = self.affinity_replicas(now, sequence);
        let nearest = replicas.nearest();
        let failures = self.class_failures(now, sequence);
        let rank = |s: &Server| {
            (s.role == Role::Prefill).then(|| {
                let affinity = self.server_affinity(now, sequence, s, &replicas, nearest);
                self.prefill_rank(now, sequence, s, &affinity, &failures)
            })
        };
        let server = self.select_lowest(now, sequence, &replicas.candidates, &[Role::Prefill], &rank)?;
        let affinity = self.server_affinity(now, sequence, &self.fleet[server], &replicas, nearest);
        Some(Selection { server, step: Step::Prefill, cached_tokens: affinity.cached_tokens })
    }

    fn server_affinity(
        &self,
        now: Nanos,
        sequence: &Sequence,
        server: &Server,
        replicas: &AffinityReplicas,
        nearest: f64,
    ) -> ServerAffinity {
        let distance =
            replicas.distances.get(&server.endpoint.server).copied().unwrap_or(NON_REPLICA_DISTANCE);
        // The probability that a replica has the shared prefix cached, from the cache misses of recent prefills.
        let hit_probability = if distance < NON_REPLICA_DISTANCE {
            1.0 - self.statistics.prefix_misses.share(now, DEFAULT_PREFIX_MISS_SHARE)
        } else {
            0.0
        };
        ServerAffinity {
            nearness: (nearest / distance).min(1.0),
            cached_tokens: self.expected_cached_tokens(server, sequence, hit_probability),
        }
    }

    /// The rank of a prefill server: the prompt tokens that it would have to prefill until this sequence's prefill is
    /// done. Migration, affinity, slow start and expected retries are added or subtracted as multiples of the prompt
    /// length.
    fn prefill_rank(
        &self,
        now: Nanos,
        sequence: &Sequence,
        server: &Server,
        affinity: &ServerAffinity,
        failures: &ClassFailures,
    ) -> f64 {
        // A cell has no prefill quota if every KV cache would have to be migrated from it.
        let cell = self.quotas.cells.get(&server.endpoint.cell);
        let migration = if cell.is_some_and(|cell| cell.prefill_quota > 0.0) { 0.0 } else { 1.0 };
        let penalty = self.unavailable_penalty(now, server, self.is_available(now, server));
        // A server in slow start that may be sent an attempt ranks first. Otherwise its budget would remain unused
        // while warm servers queue.
        let slow_start = if server.in_slow_start(now) { 1.0 } else { 0.0 };
        let extra_prefills = migration - AFFINITY_PROMPT_SHARE * affinity.nearness - slow_start
            + PREFILLS_PER_RETRY * self.expected_retries(now, server, sequence, failures);
        self.prefill_work(now, server, sequence, affinity.cached_tokens)
            + extra_prefills * sequence.prompt_tokens
            + penalty
    }
}
