//! The scheduler decides which server prefills a request's prompt and which server decodes its answer. It also decides
//! what happens to the sequence after each outcome of an attempt.
//!
//! A gateway has one [`Scheduler`] and keeps the sequences itself. [`Scheduler::schedule`] tells the gateway to send a
//! sequence to a server, to wait, or to end the sequence. [`Scheduler::attempt_finished`] returns the next step after
//! an outcome. [`Scheduler::next_timeout`] returns the timeout of the attempt in flight, or the pause before the
//! sequence is scheduled again. The other methods report facts to the scheduler. Measurements are kept in
//! `statistics`, the known servers in `fleet`.
//!
//! # Rules
//!
//! Five rules hold for every decision. Comments and tests refer to them by number.
//!
//! 1. A sequence gets exactly one final answer, before its client's deadline, and no attempt is sent after that answer.
//!    At most one attempt of a sequence is in flight.
//! 2. An attempt that may have run is repeated only as far as the sequence's idempotency allows. A sequence is rejected
//!    only if a retry by its client is harmless.
//! 3. Attempts are sent only to servers that the endpoint list names as ready.
//! 4. All gateways together send a server in slow start no more than its budget.
//! 5. A KV cache that prefill servers may hold is fetched, or its release is requested, within the release timeout.

mod admission;
mod affinity;
mod attempt_timeouts;
mod attempts;
mod candidates;
mod cell_quota;
mod combined;
mod decode;
mod decode_load;
mod outcomes;
mod outlier;
mod parameters;
mod prefill;
mod prefill_load;
mod prefix_cache;
mod slow_start;
mod start_times;
mod waiting;

use crate::fleet::{Fleet, FleetScan, InFlightAttempt, Medians, Quotas, Sampler, Server};
use crate::interface::{
    Attempt, AttemptStatus, Decision, Deployment, Endpoint, EndpointState, KvCacheLocation, LoadReport,
    Nanos, Outcome, Sequence, ServerId, SnapshotKind, Step, TenantId,
};
use crate::statistics::{Retention, Statistics};
use oorandom::Rand64;
use parameters::{MEASUREMENT_HALF_LIFE, PREFIX_HALF_LIFE};
use start_times::StartTimes;
use std::cell::RefCell;

/// Half-life of the prefill rate that admission control uses, in nanoseconds. It is short because a queue that has
/// cleared must not go on causing rejections.
const PREFILL_RATE_HALF_LIFE: Nanos = 2_000_000_000;
/// Half-lives of the measurements, and the maximum numbers of entries of their tables.
const RETENTION: Retention = Retention {
    measurements: MEASUREMENT_HALF_LIFE,
    prefills: PREFILL_RATE_HALF_LIFE,
    prefixes: PREFIX_HALF_LIFE,
    max_classes: 64,
    max_server_classes: 8_192,
    max_cached_prefixes: 16_384,
    max_shared_prefixes: 8_192,
};
/// Number of points of each prefill server on its zone's hash ring.
const RING_POINTS: usize = 16;
/// Maximum number of servers of a fleet that is scanned in full for each decision.
const MAX_FULL_SCAN_SERVERS: usize = 128;
/// Initial number of affinity replicas of a new prefix, before prefills have shown how often prefixes are found in
/// caches.
const INITIAL_NEW_PREFIX_REPLICAS: f64 = 6.0;
/// Half of the backoff after the first failed poll of the endpoint list, in nanoseconds. The backoff doubles with each
/// further failure.
const POLL_BACKOFF_BASE: Nanos = 500_000_000;
/// Number of failed polls in a row after which the backoff no longer doubles.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 4;

/// Makes the routing decisions of one gateway.
pub struct Scheduler {
    deployment: Deployment,
    /// Generator of all random numbers except those of the sampler.
    random: Rand64,
    fleet: Fleet,
    start_times: StartTimes,
    sampler: RefCell<Sampler>,
    /// Maximum number of servers of a fleet that is scanned in full.
    max_full_scan_servers: usize,
    statistics: Statistics,
    /// The scan for new quotas, if one is in progress.
    quota_scan: Option<FleetScan>,
    /// When servers were last scanned for quotas; `None` if the endpoint list has changed since.
    quotas_scanned_at: Option<Nanos>,
    quotas: Quotas,
    /// For each role, the medians of its servers' high response times.
    typical_response_times: [Option<Medians>; 3],
    /// Number of prefill servers that are affinity replicas of a new prefix.
    new_prefix_replicas: f64,
    /// Number of polls of the endpoint list that failed in a row, at most [`MAX_POLL_BACKOFF_DOUBLINGS`].
    failed_polls: u32,
}

/// The server and step selected for an attempt.
struct Selection {
    server: ServerId,
    step: Step,
    /// Prompt tokens that the server is expected to have cached.
    cached_tokens: f64,
}

impl Scheduler {
    /// Creates a scheduler that knows no servers yet. The seed determines all its random numbers.
    pub fn new(now: Nanos, deployment: Deployment, seed: u64) -> Self {
        Scheduler {
            random: Rand64::new(seed.into()),
            fleet: Fleet::new(deployment.kinds.clone(), deployment.weights, RING_POINTS),
            start_times: StartTimes::new(deployment.start_time_clock),
            sampler: RefCell::new(Sampler::new(seed)),
            max_full_scan_servers: MAX_FULL_SCAN_SERVERS,
            statistics: Statistics::new(now, deployment.tenants.len(), RETENTION),
            quota_scan: None,
            quotas_scanned_at: None,
            quotas: Quotas::default(),
            typical_response_times: [None; 3],
            new_prefix_replicas: INITIAL_NEW_PREFIX_REPLICAS,
            failed_polls: 0,
            deployment,
        }
    }

    /// Creates a scheduler that scans fleets of any size in full: the reference for decisions by sampling.
    pub fn scanning(now: Nanos, deployment: Deployment, seed: u64) -> Self {
        Scheduler { max_full_scan_servers: usize::MAX, ..Self::new(now, deployment, seed) }
    }

    /// The number of servers that decisions have examined so far. A server counts each time it is examined.
    pub fn servers_examined(&self) -> u64 {
        self.fleet.examined()
    }

    /// Applies the endpoint list, or the changes to it. A server that has restarted counts as a new server with an
    /// empty cache.
    pub fn update_endpoints(&mut self, now: Nanos, kind: SnapshotKind, entries: &[Endpoint]) {
        self.failed_polls = 0;
        self.quotas_scanned_at = None;
        let entries = self.start_times.on_local_clock(now, kind, entries);
        let (slow_start, random) = (self.deployment.slow_start_duration, &mut self.random);
        self.fleet.update(kind, &entries, |entry| {
            let slow_start_until =
                if entry.started_at > 0 { entry.started_at.saturating_add(slow_start) } else { 0 };
            Server::new(now, entry.clone(), slow_start_until, random.rand_float(), MEASUREMENT_HALF_LIFE)
        });
    }

    /// Records a failed poll of the endpoint list and returns the backoff before the next poll, in nanoseconds. The
    /// backoff has jitter so that gateways do not poll at the same time.
    pub fn endpoint_poll_failed(&mut self) -> Nanos {
        self.failed_polls = (self.failed_polls + 1).min(MAX_POLL_BACKOFF_DOUBLINGS);
        let backoff = (POLL_BACKOFF_BASE << self.failed_polls).min(self.deployment.max_poll_interval / 2);
        let jittered = (backoff as f64 * (0.5 + 0.5 * self.random.rand_float())) as Nanos;
        jittered.max(self.reschedule_interval())
    }

    /// Records the load that a server has reported.
    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        if let Some(server) = self.fleet.get_mut(server) {
            server.report = report;
            server.reported_at = now;
        }
    }

    /// Decides whether a sequence is sent to a server now, waits or ends, and selects the server.
    pub fn schedule(&mut self, now: Nanos, sequence: &mut Sequence) -> Decision {
        if sequence.completed || !sequence.attempts.iter().all(is_finished) {
            return Decision::Wait;
        }
        self.fleet.refresh(now);
        self.refresh_quotas(now);
        let is_new = !sequence.admitted && sequence.attempts.is_empty();
        if is_new {
            self.count_arrival(now, sequence);
        }
        if self.is_out_of_time(now, sequence) {
            return self.reject_or_abort(now, sequence);
        }
        let kv_cache = self.usable_kv_cache(sequence);
        let Some(selection) = self.select(now, sequence, kv_cache) else {
            return self.wait_or_give_up(now, sequence, kv_cache.is_some());
        };
        if !self.is_search_complete(now, &selection) && self.may_wait(now, sequence) {
            return Decision::Wait;
        }
        if is_new {
            if self.is_overloaded(now, sequence, &selection) {
                return self.reject_or_abort(now, sequence);
            }
            self.count_admission(now, sequence, selection.step);
        }
        sequence.admitted = true;
        self.send(now, sequence, &selection);
        Decision::Send(selection.server)
    }

    /// Counts a sequence toward its tenant's rate. It is counted only once, when it is scheduled at its time of
    /// arrival.
    fn count_arrival(&mut self, now: Nanos, sequence: &Sequence) {
        if let Some(TenantId(tenant)) = sequence.tenant.filter(|_| sequence.arrived_at == now) {
            self.statistics.tenant_arrivals[tenant].add(now, 1.0);
        }
    }

    /// Returns true if another attempt is ruled out by the client's deadline, by the attempt limits, or because KV
    /// caches at prefill servers have to be released.
    fn is_out_of_time(&self, now: Nanos, sequence: &Sequence) -> bool {
        now + self.reschedule_interval() >= sequence.first_token_deadline
            || self.attempts_exhausted(now, sequence)
            || self.release_is_due(now, sequence)
    }

    /// The KV cache that a decode server can still fetch. A KV cache is lost if its prefill server is no longer listed
    /// or has restarted. It may also be lost if the last attempt ended with an error or a reset, because the decode
    /// server may have fetched the KV cache before its answer failed. In that case the prompt is prefilled again,
    /// unless too few attempts are left for another prefill and decode: then the last attempt may still find the KV
    /// cache.
    fn usable_kv_cache(&self, sequence: &Sequence) -> Option<KvCacheLocation> {
        let may_have_fetched = |attempt: &Attempt| {
            matches!(attempt.status, AttemptStatus::Finished(Outcome::Error | Outcome::Reset))
        };
        let may_prefill_again = sequence.attempts.len() + 2 <= self.max_attempts(sequence);
        if may_prefill_again && sequence.attempts.last().is_some_and(may_have_fetched) {
            return None;
        }
        sequence.kv_cache.filter(|location| {
            let endpoint = self.fleet.get(location.server).map(|server| &server.endpoint);
            endpoint.is_some_and(|e| e.state != EndpointState::Gone && e.started_at <= location.since)
        })
    }

    /// Selects the server and step of the next attempt.
    fn select(
        &mut self,
        now: Nanos,
        sequence: &Sequence,
        kv_cache: Option<KvCacheLocation>,
    ) -> Option<Selection> {
        if let Some(location) = kv_cache {
            return self.select_decode(now, sequence, location.server);
        }
        let selection = self.select_combined(now, sequence).or_else(|| self.select_prefill(now, sequence));
        if selection.is_some() || !self.deployment.any_kind_serves_combined() {
            return selection;
        }
        self.select_combined_fallback(now, sequence)
    }

    /// Returns true if a further search would not find a better server: all servers were scanned, or the selected
    /// server is available.
    fn is_search_complete(&self, now: Nanos, selection: &Selection) -> bool {
        self.scans_in_full() || self.is_available(now, &self.fleet[selection.server])
    }

    /// Counts a sequence that passed admission control.
    fn count_admission(&mut self, now: Nanos, sequence: &Sequence, step: Step) {
        let admitted = if step == Step::Combined {
            &mut self.statistics.admitted_combined
        } else {
            &mut self.statistics.admitted_prefill
        };
        admitted.add(now, 1.0);
        self.statistics.admitted_prompt_tokens.add(now, sequence.prompt_tokens);
    }

    /// Adds an attempt to a sequence. Records the load on its server, the prefixes that the server will have cached,
    /// and the cost to the server's slow-start budget.
    fn send(&mut self, now: Nanos, sequence: &mut Sequence, selection: &Selection) {
        let Selection { server: id, step, cached_tokens } = *selection;
        let server = &self.fleet[id];
        let prefill_work = self.prefill_work(now, server, sequence, cached_tokens);
        let expected_cached_tokens = self.expected_cached_tokens(server, sequence, 0.0);
        let attempt_tokens = if step == Step::Prefill {
            sequence.prompt_tokens - cached_tokens
        } else {
            self.expected_memory_tokens(sequence)
        };
        let awaits_first_token = self.deployment.shows_progress(sequence.traffic, step);
        // The slow-start budget counts work, not requests.
        let slow_start_cost = sequence.prompt_tokens / self.statistics.mean_prompt_tokens(now).max(1.0);
        if matches!(step, Step::Prefill | Step::Combined) {
            self.record_prefixes_sent(now, sequence, id, cached_tokens);
        }
        let Some(server) = self.fleet.get_mut(id) else { return };
        server.slow_start_sent_at = now;
        server.slow_start_cost = slow_start_cost.max(1.0);
        server.in_flight.push(InFlightAttempt {
            sequence: sequence.id,
            sent_at: now,
            load_tokens: attempt_tokens,
            awaits_first_token,
        });
        sequence.attempts.push(Attempt {
            server: id,
            sent_at: now,
            step,
            status: AttemptStatus::InFlight,
            delivered: false,
            load_tokens: if step == Step::Prefill { prefill_work } else { attempt_tokens },
            expected_cached_tokens,
        });
    }
}

fn is_finished(attempt: &Attempt) -> bool {
    matches!(attempt.status, AttemptStatus::Finished(_))
}
