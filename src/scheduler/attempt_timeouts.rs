//! Timeouts of attempts, by the response times of late.

use super::Scheduler;
use super::parameters::HIGH_QUANTILE_DEVIATIONS;
use crate::interface::{Attempt, AttemptStatus, Idempotency, Nanos, Sequence, Step};

/// Timeout of an attempt, as a multiple of the high response time of late.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.5;
/// Least response time that a timeout is a multiple of, as a divisor of the latency objective.
const MIN_RESPONSE_TIME_SLO_DIVISOR: f64 = 6.0;
/// High response time of one prefill server, as a multiple of that of all together, while too little is known of them
/// one by one.
const FLEET_PREFILL_TIME_FACTOR: f64 = 2.0;

impl Scheduler {
    /// The timeout of the attempt in flight; without one, how long until `schedule` is worth calling. Where no response
    /// times are known it is half the time left: a gateway that starts during an overload must not add to it.
    pub fn next_timeout(&self, now: Nanos, sequence: &Sequence) -> Nanos {
        let left = sequence.first_token_deadline.saturating_sub(now);
        let in_flight = sequence.attempts.last().filter(|a| a.status == AttemptStatus::InFlight);
        let Some(attempt) = in_flight else {
            return self.reschedule_interval().min(left);
        };
        if !self.has_response_timeout(sequence, attempt) {
            return left;
        }
        let min_response_time = self.deployment.slo(sequence) as f64 / MIN_RESPONSE_TIME_SLO_DIVISOR;
        let timeout = self
            .usual_response_time(now, attempt)
            .map_or(left / 2, |usual| (ATTEMPT_TIMEOUT_FACTOR * usual.max(min_response_time)) as Nanos);
        timeout.min(self.max_timeout(sequence, attempt, left))
    }

    /// Whether an attempt may time out before its client's deadline. A timeout proves nothing, so only an answer lets a
    /// sequence that may run once complete. And the times of first tokens say nothing of a buffered answer.
    fn has_response_timeout(&self, sequence: &Sequence, attempt: &Attempt) -> bool {
        let idempotency = self.deployment.types[sequence.traffic.0].idempotency;
        let runs_once = attempt.step != Step::Prefill && idempotency == Idempotency::AtMostOnce;
        !runs_once && self.deployment.shows_progress(sequence.traffic, attempt.step)
    }

    /// The high response time that an attempt may be expected to stay below, in nanoseconds.
    fn usual_response_time(&self, now: Nanos, attempt: &Attempt) -> Option<f64> {
        let queue_time = self.prefill_wait(now, attempt.load_tokens);
        let of_role = self.typical_times[self.fleet[attempt.server].role as usize].map(|times| times.upper);
        let of_step = self.fleet_response_time(now, attempt.step, HIGH_QUANTILE_DEVIATIONS);
        match attempt.step {
            // A queue is no reason to prefill again elsewhere, nor a slow link to migrate elsewhere.
            Step::Prefill => of_role
                .or(of_step.map(|time| FLEET_PREFILL_TIME_FACTOR * time))
                .map(|time| time.max(queue_time)),
            Step::MigratedDecode => of_step.map(|time| time.max(of_role.unwrap_or(0.0))),
            Step::Decode | Step::Combined => of_role.or(of_step),
        }
    }

    /// Timeouts raise the usual response time: where few answers are known, one server that hangs must not get all the
    /// time there is. A latency objective's worth is left for the next attempt.
    fn max_timeout(&self, sequence: &Sequence, attempt: &Attempt, left: Nanos) -> Nanos {
        if attempt.step == Step::Prefill || sequence.attempts.len() >= self.max_attempts(sequence) {
            return left;
        }
        left.saturating_sub(self.deployment.slo(sequence)).max(left / 2)
    }
}
