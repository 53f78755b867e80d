//! Draws faults from the seed and injects them; several may be active at once, and each has a beginning and an end.

use crate::discovery::ADDRESSES;
use crate::message::with_timeout;
use crate::process::{Gateway, StopSignals};
use crate::record::{EndpointStatus, Event, Role};
use crate::shim::Fault as CallFault;
use crate::testbed::{ServerBehavior, Testbed, ZONES};
use async_io::Timer;
use async_net::TcpStream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Time between the beginnings of two faults, in milliseconds.
const FAULT_INTERVAL_MS: (u64, u64) = (150, 1_200);
/// The duration of a fault, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (300, 4_000);
/// Divides the duration of faults that fail a large share of all calls.
const SEVERE_FAULT_DIVISOR: u32 = 8;
/// The downtime of a crashed gateway and of a restarting server, in milliseconds.
const GATEWAY_DOWNTIME_MS: (u64, u64) = (50, 2_000);
const SERVER_DOWNTIME_MS: (u64, u64) = (100, 1_500);
/// Time from the start of a restarted server until the endpoint list has it, in milliseconds.
const LISTING_DELAY_MS: (u64, u64) = (1, 200);
/// Pause between two reloads, in milliseconds.
const RELOAD_PAUSE_MS: (u64, u64) = (20, 1_500);
/// The delay of the responses of a slow discovery agent, in milliseconds.
const DISCOVERY_DELAY_MS: (u64, u64) = (100, 1_500);
/// The number of connections in a flood; it exceeds the number of client connections that a gateway admits.
const FLOOD_CONNECTIONS: usize = 320;
const FLOOD_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
const MAX_CLOCK_STEP_MS: i64 = 3_600_000;
const NANOS_PER_MS: i64 = 1_000_000;
const SEND_DELAY: Duration = Duration::from_millis(150);
/// The maximum number of servers of one role that are faulty at the same time.
const MAX_FAULTY_SERVERS: usize = 2;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    GatewayRestart,
    GatewayCrash,
    SignalSeries,
    ConnectionFlood,
    Reloads,
    WallClockEverywhere,
    WallClockOfOneGateway,
    InterruptedCalls,
    ShortTransfers,
    FailedConnects,
    FailedSockets,
    FailedAccepts,
    NoMemory,
    BrokenConnections,
    DelayedSends,
    ZoneCut,
    ServerCut,
    Server(ServerBehavior),
    ConnectionsSilent,
    ServerRestart,
    ServerDrain,
    AgentSilent,
    AllAgentsSilent,
    WatchesStalled,
    AgentSlow,
}

/// The faults to draw from. A fault that is listed twice is drawn twice as often.
const FAULTS: [Fault; 31] = [
    Fault::GatewayRestart,
    Fault::GatewayRestart,
    Fault::GatewayCrash,
    Fault::Reloads,
    Fault::WallClockEverywhere,
    Fault::WallClockOfOneGateway,
    Fault::InterruptedCalls,
    Fault::ShortTransfers,
    Fault::FailedConnects,
    Fault::FailedSockets,
    Fault::FailedAccepts,
    Fault::NoMemory,
    Fault::BrokenConnections,
    Fault::DelayedSends,
    Fault::ZoneCut,
    Fault::ServerCut,
    Fault::Server(ServerBehavior::Hanging),
    Fault::Server(ServerBehavior::Stopped),
    Fault::Server(ServerBehavior::Stopped),
    Fault::ConnectionsSilent,
    Fault::SignalSeries,
    Fault::ConnectionFlood,
    Fault::Server(ServerBehavior::Faulty),
    Fault::Server(ServerBehavior::Slow),
    Fault::Server(ServerBehavior::ClosesIdleConnections),
    Fault::ServerRestart,
    Fault::ServerDrain,
    Fault::AgentSilent,
    Fault::AllAgentsSilent,
    Fault::WatchesStalled,
    Fault::AgentSlow,
];

impl Fault {
    /// The name of the fault in records and reports.
    fn name(self) -> &'static str {
        match self {
            Fault::GatewayRestart => "Restart",
            Fault::GatewayCrash => "Crash",
            Fault::Reloads => "Reloads",
            Fault::WallClockEverywhere => "WallClockEverywhere",
            Fault::WallClockOfOneGateway => "WallClockOfOne",
            Fault::InterruptedCalls => "Interrupted",
            Fault::ShortTransfers => "ShortTransfers",
            Fault::FailedConnects => "ConnectFails",
            Fault::FailedSockets => "SocketFails",
            Fault::FailedAccepts => "AcceptFails",
            Fault::NoMemory => "NoMemory",
            Fault::BrokenConnections => "Broken",
            Fault::DelayedSends => "HeldUp",
            Fault::ZoneCut => "ZoneCut",
            Fault::ServerCut => "ServerCut",
            Fault::Server(ServerBehavior::Healthy) => "ServerGood",
            Fault::Server(ServerBehavior::Hanging) => "ServerHangs",
            Fault::Server(ServerBehavior::Stopped) => "ServerStopped",
            Fault::ConnectionsSilent => "ConnectionsSilent",
            Fault::SignalSeries => "SignalSeries",
            Fault::ConnectionFlood => "Crowd",
            Fault::Server(ServerBehavior::Faulty) => "ServerBad",
            Fault::Server(ServerBehavior::Slow) => "ServerSlow",
            Fault::Server(ServerBehavior::ClosesIdleConnections) => "ServerForgetsIdle",
            Fault::Server(ServerBehavior::Down) => "ServerDown",
            Fault::ServerRestart => "ServerRestart",
            Fault::ServerDrain => "Drain",
            Fault::AgentSilent => "AgentSilent",
            Fault::AllAgentsSilent => "AllAgentsSilent",
            Fault::WatchesStalled => "WatchesSilent",
            Fault::AgentSlow => "AgentSlow",
        }
    }
}

/// A fault that was drawn, with its target and duration.
#[derive(Clone, Copy)]
struct Injection {
    fault: Fault,
    /// The gateway that the fault affects, if it affects a single gateway.
    gateway: usize,
    duration: Duration,
}

/// Injects the faults of a run.
pub struct FaultInjector {
    testbed: Rc<Testbed>,
    gateways: Vec<Rc<Gateway>>,
    injected: Cell<usize>,
}

impl FaultInjector {
    /// Creates an injector that has injected nothing yet.
    pub fn new(testbed: &Rc<Testbed>, gateways: Vec<Rc<Gateway>>) -> Rc<FaultInjector> {
        Rc::new(FaultInjector { testbed: testbed.clone(), gateways, injected: Cell::new(0) })
    }

    /// Begins one fault after the other until the time `until` of the run; faults may end later.
    pub async fn run(self: Rc<Self>, until: Duration) {
        let testbed = &self.testbed;
        while testbed.record.now() < until {
            Timer::after(testbed.random.duration_ms(FAULT_INTERVAL_MS.0, FAULT_INTERVAL_MS.1)).await;
            let fault = FAULTS[testbed.random.below(FAULTS.len())];
            let number = self.injected.get();
            self.injected.set(number + 1);
            let injector = self.clone();
            testbed.spawn(async move { injector.inject(fault, number).await });
        }
    }

    /// Injects one fault and records its beginning and its end.
    async fn inject(&self, fault: Fault, number: usize) {
        let random = &self.testbed.random;
        let gateway = random.below(self.gateways.len());
        let record = |began| {
            let kind = fault.name().to_owned();
            self.testbed.record.write(Event::Fault { kind, gateway, number, began });
        };
        record(true);
        let duration = random.duration_ms(FAULT_DURATION_MS.0, FAULT_DURATION_MS.1);
        self.apply(Injection { fault, gateway, duration }).await;
        record(false);
    }

    async fn apply(&self, injection: Injection) {
        match injection.fault {
            Fault::GatewayRestart
            | Fault::GatewayCrash
            | Fault::SignalSeries
            | Fault::ConnectionFlood
            | Fault::Reloads
            | Fault::WallClockEverywhere
            | Fault::WallClockOfOneGateway => self.apply_to_process(injection).await,
            Fault::InterruptedCalls
            | Fault::ShortTransfers
            | Fault::FailedConnects
            | Fault::FailedSockets
            | Fault::FailedAccepts
            | Fault::NoMemory
            | Fault::BrokenConnections
            | Fault::DelayedSends => self.apply_to_calls(injection).await,
            Fault::ZoneCut | Fault::ServerCut | Fault::ConnectionsSilent => {
                self.apply_to_links(injection).await
            }
            Fault::Server(_) | Fault::ServerRestart | Fault::ServerDrain => {
                self.apply_to_server(injection).await;
            }
            Fault::AgentSilent | Fault::AllAgentsSilent | Fault::WatchesStalled | Fault::AgentSlow => {
                self.apply_to_discovery(injection).await;
            }
        }
    }

    async fn apply_to_process(&self, injection: Injection) {
        let random = &self.testbed.random;
        let gateway = &self.gateways[injection.gateway];
        match injection.fault {
            Fault::GatewayRestart => gateway.restart(StopSignals::Once).await,
            Fault::SignalSeries => gateway.restart(StopSignals::Series).await,
            Fault::ConnectionFlood => {
                self.flood_with_connections(injection.gateway, injection.duration).await
            }
            Fault::GatewayCrash => {
                gateway.crash(random.duration_ms(GATEWAY_DOWNTIME_MS.0, GATEWAY_DOWNTIME_MS.1)).await;
            }
            Fault::Reloads => {
                for _ in 0..=random.below(3) {
                    gateway.reload(random.below(ADDRESSES));
                    Timer::after(random.duration_ms(RELOAD_PAUSE_MS.0, RELOAD_PAUSE_MS.1)).await;
                }
            }
            Fault::WallClockEverywhere => {
                let step_ms = self.clock_step_ms();
                self.testbed.wall_step_ms.set(step_ms);
                self.gateways.iter().for_each(|gateway| set_wall_clock(gateway, step_ms));
            }
            Fault::WallClockOfOneGateway => set_wall_clock(gateway, self.clock_step_ms()),
            _ => {}
        }
    }

    async fn apply_to_calls(&self, injection: Injection) {
        let random = &self.testbed.random;
        let Injection { fault, gateway, duration } = injection;
        let short_duration = duration / SEVERE_FAULT_DIVISOR;
        let faults = &self.gateways[gateway].faults;
        let (call_fault, one_in, duration) = match fault {
            Fault::InterruptedCalls => (CallFault::Interrupted, 5 + random.below(195), duration),
            Fault::ShortTransfers => (CallFault::ShortTransfer, 2 + random.below(50), duration),
            Fault::FailedConnects => (CallFault::ConnectFails, 1 + random.below(8), short_duration),
            Fault::FailedSockets => (CallFault::SocketFails, 1 + random.below(8), short_duration),
            Fault::FailedAccepts => (CallFault::AcceptFails, 1 + random.below(8), short_duration),
            Fault::NoMemory => (CallFault::NoMemory, 5 + random.below(195), duration),
            Fault::BrokenConnections => (CallFault::Broken, 30 + random.below(300), duration),
            Fault::DelayedSends => {
                let _ = faults.set(CallFault::HeldUpFor, SEND_DELAY.as_nanos() as i64);
                (CallFault::HeldUp, 20 + random.below(200), duration)
            }
            _ => return,
        };
        let breaks_connections = fault == Fault::BrokenConnections;
        if breaks_connections {
            self.testbed.record.write(Event::ConnectionsBreaking { gateway, active: true });
        }
        let _ = faults.set(call_fault, one_in as i64);
        Timer::after(duration).await;
        let _ = faults.set(call_fault, 0);
        if breaks_connections {
            self.testbed.record.write(Event::ConnectionsBreaking { gateway, active: false });
        }
    }

    async fn apply_to_links(&self, injection: Injection) {
        let random = &self.testbed.random;
        let all_gateways = 0..self.gateways.len();
        let servers = &self.testbed.servers;
        if injection.fault == Fault::ServerCut {
            let server = random.below(servers.len());
            return self.cut_links(all_gateways.collect(), vec![server], injection.duration).await;
        }
        if injection.fault == Fault::ConnectionsSilent {
            // Silences all connections of one gateway, or all connections to one server.
            let (gateway, server) = (injection.gateway, random.below(servers.len()));
            return match random.happens(0.5) {
                true => {
                    (0..servers.len()).for_each(|server| self.testbed.silence_connections(gateway, server))
                }
                false => all_gateways.for_each(|gateway| self.testbed.silence_connections(gateway, server)),
            };
        }
        let zone = random.below(ZONES.len());
        let gateways_of_other_zones = all_gateways.filter(|gateway| gateway % ZONES.len() != zone).collect();
        let zone_servers = (0..servers.len()).filter(|server| servers[*server].zone == zone).collect();
        self.cut_links(gateways_of_other_zones, zone_servers, injection.duration).await;
    }

    async fn apply_to_server(&self, injection: Injection) {
        let testbed = &self.testbed;
        let Some(server) = self.healthy_server() else { return };
        match injection.fault {
            Fault::Server(behavior) => {
                testbed.set_behavior(server, behavior);
                Timer::after(injection.duration).await;
                testbed.set_behavior(server, ServerBehavior::Healthy);
            }
            Fault::ServerRestart => self.restart_server(server).await,
            Fault::ServerDrain => {
                let grace = testbed.parameters.drain_grace;
                testbed.publish(server, EndpointStatus::Draining);
                Timer::after(injection.duration + grace).await;
                testbed.publish(server, EndpointStatus::Removed);
                Timer::after(grace).await;
                self.restart_server(server).await;
            }
            _ => {}
        }
    }

    async fn apply_to_discovery(&self, injection: Injection) {
        let testbed = &self.testbed;
        let Injection { fault, gateway, duration } = injection;
        let agent = &testbed.agents[gateway];
        match fault {
            Fault::AgentSilent => {
                testbed.set_agent_silent(gateway, true);
                Timer::after(duration).await;
                testbed.set_agent_silent(gateway, false);
            }
            Fault::AllAgentsSilent => {
                (0..self.gateways.len()).for_each(|gateway| testbed.set_agent_silent(gateway, true));
                Timer::after(duration).await;
                (0..self.gateways.len()).for_each(|gateway| testbed.set_agent_silent(gateway, false));
            }
            Fault::WatchesStalled => {
                agent.stalls.set(agent.stalls.get() + 1);
                testbed.record.write(Event::WatchesStalled { gateway });
            }
            Fault::AgentSlow => {
                let delay = testbed.random.duration_ms(DISCOVERY_DELAY_MS.0, DISCOVERY_DELAY_MS.1);
                agent.delay.set(delay);
                testbed.record.write(Event::DiscoveryDelayed { gateway, delay });
                Timer::after(duration).await;
                agent.delay.set(Duration::ZERO);
                testbed.record.write(Event::DiscoveryDelayed { gateway, delay: Duration::ZERO });
            }
            _ => {}
        }
    }

    /// Opens many connections to a gateway and sends nothing on them.
    async fn flood_with_connections(&self, gateway: usize, duration: Duration) {
        let address = self.testbed.gateway_address(gateway);
        let mut connections = Vec::new();
        for _ in 0..FLOOD_CONNECTIONS {
            let connecting = TcpStream::connect(address);
            connections.extend(with_timeout(FLOOD_CONNECT_TIMEOUT, connecting).await);
        }
        Timer::after(duration).await;
    }

    fn clock_step_ms(&self) -> i64 {
        let step = self.testbed.random.below(MAX_CLOCK_STEP_MS as usize) as i64;
        if self.testbed.random.happens(0.5) { step } else { -step }
    }

    async fn cut_links(&self, gateways: Vec<usize>, servers: Vec<usize>, duration: Duration) {
        let set_all = |cut: bool| {
            for gateway in &gateways {
                servers.iter().for_each(|server| self.testbed.set_link_cut(*gateway, *server, cut));
            }
        };
        set_all(true);
        self.testbed.record.write(Event::LinksCut { servers: servers.clone(), cut: true });
        Timer::after(duration).await;
        set_all(false);
        self.testbed.record.write(Event::LinksCut { servers, cut: false });
    }

    /// Picks a healthy server of a random role; returns `None` if too many servers of that role are faulty.
    fn healthy_server(&self) -> Option<usize> {
        let (servers, random) = (&self.testbed.servers, &self.testbed.random);
        let role = if random.happens(0.5) { Role::Prefill } else { Role::Decode };
        let is_healthy = |number: &usize| {
            let server = &servers[*number];
            server.behavior.get() == ServerBehavior::Healthy && server.status.get() == EndpointStatus::Active
        };
        let of_role: Vec<usize> = (0..servers.len()).filter(|number| servers[*number].role == role).collect();
        let healthy: Vec<usize> = of_role.iter().copied().filter(is_healthy).collect();
        if of_role.len() - healthy.len() >= MAX_FAULTY_SERVERS {
            return None;
        }
        healthy.get(random.below(healthy.len())).copied()
    }

    async fn restart_server(&self, server: usize) {
        let (testbed, random) = (&self.testbed, &self.testbed.random);
        let state = &testbed.servers[server];
        testbed.set_behavior(server, ServerBehavior::Down);
        testbed.drop_cache(server);
        Timer::after(random.duration_ms(SERVER_DOWNTIME_MS.0, SERVER_DOWNTIME_MS.1)).await;
        state.restarts.set(state.restarts.get() + 1);
        state.started_ms.set(testbed.wall_ms());
        testbed.record.write(Event::ServerStarted { server });
        testbed.set_behavior(server, ServerBehavior::Healthy);
        Timer::after(random.duration_ms(LISTING_DELAY_MS.0, LISTING_DELAY_MS.1)).await;
        testbed.publish(server, EndpointStatus::Active);
    }
}

fn set_wall_clock(gateway: &Gateway, step_ms: i64) {
    let _ = gateway.faults.set(CallFault::WallOffset, step_ms * NANOS_PER_MS);
}
