//! Rule `slow_start`: a server that is warming up gets no more requests than the server can handle from gateways that
//! know of its start.

use super::history::{Arrival, EndpointView, ServerStart};
use super::{Oracle, Rule, Violation};
use crate::record::Time;
use std::time::Duration;

/// The time over which the even share of a server is measured.
const SHARE_WINDOW: Duration = Duration::from_secs(6);
/// The number of expected requests below which the statistical slack is wider.
const FEW_REQUESTS: f64 = 30.0;

impl Oracle<'_> {
    /// Checks all starts of model servers.
    pub(super) fn check_slow_starts(&self, violations: &mut Vec<Violation>) {
        for start in &self.history.server_starts {
            violations.extend(self.overloaded_start(start));
        }
    }

    /// Returns a violation for the first overload window in which a starting server was sent more than its budget.
    fn overloaded_start(&self, start: &ServerStart) -> Option<Violation> {
        let arrivals = self.arrivals_while_warming_up(start);
        for (index, first) in arrivals.iter().enumerate() {
            let window_end = first.at + self.parameters.overload_window;
            let burst: Vec<&Arrival> =
                arrivals[index..].iter().copied().take_while(|arrival| arrival.at < window_end).collect();
            let informed = burst.iter().filter(|arrival| self.knew_of(start, arrival)).count();
            let budget = self.budget(start, first.at);
            if burst.len() as f64 > budget && 3 * informed > 2 * burst.len() {
                let description = format!(
                    "s-{} got {} requests with a budget of {budget:.1}, {:?} after its start",
                    start.server,
                    burst.len(),
                    first.at - start.at
                );
                let rule = Rule::SlowStart;
                return Some(Violation { rule, at: first.at, request: None, process: None, description });
            }
        }
        None
    }

    /// Returns the requests that arrived at a server until the server was warm or started again.
    fn arrivals_while_warming_up(&self, start: &ServerStart) -> Vec<&Arrival> {
        let mut starts = self.history.server_starts.iter();
        let next = starts.find(|other| other.server == start.server && other.at > start.at);
        let next = next.map_or(self.history.end, |next| next.at);
        let until = (start.at + self.parameters.warm_up).min(next);
        self.arrivals_within(start.at, until).filter(|arrival| arrival.server == start.server).collect()
    }

    /// Returns the number of requests that a starting server may get within one overload window, with statistical
    /// slack.
    fn budget(&self, start: &ServerStart, at: Time) -> f64 {
        let progress = (at - start.at).as_secs_f64() / self.parameters.warm_up.as_secs_f64();
        let initial = self.parameters.initial_capacity;
        let capacity = initial + (1.0 - initial) * progress.min(1.0);
        let allowed = self.parameters.overload_factor * capacity * self.even_share(start.server, at);
        let (deviations, extra) = if allowed < FEW_REQUESTS { (3.0, 3.0) } else { (2.0, 2.0) };
        allowed + deviations * allowed.sqrt() + extra
    }

    fn arrivals_within(&self, from: Time, to: Time) -> impl Iterator<Item = &Arrival> {
        self.history.arrivals.values().filter(move |arrival| arrival.at >= from && arrival.at < to)
    }

    /// Returns the number of requests that a server would get within one overload window if all servers of its role got
    /// the same share, measured around the time `at`.
    fn even_share(&self, server: usize, at: Time) -> f64 {
        let role = server % 2;
        let from = at.saturating_sub(SHARE_WINDOW / 2);
        let arrivals = self.arrivals_within(from, from + SHARE_WINDOW);
        let count = arrivals.filter(|arrival| arrival.server % 2 == role).count();
        let servers = self.parameters.servers / 2;
        let window = self.parameters.overload_window;
        count as f64 / servers as f64 * window.as_secs_f64() / SHARE_WINDOW.as_secs_f64()
    }

    /// Returns true if the discovery agent of the sending gateway knew of a server start when the request arrived.
    fn knew_of(&self, start: &ServerStart, arrival: &Arrival) -> bool {
        let view = EndpointView { gateway: arrival.gateway, server: start.server };
        let updates = self.history.endpoint_updates.get(&view);
        updates.into_iter().flatten().any(|update| update.at > start.at && update.at <= arrival.at)
    }
}
