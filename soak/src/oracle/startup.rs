//! Rule `ready`: restarted gateway processes are ready in time.

use super::{Oracle, Rule, Violation};
use std::time::Duration;

const MAX_STARTUP_TIME: Duration = Duration::from_secs(10);
/// The maximum share of restarts that may take longer than [`MAX_STARTUP_TIME`].
const MAX_LATE_SHARE: f64 = 0.1;

impl Oracle<'_> {
    /// Checks all restarts together.
    pub(super) fn check_startup_times(&self, violations: &mut Vec<Violation>) {
        let restarts = self.history.processes.iter().filter(|(process, _)| process.run > 1);
        let times: Vec<Duration> = restarts.filter_map(|(_, history)| history.startup_time).collect();
        let late = times.iter().filter(|time| **time > MAX_STARTUP_TIME).count();
        if late as f64 <= MAX_LATE_SHARE * times.len() as f64 {
            return;
        }
        violations.push(Violation {
            rule: Rule::Ready,
            at: self.history.end,
            request: None,
            process: None,
            description: format!("{late} of {} restarts took longer than {MAX_STARTUP_TIME:?}", times.len()),
        });
    }
}
