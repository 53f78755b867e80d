//! Attempt limits, rules 1, 2 and 5: how many, until when, in which group, and the final answer.

use super::*;

/// An attempt may take this many times what its fellows take of late, a sixth of the SLO at the least.
pub(super) const PATIENCE: f64 = 4.5;
/// Where no reader has answered often enough, reads may take this many times what all take together.
pub(super) const QUEUE: f64 = 2.0;
/// Part of the latency SLO after which a sequence that nothing can take is given up.
pub(super) const HOLD: f64 = 0.5;
/// Pause before asking again for a sequence that nothing could take.
pub(super) const RECHECK: Nanos = 20_000_000;

impl Scheduler {
    /// How long the attempt that is out may take; without one, how long until `schedule` is worth asking. Where
    /// nothing is known it is half the time left: a gateway that starts into a jam must not add to it.
    pub fn next_timeout(&self, now: Nanos, sequence: &Sequence) -> Nanos {
        let left = sequence.first_token_deadline.saturating_sub(now);
        let Some(attempt) = sequence.attempts.last().filter(|a| a.status == AttemptStatus::InFlight) else {
            return self.recheck().min(left);
        };
        let once = self.deployment.types[sequence.traffic.0].idempotency == Idempotency::AtMostOnce;
        if (attempt.step != Step::Prefill && once)
            || !self.deployment.shows_progress(sequence.traffic, attempt.step)
        {
            // A time-out proves nothing: only an answer lets a once-only sequence end well. And the times of first
            // tokens say nothing of an answer that comes whole.
            return left;
        }
        let work = self.read_wait(now, attempt.load_tokens);
        let fellows = self.usual[self.fleet[attempt.server].role as usize].map(|(_, high)| high);
        let all = self.known_time(now, attempt.step, HIGH);
        let usual = match attempt.step {
            // A queue is no reason to read elsewhere anew, nor a slow link to move elsewhere.
            Step::Prefill => fellows.or(all.map(|all| QUEUE * all)).map(|time| time.max(work)),
            Step::MigratedDecode => all.map(|all| all.max(fellows.unwrap_or(0.0))),
            _ => fellows.or(all),
        };
        // Time-outs make the usual time longer: where few answers are known, one server that hangs must not get all
        // the time there is. An SLO's worth is left for the next attempt.
        let last = attempt.step == Step::Prefill || sequence.attempts.len() >= self.most_attempts(sequence);
        let most = if last { left } else { left.saturating_sub(self.deployment.slo(sequence)).max(left / 2) };
        usual
            .map_or(left / 2, |usual| {
                (PATIENCE * usual.max(self.deployment.slo(sequence) as f64 / 6.0)) as Nanos
            })
            .min(most)
    }

    /// A read and a write are everyone's; further attempts go by utility.
    pub(super) fn most_attempts(&self, sequence: &Sequence) -> usize {
        let further = self.deployment.max_attempts.saturating_sub(2) as f64;
        self.deployment
            .max_attempts
            .min(2 + (further * self.deployment.relative_priority(sequence.traffic)).ceil() as usize)
    }

    /// Nothing further: its attempts are used up, or none may begin any more.
    pub(super) fn spent(&self, now: Nanos, sequence: &Sequence) -> bool {
        sequence.attempts.len() >= self.most_attempts(sequence)
            || self.send_deadline(sequence).is_some_and(|until| now >= until)
    }

    /// Until when another attempt may begin, once one may have run: the group forgets what it has seen.
    pub fn send_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        let first = first_possible_run(sequence)?;
        match self.deployment.types[sequence.traffic.0].idempotency {
            Idempotency::Idempotent => None,
            Idempotency::Keyed { window, .. } => Some(first.sent_at.saturating_add(window)),
            Idempotency::AtMostOnce => Some(first.sent_at),
        }
    }

    /// Whether the attempts left can end in an answer, by the roles there are.
    pub(super) fn may_go_on(&self, sequence: &Sequence, state: bool) -> bool {
        let whole = self.deployment.any_kind_serves_combined();
        sequence.attempts.len() + if state || whole { 1 } else { 2 } <= self.most_attempts(sequence)
    }

    /// Tokened: once an attempt may have run, only within the group that knows its repeats: that of its server. Where
    /// that one is not known any more, nobody is in it.
    pub(super) fn scope(&self, sequence: &Sequence) -> Option<Group> {
        let Idempotency::Keyed { scope, .. } = self.deployment.types[sequence.traffic.0].idempotency else {
            return None;
        };
        let first = first_possible_run(sequence).filter(|_| scope != KeyScope::Fleet)?;
        Some(match (scope, self.fleet.get(first.server)) {
            (_, None) => Group::Nobody,
            (KeyScope::Cell, Some(known)) => Group::Cell(known.endpoint.cell),
            (_, Some(known)) => Group::Zone(known.endpoint.zone),
        })
    }

    /// A sequence that nothing can take is held for part of its SLO, or of its client's time where that is shorter,
    /// its state within the time to release, and always so that the next look comes in time.
    pub(super) fn may_hold(&self, now: Nanos, sequence: &Sequence) -> bool {
        let whole = self
            .deployment
            .slo(sequence)
            .min(sequence.first_token_deadline.saturating_sub(sequence.arrived_at));
        let until = sequence.arrived_at.saturating_add((whole as f64 * HOLD) as Nanos);
        let next = now + self.recheck();
        now < until
            && next + self.deployment.timer_resolution < sequence.first_token_deadline
            && !self.pinned(next, sequence)
    }

    /// Pause before another look; no timer comes sooner than the clock moves.
    pub(super) fn recheck(&self) -> Nanos {
        RECHECK.max(self.deployment.timer_resolution)
    }

    /// Until when what is held may wait for a server: half the time to release, the other is for the release.
    pub fn cache_release_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        sequence.cache_held_since.map(|since| since.saturating_add(self.deployment.release_timeout / 2))
    }

    pub(super) fn pinned(&self, now: Nanos, sequence: &Sequence) -> bool {
        let margin = self.recheck().min(self.deployment.release_timeout / 4);
        self.cache_release_deadline(sequence).is_some_and(|until| now + margin >= until)
    }

    /// The final answer: a rejection where a retry is provably harmless, an abort elsewhere.
    pub(super) fn give_up(&self, now: Nanos, sequence: &mut Sequence) -> Decision {
        let release = !sequence.attempts.is_empty();
        let harmless_until =
            match (first_possible_run(sequence), self.deployment.types[sequence.traffic.0].idempotency) {
                (None, _) | (_, Idempotency::Idempotent) => Nanos::MAX,
                (Some(first), Idempotency::Keyed { scope: KeyScope::Fleet, window }) => {
                    first.sent_at.saturating_add(window)
                }
                _ => now,
            };
        (sequence.completed, sequence.kv_cache, sequence.cache_held_since) = (true, None, None);
        if now >= harmless_until {
            return Decision::Abort { release };
        }
        // No client is sent away past the time in which its coming again is harmless.
        let most = (self.deployment.slo(sequence) / 2).min((harmless_until - now) / 2);
        let retry_after = self.deployment.max_retry_after.map(|longest| longest.min(most));
        Decision::Reject { retry_after, release }
    }
}
