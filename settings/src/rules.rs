//! Whether the settings allow the rules to be kept, by the field at fault.

use crate::settings::Traffic;
use petrelshore::interface::{Deployment, Nanos, TrafficTypeId};
use petrelshore_gateway_core::settings_validation::{self, Finding, SettingProblem};

/// A field that breaks a rule, and the finding in words.
pub(crate) struct BrokenRule {
    pub(crate) field: String,
    pub(crate) message: String,
}

/// What the deployment and its clients' times make impossible.
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

/// The field that a finding is about.
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
