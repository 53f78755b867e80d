//! Rule `events`: gateways forward the events of streams without delay.

use super::history::Request;
use super::{Oracle, Rule, Violation};

/// The share of streams that may have a late event.
const MAX_LATE_SHARE: f64 = 0.05;
/// The number of streams that may have a late event in addition to that share.
const LATE_STREAM_SLACK: f64 = 3.0;

impl Oracle<'_> {
    /// Checks all streams together.
    pub(super) fn check_stream_delays(&self, violations: &mut Vec<Violation>) {
        let requests = self.history.requests.values();
        let streams: Vec<&Request> = requests.filter(|request| request.streamed).collect();
        let late = streams.iter().filter(|request| request.has_late_event).count();
        if late as f64 <= MAX_LATE_SHARE * streams.len() as f64 + LATE_STREAM_SLACK {
            return;
        }
        violations.push(Violation {
            rule: Rule::Events,
            at: self.history.end,
            request: None,
            process: None,
            description: format!("{late} of {} streams had a late event", streams.len()),
        });
    }
}
