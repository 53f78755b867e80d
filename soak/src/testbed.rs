//! The state that all tasks of a run share: parameters, addresses, states of servers and links, and reserved KV cache.

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
/// The lowest second byte of the loopback addresses that runs use.
const FIRST_SUBNET: u8 = 16;
const SUBNET_COUNT: u32 = 200;
/// The third byte of an address is one of these values, by what listens there, plus the gateway's number.
const SERVER_ADDRESS_BASE: u8 = 0;
const GATEWAY_ADDRESS_BASE: u8 = 64;
const DISCOVERY_ADDRESS_BASE: u8 = 128;
/// The zones of a deployment.
pub const ZONES: [&str; 2] = ["east", "west"];

/// The size and settings of the deployment, by which the oracle judges the gateways.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// The number of gateways.
    pub gateways: usize,
    /// The number of model servers.
    pub servers: usize,
    /// The number of clients.
    pub clients: usize,
    /// Time during which requests in transit may still reach a server that has begun to drain.
    pub drain_grace: Duration,
    /// Time within which a gateway must release unused KV cache.
    pub release_timeout: Duration,
    /// Time for which servers recognize an idempotency key.
    pub idempotency_window: Duration,
    /// Time that a server takes to warm up after its start.
    pub warm_up: Duration,
    /// The share of its full capacity that a server has right after its start.
    pub initial_capacity: f64,
    /// The multiple of its capacity beyond which a server is overloaded.
    pub overload_factor: f64,
    /// Time over which overload is measured.
    pub overload_window: Duration,
    /// The longest deadline of any request.
    pub max_deadline: Duration,
    /// True if gateways may check the health of servers.
    pub health_checks: bool,
    /// True if clients resume broken streams.
    pub resume_streams: bool,
}

/// The behavior of a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Serves requests correctly.
    Healthy,
    /// Reads prefill and decode requests and sends no responses to them. Still answers health checks and release
    /// requests.
    Hanging,
    /// Its process is stopped: its host still accepts connections and bytes, but nothing reads them until the process
    /// continues.
    Stopped,
    /// Responds with error statuses, breaks connections, sends invalid responses, or declines requests.
    Faulty,
    /// Takes half a second longer for each step of its work.
    Slow,
    /// May close an idle connection just as the next request arrives on it.
    ClosesIdleConnections,
    /// Refuses new connections and has reset all open connections.
    Down,
}

/// A model server.
pub struct Server {
    /// The step of a request that the server executes.
    pub role: Role,
    /// The index of the server's zone in [`ZONES`].
    pub zone: usize,
    /// The current behavior of the server.
    pub behavior: Cell<ServerBehavior>,
    /// The server's status in the endpoint list.
    pub status: Cell<EndpointStatus>,
    /// The time of the server's last start, in milliseconds of the wall clock of servers and discovery; zero if the
    /// server started long before the run.
    pub started_ms: Cell<u64>,
    /// The number of times that the server has restarted.
    pub restarts: Cell<u64>,
    /// Notifies tasks when the behavior of the server changes.
    pub changed: Notification,
}

/// The network link between a gateway and a server.
#[derive(Default)]
pub struct Link {
    /// True while the link is cut: it transmits nothing, and neither end gets an error.
    pub cut: Cell<bool>,
    /// Counts how often the open connections of the link fell silent. A silent connection transmits nothing any more;
    /// connections that are opened later do.
    pub silences: Cell<u64>,
    /// Notifies tasks when the link is cut or restored, or when connections of the link fall silent.
    pub changed: Notification,
}

/// The discovery agent on a gateway's host.
pub struct DiscoveryAgent {
    /// True while the agent responds to no request.
    pub silent: Cell<bool>,
    /// Counts how often the open polls of the agent were stalled. The agent never answers a stalled poll, but answers
    /// polls on connections that are opened later.
    pub stalls: Cell<u64>,
    /// The delay of the agent's responses.
    pub delay: Cell<Duration>,
    /// The index of the address at which the agent serves.
    pub address: Cell<usize>,
}

/// The state of a run. A single thread uses the whole state.
pub struct Testbed {
    /// Executes all tasks of the run.
    pub executor: LocalExecutor<'static>,
    /// The events observed so far.
    pub record: Record,
    /// The size and settings of the deployment.
    pub parameters: Parameters,
    /// The random generator that all tasks share.
    pub random: Random,
    /// The run's seed.
    pub seed: u64,
    /// The folder for configurations and logs.
    pub folder: PathBuf,
    /// The second byte of all addresses of this run.
    subnet: u8,
    /// Keeps other runs from using the subnet.
    _reservation: TcpListener,
    /// The model servers.
    pub servers: Vec<Server>,
    links: Vec<Link>,
    /// The discovery agents, by gateway.
    pub agents: Vec<DiscoveryAgent>,
    /// The version of the endpoint list.
    pub list_version: Cell<u64>,
    /// Notifies tasks when the endpoint list changes.
    pub list_changed: Notification,
    /// The servers that hold KV cache, by request.
    reservations: RefCell<BTreeMap<u64, BTreeSet<usize>>>,
    /// The offset of the wall clock of servers and discovery, in milliseconds.
    pub wall_step_ms: Cell<i64>,
    /// The gateways that clients may connect to, each with the number of its current process.
    pub open_gateways: RefCell<BTreeMap<usize, usize>>,
    /// True once clients have to stop sending requests.
    pub finished: Cell<bool>,
    last_exchange: Cell<u64>,
    /// The requests that a server has read.
    forwarded: RefCell<BTreeSet<u64>>,
    /// The first error that kept a model server or discovery agent from serving. A run with such an error proves
    /// nothing and is not judged.
    pub failure: RefCell<Option<io::Error>>,
}

/// Reserves a subnet that no other run uses, so that several runs may execute at the same time. The subnet stays
/// reserved for as long as the listener exists.
fn reserve_subnet() -> io::Result<(u8, TcpListener)> {
    let first = std::process::id() % SUBNET_COUNT;
    for offset in 0..SUBNET_COUNT {
        let subnet = FIRST_SUBNET + ((first + offset) % SUBNET_COUNT) as u8;
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
    /// Reserves a subnet and creates the state, with all servers healthy and active.
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
            last_exchange: Cell::new(0),
            forwarded: RefCell::default(),
            failure: RefCell::default(),
        }))
    }

    /// Starts a background task that ends with the run at the latest.
    pub fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// The link between a gateway and a server.
    pub fn link(&self, gateway: usize, server: usize) -> &Link {
        &self.links[gateway * self.parameters.servers + server]
    }

    /// Builds an address. The third byte encodes the kind of listener and the gateway, the fourth byte the peer.
    fn address(&self, base: u8, gateway: usize, peer: usize) -> SocketAddr {
        let third = base + gateway as u8;
        SocketAddr::from((Ipv4Addr::new(127, self.subnet, third, 1 + peer as u8), PORT))
    }

    /// The address at which a gateway reaches a server.
    pub fn server_address(&self, gateway: usize, server: usize) -> SocketAddr {
        self.address(SERVER_ADDRESS_BASE, gateway, server)
    }

    /// The address at which clients reach a gateway.
    pub fn gateway_address(&self, gateway: usize) -> SocketAddr {
        self.address(GATEWAY_ADDRESS_BASE, gateway, 0)
    }

    /// One of the addresses of a gateway's discovery agent.
    pub fn agent_address(&self, gateway: usize, index: usize) -> SocketAddr {
        self.address(DISCOVERY_ADDRESS_BASE, gateway, index)
    }

    /// The wall clock of servers and discovery, in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        let system_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64);
        system_ms.saturating_add_signed(self.wall_step_ms.get())
    }

    /// Returns the identifier of a new exchange.
    pub fn next_exchange(&self) -> Exchange {
        self.last_exchange.set(self.last_exchange.get() + 1);
        Exchange(self.last_exchange.get())
    }

    /// Records that a server has read a request.
    pub fn mark_forwarded(&self, request: u64) {
        self.forwarded.borrow_mut().insert(request);
    }

    /// Returns true if a server has read the request.
    pub fn was_forwarded(&self, request: u64) -> bool {
        self.forwarded.borrow().contains(&request)
    }

    /// Reserves KV cache for a request at a server.
    pub fn reserve_cache(&self, request: u64, server: usize) {
        if self.reservations.borrow_mut().entry(request).or_default().insert(server) {
            self.record.write(Event::CacheReserved { request, server });
        }
    }

    /// Releases the KV cache of a request at all servers. Returns true if a server held any.
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

    /// Publishes a new status of a server in the endpoint list.
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

    /// Silences a discovery agent, or has it respond again with the updates that its gateway missed.
    pub fn set_agent_silent(&self, gateway: usize, silent: bool) {
        self.agents[gateway].silent.set(silent);
        self.record.write(Event::DiscoveryAvailability { gateway, available: !silent });
        if !silent {
            self.record_endpoint_list(gateway);
        }
    }

    /// Changes the behavior of a server.
    pub fn set_behavior(&self, server: usize, behavior: ServerBehavior) {
        self.servers[server].behavior.set(behavior);
        self.servers[server].changed.notify(usize::MAX);
    }

    /// Silences all open connections of a link, without an error at either end.
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
