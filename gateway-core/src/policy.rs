//! Who is asked: the decisions, or a plain baseline to compare them with.
//!
//! The baseline takes any server that does the step, by chance. It keeps rules 1, 2, 3 and 5 in the plainest way and
//! knows nothing of load, cells, health or cold servers. It is for rehearsals: nothing in a settings file names it.

use oorandom::Rand64;
use petrelshore::interface::*;
use petrelshore::{Scheduler, cache_held_since};
use std::collections::BTreeMap;

/// Which policy a request manager asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Chooser {
    #[default]
    Decisions,
    /// The decisions, which look at every server of a fleet of any size: to compare with.
    Scan,
    Baseline,
}

pub enum Policy {
    Decisions(Box<Scheduler>),
    Baseline(Box<Baseline>),
}

impl Policy {
    pub fn new(now: Nanos, deployment: Deployment, seed: u64, chooser: Chooser) -> Self {
        match chooser {
            Chooser::Decisions => Policy::Decisions(Box::new(Scheduler::new(now, deployment, seed))),
            Chooser::Scan => Policy::Decisions(Box::new(Scheduler::scanning(now, deployment, seed))),
            Chooser::Baseline => Policy::Baseline(Box::new(Baseline::new(deployment, seed))),
        }
    }

    /// Servers looked at so far; none for the baseline.
    pub fn servers_examined(&self) -> u64 {
        match self {
            Policy::Decisions(scheduler) => scheduler.servers_examined(),
            Policy::Baseline(_) => 0,
        }
    }

    pub fn update_endpoints(&mut self, now: Nanos, scope: SnapshotKind, entries: &[Endpoint]) {
        match self {
            Policy::Decisions(scheduler) => scheduler.update_endpoints(now, scope, entries),
            Policy::Baseline(baseline) => baseline.update_endpoints(scope, entries),
        }
    }

    pub fn endpoint_poll_failed(&mut self) -> Nanos {
        match self {
            Policy::Decisions(scheduler) => scheduler.endpoint_poll_failed(),
            Policy::Baseline(baseline) => baseline.deployment.max_poll_interval / 2,
        }
    }

    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        if let Policy::Decisions(scheduler) = self {
            scheduler.load_reported(now, server, report);
        }
    }

    pub fn schedule(&mut self, now: Nanos, sequence: &mut Sequence) -> Decision {
        match self {
            Policy::Decisions(scheduler) => scheduler.schedule(now, sequence),
            Policy::Baseline(baseline) => baseline.schedule(now, sequence),
        }
    }

    pub fn attempt_finished(
        &mut self,
        now: Nanos,
        sequence: &mut Sequence,
        n: usize,
        got: Outcome,
        last: bool,
    ) -> NextStep {
        match self {
            Policy::Decisions(scheduler) => scheduler.attempt_finished(now, sequence, n, got, last),
            Policy::Baseline(_) => Baseline::attempt_finished(now, sequence, n, got, last),
        }
    }

    pub fn next_timeout(&self, now: Nanos, sequence: &Sequence) -> Nanos {
        match self {
            Policy::Decisions(scheduler) => scheduler.next_timeout(now, sequence),
            Policy::Baseline(baseline) => baseline.next_timeout(now, sequence),
        }
    }

    pub fn cache_release_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        match self {
            Policy::Decisions(scheduler) => scheduler.cache_release_deadline(sequence),
            Policy::Baseline(baseline) => baseline.cache_release_deadline(sequence),
        }
    }

    pub fn send_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        match self {
            Policy::Decisions(scheduler) => scheduler.send_deadline(sequence),
            // It takes nothing that may not be repeated at any time.
            Policy::Baseline(_) => None,
        }
    }

    pub fn first_token(&mut self, now: Nanos, sequence: &mut Sequence, n: usize) {
        match self {
            Policy::Decisions(scheduler) => scheduler.first_token(now, sequence, n),
            Policy::Baseline(_) => {
                if let Some(attempt) = sequence.attempts.get_mut(n) {
                    (attempt.status, sequence.kv_cache, sequence.cache_held_since) =
                        (AttemptStatus::Streaming, None, None);
                }
            }
        }
    }
}

/// Pause before the baseline looks again, and the time before its client's end at which it gives up.
const RECHECK: Nanos = 20_000_000;

/// Any server by chance.
pub struct Baseline {
    deployment: Deployment,
    chance: Rand64,
    servers: BTreeMap<ServerId, Endpoint>,
}

impl Baseline {
    fn new(deployment: Deployment, seed: u64) -> Self {
        Baseline { deployment, chance: Rand64::new(seed.into()), servers: BTreeMap::new() }
    }

    fn update_endpoints(&mut self, scope: SnapshotKind, entries: &[Endpoint]) {
        if scope != SnapshotKind::Delta {
            self.servers.clear();
        }
        self.servers.extend(entries.iter().map(|entry| (entry.server, entry.clone())));
    }

    fn schedule(&mut self, now: Nanos, sequence: &mut Sequence) -> Decision {
        if sequence.completed
            || sequence.attempts.iter().any(|a| !matches!(a.status, AttemptStatus::Finished(_)))
        {
            return Decision::Wait;
        }
        let effect = self.deployment.types[sequence.traffic.0].idempotency;
        let spent = sequence.attempts.len() >= self.deployment.max_attempts;
        let may_repeat = effect == Idempotency::Idempotent || !may_have_run(sequence);
        if now + RECHECK >= sequence.first_token_deadline || spent || !may_repeat {
            return Self::give_up(sequence, may_repeat);
        }
        let kv_cache = sequence.kv_cache.filter(|held| {
            let endpoint = self.servers.get(&held.server);
            endpoint.is_some_and(|e| e.state != EndpointState::Gone && e.started_at <= held.since)
        });
        let picked = match kv_cache {
            Some(KvCacheLocation { server: reader, .. }) => {
                self.any(|role| role != Role::Prefill).map(|writer| {
                    let cell = |id| self.servers.get(&id).map(|l| l.cell);
                    (writer, if cell(writer) == cell(reader) { Step::Decode } else { Step::MigratedDecode })
                })
            }
            None if sequence.attempts.len() + 2 > self.deployment.max_attempts => None,
            None => self.any(|role| role != Role::Decode).map(|server| {
                let reads = self.role(&self.servers[&server]) == Role::Prefill;
                (server, if reads { Step::Prefill } else { Step::Combined })
            }),
        };
        let pinned = self.cache_release_deadline(sequence).is_some_and(|until| now + RECHECK >= until);
        match picked.filter(|_| !pinned) {
            Some((server, step)) => {
                let tokens = sequence.prompt_tokens;
                sequence.admitted = true;
                sequence.attempts.push(Attempt {
                    server,
                    sent_at: now,
                    step,
                    status: AttemptStatus::InFlight,
                    delivered: false,
                    load_tokens: tokens,
                    expected_cached_tokens: 0.0,
                });
                Decision::Send(server)
            }
            None if !pinned => Decision::Wait,
            None => Self::give_up(sequence, true),
        }
    }

    fn cache_release_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        sequence.cache_held_since.map(|since| since.saturating_add(self.deployment.release_timeout / 2))
    }

    fn give_up(sequence: &mut Sequence, harmless: bool) -> Decision {
        let release = !sequence.attempts.is_empty();
        (sequence.completed, sequence.kv_cache, sequence.cache_held_since) = (true, None, None);
        match harmless {
            true => Decision::Reject { retry_after: None, release },
            false => Decision::Abort { release },
        }
    }

    fn attempt_finished(now: Nanos, sequence: &mut Sequence, n: usize, got: Outcome, last: bool) -> NextStep {
        let Some(attempt) =
            sequence.attempts.get_mut(n).filter(|a| !matches!(a.status, AttemptStatus::Finished(_)))
        else {
            return NextStep::Wait;
        };
        attempt.status = AttemptStatus::Finished(got);
        let (server, attempt) = (attempt.server, attempt.clone());
        if last || sequence.completed {
            sequence.completed = true;
            return NextStep::Complete { release: got != Outcome::Completed };
        }
        match got {
            Outcome::PrefillDone { .. } => sequence.kv_cache = Some(KvCacheLocation { server, since: now }),
            Outcome::KvCacheMissing => sequence.kv_cache = None,
            _ => {}
        }
        sequence.cache_held_since = cache_held_since(now, sequence, &attempt, got);
        NextStep::Schedule
    }

    fn next_timeout(&self, now: Nanos, sequence: &Sequence) -> Nanos {
        let left = sequence.first_token_deadline.saturating_sub(now);
        match sequence.attempts.last().filter(|a| a.status == AttemptStatus::InFlight) {
            None => RECHECK.min(left),
            Some(attempt) if attempt.step != Step::Prefill && !self.repeatable(sequence) => left,
            Some(_) => left / 2,
        }
    }

    fn repeatable(&self, sequence: &Sequence) -> bool {
        self.deployment.types[sequence.traffic.0].idempotency == Idempotency::Idempotent
    }

    fn role(&self, endpoint: &Endpoint) -> Role {
        self.deployment.kinds[endpoint.kind.0].role
    }

    fn any(&mut self, does: impl Fn(Role) -> bool) -> Option<ServerId> {
        let open = self.servers.values().filter(|l| l.state == EndpointState::Ready && does(self.role(l)));
        let open: Vec<ServerId> = open.map(|l| l.server).collect();
        if open.is_empty() {
            return None;
        }
        let picked = self.chance.rand_range(0..open.len() as u64) as usize;
        open.get(picked).copied()
    }
}

fn may_have_run(sequence: &Sequence) -> bool {
    use Outcome::*;
    let proven = |a: &Attempt| {
        matches!(a.status, AttemptStatus::Finished(AtCapacity | KvCacheMissing | ConnectFailed | NeverSent))
    };
    sequence.attempts.iter().any(|attempt| attempt.step != Step::Prefill && !proven(attempt))
}
