//! One gateway on the operators' platform: start, reload, stop.

mod configuration;
mod shutdown;

use crate::error::CommandError;
use crate::signals::{Signal, Signals};
use async_executor::LocalExecutor;
use async_io::Timer;
use configuration::{ReloadCounter, read_at_start, reload};
use event_listener::Event;
use petrelshore_chat_gateway::Spawner;
use petrelshore_ingress::listener::bind;
use petrelshore_platform_gateway::{PlatformGateway, discovery};
use petrelshore_platform_ingress::Clients;
use petrelshore_platform_protocol::config::Config;
use shutdown::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Descriptors that are neither a client's nor a model server's: discovery's requests, the listener, signals, the
/// reactor, and connections of clients that are being rejected or evicted.
const RESERVED_DESCRIPTORS: usize = 36;
/// Share of the other descriptors that clients may hold.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.6;
/// How often what the gateway holds is logged.
const STATUS_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// How many connections clients and model servers may hold.
struct ConnectionLimits {
    clients: usize,
    servers: usize,
}

impl ConnectionLimits {
    fn new(descriptors: usize) -> Self {
        let shared = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let clients = ((shared as f64 * CLIENT_DESCRIPTOR_SHARE) as usize).max(1);
        ConnectionLimits { clients, servers: shared.saturating_sub(clients).max(1) }
    }
}

/// Serves until a stop signal.
pub fn platform() -> Result<(), CommandError> {
    let config = read_at_start().map_err(CommandError::Configuration)?;
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(config, &executor)))
}

async fn run(config: Config, executor: &Rc<LocalExecutor<'static>>) -> Result<(), CommandError> {
    // Signals are caught before anybody can connect: whoever sees the gateway ready may send one at once.
    let signals = Signals::catch().await.map_err(CommandError::Signals)?;
    let bound = bind(config.listen).await;
    let listener = bound.map_err(CommandError::io(format_args!("listen: {}", config.listen)))?;
    let limits = ConnectionLimits::new(config.descriptors);
    let (name, memory, listen) = (config.name.clone(), config.memory_bytes, listener.address);
    let (longest_abandon, client_resumption) = (config.longest_abandon, config.client_resumption);
    let gateway = PlatformGateway::start(config, limits.servers, Spawner::new(executor));
    executor.spawn(discovery::watch(gateway.clone())).detach();
    let clients = Clients::new(gateway.clone(), limits.clients, memory);
    let ingress = executor.spawn(clients.clone().serve(listener));
    executor.spawn(log_status(gateway.clone(), clients.clone())).detach();
    info!(name, %listen, clients = limits.clients, "ready");

    let stop_signal = Rc::new(Event::new());
    let stopped = stop_signal.listen();
    let following =
        executor.spawn(follow_signals(signals, gateway.clone(), executor.clone(), stop_signal.clone()));
    stopped.await;
    info!(in_flight = gateway.tracked(), "stopping");
    Shutdown::new(gateway.clone(), clients, longest_abandon, client_resumption).run().await;
    drop((ingress, following));
    info!(counts = ?gateway.counts(), violations = ?gateway.violations(), "stopped");
    Ok(())
}

/// Reloads the configuration and notifies of stop signals, up to the end: what is in flight during a shutdown must not go
/// by an old endpoint list.
async fn follow_signals(
    mut signals: Signals,
    gateway: PlatformGateway,
    executor: Rc<LocalExecutor<'static>>,
    stop_signal: Rc<Event>,
) {
    let reloads = ReloadCounter::default();
    loop {
        match signals.next().await {
            Signal::Reload => {
                let number = reloads.next();
                executor.spawn(reload(gateway.clone(), number, reloads.clone())).detach();
            }
            Signal::Stop => drop(stop_signal.notify(usize::MAX)),
        }
    }
}

async fn log_status(gateway: PlatformGateway, clients: Clients) {
    loop {
        Timer::after(STATUS_LOG_INTERVAL).await;
        let connections = gateway.connection_counts();
        let events = gateway.events();
        info!(
            in_flight = gateway.tracked(),
            clients = clients.connections(),
            servers = connections.open,
            idle_servers = connections.idle,
            pending_releases = connections.pending_releases,
            counts = ?gateway.counts(),
            violations = ?gateway.violations(),
            events = ?events.counts(),
            unlogged = events.unlogged(),
            "status"
        );
    }
}
