//! Checks whether the settings allow the five rules to be kept, before anything starts. Each finding names the rule
//! that would be broken.

use crate::timeouts;
use petrelshore::interface::{Deployment, Idempotency, KeyScope, Nanos, Role, TrafficType, TrafficTypeId};
use std::error::Error;
use std::fmt;

/// The minimum release timeout, in nanoseconds. The release of a KV cache takes up to two timeouts of the request
/// manager and an answer of the prefill server.
const MIN_RELEASE_TIMEOUT: Nanos = 100_000_000;
/// The minimum abandon time, in nanoseconds. A client must wait for a prefill and a decode, for a connection to each of
/// the two servers, and for the answer to reach the client.
const MIN_ABANDON_TIME: Nanos = 100_000_000;

/// The numbers of the rules that settings could break.
const ONE_ANSWER_RULE: u8 = 1;
const REPEAT_RULE: u8 = 2;
const SLOW_START_RULE: u8 = 4;
const RELEASE_RULE: u8 = 5;

/// A problem of the settings, with the rule that the problem would break.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Number of the rule that would be broken; `None` if the settings break no rule but make the service useless.
    pub rule: Option<u8>,
    /// The problem.
    pub problem: SettingProblem,
}

/// A problem of one setting.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingProblem {
    /// Clients do not wait long enough for any answer.
    AbandonTooShort {
        /// The traffic type of these clients.
        traffic: TrafficTypeId,
        /// The shortest time that is allowed, in nanoseconds.
        min: Nanos,
    },
    /// Clients disconnect before an answer can exceed its latency objective.
    AbandonBeforeSlo {
        /// The traffic type of these clients.
        traffic: TrafficTypeId,
    },
    /// Servers forget an idempotency key while an attempt with it may still be sent.
    IdempotencyWindowTooShort {
        /// The traffic type whose window is too short.
        traffic: TrafficTypeId,
        /// The shortest window that is allowed, in nanoseconds.
        min: Nanos,
    },
    /// No kind of server prefills.
    NoPrefillServer,
    /// No kind of server decodes.
    NoDecodeServer,
    /// A sequence needs more attempts than the settings allow.
    TooFewAttempts {
        /// The smallest number of attempts that is allowed.
        min: usize,
    },
    /// A KV cache can't be released in time.
    ReleaseTimeoutTooShort {
        /// The shortest time that is allowed, in nanoseconds.
        min: Nanos,
    },
    /// A server in slow start may be sent nothing, or its limit is below its present capacity.
    SlowStartWithoutCapacity {
        /// The multiple of its present capacity at which the server is overloaded.
        overload_factor: f64,
        /// The share of its full capacity that the server has when it starts.
        initial_share: f64,
    },
}

impl fmt::Display for SettingProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |nanos: &Nanos| nanos / 1_000_000;
        match self {
            SettingProblem::AbandonTooShort { min, .. } => {
                write!(
                    f,
                    "must be at least {} ms, for a prefill, a decode and the way back to the client",
                    ms(min)
                )
            }
            SettingProblem::AbandonBeforeSlo { .. } => {
                f.write_str("must be longer than latency_slo, or clients leave before a late answer arrives")
            }
            SettingProblem::IdempotencyWindowTooShort { min, .. } => write!(
                f,
                "must be at least {} ms: an attempt may be sent until abandon_time, and the servers of the scope must \
                 still know the key of the first attempt then",
                ms(min)
            ),
            SettingProblem::NoPrefillServer => f.write_str("must include a kind that prefills prompts"),
            SettingProblem::NoDecodeServer => f.write_str("must include a kind that decodes answers"),
            SettingProblem::TooFewAttempts { min } => {
                let needed = if *min > 1 {
                    "one for the prefill, one for the decode"
                } else {
                    "otherwise nothing can be sent"
                };
                write!(f, "must be at least {min}: {needed}")
            }
            SettingProblem::ReleaseTimeoutTooShort { min } => {
                write!(f, "must be at least {} ms for a KV cache to be released in time", ms(min))
            }
            SettingProblem::SlowStartWithoutCapacity { overload_factor, initial_share } => write!(
                f,
                "a server that starts with {initial_share} of its capacity and is overloaded at {overload_factor} \
                 times that can be sent nothing: the share must be above 0, and the factor at least 1"
            ),
        }
    }
}

impl Error for SettingProblem {}

/// Returns every problem of a deployment. `abandon_times` holds the time that clients of each traffic type wait, in the
/// order of [`Deployment::types`] and in nanoseconds.
pub fn check(deployment: &Deployment, abandon_times: &[Nanos]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, (traffic, abandon_time)) in deployment.types.iter().zip(abandon_times).enumerate() {
        let id = TrafficTypeId(index);
        findings.extend(check_abandon_time(id, traffic, *abandon_time));
        findings.extend(check_idempotency_window(id, traffic, *abandon_time));
    }
    findings.extend(check_roles(deployment));
    findings.extend(check_attempts(deployment));
    findings.extend(check_release_timeout(deployment));
    findings.extend(check_slow_start(deployment));
    findings
}

fn check_abandon_time(id: TrafficTypeId, traffic: &TrafficType, abandon_time: Nanos) -> Option<Finding> {
    if abandon_time < MIN_ABANDON_TIME {
        let problem = SettingProblem::AbandonTooShort { traffic: id, min: MIN_ABANDON_TIME };
        return Some(Finding { rule: Some(ONE_ANSWER_RULE), problem });
    }
    let problem = SettingProblem::AbandonBeforeSlo { traffic: id };
    (abandon_time <= traffic.latency_slo).then_some(Finding { rule: None, problem })
}

fn check_idempotency_window(
    id: TrafficTypeId,
    traffic: &TrafficType,
    abandon_time: Nanos,
) -> Option<Finding> {
    let Idempotency::Keyed { window, scope } = traffic.idempotency else { return None };
    let min = match scope {
        // Clients repeat a request that the gateway has given up, and the repeated request may reach any server.
        KeyScope::Fleet => abandon_time.saturating_mul(2),
        KeyScope::Zone | KeyScope::Cell => timeouts::first_token_deadline(0, abandon_time),
    };
    let problem = SettingProblem::IdempotencyWindowTooShort { traffic: id, min };
    (window < min).then_some(Finding { rule: Some(REPEAT_RULE), problem })
}

fn has_kind(deployment: &Deployment, roles: &[Role]) -> bool {
    deployment.kinds.iter().any(|kind| roles.contains(&kind.role))
}

fn check_roles(deployment: &Deployment) -> Vec<Finding> {
    let mut findings = Vec::new();
    if !has_kind(deployment, &[Role::Prefill, Role::Combined]) && !deployment.decode_servers_prefill {
        findings.push(Finding { rule: None, problem: SettingProblem::NoPrefillServer });
    }
    if !has_kind(deployment, &[Role::Decode, Role::Combined]) {
        findings.push(Finding { rule: None, problem: SettingProblem::NoDecodeServer });
    }
    findings
}

fn check_attempts(deployment: &Deployment) -> Option<Finding> {
    let min = if deployment.any_kind_serves_combined() { 1 } else { 2 };
    let problem = SettingProblem::TooFewAttempts { min };
    (deployment.max_attempts < min).then_some(Finding { rule: None, problem })
}

fn check_release_timeout(deployment: &Deployment) -> Option<Finding> {
    let problem = SettingProblem::ReleaseTimeoutTooShort { min: MIN_RELEASE_TIMEOUT };
    let too_short = deployment.release_timeout < MIN_RELEASE_TIMEOUT;
    too_short.then_some(Finding { rule: Some(RELEASE_RULE), problem })
}

fn check_slow_start(deployment: &Deployment) -> Option<Finding> {
    let (overload_factor, initial_share) =
        (deployment.slow_start_overload_factor, deployment.slow_start_initial_share);
    let problem = SettingProblem::SlowStartWithoutCapacity { overload_factor, initial_share };
    let without_capacity = overload_factor * initial_share <= 0.0 || overload_factor < 1.0;
    without_capacity.then_some(Finding { rule: Some(SLOW_START_RULE), problem })
}
