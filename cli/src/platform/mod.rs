//! Runs one gateway on the operators' platform: start, reload and shutdown.

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

/// The number of file descriptors that are reserved for other uses than connections of clients and model servers:
/// discovery requests, the listener, signals, the reactor, and client connections that are being rejected or evicted.
const RESERVED_DESCRIPTORS: usize = 36;
/// The share of the remaining descriptors that clients may hold.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.6;
/// Interval between two log lines about the gateway's status.
const STATUS_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The maximum numbers of connections with clients and with model servers.
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

/// Runs a gateway until a stop signal, and then shuts it down gracefully.
pub fn platform() -> Result<(), CommandError> {
    let config = read_at_start().map_err(CommandError::Configuration)?;
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(config, &executor)))
}

async fn run(config: Config, executor: &Rc<LocalExecutor<'static>>) -> Result<(), CommandError> {
    // The signal handlers are registered before the listener opens, because a process that can connect may send a
    // signal at once.
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
    let signal_task =
        executor.spawn(handle_signals(signals, gateway.clone(), executor.clone(), stop_signal.clone()));
    stopped.await;
    info!(in_flight = gateway.tracked(), "stopping");
    Shutdown::new(gateway.clone(), clients, longest_abandon, client_resumption).run().await;
    drop((ingress, signal_task));
    info!(counts = ?gateway.counts(), violations = ?gateway.violations(), "stopped");
    Ok(())
}

/// Reloads the configuration on SIGHUP and forwards stop signals, also during a shutdown: requests that are still in
/// flight then must not be routed by an outdated endpoint list.
async fn handle_signals(
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
