//! Decode selection: after the prefill the least loaded server of its cell, and servers that run a request combined.

use super::candidates::DECODE_ROLES;
use super::parameters::{LOAD_REPORT_STALENESS, MEASUREMENT_HALF_LIFE, MIN_DIVISOR};
use super::{Scheduler, Selection};
use crate::fleet::{Candidates, Server, rendezvous_rank};
use crate::interface::{Endpoint, Nanos, Role, Sequence, ServerId, Step};

/// Share of its memory in use, reported or estimated, past which a server has no capacity for another answer.
pub(super) const MAX_DECODE_LOAD: f64 = 0.95;
/// A KV cache is migrated when the least loaded decode server of its cell is fuller by this share of memory than the least
/// loaded of the zone.
const SPILLOVER_LOAD_GAP: f64 = 0.3;
/// The same for servers of other zones.
const REMOTE_ZONE_LOAD_GAP: f64 = 1.0;
/// Weight of another zone's decode servers for KV caches that are handed on by chance.
const REMOTE_ZONE_WEIGHT: f64 = 0.25;
/// Length of an answer that gives no hint, as a share of the most tokens that it may have.
const DEFAULT_OUTPUT_SHARE: f64 = 0.5;

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

    /// Whether a server that answers is available and has capacity for a sequence.
    fn can_decode(&self, now: Nanos, server: &Server, sequence: &Sequence) -> bool {
        server.role != Role::Prefill
            && self.is_available(now, server)
            && self.has_capacity(now, server, sequence)
    }

    /// Combined servers take their share of sequences from the prompt on: while one is less loaded than the least loaded
    /// decode server and has begun all that it was sent. A prefill slows its answers, so each gateway gives it one prompt
    /// at a time.
    pub(super) fn select_combined(&self, now: Nanos, sequence: &Sequence) -> Option<Selection> {
        if self.fleet.pool(Role::Combined, None).is_empty() {
            return None;
        }
        let candidates = self.decode_candidates(sequence, None);
        let combined = self.least_loaded(now, sequence, &candidates, |s| {
            s.role == Role::Combined && s.in_flight.iter().all(|attempt| !attempt.awaits_first_token)
        })?;
        let decode = self.least_loaded(now, sequence, &candidates, |s| s.role == Role::Decode);
        let load = |id: ServerId| self.ranked_load(now, &self.fleet[id]);
        let is_less_loaded = decode.is_none_or(|decode| load(combined) < load(decode));
        is_less_loaded.then(|| self.combined_selection(sequence, combined))
    }

    /// The least loaded of the available servers that have capacity for a sequence and are wanted.
    fn least_loaded(
        &self,
        now: Nanos,
        sequence: &Sequence,
        candidates: &Candidates,
        is_wanted: impl Fn(&Server) -> bool,
    ) -> Option<ServerId> {
        let rank = |s: &Server| {
            let open = is_wanted(s) && self.can_decode(now, s, sequence);
            open.then(|| self.ranked_load(now, s))
        };
        self.lowest_ranked(now, sequence, candidates, &rank)
    }

    /// Where no prefill server can be had, or no attempt would be left to decode after a prefill: a server that does both.
    pub(super) fn select_combined_fallback(&self, now: Nanos, sequence: &Sequence) -> Option<Selection> {
        let rank = |s: &Server| {
            let open = self.deployment.serves_combined(s.role) && self.is_available(now, s);
            open.then(|| self.ranked_load(now, s))
        };
        let candidates = self.decode_candidates(sequence, None);
        let server = self.select_lowest(now, sequence, &candidates, &DECODE_ROLES, &rank)?;
        Some(self.combined_selection(sequence, server))
    }

    fn combined_selection(&self, sequence: &Sequence, server: ServerId) -> Selection {
        let cached_tokens = self.expected_cached_tokens(&self.fleet[server], sequence, 0.0);
        Selection { server, step: Step::Combined, cached_tokens }
    }

    /// Whether a sequence's KV cache and answer still fit into a server's memory.
    fn has_capacity(&self, now: Nanos, server: &Server, sequence: &Sequence) -> bool {
        self.decode_load(now, server) + self.expected_memory_tokens(sequence) / server.memory_tokens
            <= MAX_DECODE_LOAD
    }

    /// The last reported share of memory in use. One that nothing of ours will renew decays, or a server that was once
    /// full would never be tried again.
    pub(super) fn reported_memory_share(&self, now: Nanos, server: &Server) -> Option<f64> {
        let age = if server.in_flight.is_empty() { now.saturating_sub(server.reported_at) } else { 0 };
        server.report.memory_share.map(|share| share * (-(age as f64) / MEASUREMENT_HALF_LIFE as f64).exp2())
    }

    /// The share of a server's memory in use: as reported, with own answers since, and never less than all own answers in
    /// flight.
    pub(super) fn decode_load(&self, now: Nanos, server: &Server) -> f64 {
        let own = server.own_tokens_since(0) / server.memory_tokens;
        let Some(share) = self.reported_memory_share(now, server) else { return own };
        let not_in_report = server.reported_at.saturating_sub(LOAD_REPORT_STALENESS);
        let since = server.own_tokens_since(not_in_report) / server.memory_tokens;
        own.max(share + since)
    }

    /// The load by which servers that answer are ranked: one that has reported none yet counts as the mean of those that
    /// have, one that has restarted as empty. Says nothing of capacity: a gateway that has heard from full servers only
    /// must not take all for full.
    fn ranked_load(&self, now: Nanos, server: &Server) -> f64 {
        let is_known = server.report.memory_share.is_some() || server.in_slow_start(now);
        let unreported = if is_known { 0.0 } else { self.quotas.mean_reported_memory };
        self.decode_load(now, server) + unreported
    }

    /// Tokens of memory that a sequence will hold at a decode server: its prompt and its answer, half the most that it may
    /// have where its length is not known.
    pub(super) fn expected_memory_tokens(&self, sequence: &Sequence) -> f64 {
        let token_interval = self.deployment.types[sequence.traffic.0].token_interval.max(1) as f64;
        let max_tokens = sequence.max_output_tokens;
        let output_tokens = match sequence.output_length_hint {
            Some(hint) => (hint as f64 / token_interval).min(max_tokens),
            None => max_tokens * DEFAULT_OUTPUT_SHARE,
        };
        sequence.prompt_tokens + output_tokens
    }
}

/// How much a server's load report still counts: 1 when it has just come, less with its age; 0 without one.
fn report_freshness(now: Nanos, server: &Server) -> f64 {
    let age = now.saturating_sub(server.reported_at) as f64 / MEASUREMENT_HALF_LIFE as f64;
    server.report.memory_share.map_or(0.0, |_| (-age).exp2())
}
