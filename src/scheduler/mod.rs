//! Where a request's prompt is prefilled, where its answer is decoded, and what follows each outcome.
//!
//! A gateway keeps one [`Scheduler`] and holds its sequences itself. It calls [`Scheduler::schedule`] (where to send a
//! sequence, or not yet, or never), [`Scheduler::attempt_finished`] (what to do after an outcome) and
//! [`Scheduler::next_timeout`] (how long to wait: for the attempt in flight, else before scheduling again). The other
//! methods report facts. Measurements are kept in `statistics`, the known servers in `fleet`.
//!
//! # Rules
//!
//! Five rules hold whatever else is decided. Comments and tests refer to them by number.
//!
//! 1. A sequence gets one final answer, in time for its client, and nothing is sent after it. It has no more than one
//!    attempt in flight.
//! 2. An attempt that may have run is repeated only as far as the sequence's idempotency allows, and a sequence is rejected
//!    only where a retry of its client is harmless.
//! 3. Only servers that the endpoint list names as ready are sent anything.
//! 4. All gateways together send a server in slow start no more than its budget.
//! 5. A KV cache that prefill servers may hold is fetched, or its release is asked for, within the release timeout.

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

/// Half-life of the prefill pace that admission control goes by, in nanoseconds: a queue that has cleared must not go on
/// causing rejections.
const PREFILL_PACE_HALF_LIFE: Nanos = 2_000_000_000;
/// Half-lives of the measurements, and bounds of their tables in entries.
const RETENTION: Retention = Retention {
    measurements: MEASUREMENT_HALF_LIFE,
    prefills: PREFILL_PACE_HALF_LIFE,
    prefixes: PREFIX_HALF_LIFE,
    max_classes: 64,
    max_server_classes: 8_192,
    max_cached_prefixes: 16_384,
    max_shared_prefixes: 8_192,
};
/// Points of each prefill server on its zone's hash ring.
const RING_POINTS: usize = 16;
/// Fleets of up to this many servers are scanned in full for each decision.
const MAX_FULL_SCAN_SERVERS: usize = 128;
/// Affinity replicas of a new prefix at start, before any prefill has shown whether they are found.
const INITIAL_NEW_PREFIX_REPLICAS: f64 = 6.0;
/// Half of the backoff after the first failed poll of the endpoint list, in nanoseconds. It doubles with each failure.
const POLL_BACKOFF_BASE: Nanos = 500_000_000;
/// Failed polls after which the backoff doubles no more.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 4;

/// The routing decisions of one gateway.
pub struct Scheduler {
    deployment: Deployment,
    /// Generator of all draws but those of the sampler.
    random: Rand64,
    fleet: Fleet,
    start_times: StartTimes,
    sampler: RefCell<Sampler>,
    /// Fleets of up to this many servers are scanned in full.
    max_full_scan: usize,
    statistics: Statistics,
    /// The scan for new quotas, where one is under way.
    quota_scan: Option<FleetScan>,
    /// When the last such scan began; none where the endpoint list has changed since.
    quota_scan_started_at: Option<Nanos>,
    quotas: Quotas,
    /// For each role, the medians of its servers' high response times.
    typical_times: [Option<Medians>; 3],
    /// At how many prefill servers a new prefix has affinity replicas.
    new_prefix_replicas: f64,
    /// Polls of the endpoint list that failed in a row, up to a bound.
    failed_polls: u32,
}

/// A server that was selected for an attempt.
struct Selection {
    server: ServerId,
    step: Step,
    /// Prompt tokens that it is expected to have cached.
    cached_tokens: f64,
}

impl Scheduler {
    /// A scheduler that knows no servers yet. All its random draws follow from the seed.
    pub fn new(now: Nanos, deployment: Deployment, seed: u64) -> Self {
        Scheduler {
            random: Rand64::new(seed.into()),
            fleet: Fleet::new(deployment.kinds.clone(), deployment.weights, RING_POINTS),
            start_times: StartTimes::new(deployment.start_time_clock),
            sampler: RefCell::new(Sampler::new(seed)),
            max_full_scan: MAX_FULL_SCAN_SERVERS,
            statistics: Statistics::new(now, deployment.tenants.len(), RETENTION),
            quota_scan: None,
            quota_scan_started_at: None,
            quotas: Quotas::default(),
            typical_times: [None; 3],
            new_prefix_replicas: INITIAL_NEW_PREFIX_REPLICAS,
            failed_polls: 0,
            deployment,
        }
    }

    /// A scheduler that scans fleets of any size in full: the reference that sampled decisions are compared with.
    pub fn scanning(now: Nanos, deployment: Deployment, seed: u64) -> Self {
        Scheduler { max_full_scan: usize::MAX, ..Self::new(now, deployment, seed) }
    }

    /// How many servers decisions have examined so far.
    pub fn servers_examined(&self) -> u64 {
        self.fleet.examined()
    }

    /// Takes in the endpoint list, or what has changed in it. A server that has restarted has nothing cached.
    pub fn update_endpoints(&mut self, now: Nanos, scope: SnapshotKind, entries: &[Endpoint]) {
        self.failed_polls = 0;
        self.quota_scan_started_at = None;
        let entries = self.start_times.on_local_clock(now, scope, entries);
        let (slow_start, random) = (self.deployment.slow_start_duration, &mut self.random);
        self.fleet.update(scope, &entries, |entry| {
            let slow_start_until =
                if entry.started_at > 0 { entry.started_at.saturating_add(slow_start) } else { 0 };
            Server::new(now, entry.clone(), slow_start_until, random.rand_float(), MEASUREMENT_HALF_LIFE)
        });
    }

    /// A poll of the endpoint list failed: the backoff before the next one, with jitter so that gateways spread out.
    pub fn endpoint_poll_failed(&mut self) -> Nanos {
        self.failed_polls = (self.failed_polls + 1).min(MAX_POLL_BACKOFF_DOUBLINGS);
        let backoff = (POLL_BACKOFF_BASE << self.failed_polls).min(self.deployment.max_poll_interval / 2);
        let jittered = (backoff as f64 * (0.5 + 0.5 * self.random.rand_float())) as Nanos;
        jittered.max(self.reschedule_interval())
    }

    /// A server has reported its load.
    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        if let Some(server) = self.fleet.get_mut(server) {
            server.report = report;
            server.reported_at = now;
        }
    }

    /// Decides where to send a sequence now.
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
        if !self.is_worth_sending(now, &selection) && self.may_wait(now, sequence) {
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

    /// Counts a sequence to its tenant's rate, once: when it is scheduled as it arrives.
    fn count_arrival(&mut self, now: Nanos, sequence: &Sequence) {
        if let Some(TenantId(tenant)) = sequence.tenant.filter(|_| sequence.arrived_at == now) {
            self.statistics.tenant_arrivals[tenant].add(now, 1.0);
        }
    }

    /// Whether it is too late for another attempt: for the client, by the attempt limits, or for the release of what
    /// prefill servers hold.
    fn is_out_of_time(&self, now: Nanos, sequence: &Sequence) -> bool {
        now + self.reschedule_interval() >= sequence.first_token_deadline
            || self.attempts_exhausted(now, sequence)
            || self.release_is_due(now, sequence)
    }

    /// The KV cache that a decode server may fetch. Guards against asking in vain for one that was lost with its prefill
    /// server, or with a decode server whose answer failed once begun. Where too few attempts are left for another
    /// prefill and decode, the last attempt may still find it.
    fn usable_kv_cache(&self, sequence: &Sequence) -> Option<KvCacheLocation> {
        let may_be_taken = |attempt: &Attempt| {
            matches!(attempt.status, AttemptStatus::Finished(Outcome::Error | Outcome::Reset))
        };
        let may_prefill_again = sequence.attempts.len() + 2 <= self.max_attempts(sequence);
        if may_prefill_again && sequence.attempts.last().is_some_and(may_be_taken) {
            return None;
        }
        sequence.kv_cache.filter(|held| {
            let endpoint = self.fleet.get(held.server).map(|server| &server.endpoint);
            endpoint.is_some_and(|e| e.state != EndpointState::Gone && e.started_at <= held.since)
        })
    }

    /// Selects the server and step of the next attempt.
    fn select(
        &mut self,
        now: Nanos,
        sequence: &Sequence,
        kv_cache: Option<KvCacheLocation>,
    ) -> Option<Selection> {
        if let Some(held) = kv_cache {
            return self.select_decode(now, sequence, held.server);
        }
        let selection = self.select_combined(now, sequence).or_else(|| self.select_prefill(now, sequence));
        if selection.is_some() || !self.deployment.any_kind_serves_combined() {
            return selection;
        }
        self.select_combined_fallback(now, sequence)
    }

    /// Whether nothing is gained by another look: all servers were scanned, or an available one was found.
    fn is_worth_sending(&self, now: Nanos, selection: &Selection) -> bool {
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

    /// Adds an attempt: its load, the prefixes that its server will have cached, and its part of a slow-start budget.
    fn send(&mut self, now: Nanos, sequence: &mut Sequence, selection: &Selection) {
        let Selection { server: id, step, cached_tokens } = *selection;
        let server = &self.fleet[id];
        let prefill_work = self.prefill_work(now, server, sequence, cached_tokens);
        let expected_cached_tokens = self.expected_cached_tokens(server, sequence, 0.0);
        let own_tokens = if step == Step::Prefill {
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
            load_tokens: own_tokens,
            awaits_first_token,
        });
        sequence.attempts.push(Attempt {
            server: id,
            sent_at: now,
            step,
            status: AttemptStatus::InFlight,
            delivered: false,
            load_tokens: if step == Step::Prefill { prefill_work } else { own_tokens },
            expected_cached_tokens,
        });
    }
}

fn is_finished(attempt: &Attempt) -> bool {
    matches!(attempt.status, AttemptStatus::Finished(_))
}
