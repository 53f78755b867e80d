//! Runs a simulation: processes events in the order of their times.

mod actions;
mod events;
mod summary;

use super::measures::{Counts, FIRST_TOKEN_SLO, SlowStartCalls, Summary, TOKEN_INTERVAL_SLO};
use super::servers::{CacheLocation, ModelServer};
use super::traffic::{Request, Traffic};
use super::{Scenario, Setup};
use crate::inventory::{self, SECOND, Size};
use events::{Event, EventQueue, Exchange};
use oorandom::Rand64;
use petrelshore::interface::{
    CellId, Deployment, Endpoint, EndpointState, Nanos, PrefixId, Role, SequenceId, ServerId, SessionId,
    SnapshotKind, TrafficTypeId, ZoneId,
};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Dispatch, NewSequence, Relay, RequestManager};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time that a client waits for the first token, in nanoseconds.
const FIRST_TOKEN_DEADLINE: Nanos = 4 * SECOND;
/// Time by which a final response may exceed [`FIRST_TOKEN_DEADLINE`], in nanoseconds.
const DEADLINE_SLACK: Nanos = SECOND / 20;
/// Interval at which a request manager is notified of the tokens of a stream, in nanoseconds.
const TOKEN_NOTIFICATION_INTERVAL: Nanos = 4 * SECOND;
const SLOW_START_DURATION: Nanos = 10 * SECOND;
/// Fraction of the simulation after which requests are counted.
const COUNTING_STARTS_AT: f64 = 0.2;
/// Fraction of the simulation after which the servers of a zone fail.
const ZONE_LOST_AT: f64 = 0.35;
/// Fraction of the simulation after which the servers of the failed zone restart.
const ZONE_RESTARTED_AT: f64 = 0.5;
/// Maximum delay after which a gateway is notified of a zone failure or restart, in nanoseconds. Each gateway has a
/// random delay.
const MAX_NOTIFICATION_DELAY: Nanos = 2 * SECOND;
/// The zone whose servers fail.
const LOST_ZONE: ZoneId = ZoneId(0);
/// The virtual time at the start of a simulation, in nanoseconds.
const START: Nanos = 1_000 * SECOND;
/// The ratio of the quota of a tenant to its even share of the traffic.
const TENANT_QUOTA_FACTOR: f64 = 2.0;
/// Factor on the seed of the simulation. It prevents simulations with adjacent seeds from sharing gateway seeds.
const GATEWAY_SEED_FACTOR: u64 = 1_000_003;

/// A gateway without sockets.
struct Gateway {
    manager: RequestManager,
    /// Virtual time of the next scheduled timeout event of the gateway; [`Nanos::MAX`] if there is none.
    next_timeout: Nanos,
    /// The latest notification of the gateway says that the servers of [`LOST_ZONE`] are gone.
    notified_of_zone_loss: bool,
}

/// A request that has not received its final response.
struct OpenRequest {
    request: Request,
    arrived: Nanos,
    /// Location of the KV cache of the request.
    cache: CacheLocation,
    /// The first token was received.
    started: bool,
    /// The request is included in the counts.
    counted: bool,
}

struct Simulation {
    setup: Setup,
    deployment: Deployment,
    random: Rand64,
    traffic: Traffic,
    events: EventQueue,
    gateways: Vec<Gateway>,
    servers: Vec<ModelServer>,
    server_index: HashMap<ServerId, usize>,
    open_requests: HashMap<SequenceId, OpenRequest>,
    /// Number of all requests, counted or not.
    requests: u64,
    counts: Counts,
    /// Calls to each server that has restarted, by the index of the server.
    slow_starts: HashMap<usize, SlowStartCalls>,
    /// The largest ratio of calls to budget of all servers in slow start.
    slow_start_worst: f64,
    /// Real time spent in calls of request managers.
    decision_time: Duration,
}

/// Runs the simulation of a setup and returns its summary.
pub fn simulate(setup: &Setup) -> Summary {
    let start = Instant::now();
    let mut simulation = Simulation::new(*setup);
    let end = simulation.time_at(1.0);
    simulation.run(end);
    simulation.finish(end);
    simulation.summary(start.elapsed())
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let size = Size {
            gateways: setup.gateways,
            servers: setup.servers,
            tenants: setup.tenants,
            tenant_rate: TENANT_QUOTA_FACTOR * setup.rate / setup.tenants.max(1) as f64,
            slow_start: SLOW_START_DURATION,
        };
        let list = inventory::fleet(setup.servers, 0.0, 0);
        let deployment = inventory::deployment(size, 0);
        let indices = list.iter().enumerate();
        let servers = list.iter().map(|endpoint| ModelServer::new(endpoint.clone(), &deployment));
        let mut simulation = Simulation {
            random: Rand64::new(u128::from(setup.seed) + 1),
            traffic: Traffic::new(setup.seed, setup.rate, setup.gateways, setup.tenants),
            events: EventQueue::default(),
            gateways: (0..setup.gateways).map(|number| new_gateway(&setup, size, number, &list)).collect(),
            server_index: indices.map(|(index, endpoint)| (endpoint.server, index)).collect(),
            servers: servers.collect(),
            open_requests: HashMap::new(),
            requests: 0,
            counts: Counts::default(),
            slow_starts: HashMap::new(),
            slow_start_worst: 0.0,
            decision_time: Duration::ZERO,
            deployment,
            setup,
        };
        simulation.events.schedule(START, Event::Arrival);
        if setup.scenario == Scenario::ZoneLost {
            simulation.events.schedule(simulation.time_at(ZONE_LOST_AT), Event::ZoneLost);
            simulation.events.schedule(simulation.time_at(ZONE_RESTARTED_AT), Event::ZoneRestarted);
        }
        simulation
    }

    /// Returns the virtual time after a fraction of the simulation.
    fn time_at(&self, fraction: f64) -> Nanos {
        START + (self.setup.seconds as f64 * fraction * SECOND as f64) as Nanos
    }

    fn run(&mut self, end: Nanos) {
        while let Some((now, event)) = self.events.next_before(end) {
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(now),
            Event::PrefillDone { exchange, cached_tokens } => {
                if self.is_running(&exchange) {
                    self.report_load(now, &exchange);
                    let end = AttemptEnd::PrefillDone { cached_tokens };
                    self.end_attempt(now, exchange.gateway, &exchange.dispatch, end);
                }
            }
            Event::FirstToken { exchange, token_interval } => {
                if self.is_running(&exchange) {
                    self.handle_first_token(now, &exchange, token_interval);
                }
            }
            Event::Tokens { id, gateway } => self.handle_tokens(now, gateway, id),
            Event::StreamEnded { exchange, tokens } => {
                if self.is_running(&exchange) {
                    self.server(exchange.dispatch.server).end_stream(tokens);
                    self.report_load(now, &exchange);
                    self.end_attempt(now, exchange.gateway, &exchange.dispatch, AttemptEnd::Completed);
                }
            }
            Event::AttemptFailed { dispatch, gateway, end } => self.end_attempt(now, gateway, &dispatch, end),
            Event::Timeout { gateway } => {
                if self.gateways[gateway].next_timeout == now {
                    self.gateways[gateway].next_timeout = Nanos::MAX;
                    self.decide(now, gateway, |manager, actions| manager.on_timeout(now, actions));
                }
            }
            Event::ZoneLost => self.lose_zone(now),
            Event::ZoneRestarted => self.restart_zone(now),
            Event::ZoneNotification { gateway, lost } => self.notify_gateway(now, gateway, lost),
        }
    }

    fn handle_arrival(&mut self, now: Nanos) {
        let delay = self.traffic.time_to_next_request();
        self.events.schedule(now + delay.max(1), Event::Arrival);
        let request = self.traffic.next_request();
        self.requests += 1;
        let id = SequenceId(self.requests);
        let counted =
            now >= self.time_at(COUNTING_STARTS_AT) && now + FIRST_TOKEN_DEADLINE < self.time_at(1.0);
        let prompt = request.prompt;
        if counted {
            self.counts.requests += 1;
            self.counts.prompt_tokens += prompt.tokens;
        }
        let cache = CacheLocation { cell: CellId(-1), zone: ZoneId(usize::MAX) };
        self.open_requests.insert(id, OpenRequest { request, arrived: now, cache, started: false, counted });
        let sequence = NewSequence {
            id,
            traffic: TrafficTypeId(0),
            tenant: request.tenant,
            session: Some(SessionId(prompt.session)),
            prefix: Some(PrefixId(prompt.prefix)),
            prompt_tokens: prompt.tokens,
            prefix_tokens: prompt.prefix_tokens,
            max_output_tokens: 1_000.0,
            output_length_hint: None,
            resumed: false,
            relay: Relay::Passthrough,
            first_token_deadline: now + FIRST_TOKEN_DEADLINE,
            completion_deadline: None,
        };
        self.decide(now, request.gateway, |manager, actions| manager.accept(now, sequence, actions));
    }

    fn handle_first_token(&mut self, now: Nanos, exchange: &Exchange, token_interval: Nanos) {
        let Exchange { dispatch, gateway, .. } = *exchange;
        let (id, attempt) = (dispatch.id, dispatch.attempt);
        let Some(open) = self.open_requests.get_mut(&id).filter(|open| !open.started) else { return };
        open.started = true;
        if open.counted {
            let time_to_first_token = now - open.arrived;
            let within_slo = time_to_first_token <= FIRST_TOKEN_SLO && token_interval <= TOKEN_INTERVAL_SLO;
            self.counts.answered += 1;
            self.counts.within_slo += u64::from(within_slo);
            self.counts.count_first_token(time_to_first_token);
        }
        self.decide(now, gateway, |manager, _| manager.first_token(now, id, attempt));
        self.events.schedule(now + TOKEN_NOTIFICATION_INTERVAL, Event::Tokens { id, gateway });
    }

    fn handle_tokens(&mut self, now: Nanos, gateway: usize, id: SequenceId) {
        if self.open_requests.contains_key(&id) {
            self.gateways[gateway].manager.token_received(now, id);
            self.events.schedule(now + TOKEN_NOTIFICATION_INTERVAL, Event::Tokens { id, gateway });
        }
    }

    fn server(&mut self, id: ServerId) -> &mut ModelServer {
        &mut self.servers[self.server_index[&id]]
    }

    /// Returns whether the process that accepted the attempt still runs.
    fn is_running(&self, exchange: &Exchange) -> bool {
        let server = &self.servers[self.server_index[&exchange.dispatch.server]];
        server.incarnation == exchange.incarnation && !server.failed
    }

    fn report_load(&mut self, now: Nanos, exchange: &Exchange) {
        let id = exchange.dispatch.server;
        let report = self.server(id).load_report(now);
        self.gateways[exchange.gateway].manager.load_reported(now, id, report);
    }

    fn end_attempt(&mut self, now: Nanos, gateway: usize, dispatch: &Dispatch, end: AttemptEnd) {
        let (id, attempt) = (dispatch.id, dispatch.attempt);
        self.decide(now, gateway, |manager, actions| manager.attempt_ended(now, id, attempt, end, actions));
    }

    /// Simulates the failure of all servers of [`LOST_ZONE`].
    fn lose_zone(&mut self, now: Nanos) {
        let servers = self.servers.iter_mut().filter(|server| server.endpoint.zone == LOST_ZONE);
        servers.for_each(ModelServer::fail);
        self.schedule_notifications(now, true);
    }

    /// Restarts all servers of [`LOST_ZONE`].
    fn restart_zone(&mut self, now: Nanos) {
        for (index, server) in self.servers.iter_mut().enumerate() {
            if server.endpoint.zone == LOST_ZONE {
                server.restart(now);
                self.slow_starts.insert(index, SlowStartCalls::default());
            }
        }
        self.schedule_notifications(now, false);
    }

    /// Schedules the notification of each gateway after a random delay.
    fn schedule_notifications(&mut self, now: Nanos, lost: bool) {
        for gateway in 0..self.gateways.len() {
            let at = now + self.random.rand_range(0..MAX_NOTIFICATION_DELAY);
            self.events.schedule(at, Event::ZoneNotification { gateway, lost });
        }
    }

    /// Sends the state of the servers of [`LOST_ZONE`] to a gateway.
    fn notify_gateway(&mut self, now: Nanos, gateway: usize, lost: bool) {
        let state = if lost { EndpointState::Gone } else { EndpointState::Ready };
        let servers = self.servers.iter().filter(|server| server.endpoint.zone == LOST_ZONE);
        let list: Vec<Endpoint> =
            servers.map(|server| Endpoint { state, ..server.endpoint.clone() }).collect();
        let gateway = &mut self.gateways[gateway];
        gateway.manager.update_endpoints(now, SnapshotKind::Delta, &list);
        gateway.notified_of_zone_loss = lost;
    }

    /// Terminates all open requests at the end of the simulation. A request that gets no final response even then is
    /// counted as a violation.
    fn finish(&mut self, end: Nanos) {
        for gateway in 0..self.gateways.len() {
            self.decide(end, gateway, |manager, actions| manager.terminate_all(end, actions));
        }
        self.counts.rules_broken += self.open_requests.len() as u64;
    }

    fn role(&self, endpoint: &Endpoint) -> Role {
        self.deployment.kinds[endpoint.kind.0].role
    }
}

/// Creates a gateway that has applied the endpoint list.
fn new_gateway(setup: &Setup, size: Size, number: usize, list: &[Endpoint]) -> Gateway {
    let deployment = inventory::deployment(size, number % inventory::ZONES);
    let seed = setup.seed.wrapping_mul(GATEWAY_SEED_FACTOR).wrapping_add(number as u64);
    let mut manager = RequestManager::with_policy(START, deployment, seed, setup.policy_kind);
    manager.update_endpoints(START, SnapshotKind::Full, list);
    Gateway { manager, next_timeout: Nanos::MAX, notified_of_zone_loss: false }
}
