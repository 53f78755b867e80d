//! One gateway on the operators' platform: start, reload, stop.

use crate::signals::{Signal, Signals};
use async_executor::LocalExecutor;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use petrelshore::interface::Nanos;
use petrelshore_chat_gateway::Spawner;
use petrelshore_ingress::listener::bind;
use petrelshore_platform_gateway::{ConnectionCounts, PlatformGateway, discovery};
use petrelshore_platform_ingress::Clients;
use petrelshore_platform_protocol::config::{Config, config};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Names the file that a gateway starts from.
const FILE: &str = "LB_CONFIG";
/// Descriptors that are neither a client's nor a model server's: discovery's calls, the listener, signals, the reactor,
/// and connections of clients that are told that there is no place, or whose places went to others.
const OWN: usize = 36;
/// Part of the others that clients may hold.
const CLIENTS: f64 = 0.6;
/// A file that is just being written is read again so often, after a pause.
const READINGS: usize = 10;
const PAUSE: Duration = Duration::from_millis(100);
/// And after these so often, with a longer pause: whoever writes it may have been killed, and write it anew.
const LATE_READINGS: usize = 600;
const LATE_PAUSE: Duration = Duration::from_secs(1);
/// Once nothing is left, whoever has connected meanwhile is looked for, for so long.
const LAST_LOOK: Duration = Duration::from_millis(5);
/// Streams are moved in steps of this.
const A_MOVE: Nanos = 50 * MILLISECOND;
const MILLISECOND: Nanos = 1_000_000;
/// What the gateway holds is logged so often.
const LOGGED: Duration = Duration::from_secs(5);

/// Why a configuration was not had.
enum NoConfig {
    /// The file could not be read, which may pass.
    Unread(String),
    Malformed(String),
}

impl From<NoConfig> for String {
    fn from(why: NoConfig) -> String {
        match why {
            NoConfig::Unread(what) | NoConfig::Malformed(what) => what,
        }
    }
}

fn read() -> Result<Config, NoConfig> {
    let file = std::env::var(FILE).map_err(|_| NoConfig::Malformed(format!("{FILE} is not set")))?;
    let text =
        std::fs::read_to_string(&file).map_err(|error| NoConfig::Unread(format!("{file}: {error}")))?;
    config(&text).map_err(|what| NoConfig::Malformed(format!("{file}: {what}")))
}

/// Reads the file at the start, again where it could not be read.
fn read_at_start() -> Result<Config, NoConfig> {
    for _ in 1..READINGS {
        match read() {
            Err(NoConfig::Unread(_)) => std::thread::sleep(PAUSE),
            read => return read,
        }
    }
    read()
}

/// Serves until a signal to stop.
pub fn platform() -> Result<(), String> {
    let config = read_at_start()?;
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(config, &executor)))
}

async fn run(config: Config, executor: &Rc<LocalExecutor<'static>>) -> Result<(), String> {
    // Signals are caught before anybody can connect: whoever sees the gateway ready may send one at once.
    let mut signals = Signals::catch().await.map_err(|error| error.to_string())?;
    let listener =
        bind(config.listen).await.map_err(|error| format!("listen: {}: {error}", config.listen))?;
    let descriptors = config.descriptors.saturating_sub(OWN);
    let most_clients = ((descriptors as f64 * CLIENTS) as usize).max(1);
    let (name, memory, listen) = (config.name.clone(), config.memory_bytes, listener.address);
    let (longest_abandon, clients_resume) = (config.longest_abandon, config.clients_resume);
    let service = PlatformGateway::start(
        config,
        descriptors.saturating_sub(most_clients).max(1),
        Spawner::new(executor),
    );
    executor.spawn(discovery::watch(service.clone())).detach();
    let clients = Clients::new(service.clone(), most_clients, memory);
    let front = executor.spawn(clients.clone().serve(listener));
    executor.spawn(log(service.clone(), clients.clone())).detach();
    info!(name, %listen, clients = most_clients, "ready");

    // A new configuration is taken up to the end: what is in hand then must not go by an old list.
    let stopped = Rc::new(Event::new());
    let told_to_stop = stopped.listen();
    let (reloads, spawns, stops) = (service.clone(), executor.clone(), stopped.clone());
    let follow_signals = async move {
        let latest = Rc::new(Cell::new(0));
        loop {
            match signals.next().await {
                Signal::Reload => {
                    latest.set(latest.get() + 1);
                    spawns.spawn(reload(reloads.clone(), latest.get(), latest.clone())).detach();
                }
                Signal::Stop => drop(stops.notify(usize::MAX)),
            }
        }
    };
    let following = executor.spawn(follow_signals);
    told_to_stop.await;
    info!(in_hand = service.tracked(), "stopping: what is taken is answered");
    let told = service.clock().now();
    let leaving = service.shutdown_plan(longest_abandon, clients_resume);
    let at = |after: Nanos| Timer::at(service.clock().instant(told + after));
    let moving = async {
        let Some((mut after, until)) = leaving.migrate_streams else { return };
        info!(from_ms = after / MILLISECOND, until_ms = until / MILLISECOND, "streams will be moved");
        while after <= until {
            at(after).await;
            // What has come in this turn is passed on first: a stream may have ended by itself.
            future::yield_now().await;
            service.migrate_streams(&leaving, after..after + A_MOVE);
            after += A_MOVE;
        }
    };
    let shutting = async {
        at(leaving.accept_until).await;
        service.drain();
        clients.begin_shutdown();
    };
    future::zip(moving, shutting).await;
    let late = async {
        let (Some(end_all_at), Some(gone_by)) = (leaving.terminate_at, leaving.exit_by) else {
            return future::pending().await;
        };
        at(end_all_at).await;
        future::yield_now().await;
        info!(in_hand = service.tracked(), "ending what is left");
        service.terminate_all();
        at(gone_by).await;
    };
    // A request that is still being read is owed its answer too, and so is one on a connection that waits to be taken:
    // the listener is open to the end, and what comes late is told to come again elsewhere.
    let empty = async {
        loop {
            clients.until_empty().await;
            service.wait_until_idle().await;
            Timer::after(LAST_LOOK).await;
            if clients.is_empty() && service.is_idle() {
                return;
            }
        }
    };
    future::or(empty, late).await;
    drop((front, following));
    info!(counts = ?service.counts(), breaches = ?service.violations(), "stopped");
    Ok(())
}

/// Takes discovery's address from the configuration as it is now. One that is not good changes nothing, and is read again
/// until it is, or until the gateway is told of another.
async fn reload(service: PlatformGateway, number: usize, latest: Rc<Cell<usize>>) {
    for reading in 1..=READINGS + LATE_READINGS {
        match read() {
            Ok(config) => {
                info!(discovery = %config.discovery, "took the new configuration");
                return service.set_discovery_address(config.discovery);
            }
            Err(why) => warn!(
                what = String::from(why),
                reading, "the configuration is not good: staying with the one before"
            ),
        }
        Timer::after(if reading < READINGS { PAUSE } else { LATE_PAUSE }).await;
        if latest.get() != number {
            return;
        }
    }
}

async fn log(service: PlatformGateway, clients: Clients) {
    loop {
        Timer::after(LOGGED).await;
        let ConnectionCounts { open, idle, pending_releases: owed } = service.connection_counts();
        let (in_hand, clients) = (service.tracked(), clients.connections());
        let (counts, breaches) = (service.counts(), service.violations());
        info!(in_hand, clients, servers = open, idle, owed, ?counts, ?breaches, "holding");
    }
}
