//! One gateway on the operators' platform: start, reload, stop.

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use petrelshore::interface::Nanos;
use petrelshore_front::entrance::bind;
use petrelshore_gateway::Spawner;
use petrelshore_platform::{Service, discovery};
use petrelshore_platform_front::Clients;
use petrelshore_platform_terms::config::{Config, config};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Names the file that a gateway starts from.
const FILE: &str = "LB_CONFIG";
/// Descriptors that are neither a client's nor a model server's: discovery, the listener, signals, the reactor.
const OWN: usize = 24;
/// Part of the others that clients may hold.
const CLIENTS: f64 = 0.6;
/// A file that is just being written is read again so often, after a pause.
const READINGS: usize = 10;
const PAUSE: Duration = Duration::from_millis(100);
/// After the last final answer, for its bytes to reach the client.
const LAST_BYTES: Duration = Duration::from_millis(100);
/// After everything is ended, for readers to be told what to let go of.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// Streams are moved in steps of this.
const A_MOVE: Nanos = 50 * MILLISECOND;
const MILLISECOND: Nanos = 1_000_000;
/// What the gateway holds is logged so often.
const LOGGED: Duration = Duration::from_secs(5);

fn read() -> Result<Config, String> {
    let file = std::env::var(FILE).map_err(|_| format!("{FILE} is not set"))?;
    let text = std::fs::read_to_string(&file).map_err(|error| format!("{file}: {error}"))?;
    config(&text).map_err(|what| format!("{file}: {what}"))
}

/// Serves until a signal to stop.
pub fn platform() -> Result<(), String> {
    let config = read()?;
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(config, &executor)))
}

async fn run(config: Config, executor: &Rc<LocalExecutor<'static>>) -> Result<(), String> {
    // Signals are caught before anybody can connect: whoever sees the gateway ready may send one at once.
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|error| error.to_string())?;
    let listening =
        bind(config.listen).await.map_err(|error| format!("listen: {}: {error}", config.listen))?;
    let descriptors = config.descriptors.saturating_sub(OWN);
    let most_clients = ((descriptors as f64 * CLIENTS) as usize).max(1);
    let (name, memory, listen) = (config.name.clone(), config.memory_bytes, listening.address);
    let (longest_abandon, clients_resume) = (config.longest_abandon, config.clients_resume);
    let service =
        Service::start(config, descriptors.saturating_sub(most_clients).max(1), Spawner::new(executor));
    executor.spawn(discovery::watch(service.clone())).detach();
    let clients = Clients::new(service.clone(), most_clients, memory);
    let front = executor.spawn(clients.clone().take(listening));
    executor.spawn(log(service.clone(), clients.clone())).detach();
    info!(name, %listen, clients = most_clients, "ready");

    while let Some(Ok(signal)) = signals.next().await {
        if signal != Signal::Hup {
            break;
        }
        executor.spawn(reload(service.clone())).detach();
    }
    info!(in_hand = service.in_hand(), "stopping: what is taken is answered");
    let told = service.clock().now();
    let leaving = service.leaving(longest_abandon, clients_resume);
    let at = |after: Nanos| Timer::at(service.clock().instant(told + after));
    let moving = async {
        let Some((mut after, until)) = leaving.move_streams else { return };
        info!(from_ms = after / MILLISECOND, until_ms = until / MILLISECOND, "streams will be moved");
        while after <= until {
            at(after).await;
            service.move_streams(&leaving, (after, after + A_MOVE));
            after += A_MOVE;
        }
    };
    let shutting = async {
        at(leaving.serve_until).await;
        drop(front);
        clients.leave();
    };
    future::zip(moving, shutting).await;
    let late = async {
        match leaving.end_all_at {
            Some(after) => at(after).await,
            None => future::pending().await,
        };
        info!(in_hand = service.in_hand(), "ending what is left");
        service.end_all();
        Timer::after(LAST_WORDS).await;
    };
    // A request that is still being read is owed its answer too.
    let empty = async {
        clients.until_empty().await;
        service.until_empty().await;
    };
    future::or(empty, late).await;
    Timer::after(LAST_BYTES).await;
    info!(counts = ?service.counts(), "stopped");
    Ok(())
}

/// Takes discovery's address from the configuration as it is now. One that is not good changes nothing.
async fn reload(service: Service) {
    for reading in 1..=READINGS {
        match read() {
            Ok(config) => {
                info!(discovery = %config.discovery, "took the new configuration");
                return service.move_discovery(config.discovery);
            }
            Err(what) => warn!(what, reading, "the configuration is not good: staying with the one before"),
        }
        Timer::after(PAUSE).await;
    }
}

async fn log(service: Service, clients: Clients) {
    loop {
        Timer::after(LOGGED).await;
        let (open, idle, owed) = service.open();
        let (in_hand, clients) = (service.in_hand(), clients.connections());
        info!(in_hand, clients, servers = open, idle, owed, counts = ?service.counts(), "holding");
    }
}
