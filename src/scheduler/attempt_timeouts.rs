//! Timeouts of attempts, computed from recent response times.

use super::Scheduler;
use super::parameters::HIGH_QUANTILE_DEVIATIONS;
use crate::interface::{Attempt, AttemptStatus, Idempotency, Nanos, Sequence, Step};

/// Timeout of an attempt, as a multiple of a high quantile of recent response times.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.5;
/// A timeout is computed from a response time of at least the latency objective divided by this number.
const MIN_RESPONSE_TIME_SLO_DIVISOR: f64 = 6.0;
/// High response time assumed for one prefill server, as a multiple of that of all prefill servers together, while too
/// few response times of single servers are known.
const FLEET_PREFILL_TIME_FACTOR: f64 = 2.0;

impl Scheduler {
    /// The timeout of the attempt in flight, or the pause before the next call of [`Scheduler::schedule`] if no attempt
    /// is in flight, in nanoseconds. While no response times are known, the timeout is half the time left: a gateway
    /// that starts during an overload must not add to the load.
    pub fn next_timeout(&self, now: Nanos, sequence: &Sequence) -> Nanos {
        let time_left = sequence.first_token_deadline.saturating_sub(now);
        let in_flight = sequence.attempts.last().filter(|a| a.status == AttemptStatus::InFlight);
        let Some(attempt) = in_flight else {
            return self.reschedule_interval().min(time_left);
        };
        if !self.has_response_timeout(sequence, attempt) {
            return time_left;
        }
        let min_response_time = self.deployment.slo(sequence) as f64 / MIN_RESPONSE_TIME_SLO_DIVISOR;
        let timeout = self
            .usual_response_time(now, attempt)
            .map_or(time_left / 2, |usual| (ATTEMPT_TIMEOUT_FACTOR * usual.max(min_response_time)) as Nanos);
        timeout.min(self.max_timeout(sequence, attempt, time_left))
    }

    /// Returns true if an attempt may time out before its client's deadline. A timeout does not prove that the attempt
    /// has not run. A sequence that may run only once therefore completes only with the answer of the attempt in
    /// flight. A buffered answer has no timeout either, because the times of first tokens do not apply to it.
    fn has_response_timeout(&self, sequence: &Sequence, attempt: &Attempt) -> bool {
        let idempotency = self.deployment.types[sequence.traffic.0].idempotency;
        let runs_once = attempt.step != Step::Prefill && idempotency == Idempotency::AtMostOnce;
        !runs_once && self.deployment.shows_progress(sequence.traffic, attempt.step)
    }

    /// The response time that an attempt is expected to stay below, in nanoseconds.
    fn usual_response_time(&self, now: Nanos, attempt: &Attempt) -> Option<f64> {
        let queue_time = self.prefill_wait(now, attempt.load_tokens);
        let role_time =
            self.typical_response_times[self.fleet[attempt.server].role as usize].map(|times| times.upper);
        let step_time = self.fleet_response_time(now, attempt.step, HIGH_QUANTILE_DEVIATIONS);
        match attempt.step {
            // A queue is no reason to repeat a prefill at another server, and a slow link is no reason to migrate to
            // another server.
            Step::Prefill => role_time
                .or(step_time.map(|time| FLEET_PREFILL_TIME_FACTOR * time))
                .map(|time| time.max(queue_time)),
            Step::MigratedDecode => step_time.map(|time| time.max(role_time.unwrap_or(0.0))),
            Step::Decode | Step::Combined => role_time.or(step_time),
        }
    }

    /// The upper limit of a timeout, in nanoseconds. Attempts that time out raise the usual response time. Without the
    /// limit, one server that hangs could get all the time left while few response times are known. The limit leaves
    /// the next attempt the time of the latency objective, or half the time left if that is shorter.
    fn max_timeout(&self, sequence: &Sequence, attempt: &Attempt, time_left: Nanos) -> Nanos {
        if attempt.step == Step::Prefill || sequence.attempts.len() >= self.max_attempts(sequence) {
            return time_left;
        }
        time_left.saturating_sub(self.deployment.slo(sequence)).max(time_left / 2)
    }
}
