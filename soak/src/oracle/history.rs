//! The record of a run, grouped by request, exchange, process and gateway.

use super::{Rule, Violation};
use crate::record::{
    Class, ClientOutcome, EndpointStatus, Event, Exchange, ExchangeOutcome, Process, Role, Time,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// A stream event that is in transit for longer than this counts as late.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(300);

/// A value that holds from the time `at` on, or that was observed at that time.
#[derive(Clone, Copy)]
pub(super) struct Timed<T> {
    pub(super) at: Time,
    pub(super) value: T,
}

/// A request as its client saw it, with the request's exchanges and KV cache reservations at model servers.
#[derive(Default)]
pub(super) struct Request {
    pub(super) process: Option<Process>,
    pub(super) class: Option<Class>,
    pub(super) deadline: Duration,
    /// The times at which the last byte of the request was written, one for each time that the client sent the request.
    pub(super) sent: Vec<Time>,
    pub(super) response_started: Option<Time>,
    pub(super) response: Option<Timed<ClientOutcome>>,
    pub(super) disconnected: Option<Time>,
    pub(super) exchanges: Vec<Exchange>,
    pub(super) reservations: Vec<Reservation>,
    pub(super) has_late_event: bool,
    pub(super) streamed: bool,
}

/// KV cache that a model server reserved for a request.
pub(super) struct Reservation {
    pub(super) server: usize,
    pub(super) from: Time,
    pub(super) until: Option<Time>,
}

/// A request that arrived at a model server.
pub(super) struct Arrival {
    pub(super) request: u64,
    pub(super) server: usize,
    pub(super) role: Role,
    pub(super) gateway: usize,
    pub(super) started_at: Time,
    pub(super) received_at: Time,
    pub(super) at: Time,
    pub(super) deadline: Duration,
    pub(super) end: Option<Timed<ExchangeOutcome>>,
}

/// The lifecycle of one gateway process.
#[derive(Default)]
pub(super) struct ProcessHistory {
    pub(super) spawned: Time,
    pub(super) startup_time: Option<Duration>,
    pub(super) stop_signal: Option<Time>,
    pub(super) ended: Option<Time>,
    pub(super) killed: Option<Time>,
}

/// Faults and reloads that affected one gateway, over all of its processes.
#[derive(Default)]
pub(super) struct GatewayHistory {
    pub(super) stalled_watches: Vec<Time>,
    pub(super) reloads: Vec<Time>,
    pub(super) discovery_delays: Vec<Timed<Duration>>,
    /// The times at which the gateway's outgoing connections started (`true`) or stopped (`false`) being broken.
    pub(super) connections_breaking: Vec<Timed<bool>>,
}

/// A start of a model server.
pub(super) struct ServerStart {
    pub(super) server: usize,
    pub(super) at: Time,
}

/// Identifies the knowledge that one gateway's discovery agent has of one model server.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EndpointView {
    pub(super) gateway: usize,
    pub(super) server: usize,
}

/// The history of a whole run.
#[derive(Default)]
pub(super) struct History {
    pub(super) requests: BTreeMap<u64, Request>,
    pub(super) arrivals: BTreeMap<Exchange, Arrival>,
    pub(super) processes: BTreeMap<Process, ProcessHistory>,
    pub(super) gateways: BTreeMap<usize, GatewayHistory>,
    /// The endpoint updates that the gateways' discovery agents received.
    pub(super) endpoint_updates: BTreeMap<EndpointView, Vec<Timed<EndpointStatus>>>,
    pub(super) server_starts: Vec<ServerStart>,
    pub(super) scheduling_delays: Vec<Timed<Duration>>,
    pub(super) end: Time,
}

impl History {
    /// Builds the history from a record, and returns it with the violations that single events prove.
    pub(super) fn from_events(events: &[(Time, Event)]) -> (History, Vec<Violation>) {
        let (mut history, mut violations) = (History::default(), Vec::new());
        for (at, event) in events {
            history.end = *at;
            history.add_client_event(*at, event);
            history.add_server_event(*at, event);
            history.add_discovery_event(*at, event);
            history.add_process_event(*at, event);
            if let Event::SchedulingDelay { delay } = event {
                history.scheduling_delays.push(Timed { at: *at, value: *delay });
            }
            violations.extend(history.violation_by(*at, event));
        }
        (history, violations)
    }

    fn request(&mut self, id: u64) -> &mut Request {
        self.requests.entry(id).or_default()
    }

    fn process(&mut self, process: Process) -> &mut ProcessHistory {
        self.processes.entry(process).or_default()
    }

    fn gateway(&mut self, gateway: usize) -> &mut GatewayHistory {
        self.gateways.entry(gateway).or_default()
    }

    fn add_client_event(&mut self, at: Time, event: &Event) {
        match *event {
            Event::RequestSent { request, process, class, deadline, started_at: _ } => {
                let request = self.request(request);
                request.process = Some(process);
                request.class = Some(class);
                request.deadline = deadline;
                request.sent.push(at);
                request.response = None;
            }
            Event::ResponseStarted { request } => {
                self.request(request).response_started.get_or_insert(at);
            }
            Event::ResponseEnded { request, outcome } => {
                self.request(request).response = Some(Timed { at, value: outcome });
            }
            Event::ClientDisconnected { request } => self.request(request).disconnected = Some(at),
            Event::StreamEventReceived { request, delay } => {
                let scheduling_delay =
                    self.scheduling_delays.last().map_or(Duration::ZERO, |last| last.value);
                let request = self.request(request);
                request.streamed = true;
                request.has_late_event |= delay > MAX_EVENT_DELAY + scheduling_delay;
            }
            Event::InvalidRequestFinished { process, answered, served } if !answered || served => {
                self.process(process);
            }
            _ => {}
        }
    }

    fn add_server_event(&mut self, at: Time, event: &Event) {
        match *event {
            Event::ExchangeStarted {
                exchange,
                request,
                server,
                role,
                gateway,
                started_at,
                received_at,
                deadline,
            } => {
                let arrival = Arrival {
                    request,
                    server,
                    role,
                    gateway,
                    started_at,
                    received_at,
                    at,
                    deadline,
                    end: None,
                };
                self.arrivals.insert(exchange, arrival);
                self.request(request).exchanges.push(exchange);
            }
            Event::ExchangeEnded { exchange, outcome } => {
                if let Some(arrival) = self.arrivals.get_mut(&exchange) {
                    arrival.end = Some(Timed { at, value: outcome });
                }
            }
            Event::CacheReserved { request, server } => {
                self.request(request).reservations.push(Reservation { server, from: at, until: None });
            }
            Event::CacheReleased { request, server } => {
                let mut reservations = self.request(request).reservations.iter_mut();
                let open = reservations
                    .rfind(|reservation| reservation.server == server && reservation.until.is_none());
                if let Some(reservation) = open {
                    reservation.until = Some(at);
                }
            }
            Event::ServerStarted { server } => self.server_starts.push(ServerStart { server, at }),
            _ => {}
        }
    }

    fn add_discovery_event(&mut self, at: Time, event: &Event) {
        match *event {
            Event::EndpointUpdated { gateway, server, status } => {
                let updates = self.endpoint_updates.entry(EndpointView { gateway, server }).or_default();
                updates.push(Timed { at, value: status });
            }
            Event::WatchesStalled { gateway } => self.gateway(gateway).stalled_watches.push(at),
            Event::DiscoveryDelayed { gateway, delay } => {
                self.gateway(gateway).discovery_delays.push(Timed { at, value: delay });
            }
            Event::ConnectionsBreaking { gateway, active } => {
                self.gateway(gateway).connections_breaking.push(Timed { at, value: active });
            }
            _ => {}
        }
    }

    fn add_process_event(&mut self, at: Time, event: &Event) {
        match *event {
            Event::ProcessSpawned { process } => self.process(process).spawned = at,
            Event::ProcessReady { process, startup_time } => {
                self.process(process).startup_time = Some(startup_time);
            }
            Event::StopSignalSent { process } => self.process(process).stop_signal = Some(at),
            Event::ReloadSignalSent { process } => self.gateway(process.gateway).reloads.push(at),
            Event::ProcessKilled { process } => {
                let process = self.process(process);
                process.killed = Some(at);
                process.ended = Some(at);
            }
            Event::ProcessExited { process, clean: _ } => self.process(process).ended = Some(at),
            _ => {}
        }
    }

    /// Returns the violation that an event proves, given the events before it.
    fn violation_by(&self, at: Time, event: &Event) -> Option<Violation> {
        let violation = |rule: Rule, process: Process, description: String| {
            Some(Violation { rule, at, request: None, process: Some(process), description })
        };
        match *event {
            Event::InvalidRequestFinished { process, answered, served } if !answered || served => {
                let description = format!("invalid request: answered in time: {answered}, served: {served}");
                violation(Rule::BadClient, process, description)
            }
            Event::ProcessNotReady { process } => {
                violation(Rule::Crash, process, "the process did not become ready".to_owned())
            }
            Event::ProcessExited { process, clean } => {
                let stopping = self.processes.get(&process).is_some_and(|known| known.stop_signal.is_some());
                if clean && stopping {
                    return None;
                }
                let description = format!("unexpected exit of the process; success reported: {clean}");
                violation(Rule::Crash, process, description)
            }
            _ => None,
        }
    }
}
