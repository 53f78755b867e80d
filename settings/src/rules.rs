//! Whether the settings allow the rules to be kept, by the field at fault.

use crate::settings::Traffic;
use petrelshore::interface::{Deployment, Nanos, TrafficTypeId};
use petrelshore_gateway_core::settings_validation::{self, About, Finding};

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
        .map(|finding| BrokenRule { field: field(&finding.about, traffic), message: message(finding) })
        .collect()
}

fn message(finding: &Finding) -> String {
    let rule = finding.rule.map_or(String::new(), |rule| format!(" (rule {rule} could not be kept)"));
    format!("{}{rule}", finding.about)
}

/// The field that a finding is about.
fn field(about: &About, traffic: &[Traffic]) -> String {
    let of_type = |id: &TrafficTypeId, field: &str| format!("traffic.{}.{field}", traffic[id.0].name);
    match about {
        About::AbandonTooShort { traffic, .. } | About::AbandonBeforeSlo { traffic } => {
            of_type(traffic, "abandon_time")
        }
        About::WindowTooShort { traffic, .. } => of_type(traffic, "repeats.window"),
        About::NothingReads | About::NothingWrites => "kinds".to_owned(),
        About::TooFewAttempts { .. } => "attempts".to_owned(),
        About::ReleaseTooShort { .. } => "release_within".to_owned(),
        About::ColdPart { .. } => "cold".to_owned(),
    }
}
