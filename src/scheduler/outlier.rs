//! Outlier detection: finds the servers that are ejected or ranked behind the others.

use super::Scheduler;
use super::parameters::{HIGH_QUANTILE_DEVIATIONS, MIN_DIVISOR};
use crate::fleet::Server;
use crate::interface::{Attempt, AttemptStatus, EndpointState, Nanos, Outcome, Sequence, Step};
use crate::statistics::{RequestClass, ServerClass};

/// A server is an outlier if its high response time is more than this multiple of the lower median of its role.
const SLOW_OUTLIER_FACTOR: f64 = 3.0;
/// Minimum decayed count of response times for a quantile of a server or a step.
const MIN_SAMPLE_WEIGHT: f64 = 1.5;
/// Added to the rank of a server that is not available. It is larger than any measure of work or load.
const UNAVAILABLE_PENALTY: f64 = 1e9;
/// Factor on that penalty for a server that is ejected.
const EJECTED_PENALTY_FACTOR: f64 = 10.0;
/// Maximum share of failures that the estimate of expected retries takes into account.
const MAX_FAILURE_SHARE: f64 = 0.9;

/// Failures of the attempts of one class of requests, over all servers.
pub(super) struct ClassFailures {
    /// The share of the class's recent attempts that failed.
    pub(super) share: f64,
    /// The part of `share` that exceeds the share of the class that fails least, as a fraction of `share`, from 0 to 1.
    pub(super) excess: f64,
}

impl Scheduler {
    /// Returns true if a server may be sent an attempt, and is healthy.
    pub(super) fn is_available(&self, now: Nanos, server: &Server) -> bool {
        self.is_eligible(now, server) && self.is_healthy(now, server)
    }

    /// Returns true if a server is listed as ready, and is neither ejected nor a slow outlier.
    pub(super) fn is_healthy(&self, now: Nanos, server: &Server) -> bool {
        server.endpoint.state == EndpointState::Ready
            && now >= server.ejected_until
            && !self.is_slow_outlier(now, server)
    }

    /// The penalty that is added to a server's rank. Servers that are not available rank last. Ejected servers, which
    /// have just rejected an attempt or whose connection has just failed, rank behind these. Without the penalty a
    /// crashed server would look least loaded, because its streams have ended.
    pub(super) fn unavailable_penalty(&self, now: Nanos, server: &Server, available: bool) -> f64 {
        if available {
            return 0.0;
        }
        let ejected = now < server.ejected_until;
        UNAVAILABLE_PENALTY * if ejected { EJECTED_PENALTY_FACTOR } else { 1.0 }
    }

    /// Returns true if a server is far slower than others of its role by a high quantile of its response times, or has
    /// left an attempt without any response for as long. Measurements decay, so that the server is tried again.
    fn is_slow_outlier(&self, now: Nanos, server: &Server) -> bool {
        let Some(medians) = self.typical_response_times[server.role as usize] else { return false };
        let max_time = SLOW_OUTLIER_FACTOR * medians.lower;
        self.high_response_time(now, server).is_some_and(|time| time > max_time)
            || server.silence(now) as f64 > max_time
    }

    /// The high quantile of a server's response times, in nanoseconds, if enough response times are known.
    pub(super) fn high_response_time(&self, now: Nanos, server: &Server) -> Option<f64> {
        let times = &server.response_times;
        times.quantile(now, HIGH_QUANTILE_DEVIATIONS).filter(|_| times.weight(now) >= MIN_SAMPLE_WEIGHT)
    }

    /// A quantile of the response times of a step over all servers, in nanoseconds, if enough response times are known.
    /// The quantile is given in standard deviations above the median.
    pub(super) fn fleet_response_time(&self, now: Nanos, step: Step, deviations: f64) -> Option<f64> {
        let times = &self.statistics.response_times[step as usize];
        times.quantile(now, deviations).filter(|_| times.weight(now) >= MIN_SAMPLE_WEIGHT)
    }

    /// The failures of attempts of a sequence's class, over all servers.
    pub(super) fn class_failures(&self, now: Nanos, sequence: &Sequence) -> ClassFailures {
        let failures = &self.statistics.failures;
        let class = failures.get(&RequestClass::of(sequence));
        let share = class.map_or(0.0, |class| class.share(now, 0.0));
        let lowest = failures.values().map(|class| class.share(now, share)).fold(share, f64::min);
        ClassFailures { share, excess: (share - lowest) / share.max(MIN_DIVISOR) }
    }

    /// The number of retries that an attempt at a server is expected to need. It is computed from the share of the
    /// class's recent attempts that failed at the server, as far as this class fails more than others. This avoids
    /// servers that fail, ignore or reject one kind of traffic. Each attempt of this sequence that timed out at the
    /// server adds one retry. This avoids a server that accepts everything and answers nothing.
    pub(super) fn expected_retries(
        &self,
        now: Nanos,
        server: &Server,
        sequence: &Sequence,
        failures: &ClassFailures,
    ) -> f64 {
        let timed_out_at_server = |attempt: &&Attempt| {
            attempt.server == server.endpoint.server
                && attempt.status == AttemptStatus::Finished(Outcome::TimedOut)
        };
        let timeouts = sequence.attempts.iter().filter(timed_out_at_server).count() as f64;
        if failures.excess <= 0.0 {
            return timeouts;
        }
        let at_server = ServerClass { generation: server.generation, class: RequestClass::of(sequence) };
        let recent = self.statistics.server_failures.get(&at_server);
        let share = recent.map_or(failures.share, |recent| recent.share(now, failures.share));
        timeouts + failures.excess * share / (1.0 - share.min(MAX_FAILURE_SHARE))
    }
}
