//! Checks whether the settings allow the gateway to keep its rules. Each violation names the invalid field.

use crate::settings::Traffic;
use petrelshore::interface::{Deployment, Nanos, TrafficTypeId};
use petrelshore_gateway_core::settings_validation::{self, Finding, SettingProblem};

/// A field whose value is invalid or would break a rule, with a message that explains the problem.
pub(crate) struct BrokenRule {
    pub(crate) field: String,
    pub(crate) message: String,
}

/// Returns every problem of a deployment and of the abandon times of its traffic types.
pub(crate) fn broken_rules(deployment: &Deployment, traffic: &[Traffic]) -> Vec<BrokenRule> {
    let abandon_times: Vec<Nanos> = traffic.iter().map(|traffic| traffic.abandon_time).collect();
    let findings = settings_validation::check(deployment, &abandon_times);
    findings
        .iter()
        .map(|finding| BrokenRule { field: field(&finding.problem, traffic), message: message(finding) })
        .collect()
}

fn message(finding: &Finding) -> String {
    let rule = finding.rule.map_or(String::new(), |rule| format!(" (rule {rule} could not be kept)"));
    format!("{}{rule}", finding.problem)
}

/// Returns the path of the field that a problem is about.
fn field(problem: &SettingProblem, traffic: &[Traffic]) -> String {
    let of_type = |id: &TrafficTypeId, field: &str| format!("traffic.{}.{field}", traffic[id.0].name);
    match problem {
        SettingProblem::AbandonTooShort { traffic, .. } | SettingProblem::AbandonBeforeSlo { traffic } => {
            of_type(traffic, "abandon_time")
        }
        SettingProblem::IdempotencyWindowTooShort { traffic, .. } => of_type(traffic, "repeats.window"),
        SettingProblem::NoPrefillServer | SettingProblem::NoDecodeServer => "kinds".to_owned(),
        SettingProblem::TooFewAttempts { .. } => "attempts".to_owned(),
        SettingProblem::ReleaseTimeoutTooShort { .. } => "release_within".to_owned(),
        SettingProblem::SlowStartWithoutCapacity { .. } => "cold".to_owned(),
    }
}
