//! Troubles: drawn from the seed, several at once, each with a beginning and an end.

use crate::discovery::ADDRESSES;
use crate::process::Gateway;
use crate::record::{Event, Role, Status};
use crate::shim::Fault;
use crate::world::{Manner, World, ZONES};
use async_io::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Between the beginnings of two troubles.
const BETWEEN: (u64, u64) = (150, 1_200);
const LASTS: (u64, u64) = (300, 4_000);
/// The most by which a wall clock is stepped.
const STEP_MOST_MS: i64 = 3_600_000;
const HELD_UP: Duration = Duration::from_millis(150);
const MOST_IMPAIRED: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Restart,
    Crash,
    Reloads,
    WallClockEverywhere,
    WallClockOfOne,
    Interrupted,
    ShortTransfers,
    ConnectFails,
    SocketFails,
    AcceptFails,
    NoMemory,
    Broken,
    HeldUp,
    ZoneCut,
    ServerCut,
    ServerManner(Manner),
    ServerRestart,
    Drain,
    AgentSilent,
    AllAgentsSilent,
    WatchesSilent,
    AgentSlow,
}

const TROUBLES: [Trouble; 26] = [
    Trouble::Restart,
    Trouble::Restart,
    Trouble::Crash,
    Trouble::Reloads,
    Trouble::WallClockEverywhere,
    Trouble::WallClockOfOne,
    Trouble::Interrupted,
    Trouble::ShortTransfers,
    Trouble::ConnectFails,
    Trouble::SocketFails,
    Trouble::AcceptFails,
    Trouble::NoMemory,
    Trouble::Broken,
    Trouble::HeldUp,
    Trouble::ZoneCut,
    Trouble::ServerCut,
    Trouble::ServerManner(Manner::Hangs),
    Trouble::ServerManner(Manner::Bad),
    Trouble::ServerManner(Manner::Slow),
    Trouble::ServerManner(Manner::ForgetsIdle),
    Trouble::ServerRestart,
    Trouble::Drain,
    Trouble::AgentSilent,
    Trouble::AllAgentsSilent,
    Trouble::WatchesSilent,
    Trouble::AgentSlow,
];

impl Trouble {
    fn name(self) -> String {
        match self {
            Trouble::ServerManner(manner) => format!("Server{manner:?}"),
            other => format!("{other:?}"),
        }
    }
}

/// The troubles of a run.
pub struct Troubles {
    world: Rc<World>,
    gateways: Vec<Rc<Gateway>>,
    begun: Cell<usize>,
}

impl Troubles {
    pub fn new(world: &Rc<World>, gateways: Vec<Rc<Gateway>>) -> Rc<Troubles> {
        Rc::new(Troubles { world: world.clone(), gateways, begun: Cell::new(0) })
    }

    /// Begins one after the other until that time; they may end later.
    pub async fn play(self: Rc<Self>, until: Duration) {
        let world = &self.world;
        while world.record.now() < until {
            Timer::after(world.chance.time(BETWEEN.0, BETWEEN.1)).await;
            let trouble = TROUBLES[world.chance.below(TROUBLES.len())];
            let number = self.begun.get();
            self.begun.set(number + 1);
            let own = self.clone();
            world.spawn(async move {
                let gateway = own.world.chance.below(own.gateways.len());
                let note = |began| {
                    let kind = trouble.name();
                    own.world.record.write(Event::Trouble { kind, gateway, number, began });
                };
                note(true);
                own.bring(trouble, gateway).await;
                note(false);
            });
        }
    }

    async fn bring(&self, trouble: Trouble, at: usize) {
        let world = &self.world;
        let (chance, gateway) = (&world.chance, &self.gateways[at]);
        let lasts = chance.time(LASTS.0, LASTS.1);
        match trouble {
            Trouble::Restart => gateway.restart().await,
            Trouble::Crash => gateway.crash(chance.time(50, 2_000)).await,
            Trouble::Reloads => {
                for _ in 0..=chance.below(3) {
                    gateway.reload(chance.below(ADDRESSES));
                    Timer::after(chance.time(20, 1_500)).await;
                }
            }
            Trouble::WallClockEverywhere => {
                let step = self.step();
                world.wall_step.set(step);
                self.gateways.iter().for_each(|gateway| set_wall(gateway, step));
            }
            Trouble::WallClockOfOne => set_wall(gateway, self.step()),
            Trouble::Interrupted => {
                self.suffer(gateway, Fault::Interrupted, 5 + chance.below(195), lasts).await
            }
            Trouble::ShortTransfers => {
                self.suffer(gateway, Fault::ShortTransfer, 2 + chance.below(50), lasts).await
            }
            Trouble::ConnectFails => {
                self.suffer(gateway, Fault::ConnectFails, 1 + chance.below(8), lasts / 8).await
            }
            Trouble::SocketFails => {
                self.suffer(gateway, Fault::SocketFails, 1 + chance.below(8), lasts / 8).await
            }
            Trouble::AcceptFails => {
                self.suffer(gateway, Fault::AcceptFails, 1 + chance.below(8), lasts / 8).await
            }
            Trouble::NoMemory => self.suffer(gateway, Fault::NoMemory, 5 + chance.below(195), lasts).await,
            Trouble::Broken => {
                world.record.write(Event::Breaks { gateway: at, breaks: true });
                self.suffer(gateway, Fault::Broken, 30 + chance.below(300), lasts).await;
                world.record.write(Event::Breaks { gateway: at, breaks: false });
            }
            Trouble::HeldUp => {
                let _ = gateway.faults.set(Fault::HeldUpFor, HELD_UP.as_nanos() as i64);
                self.suffer(gateway, Fault::HeldUp, 20 + chance.below(200), lasts).await;
            }
            Trouble::ZoneCut => {
                let zone = chance.below(ZONES.len());
                let apart = |n: &usize| n % ZONES.len() != zone;
                let gateways: Vec<usize> = (0..self.gateways.len()).filter(apart).collect();
                let servers = (0..world.servers.len()).filter(|n| world.servers[*n].zone == zone).collect();
                self.cut(gateways, servers, lasts).await;
            }
            Trouble::ServerCut => {
                let server = chance.below(world.servers.len());
                self.cut((0..self.gateways.len()).collect(), vec![server], lasts).await;
            }
            Trouble::ServerManner(manner) => {
                let Some(server) = self.sound_server() else { return };
                world.set_manner(server, manner);
                Timer::after(lasts).await;
                world.set_manner(server, Manner::Good);
            }
            Trouble::ServerRestart => {
                let Some(server) = self.sound_server() else { return };
                self.server_restart(server).await;
            }
            Trouble::Drain => {
                let Some(server) = self.sound_server() else { return };
                world.relist(server, Status::Leaving);
                Timer::after(lasts + world.terms.drain_grace).await;
                world.relist(server, Status::Left);
                Timer::after(world.terms.drain_grace).await;
                self.server_restart(server).await;
            }
            Trouble::AgentSilent => {
                world.silence(at, true);
                Timer::after(lasts).await;
                world.silence(at, false);
            }
            Trouble::AllAgentsSilent => {
                (0..self.gateways.len()).for_each(|gateway| world.silence(gateway, true));
                Timer::after(lasts).await;
                (0..self.gateways.len()).for_each(|gateway| world.silence(gateway, false));
            }
            Trouble::WatchesSilent => {
                let agent = &world.agents[at];
                agent.watches_fell_silent.set(agent.watches_fell_silent.get() + 1);
                world.record.write(Event::WatchesSilent { gateway: at });
            }
            Trouble::AgentSlow => {
                let slow = &world.agents[at].slow;
                slow.set(chance.time(100, 1_500));
                world.record.write(Event::AgentSlow { gateway: at, slow: slow.get() });
                Timer::after(lasts).await;
                slow.set(Duration::ZERO);
                world.record.write(Event::AgentSlow { gateway: at, slow: Duration::ZERO });
            }
        }
    }

    fn step(&self) -> i64 {
        let most = self.world.chance.below(STEP_MOST_MS as usize) as i64;
        if self.world.chance.hits(0.5) { most } else { -most }
    }

    async fn suffer(&self, gateway: &Gateway, fault: Fault, rate: usize, lasts: Duration) {
        let _ = gateway.faults.set(fault, rate as i64);
        Timer::after(lasts).await;
        let _ = gateway.faults.set(fault, 0);
    }

    async fn cut(&self, gateways: Vec<usize>, servers: Vec<usize>, lasts: Duration) {
        let each = |cut: bool| {
            for gateway in &gateways {
                servers.iter().for_each(|server| self.world.cut(*gateway, *server, cut));
            }
        };
        each(true);
        self.world.record.write(Event::Cut { servers: servers.clone(), cut: true });
        Timer::after(lasts).await;
        each(false);
        self.world.record.write(Event::Cut { servers, cut: false });
    }

    /// A server that nothing is wrong with, where not too many of its role are impaired.
    fn sound_server(&self) -> Option<usize> {
        let sound = |n: &usize| {
            let server = &self.world.servers[*n];
            server.manner.get() == Manner::Good && server.status.get() == Status::Active
        };
        let role = if self.world.chance.hits(0.5) { Role::Prefill } else { Role::Decode };
        let of_role: Vec<usize> =
            (0..self.world.servers.len()).filter(|n| self.world.servers[*n].role == role).collect();
        let good: Vec<usize> = of_role.iter().copied().filter(sound).collect();
        let enough = of_role.len() - good.len() < MOST_IMPAIRED;
        enough.then(|| good.get(self.world.chance.below(good.len())).copied())?
    }

    async fn server_restart(&self, server: usize) {
        let (world, state) = (&self.world, &self.world.servers[server]);
        world.set_manner(server, Manner::Down);
        world.forget(server);
        Timer::after(world.chance.time(100, 1_500)).await;
        state.starts.set(state.starts.get() + 1);
        state.stamp.set(world.wall_ms());
        world.record.write(Event::Started { server });
        world.set_manner(server, Manner::Good);
        Timer::after(world.chance.time(1, 200)).await;
        world.relist(server, Status::Active);
    }
}

fn set_wall(gateway: &Gateway, step_ms: i64) {
    let _ = gateway.faults.set(Fault::WallOffset, step_ms * 1_000_000);
}
