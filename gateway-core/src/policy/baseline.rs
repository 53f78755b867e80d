//! The baseline policy: a random server whose role fits the step.
//!
//! The baseline keeps rules 1, 2, 3 and 5 by the simplest means, and chooses servers regardless of load, cells, health
//! and slow start. Simulations compare the scheduler with the baseline; no setting selects the baseline.

use crate::attempt_outcome::is_open;
use oorandom::Rand64;
use petrelshore::cache_held_since;
use petrelshore::interface::{
    Attempt, AttemptStatus, Decision, Deployment, Endpoint, EndpointState, Idempotency, KvCacheLocation,
    Nanos, NextStep, Outcome, Role, Sequence, ServerId, SnapshotKind, Step,
};
use std::collections::BTreeMap;

/// Pause before a sequence is scheduled again, in nanoseconds. A sequence fails once its first-token deadline, or the
/// deadline for releasing its KV cache, is this close.
const RESCHEDULE_INTERVAL: Nanos = 20_000_000;

/// A policy that sends each step to a random server.
pub struct Baseline {
    deployment: Deployment,
    random: Rand64,
    endpoints: BTreeMap<ServerId, Endpoint>,
}

/// Tells whether a client may safely retry a failed request.
#[derive(Clone, Copy)]
enum ClientRetry {
    /// The request has not run, or may run again.
    Safe,
    /// The request may have run.
    Unsafe,
}

impl Baseline {
    pub(super) fn new(deployment: Deployment, seed: u64) -> Self {
        Baseline { deployment, random: Rand64::new(seed.into()), endpoints: BTreeMap::new() }
    }

    pub(super) fn update_endpoints(&mut self, kind: SnapshotKind, endpoints: &[Endpoint]) {
        if kind != SnapshotKind::Delta {
            self.endpoints.clear();
        }
        self.endpoints.extend(endpoints.iter().map(|endpoint| (endpoint.server, endpoint.clone())));
    }

    pub(super) fn endpoint_poll_failed(&self) -> Nanos {
        self.deployment.max_poll_interval / 2
    }

    pub(super) fn schedule(&mut self, now: Nanos, sequence: &mut Sequence) -> Decision {
        if sequence.completed || sequence.attempts.iter().any(is_open) {
            return Decision::Wait;
        }
        let exhausted = sequence.attempts.len() >= self.deployment.max_attempts;
        let retry = if self.is_idempotent(sequence) || !may_have_run(sequence) {
            ClientRetry::Safe
        } else {
            ClientRetry::Unsafe
        };
        let deadline_near = now + RESCHEDULE_INTERVAL >= sequence.first_token_deadline;
        if deadline_near || exhausted || matches!(retry, ClientRetry::Unsafe) {
            return Self::fail(sequence, retry);
        }
        let picked = self.pick(sequence);
        let release_due = self
            .cache_release_deadline(sequence)
            .is_some_and(|deadline| now + RESCHEDULE_INTERVAL >= deadline);
        match picked.filter(|_| !release_due) {
            Some((server, step)) => {
                sequence.admitted = true;
                sequence.attempts.push(new_attempt(now, sequence, server, step));
                Decision::Send(server)
            }
            None if !release_due => Decision::Wait,
            None => Self::fail(sequence, ClientRetry::Safe),
        }
    }

    /// Returns a server for the next step of a sequence, with that step.
    fn pick(&mut self, sequence: &Sequence) -> Option<(ServerId, Step)> {
        let kv_cache = sequence.kv_cache.filter(|location| {
            let endpoint = self.endpoints.get(&location.server);
            endpoint.is_some_and(|endpoint| {
                endpoint.state != EndpointState::Gone && endpoint.started_at <= location.since
            })
        });
        if let Some(KvCacheLocation { server: prefill_server, .. }) = kv_cache {
            let decode_server = self.random_server(|role| role != Role::Prefill)?;
            let cell = |server| self.endpoints.get(&server).map(|endpoint| endpoint.cell);
            let same_cell = cell(decode_server) == cell(prefill_server);
            return Some((decode_server, if same_cell { Step::Decode } else { Step::MigratedDecode }));
        }
        if sequence.attempts.len() + 2 > self.deployment.max_attempts {
            return None;
        }
        let server = self.random_server(|role| role != Role::Decode)?;
        let prefills_only = self.role(&self.endpoints[&server]) == Role::Prefill;
        Some((server, if prefills_only { Step::Prefill } else { Step::Combined }))
    }

    pub(super) fn cache_release_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        sequence.cache_held_since.map(|since| since.saturating_add(self.deployment.release_timeout / 2))
    }

    fn fail(sequence: &mut Sequence, retry: ClientRetry) -> Decision {
        let release = !sequence.attempts.is_empty();
        sequence.completed = true;
        sequence.kv_cache = None;
        sequence.cache_held_since = None;
        match retry {
            ClientRetry::Safe => Decision::Reject { retry_after: None, release },
            ClientRetry::Unsafe => Decision::Abort { release },
        }
    }

    pub(super) fn attempt_finished(
        now: Nanos,
        sequence: &mut Sequence,
        attempt: usize,
        outcome: Outcome,
        ends_sequence: bool,
    ) -> NextStep {
        let Some(finished) = sequence.attempts.get_mut(attempt).filter(|attempt| is_open(attempt)) else {
            return NextStep::Wait;
        };
        finished.status = AttemptStatus::Finished(outcome);
        let finished = finished.clone();
        if ends_sequence || sequence.completed {
            sequence.completed = true;
            return NextStep::Complete { release: outcome != Outcome::Completed };
        }
        match outcome {
            Outcome::PrefillDone { .. } => {
                sequence.kv_cache = Some(KvCacheLocation { server: finished.server, since: now });
            }
            Outcome::KvCacheMissing => sequence.kv_cache = None,
            _ => {}
        }
        sequence.cache_held_since = cache_held_since(now, sequence, &finished, outcome);
        NextStep::Schedule
    }

    pub(super) fn next_timeout(&self, now: Nanos, sequence: &Sequence) -> Nanos {
        let time_left = sequence.first_token_deadline.saturating_sub(now);
        match sequence.attempts.last().filter(|attempt| attempt.status == AttemptStatus::InFlight) {
            None => RESCHEDULE_INTERVAL.min(time_left),
            Some(attempt) if attempt.step != Step::Prefill && !self.is_idempotent(sequence) => time_left,
            Some(_) => time_left / 2,
        }
    }

    pub(super) fn first_token(sequence: &mut Sequence, attempt: usize) {
        if let Some(attempt) = sequence.attempts.get_mut(attempt) {
            attempt.status = AttemptStatus::Streaming;
            sequence.kv_cache = None;
            sequence.cache_held_since = None;
        }
    }

    fn is_idempotent(&self, sequence: &Sequence) -> bool {
        self.deployment.types[sequence.traffic.0].idempotency == Idempotency::Idempotent
    }

    fn role(&self, endpoint: &Endpoint) -> Role {
        self.deployment.kinds[endpoint.kind.0].role
    }

    fn random_server(&mut self, has_role: impl Fn(Role) -> bool) -> Option<ServerId> {
        let candidates: Vec<ServerId> = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.state == EndpointState::Ready && has_role(self.role(endpoint)))
            .map(|endpoint| endpoint.server)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let picked = self.random.rand_range(0..candidates.len() as u64) as usize;
        candidates.get(picked).copied()
    }
}

fn new_attempt(now: Nanos, sequence: &Sequence, server: ServerId, step: Step) -> Attempt {
    Attempt {
        server,
        sent_at: now,
        step,
        status: AttemptStatus::InFlight,
        delivered: false,
        load_tokens: sequence.prompt_tokens,
        expected_cached_tokens: 0.0,
    }
}

fn may_have_run(sequence: &Sequence) -> bool {
    let proved_not_run = |attempt: &Attempt| {
        matches!(
            attempt.status,
            AttemptStatus::Finished(
                Outcome::AtCapacity | Outcome::KvCacheMissing | Outcome::ConnectFailed | Outcome::NeverSent
            )
        )
    };
    sequence.attempts.iter().any(|attempt| attempt.step != Step::Prefill && !proved_not_run(attempt))
}
