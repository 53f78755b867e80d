//! Outlier detection: what outcomes tell of a server, and which servers are passed over.

use super::*;

/// A high quantile, about the 95th of a hundred, in deviations of the logarithm.
pub(super) const HIGH: f64 = 1.65;
/// A server is slow when its high quantile is this many times its fellows'.
pub(super) const SLOW: f64 = 3.0;
/// Answers of late that a verdict on a server needs.
pub(super) const EVIDENCE: f64 = 1.5;
/// Half-life of what is known of a server's failures: a few of a gateway's own sequences.
pub(super) const TRUST: Nanos = 10_000_000_000;
/// Pause after a failure that speaks against the server: a few attempts' time, short against a trouble.
pub(super) const SHUN: Nanos = 2_000_000_000;
/// Reports show a server as it was about this long before; a server that was full is asked again after it.
pub(super) const REPORT_LAG: Nanos = 300_000_000;
/// More than any measure of work or load: what is not ready comes last.
pub(super) const LAST: f64 = 1e9;

impl Scheduler {
    /// Allowed, and nothing speaks against it.
    pub(super) fn ready(&self, now: Nanos, server: &Server) -> bool {
        self.allowed(now, server) && self.sound(now, server)
    }

    pub(super) fn sound(&self, now: Nanos, server: &Server) -> bool {
        server.endpoint.state == EndpointState::Ready && now >= server.paused_until && !self.slow(now, server)
    }

    /// What is not ready comes last, and behind it what has just refused or broken a connection: one that is gone
    /// looks least loaded, as its streams ended.
    pub(super) fn last(&self, now: Nanos, server: &Server, ready: bool) -> f64 {
        let refused = now < server.paused_until;
        if ready { 0.0 } else { LAST * if refused { 10.0 } else { 1.0 } }
    }

    /// Far slower than its fellows by a high quantile of its times, or silent. Verdicts fade, so it is tried again.
    pub(super) fn slow(&self, now: Nanos, server: &Server) -> bool {
        let Some((usual, _)) = self.usual[server.role as usize] else { return false };
        self.high_time(now, server).is_some_and(|own| own > SLOW * usual)
            || server.silence(now) as f64 > SLOW * usual
    }

    /// The high quantile of a server's answer times, where enough of them are known.
    pub(super) fn high_time(&self, now: Nanos, server: &Server) -> Option<f64> {
        server.times.quantile(now, HIGH).filter(|_| server.times.weight(now) >= EVIDENCE)
    }

    pub(super) fn known_time(&self, now: Nanos, step: Step, deviations: f64) -> Option<f64> {
        let times = &self.stats.times[step as usize];
        times.quantile(now, deviations).filter(|_| times.weight(now) >= EVIDENCE)
    }

    /// The share of attempts of this sequence's kind (traffic type and tenant) that failed of late, and how far that
    /// is above the kind that fails least.
    pub(super) fn failing(&self, now: Nanos, sequence: &Sequence) -> (f64, f64) {
        let kind = self.stats.failed.get(&(sequence.traffic, sequence.tenant));
        let usual = kind.map_or(0.0, |all| all.read(now, 0.0));
        let least = self.stats.failed.values().map(|all| all.read(now, usual)).fold(usual, f64::min);
        (usual, (usual - least) / usual.max(1e-9))
    }

    /// How many further attempts one here is likely to need: by how many of its kind failed here of late, as far as
    /// that kind fails more than others. Guards against servers that fail, ignore or turn away one kind of traffic.
    /// Each attempt of this sequence that timed out here counts for one more: against turning again and again to a
    /// server that takes everything and answers nothing.
    pub(super) fn doubt(&self, now: Nanos, server: &Server, sequence: &Sequence, failing: (f64, f64)) -> f64 {
        let lost = |a: &&Attempt| {
            a.server == server.endpoint.server && a.status == AttemptStatus::Finished(Outcome::TimedOut)
        };
        let again = sequence.attempts.iter().filter(lost).count() as f64;
        let (usual, more) = failing;
        if more <= 0.0 {
            return again;
        }
        let here = self.stats.failed_at.get(&(server.generation, (sequence.traffic, sequence.tenant)));
        let share = here.map_or(usual, |here| here.read(now, usual));
        again + more * share / (1.0 - share.min(0.9))
    }

    pub(super) fn learn(
        &mut self,
        now: Nanos,
        sequence: &Sequence,
        attempt: &Attempt,
        got: Outcome,
        began: bool,
    ) {
        let shows = self.deployment.shows_progress(sequence.traffic, attempt.step);
        let Some(server) = self.fleet.get_mut(attempt.server) else { return };
        let rtt = now.saturating_sub(attempt.sent_at);
        server.out.retain(|out| out.sequence != sequence.id);
        let timed = matches!(got, Outcome::PrefillDone { .. } | Outcome::TimedOut) && !began && shows;
        let time = if timed { rtt as f64 } else { 0.0 };
        if time > 0.0 {
            self.stats.times[attempt.step as usize].add(now, time);
        }
        if !matches!(got, Outcome::KvCacheMissing | Outcome::Cancelled | Outcome::NeverSent) {
            let bad = !began && !matches!(got, Outcome::PrefillDone { .. } | Outcome::Completed);
            let new = || FadingShare::new(TRUST);
            let stream = (sequence.traffic, sequence.tenant);
            self.stats.failed_at.entry_or_insert_with((server.generation, stream), new).add(now, bad);
            self.stats.failed.entry_or_insert_with(stream, new).add(now, bad);
        }
        match got {
            Outcome::PrefillDone { cached_tokens: kept } => {
                server.heard = now;
                server.times.add(now, time);
                self.stats.read_time.add(now, time);
                self.stats.read_tokens.add(now, attempt.load_tokens);
                if sequence.prefix_tokens > 0.0 {
                    let missed = kept < sequence.prefix_tokens / 2.0;
                    self.stats.missed.add(now, missed);
                    self.new_homes = (self.new_homes * if missed { MISSED } else { FOUND }).clamp(1.0, 1e3);
                }
                if kept + 1.0 < attempt.expected_cached_tokens / 2.0 {
                    server.forgotten = server.read_in_all;
                }
            }
            // A server that is full says so at once; one that takes its time means this kind of traffic.
            Outcome::AtCapacity if rtt < REPORT_LAG => {
                (server.heard, server.paused_until) = (now, now + REPORT_LAG)
            }
            Outcome::Completed | Outcome::AtCapacity | Outcome::KvCacheMissing | Outcome::Error => {
                server.heard = now
            }
            // One connection that breaks may be all that broke; nobody there shows at the next one.
            Outcome::Reset => server.paused_until = server.paused_until.max(now + REPORT_LAG),
            Outcome::ConnectFailed => server.paused_until = now + SHUN,
            Outcome::TimedOut if shows && attempt.step != Step::MigratedDecode => {
                server.times.add(now, rtt as f64)
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }
}
