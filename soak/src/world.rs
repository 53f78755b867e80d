//! What all parties of a soak share: the plan's sizes, addresses, conditions of servers and links, what is held.

use crate::random::Chance;
use crate::record::{Event, Record, Role, Status};
use async_executor::LocalExecutor;
use event_listener::Event as Changed;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const PORT: u16 = 9000;
/// Second bytes of loopback addresses that runs take.
const FIRST_BASE: u8 = 16;
const BASES: u32 = 200;
pub const ZONES: [&str; 2] = ["east", "west"];

/// Settings of the deployment that a run plays, as the oracle holds gateways to them.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub gateways: usize,
    pub servers: usize,
    pub clients: usize,
    pub drain_grace: Duration,
    pub release_within: Duration,
    pub token_window: Duration,
    pub cold_for: Duration,
    pub cold_from: f64,
    pub overload_factor: f64,
    pub overload_for: Duration,
    pub longest_deadline: Duration,
    /// Clients ask for the rest of a stream that broke.
    pub resume: bool,
}

/// How a model server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Good,
    /// Reads, and answers nothing.
    Hangs,
    /// Answers 500, breaks connections, spoils answers, declines.
    Bad,
    /// Takes half a second longer.
    Slow,
    /// Closes connections as their next request comes.
    ForgetsIdle,
    /// Nothing listens there, and what was open is broken.
    Down,
}

pub struct Server {
    pub role: Role,
    pub zone: usize,
    pub manner: Cell<Manner>,
    pub status: Cell<Status>,
    /// When it last started, by the wall clock of the world, in milliseconds; zero for long ago.
    pub stamp: Cell<u64>,
    pub starts: Cell<u64>,
    pub changed: Changed,
}

/// The way between a gateway and a server.
#[derive(Default)]
pub struct Link {
    /// Nothing passes, and nothing is said about it.
    pub cut: Cell<bool>,
    pub changed: Changed,
}

/// Discovery's agent on a gateway's machine.
pub struct AgentState {
    pub silent: Cell<bool>,
    /// Calls that wait are never answered; new ones are.
    pub watches_fell_silent: Cell<u64>,
    pub slow: Cell<Duration>,
    /// Which of its addresses serves.
    pub address: Cell<usize>,
}

pub struct World {
    pub executor: LocalExecutor<'static>,
    pub record: Record,
    pub terms: Terms,
    pub chance: Chance,
    pub seed: u64,
    pub folder: PathBuf,
    /// The second byte of all addresses of this run, and what keeps others from it.
    base: u8,
    _reserved: TcpListener,
    pub servers: Vec<Server>,
    links: Vec<Link>,
    pub agents: Vec<AgentState>,
    /// The list's version, and when it changed.
    pub index: Cell<u64>,
    pub list_changed: Changed,
    /// States held for a request, by server.
    held: RefCell<BTreeMap<u64, BTreeSet<usize>>>,
    /// How far the wall clock of servers and discovery has been stepped, in milliseconds.
    pub wall_step: Cell<i64>,
    /// Gateways that clients turn to, with the run of each.
    pub open: RefCell<BTreeMap<usize, usize>>,
    pub over: Cell<bool>,
    next_exchange: Cell<u64>,
    /// Requests that a server has read.
    sent_on: RefCell<BTreeSet<u64>>,
    /// Why a party could not serve: such a run says nothing.
    pub failed: RefCell<Option<io::Error>>,
}

/// Addresses that no other run has: runs may play beside each other.
fn reserve() -> io::Result<(u8, TcpListener)> {
    let first = std::process::id() % BASES;
    for offset in 0..BASES {
        let base = FIRST_BASE + ((first + offset) % BASES) as u8;
        match TcpListener::bind((Ipv4Addr::new(127, base, 255, 254), PORT)) {
            Ok(listener) => return Ok((base, listener)),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl World {
    pub fn new(terms: Terms, seed: u64, folder: PathBuf) -> io::Result<Rc<World>> {
        let (base, reserved) = reserve()?;
        let server = |n: usize| Server {
            role: if n.is_multiple_of(2) { Role::Prefill } else { Role::Decode },
            zone: (n / 2) % ZONES.len(),
            manner: Cell::new(Manner::Good),
            status: Cell::new(Status::Active),
            stamp: Cell::new(0),
            starts: Cell::new(0),
            changed: Changed::new(),
        };
        let agent = |_| AgentState {
            silent: Cell::new(false),
            watches_fell_silent: Cell::new(0),
            slow: Cell::new(Duration::ZERO),
            address: Cell::new(0),
        };
        Ok(Rc::new(World {
            executor: LocalExecutor::new(),
            record: Record::default(),
            terms,
            chance: Chance::new(seed),
            seed,
            folder,
            base,
            _reserved: reserved,
            servers: (0..terms.servers).map(server).collect(),
            links: (0..terms.gateways * terms.servers).map(|_| Link::default()).collect(),
            agents: (0..terms.gateways).map(agent).collect(),
            index: Cell::new(1),
            list_changed: Changed::new(),
            held: RefCell::default(),
            wall_step: Cell::new(0),
            open: RefCell::default(),
            over: Cell::new(false),
            next_exchange: Cell::new(0),
            sent_on: RefCell::default(),
            failed: RefCell::default(),
        }))
    }

    pub fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    pub fn link(&self, gateway: usize, server: usize) -> &Link {
        &self.links[gateway * self.terms.servers + server]
    }

    fn address(&self, kind: u8, gateway: usize, other: usize) -> SocketAddr {
        // The third byte tells the kind and the gateway, the fourth which of the others.
        let third = kind + gateway as u8;
        SocketAddr::from((Ipv4Addr::new(127, self.base, third, 1 + other as u8), PORT))
    }

    /// Where a gateway reaches a server.
    pub fn server_address(&self, gateway: usize, server: usize) -> SocketAddr {
        self.address(0, gateway, server)
    }

    pub fn gateway_address(&self, gateway: usize) -> SocketAddr {
        self.address(64, gateway, 0)
    }

    pub fn agent_address(&self, gateway: usize, which: usize) -> SocketAddr {
        self.address(128, gateway, which)
    }

    /// Milliseconds since 1970 by the wall clock of servers and discovery.
    pub fn wall_ms(&self) -> u64 {
        let real = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        real.saturating_add_signed(self.wall_step.get())
    }

    pub fn exchange(&self) -> u64 {
        self.next_exchange.set(self.next_exchange.get() + 1);
        self.next_exchange.get()
    }

    /// A server has read a request.
    pub fn note_sent_on(&self, request: u64) {
        self.sent_on.borrow_mut().insert(request);
    }

    pub fn was_sent_on(&self, request: u64) -> bool {
        self.sent_on.borrow().contains(&request)
    }

    pub fn hold(&self, request: u64, server: usize) {
        if self.held.borrow_mut().entry(request).or_default().insert(server) {
            self.record.write(Event::Held { request, server });
        }
    }

    /// Frees what is held for a request, at all servers; whether something was.
    pub fn free(&self, request: u64) -> bool {
        let freed = self.held.borrow_mut().remove(&request).unwrap_or_default();
        for server in &freed {
            self.record.write(Event::Freed { request, server: *server });
        }
        !freed.is_empty()
    }

    /// A server has forgotten all.
    pub fn forget(&self, server: usize) {
        let mut held = self.held.borrow_mut();
        for (request, servers) in held.iter_mut() {
            if servers.remove(&server) {
                self.record.write(Event::Freed { request: *request, server });
            }
        }
        held.retain(|_, servers| !servers.is_empty());
    }

    /// The list has changed for one server.
    pub fn relist(&self, server: usize, status: Status) {
        self.servers[server].status.set(status);
        self.index.set(self.index.get() + 1);
        self.list_changed.notify(usize::MAX);
        for (gateway, agent) in self.agents.iter().enumerate() {
            if !agent.silent.get() {
                self.record.write(Event::Had { gateway, server, status });
            }
        }
    }

    /// An agent stops answering, or answers again and has what it missed.
    pub fn silence(&self, gateway: usize, silent: bool) {
        self.agents[gateway].silent.set(silent);
        self.record.write(Event::Agent { gateway, up: !silent });
        if !silent {
            for (server, state) in self.servers.iter().enumerate() {
                self.record.write(Event::Had { gateway, server, status: state.status.get() });
            }
        }
    }

    pub fn set_manner(&self, server: usize, manner: Manner) {
        self.servers[server].manner.set(manner);
        self.servers[server].changed.notify(usize::MAX);
    }

    pub fn cut(&self, gateway: usize, server: usize, cut: bool) {
        let link = self.link(gateway, server);
        link.cut.set(cut);
        link.changed.notify(usize::MAX);
    }

    /// The list as a gateway is told it.
    pub fn endpoints(&self, gateway: usize) -> String {
        let entry = |(n, server): (usize, &Server)| {
            let status = match server.status.get() {
                Status::Active => "active",
                Status::Leaving => "leaving",
                Status::Left => return None,
            };
            let kind = if server.role == Role::Prefill { "reader" } else { "writer" };
            let zone = ZONES[server.zone];
            Some(format!(
                r#"{{"name":"s-{n}","address":"{}","zone":"{zone}","type":"{kind}","group":{},"status":"{status}","weight":1.0,"since_ms":{}}}"#,
                self.server_address(gateway, n),
                server.zone,
                server.stamp.get()
            ))
        };
        self.servers.iter().enumerate().filter_map(entry).collect::<Vec<_>>().join(",")
    }

    /// The configuration of a gateway as of now.
    pub fn config(&self, gateway: usize, run: usize) -> String {
        let terms = &self.terms;
        let nanos = |time: Duration| time.as_nanos();
        let lane = |name: &str, semantics: &str| {
            format!(
                r#"{{"aim":600000000,"hardLimit":{},"name":"{name}","semantics":"{semantics}","dedupScope":"zone","window":{},"streamed":true,"worth":2.0}}"#,
                nanos(terms.longest_deadline),
                nanos(terms.token_window)
            )
        };
        let lanes = [lane("chat", "free"), lane("unlock", "single_shot"), lane("order", "guarded")].join(",");
        let (zone, other) = (ZONES[gateway % ZONES.len()], ZONES[(gateway + 1) % ZONES.len()]);
        format!(
            r#"{{"name":"n{gateway}","listen":"{}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},
            "known":{{"index":{},"snapshot":true,"endpoints":[{}]}},
            "settings":{{"allowed":{{"connIdle":4000000000,"maxAttempts":4,"maxRetryAfter":1000000000,"retryAfter":true}},
            "balancers":{},"dcs":["{zone}","{other}"],"kinds":["reader","writer"],"membershipMode":"pushed","orgs":[],"lanes":[{lanes}],
            "overShareWorth":0.1,"report":{{"fields":["inflight","x0"],"how":"inline"}},
            "rules":{{"askEvery":10000000000,"cold":{},"coldFrom":{},"drainGrace":{},"overloadFactor":{},"overloadFor":{}}},
            "specifics":{{"aimUsPer1000PromptTokens":[40000.0,40000.0,40000.0],"kindRole":["read","write"],"memoryTokens":[200000,150000],
            "readInPlace":false,"releaseWithin":{},"reportX0":"share of memory that is held","resume":{},
            "tokenAim":[60000000,60000000,60000000]}},"tick":4000000,"weights":"off","zone":"{zone}"}}}}"#,
            self.gateway_address(gateway),
            self.agent_address(gateway, self.agents[gateway].address.get()),
            self.seed.wrapping_mul(1_000_003).wrapping_add((gateway * 1000 + run) as u64),
            self.index.get(),
            self.endpoints(gateway),
            terms.gateways,
            nanos(terms.cold_for),
            terms.cold_from,
            nanos(terms.drain_grace),
            terms.overload_factor,
            nanos(terms.overload_for),
            nanos(terms.release_within),
            terms.resume,
        )
    }
}
