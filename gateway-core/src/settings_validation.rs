//! Whether settings allow the rules to be kept at all. Checked before anything starts; each finding names the rule that
//! would be broken.

use crate::timeouts;
use petrelshore::interface::{Deployment, Idempotency, KeyScope, Nanos, Role, TrafficType, TrafficTypeId};
use std::error::Error;
use std::fmt;

/// To be released in time, a KV cache needs two timeouts of the request manager and an answer of its prefill server. In
/// nanoseconds.
const MIN_RELEASE_TIMEOUT: Nanos = 100_000_000;
/// A client must wait for a prefill and a decode, with a connection each, and the way back. In nanoseconds.
const MIN_ABANDON_TIME: Nanos = 100_000_000;

/// The rules that settings could break, by their numbers.
const ONE_ANSWER_RULE: u8 = 1;
const REPEAT_RULE: u8 = 2;
const SLOW_START_RULE: u8 = 4;
const RELEASE_RULE: u8 = 5;

/// Something that is wrong with the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Which of the five rules would be broken; none where the service would be of no use.
    pub rule: Option<u8>,
    /// What is wrong.
    pub problem: SettingProblem,
}

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingProblem {
    /// Clients wait for too short a time for any answer.
    AbandonTooShort {
        /// The traffic type of these clients.
        traffic: TrafficTypeId,
        /// The shortest time that will do.
        min: Nanos,
    },
    /// Clients are gone before an answer can be late.
    AbandonBeforeSlo {
        /// The traffic type of these clients.
        traffic: TrafficTypeId,
    },
    /// Servers forget an idempotency key while an attempt with it may still be sent.
    IdempotencyWindowTooShort {
        /// The traffic type with that window.
        traffic: TrafficTypeId,
        /// The shortest window that will do.
        min: Nanos,
    },
    /// No kind of server prefills.
    NoPrefillServer,
    /// No kind of server decodes.
    NoDecodeServer,
    /// A sequence needs more attempts than it may have.
    TooFewAttempts {
        /// The least number that will do.
        min: usize,
    },
    /// A KV cache can't be released in time.
    ReleaseTimeoutTooShort {
        /// The shortest time that will do.
        min: Nanos,
    },
    /// A server in slow start may be sent nothing, or the bound for it is none.
    SlowStartWithoutCapacity {
        /// It falls over at so many times its present capacity.
        overload_factor: f64,
        /// The share of its capacity that it starts with.
        initial_share: f64,
    },
}

impl fmt::Display for SettingProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |nanos: &Nanos| nanos / 1_000_000;
        match self {
            SettingProblem::AbandonTooShort { min, .. } => {
                write!(f, "must be {} ms at the least, for a read, a write and the way back", ms(min))
            }
            SettingProblem::AbandonBeforeSlo { .. } => {
                f.write_str("must be longer than latency_slo, or every late answer is lost")
            }
            SettingProblem::IdempotencyWindowTooShort { min, .. } => write!(
                f,
                "must be {} ms at the least: an attempt may be sent until abandon_time, and its group must still \
                 know the first one then",
                ms(min)
            ),
            SettingProblem::NoPrefillServer => f.write_str("names nothing that reads prompts"),
            SettingProblem::NoDecodeServer => f.write_str("names nothing that writes answers"),
            SettingProblem::TooFewAttempts { min } => {
                let needed = if *min > 1 { "one to read, one to write" } else { "or nothing can be sent" };
                write!(f, "must be {min} at the least: {needed}")
            }
            SettingProblem::ReleaseTimeoutTooShort { min } => {
                write!(f, "must be {} ms at the least for a state to be let go in time", ms(min))
            }
            SettingProblem::SlowStartWithoutCapacity { overload_factor, initial_share } => write!(
                f,
                "a server that starts at {initial_share} of its capacity and falls over at {overload_factor} times \
                 that can be sent nothing"
            ),
        }
    }
}

impl Error for SettingProblem {}

/// All that is wrong with a deployment whose traffic types have these abandon times.
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
        // Clients repeat a request after the gateway has given it up, and reach any server.
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
