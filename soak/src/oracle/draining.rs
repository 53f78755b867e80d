//! Rule `drain`: after the grace period, gateways send no new request to a server that is draining or removed.

use super::history::{Arrival, EndpointView, Timed};
use super::{Oracle, Rule, Violation};
use crate::record::{EndpointStatus, Process, Time};
use std::time::Duration;

/// The longest time that a gateway may take to receive an update that its discovery agent has, once the agent is
/// reachable.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(6);
/// The longest time that a gateway may take to receive an update after a reload.
const UPDATE_AFTER_RELOAD_TIMEOUT: Duration = Duration::from_secs(4);

impl Oracle<'_> {
    /// Checks all requests that arrived at model servers.
    pub(super) fn check_draining(&self, violations: &mut Vec<Violation>) {
        for arrival in self.history.arrivals.values() {
            let process = self.process_at(arrival.gateway, arrival.started_at);
            let Some(notified) = self.drain_notified(arrival, process) else { continue };
            let grace = self.parameters.drain_grace + self.slack(notified, arrival.at);
            if arrival.started_at <= notified + grace {
                continue;
            }
            let late = arrival.started_at - notified;
            violations.push(Violation {
                rule: Rule::Drain,
                at: arrival.at,
                request: Some(arrival.request),
                process,
                description: format!(
                    "sent to s-{} {late:?} after the notification that the server is draining or removed",
                    arrival.server
                ),
            });
        }
    }

    /// Returns the latest process of a gateway that was spawned by the time `at`.
    fn process_at(&self, gateway: usize, at: Time) -> Option<Process> {
        let mut processes = self.history.processes.iter();
        processes
            .rfind(|(process, history)| process.gateway == gateway && history.spawned <= at)
            .map(|(process, _)| *process)
    }

    /// Returns the time from which the sending process counts as notified that the server accepts no new requests.
    fn drain_notified(&self, arrival: &Arrival, process: Option<Process>) -> Option<Time> {
        let view = EndpointView { gateway: arrival.gateway, server: arrival.server };
        let updates = self.history.endpoint_updates.get(&view)?;
        let published = draining_since(updates, arrival.started_at)?;
        let spawned =
            process.and_then(|process| self.process(process)).map_or(Duration::ZERO, |known| known.spawned);
        Some(self.excused_until(arrival.gateway, published, published.max(spawned)))
    }

    /// Returns the time until which discovery faults or a reload excuse a gateway that does not know of an update. The
    /// update was published at `published`; without an excuse the update counts as received at `received`.
    fn excused_until(&self, gateway: usize, published: Time, received: Time) -> Time {
        let Some(gateway) = self.history.gateways.get(&gateway) else { return received };
        let latest_excuse = |times: &[Time], timeout: Duration| {
            let recent = times.iter().filter(|at| **at <= received && received <= **at + timeout);
            recent.map(|at| *at + timeout).max().unwrap_or_default()
        };
        let stalled = latest_excuse(&gateway.stalled_watches, UPDATE_TIMEOUT);
        let reloaded = latest_excuse(&gateway.reloads, UPDATE_AFTER_RELOAD_TIMEOUT);
        let delay = gateway.discovery_delays.iter().rfind(|delay| delay.at <= published);
        let delayed = match delay {
            Some(delay) if !delay.value.is_zero() => published + UPDATE_TIMEOUT,
            _ => Duration::ZERO,
        };
        received.max(stalled).max(reloaded).max(delayed)
    }
}

/// Returns the time since which a server has been published as draining or removed without interruption, as of `as_of`.
fn draining_since(updates: &[Timed<EndpointStatus>], as_of: Time) -> Option<Time> {
    let mut since = None;
    for update in updates.iter().filter(|update| update.at <= as_of) {
        since = match update.value {
            EndpointStatus::Active => None,
            EndpointStatus::Draining | EndpointStatus::Removed => since.or(Some(update.at)),
        };
    }
    since
}
