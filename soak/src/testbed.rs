//! What all tasks of a run share: its parameters, addresses, states of servers and links, reserved KV cache.

use crate::random::Random;
use crate::record::{EndpointStatus, Event, Exchange, Record, Role};
use async_executor::LocalExecutor;
use event_listener::Event as Notification;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const PORT: u16 = 9000;
/// The lowest second byte of the loopback addresses that runs take.
const FIRST_SUBNET: u8 = 16;
const SUBNETS: u32 = 200;
/// Third bytes of addresses start here, by what listens there; the gateway's number is added.
const SERVER_ADDRESSES: u8 = 0;
const GATEWAY_ADDRESSES: u8 = 64;
const DISCOVERY_ADDRESSES: u8 = 128;
/// The zones of a deployment.
pub const ZONES: [&str; 2] = ["east", "west"];

/// Size and settings of the deployment, as the oracle holds gateways to them.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Gateways.
    pub gateways: usize,
    /// Model servers.
    pub servers: usize,
    /// Clients.
    pub clients: usize,
    /// Requests in transit may still reach a draining server for this long.
    pub drain_grace: Duration,
    /// Unused KV cache is released within this time.
    pub release_timeout: Duration,
    /// Servers recognize an idempotency key for this long.
    pub idempotency_window: Duration,
    /// How long a started server takes to warm up.
    pub warm_up: Duration,
    /// The share of its capacity that a server has as it starts.
    pub initial_capacity: f64,
    /// A server that is sent more than this multiple of its capacity is overloaded.
    pub overload_factor: f64,
    /// Overload is measured over this time.
    pub overload_window: Duration,
    /// The longest deadline of any request.
    pub max_deadline: Duration,
    /// Whether gateways may check the health of servers.
    pub health_checks: bool,
    /// Whether clients resume streams that broke.
    pub resume_streams: bool,
}

/// How a model server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// As it should.
    Healthy,
    /// Reads requests and sends no responses.
    Hanging,
    /// Its process is stopped: its host accepts connections and bytes, and nothing reads them until it goes on.
    Stopped,
    /// Responds with 500, breaks connections, sends invalid responses, declines.
    Faulty,
    /// Takes half a second longer.
    Slow,
    /// Closes connections as their next request arrives.
    ClosesIdleConnections,
    /// Refuses connections, and has reset those that were open.
    Down,
}

/// A model server.
pub struct Server {
    /// The step that it executes.
    pub role: Role,
    /// Its zone's index.
    pub zone: usize,
    /// How it behaves now.
    pub behavior: Cell<ServerBehavior>,
    /// Its state in the endpoint list.
    pub status: Cell<EndpointStatus>,
    /// When it last started, in milliseconds of the shared wall clock; zero for long ago.
    pub started_ms: Cell<u64>,
    /// How often it has restarted.
    pub restarts: Cell<u64>,
    /// Notified when its behavior has changed.
    pub changed: Notification,
}

/// The network link between a gateway and a server.
#[derive(Default)]
pub struct Link {
    /// Nothing is transmitted, and neither end is notified.
    pub cut: Cell<bool>,
    /// Counts how often its open connections fell silent: those carry nothing any more, new ones do.
    pub silences: Cell<u64>,
    /// Notified when it was cut or restored.
    pub changed: Notification,
}

/// The discovery agent on a gateway's host.
pub struct DiscoveryAgent {
    /// It responds to nothing.
    pub silent: Cell<bool>,
    /// Counts how often its open polls were stalled: they are never answered, new ones are.
    pub stalls: Cell<u64>,
    /// How long its responses are delayed.
    pub delay: Cell<Duration>,
    /// Which of its addresses serves.
    pub address: Cell<usize>,
}

/// The state of a run. Everything in it belongs to one thread.
pub struct Testbed {
    /// Executes all tasks of the run.
    pub executor: LocalExecutor<'static>,
    /// What was observed so far.
    pub record: Record,
    /// Size and settings of the deployment.
    pub parameters: Parameters,
    /// The randomness of all tasks.
    pub random: Random,
    /// The run's seed.
    pub seed: u64,
    /// Configurations and logs.
    pub folder: PathBuf,
    /// The second byte of all addresses of this run.
    subnet: u8,
    /// Keeps other runs from the subnet.
    _reservation: TcpListener,
    /// The model servers.
    pub servers: Vec<Server>,
    links: Vec<Link>,
    /// The discovery agents, by gateway.
    pub agents: Vec<DiscoveryAgent>,
    /// The endpoint list's version.
    pub list_version: Cell<u64>,
    /// Notified when the endpoint list has changed.
    pub list_changed: Notification,
    /// Servers that hold KV cache for a request.
    reservations: RefCell<BTreeMap<u64, BTreeSet<usize>>>,
    /// How far the wall clock of servers and discovery was stepped, in milliseconds.
    pub wall_step_ms: Cell<i64>,
    /// Gateways that clients connect to, with the current run of each.
    pub open_gateways: RefCell<BTreeMap<usize, usize>>,
    /// Clients send no further requests.
    pub finished: Cell<bool>,
    exchanges: Cell<u64>,
    /// Requests that a server has read.
    forwarded: RefCell<BTreeSet<u64>>,
    /// Why a task could not serve: such a run proves nothing.
    pub failure: RefCell<Option<io::Error>>,
}

/// Reserves a subnet that no other run has: several may run beside each other.
fn reserve_subnet() -> io::Result<(u8, TcpListener)> {
    let first = std::process::id() % SUBNETS;
    for offset in 0..SUBNETS {
        let subnet = FIRST_SUBNET + ((first + offset) % SUBNETS) as u8;
        match TcpListener::bind((Ipv4Addr::new(127, subnet, 255, 254), PORT)) {
            Ok(listener) => return Ok((subnet, listener)),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Server {
    fn new(number: usize) -> Server {
        Server {
            role: if number.is_multiple_of(2) { Role::Prefill } else { Role::Decode },
            zone: (number / 2) % ZONES.len(),
            behavior: Cell::new(ServerBehavior::Healthy),
            status: Cell::new(EndpointStatus::Active),
            started_ms: Cell::new(0),
            restarts: Cell::new(0),
            changed: Notification::new(),
        }
    }
}

impl DiscoveryAgent {
    fn new() -> DiscoveryAgent {
        DiscoveryAgent {
            silent: Cell::new(false),
            stalls: Cell::new(0),
            delay: Cell::new(Duration::ZERO),
            address: Cell::new(0),
        }
    }
}

impl Testbed {
    /// Reserves a subnet; all servers are healthy and active.
    pub fn new(parameters: Parameters, seed: u64, folder: PathBuf) -> io::Result<Rc<Testbed>> {
        let (subnet, reservation) = reserve_subnet()?;
        let links = parameters.gateways * parameters.servers;
        Ok(Rc::new(Testbed {
            executor: LocalExecutor::new(),
            record: Record::default(),
            parameters,
            random: Random::new(seed),
            seed,
            folder,
            subnet,
            _reservation: reservation,
            servers: (0..parameters.servers).map(Server::new).collect(),
            links: (0..links).map(|_| Link::default()).collect(),
            agents: (0..parameters.gateways).map(|_| DiscoveryAgent::new()).collect(),
            list_version: Cell::new(1),
            list_changed: Notification::new(),
            reservations: RefCell::default(),
            wall_step_ms: Cell::new(0),
            open_gateways: RefCell::default(),
            finished: Cell::new(false),
            exchanges: Cell::new(0),
            forwarded: RefCell::default(),
            failure: RefCell::default(),
        }))
    }

    /// Runs a task for as long as the run lasts.
    pub fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// The link between a gateway and a server.
    pub fn link(&self, gateway: usize, server: usize) -> &Link {
        &self.links[gateway * self.parameters.servers + server]
    }

    /// The third byte tells the kind and the gateway, the fourth which of its peers.
    fn address(&self, kind: u8, gateway: usize, peer: usize) -> SocketAddr {
        let third = kind + gateway as u8;
        SocketAddr::from((Ipv4Addr::new(127, self.subnet, third, 1 + peer as u8), PORT))
    }

    /// Where a gateway reaches a server.
    pub fn server_address(&self, gateway: usize, server: usize) -> SocketAddr {
        self.address(SERVER_ADDRESSES, gateway, server)
    }

    /// Where clients reach a gateway.
    pub fn gateway_address(&self, gateway: usize) -> SocketAddr {
        self.address(GATEWAY_ADDRESSES, gateway, 0)
    }

    /// One of the addresses of a gateway's discovery agent.
    pub fn agent_address(&self, gateway: usize, index: usize) -> SocketAddr {
        self.address(DISCOVERY_ADDRESSES, gateway, index)
    }

    /// Milliseconds since 1970 by the wall clock of servers and discovery.
    pub fn wall_ms(&self) -> u64 {
        let real = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        real.saturating_add_signed(self.wall_step_ms.get())
    }

    /// Identifies a new exchange.
    pub fn next_exchange(&self) -> Exchange {
        self.exchanges.set(self.exchanges.get() + 1);
        Exchange(self.exchanges.get())
    }

    /// Notes that a server has read a request.
    pub fn note_forwarded(&self, request: u64) {
        self.forwarded.borrow_mut().insert(request);
    }

    /// Whether a server has read a request.
    pub fn was_forwarded(&self, request: u64) -> bool {
        self.forwarded.borrow().contains(&request)
    }

    /// Reserves KV cache for a request at a server.
    pub fn reserve_cache(&self, request: u64, server: usize) {
        if self.reservations.borrow_mut().entry(request).or_default().insert(server) {
            self.record.write(Event::CacheReserved { request, server });
        }
    }

    /// Releases the KV cache of a request at all servers; whether there was any.
    pub fn release_cache(&self, request: u64) -> bool {
        let released = self.reservations.borrow_mut().remove(&request).unwrap_or_default();
        for server in &released {
            self.record.write(Event::CacheReleased { request, server: *server });
        }
        !released.is_empty()
    }

    /// Drops all KV cache of a server.
    pub fn drop_cache(&self, server: usize) {
        let mut reservations = self.reservations.borrow_mut();
        for (request, servers) in reservations.iter_mut() {
            if servers.remove(&server) {
                self.record.write(Event::CacheReleased { request: *request, server });
            }
        }
        reservations.retain(|_, servers| !servers.is_empty());
    }

    /// Publishes a new state of a server in the endpoint list.
    pub fn publish(&self, server: usize, status: EndpointStatus) {
        self.servers[server].status.set(status);
        self.list_version.set(self.list_version.get() + 1);
        self.list_changed.notify(usize::MAX);
        for (gateway, agent) in self.agents.iter().enumerate() {
            if !agent.silent.get() {
                self.record.write(Event::EndpointUpdated { gateway, server, status });
            }
        }
    }

    /// Records that a gateway's discovery agent has the whole endpoint list.
    pub fn record_endpoint_list(&self, gateway: usize) {
        for (server, state) in self.servers.iter().enumerate() {
            self.record.write(Event::EndpointUpdated { gateway, server, status: state.status.get() });
        }
    }

    /// Stops a discovery agent's responses, or has it respond again, with the updates that it missed.
    pub fn set_agent_silent(&self, gateway: usize, silent: bool) {
        self.agents[gateway].silent.set(silent);
        self.record.write(Event::DiscoveryAvailability { gateway, available: !silent });
        if !silent {
            self.record_endpoint_list(gateway);
        }
    }

    /// Changes how a server behaves.
    pub fn set_behavior(&self, server: usize, behavior: ServerBehavior) {
        self.servers[server].behavior.set(behavior);
        self.servers[server].changed.notify(usize::MAX);
    }

    /// All open connections of a link fall silent, without an error at either end.
    pub fn silence_connections(&self, gateway: usize, server: usize) {
        let link = self.link(gateway, server);
        link.silences.set(link.silences.get() + 1);
        link.changed.notify(usize::MAX);
    }

    /// Cuts a link, or restores it.
    pub fn set_link_cut(&self, gateway: usize, server: usize, cut: bool) {
        let link = self.link(gateway, server);
        link.cut.set(cut);
        link.changed.notify(usize::MAX);
    }
}
