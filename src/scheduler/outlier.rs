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

impl Brain {
    /// Allowed, and nothing speaks against it.
    pub(super) fn ready(&self, now: Nanos, server: &Server) -> bool {
        self.allowed(now, server) && self.sound(now, server)
    }

    pub(super) fn sound(&self, now: Nanos, server: &Server) -> bool {
        server.listing.condition == Condition::Ready && now >= server.paused_until && !self.slow(now, server)
    }

    /// What is not ready comes last, and behind it what has just refused or broken a connection. A full or
    /// slow server still answers: guards against turning thrice to one that is gone, which looks least loaded
    /// as its streams ended.
    pub(super) fn last(&self, now: Nanos, server: &Server, ready: bool) -> f64 {
        match ready {
            true => 0.0,
            false if now >= server.paused_until => LAST,
            false => 10.0 * LAST,
        }
    }

    /// Guards against a server that runs far slower than its fellows or has gone silent: by a high quantile
    /// of its answer times, or by how long it has been quiet. Old verdicts fade, so it is tried again.
    pub(super) fn slow(&self, now: Nanos, server: &Server) -> bool {
        let Some((usual, _)) = self.usual[server.role as usize] else { return false };
        let own = server.times.quantile(now, HIGH).filter(|_| server.times.weight(now) >= EVIDENCE);
        own.is_some_and(|own| own > SLOW * usual) || server.silence(now) as f64 > SLOW * usual
    }

    /// The high quantile of answer times that a role's servers have in the middle: the lower and higher of
    /// two.
    pub(super) fn middle_times(&self, now: Nanos, role: Role) -> Option<(f64, f64)> {
        let fellows = self.fleet.values().filter(|s| s.role == role);
        let times = fellows.filter(|s| s.times.weight(now) >= EVIDENCE);
        let mut high: Vec<f64> = times.filter_map(|s| s.times.quantile(now, HIGH)).collect();
        high.sort_by(f64::total_cmp);
        Some((*high.get(high.len().saturating_sub(1) / 2)?, *high.get(high.len() / 2)?))
    }

    pub(super) fn known_time(&self, now: Nanos, step: Step, deviations: f64) -> Option<f64> {
        let times = &self.times[step as usize];
        times.quantile(now, deviations).filter(|_| times.weight(now) >= EVIDENCE)
    }

    /// How many further attempts one here is likely to need, by the share of attempts of the same traffic
    /// type and tenant that failed here of late, as far as that kind fails more than others. Guards against
    /// servers that fail, leave unanswered or turn away one kind of traffic and serve the rest, which go on
    /// to them. Each attempt of this sequence that has failed here counts for one more, whatever else is
    /// known: against turning again and again to a server that takes everything and answers nothing, while no
    /// time is known yet.
    pub(super) fn doubt(&self, now: Nanos, server: &Server, seq: &Sequence) -> f64 {
        let stream = (seq.traffic, seq.tenant);
        let usual = self.failed.get(&stream).map_or(0.0, |all| all.read(now, 0.0));
        let share =
            self.failed_at.get(&(server.generation, stream)).map_or(usual, |here| here.read(now, usual));
        let least = self.failed.values().map(|all| all.read(now, usual)).fold(usual, f64::min);
        let lost =
            |a: &&Attempt| a.server == server.listing.server && a.status == Status::Closed(Outcome::TimedOut);
        let again = seq.attempts.iter().filter(lost).count() as f64;
        again + (usual - least) / usual.max(1e-9) * share / (1.0 - share.min(0.9))
    }

    /// Whether a step shows that it goes well before all of it is done: an answer that comes whole does not.
    pub(super) fn shows(&self, seq: &Sequence, step: Step) -> bool {
        step == Step::Read || self.deployment.types[seq.traffic.0].delivery == Delivery::Streamed
    }

    pub(super) fn learn(
        &mut self,
        now: Nanos,
        seq: &Sequence,
        attempt: &Attempt,
        outcome: Outcome,
        began: bool,
    ) {
        let shows = self.shows(seq, attempt.step);
        let Some(server) = self.fleet.get_mut(attempt.server) else { return };
        let rtt = now.saturating_sub(attempt.sent);
        server.out.retain(|out| out.seq != seq.id);
        use Outcome::*;
        let timed = matches!(outcome, ReadDone { .. } | TimedOut) && !began && shows;
        let time = if timed { rtt as f64 } else { 0.0 };
        if time > 0.0 {
            self.times[attempt.step as usize].add(now, time);
        }
        if !matches!(outcome, NoState | Cancelled | NeverSent) {
            let bad = !began && !matches!(outcome, ReadDone { .. } | Generated);
            let new = || FadingShare::new(TRUST);
            let stream = (seq.traffic, seq.tenant);
            self.failed_at.entry_or_insert_with((server.generation, stream), new).add(now, bad);
            self.failed.entry_or_insert_with(stream, new).add(now, bad);
        }
        match outcome {
            ReadDone { kept } => {
                server.heard = now;
                server.times.add(now, time);
                self.read_time.add(now, time);
                self.read_tokens.add(now, attempt.tokens);
                if seq.prefix_tokens > 0.0 {
                    let missed = kept < seq.prefix_tokens / 2.0;
                    self.missed.add(now, missed);
                    self.new_homes = (self.new_homes * if missed { MISSED } else { FOUND }).clamp(1.0, 1e3);
                }
                if kept + 1.0 < attempt.credit / 2.0 {
                    server.forgotten = server.read_in_all;
                }
            }
            // A server that is full says so at once; one that takes its time means this kind of traffic.
            Full if rtt < REPORT_LAG => (server.heard, server.paused_until) = (now, now + REPORT_LAG),
            Generated | Full | NoState | Error => server.heard = now,
            // One connection that breaks may be all that broke; nobody there shows at the next one.
            Reset => server.paused_until = server.paused_until.max(now + REPORT_LAG),
            ConnectFailed => server.paused_until = now + SHUN,
            TimedOut if shows && attempt.step != Step::Move => server.times.add(now, rtt as f64),
            TimedOut | Cancelled | NeverSent => {}
        }
    }
}
