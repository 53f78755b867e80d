//! Who is asked: the decisions, or a plain baseline to compare them with.
//!
//! The baseline takes any server that does the step, by chance. It keeps rules 1, 2, 3 and 5 in the plainest way and
//! knows nothing of load, cells, health or cold servers. It is for rehearsals: nothing in a settings file names it.

use oorandom::Rand64;
use petrelshore::interface::*;
use petrelshore::{Scheduler, held_since};
use std::collections::BTreeMap;

/// Which policy a conductor asks.
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
    pub fn examined(&self) -> u64 {
        match self {
            Policy::Decisions(scheduler) => scheduler.examined(),
            Policy::Baseline(_) => 0,
        }
    }

    pub fn listed(&mut self, now: Nanos, scope: SnapshotKind, entries: &[Endpoint]) {
        match self {
            Policy::Decisions(scheduler) => scheduler.listed(now, scope, entries),
            Policy::Baseline(baseline) => baseline.listed(scope, entries),
        }
    }

    pub fn refused(&mut self) -> Nanos {
        match self {
            Policy::Decisions(scheduler) => scheduler.refused(),
            Policy::Baseline(baseline) => baseline.deployment.max_poll_interval / 2,
        }
    }

    pub fn reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        if let Policy::Decisions(scheduler) = self {
            scheduler.reported(now, server, report);
        }
    }

    pub fn schedule(&mut self, now: Nanos, seq: &mut Sequence) -> Decision {
        match self {
            Policy::Decisions(scheduler) => scheduler.schedule(now, seq),
            Policy::Baseline(baseline) => baseline.schedule(now, seq),
        }
    }

    pub fn settle(&mut self, now: Nanos, seq: &mut Sequence, n: usize, got: Outcome, last: bool) -> NextStep {
        match self {
            Policy::Decisions(scheduler) => scheduler.settle(now, seq, n, got, last),
            Policy::Baseline(_) => Baseline::settle(now, seq, n, got, last),
        }
    }

    pub fn wait(&self, now: Nanos, seq: &Sequence) -> Nanos {
        match self {
            Policy::Decisions(scheduler) => scheduler.wait(now, seq),
            Policy::Baseline(baseline) => baseline.wait(now, seq),
        }
    }

    pub fn held_until(&self, seq: &Sequence) -> Option<Nanos> {
        match self {
            Policy::Decisions(scheduler) => scheduler.held_until(seq),
            Policy::Baseline(baseline) => baseline.held_until(seq),
        }
    }

    pub fn send_by(&self, seq: &Sequence) -> Option<Nanos> {
        match self {
            Policy::Decisions(scheduler) => scheduler.send_by(seq),
            // It takes nothing that may not be repeated at any time.
            Policy::Baseline(_) => None,
        }
    }

    pub fn began(&mut self, now: Nanos, seq: &mut Sequence, n: usize) {
        match self {
            Policy::Decisions(scheduler) => scheduler.began(now, seq, n),
            Policy::Baseline(_) => {
                if let Some(attempt) = seq.attempts.get_mut(n) {
                    (attempt.status, seq.kv_cache, seq.cache_held_since) =
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

    fn listed(&mut self, scope: SnapshotKind, entries: &[Endpoint]) {
        if scope != SnapshotKind::Delta {
            self.servers.clear();
        }
        self.servers.extend(entries.iter().map(|entry| (entry.server, entry.clone())));
    }

    fn schedule(&mut self, now: Nanos, seq: &mut Sequence) -> Decision {
        if seq.completed || seq.attempts.iter().any(|a| !matches!(a.status, AttemptStatus::Finished(_))) {
            return Decision::Wait;
        }
        let effect = self.deployment.types[seq.traffic.0].idempotency;
        let spent = seq.attempts.len() >= self.deployment.max_attempts;
        let may_repeat = effect == Idempotency::Idempotent || !may_have_run(seq);
        if now + RECHECK >= seq.first_token_deadline || spent || !may_repeat {
            return Self::give_up(seq, may_repeat);
        }
        let kv_cache = seq.kv_cache.filter(|held| {
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
            None if seq.attempts.len() + 2 > self.deployment.max_attempts => None,
            None => self.any(|role| role != Role::Decode).map(|server| {
                let reads = self.role(&self.servers[&server]) == Role::Prefill;
                (server, if reads { Step::Prefill } else { Step::Combined })
            }),
        };
        let pinned = self.held_until(seq).is_some_and(|until| now + RECHECK >= until);
        match picked.filter(|_| !pinned) {
            Some((server, step)) => {
                let tokens = seq.prompt_tokens;
                seq.admitted = true;
                seq.attempts.push(Attempt {
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
            None => Self::give_up(seq, true),
        }
    }

    fn held_until(&self, seq: &Sequence) -> Option<Nanos> {
        seq.cache_held_since.map(|since| since.saturating_add(self.deployment.release_timeout / 2))
    }

    fn give_up(seq: &mut Sequence, harmless: bool) -> Decision {
        let release = !seq.attempts.is_empty();
        (seq.completed, seq.kv_cache, seq.cache_held_since) = (true, None, None);
        match harmless {
            true => Decision::Reject { retry_after: None, release },
            false => Decision::Abort { release },
        }
    }

    fn settle(now: Nanos, seq: &mut Sequence, n: usize, got: Outcome, last: bool) -> NextStep {
        let Some(attempt) =
            seq.attempts.get_mut(n).filter(|a| !matches!(a.status, AttemptStatus::Finished(_)))
        else {
            return NextStep::Wait;
        };
        attempt.status = AttemptStatus::Finished(got);
        let (server, attempt) = (attempt.server, attempt.clone());
        if last || seq.completed {
            seq.completed = true;
            return NextStep::Complete { release: got != Outcome::Completed };
        }
        match got {
            Outcome::PrefillDone { .. } => seq.kv_cache = Some(KvCacheLocation { server, since: now }),
            Outcome::KvCacheMissing => seq.kv_cache = None,
            _ => {}
        }
        seq.cache_held_since = held_since(now, seq, &attempt, got);
        NextStep::Schedule
    }

    fn wait(&self, now: Nanos, seq: &Sequence) -> Nanos {
        let left = seq.first_token_deadline.saturating_sub(now);
        match seq.attempts.last().filter(|a| a.status == AttemptStatus::InFlight) {
            None => RECHECK.min(left),
            Some(attempt) if attempt.step != Step::Prefill && !self.repeatable(seq) => left,
            Some(_) => left / 2,
        }
    }

    fn repeatable(&self, seq: &Sequence) -> bool {
        self.deployment.types[seq.traffic.0].idempotency == Idempotency::Idempotent
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

fn may_have_run(seq: &Sequence) -> bool {
    use Outcome::*;
    let proven = |a: &Attempt| {
        matches!(a.status, AttemptStatus::Finished(AtCapacity | KvCacheMissing | ConnectFailed | NeverSent))
    };
    seq.attempts.iter().any(|attempt| attempt.step != Step::Prefill && !proven(attempt))
}
