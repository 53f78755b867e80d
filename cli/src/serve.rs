//! The daemon: start, reload, stop.

use crate::operator;
use crate::signals::{Signal, Signals};
use async_executor::LocalExecutor;
use futures_lite::future;
use petrelshore_chat_api as chat;
use petrelshore_chat_gateway::{Gateway, Spawner};
use petrelshore_grpc_api as grpc;
use petrelshore_inventory::{Format, read_list};
use petrelshore_settings::{Problem, Settings, read};
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// After the last final answer, for its bytes to reach the client.
const LAST_BYTES: Duration = Duration::from_millis(200);

fn lines<P: std::fmt::Display>(problems: &[P]) -> String {
    problems.iter().map(P::to_string).collect::<Vec<_>>().join("\n")
}

fn settings(file: &Path) -> Result<Settings, String> {
    read(file).map_err(|problems: Vec<Problem>| lines(&problems))
}

/// Checks settings and inventory without starting anything.
pub fn check(file: &Path) -> Result<(), String> {
    let settings = settings(file)?;
    let inventory = &settings.inventory;
    let format = Format::from_path(inventory)
        .ok_or_else(|| format!("{}: is neither .csv nor .yaml", inventory.display()))?;
    let text =
        std::fs::read_to_string(inventory).map_err(|error| format!("{}: {error}", inventory.display()))?;
    let list = read_list(inventory, format, &text, &settings.kinds).map_err(|problems| lines(&problems))?;
    println!(
        "{}: good; {} traffic types, {} tenants, {} model servers in {}",
        file.display(),
        settings.traffic.len(),
        settings.tenants.len(),
        list.servers.len(),
        inventory.display()
    );
    Ok(())
}

/// Serves until a signal to stop, and ends what runs within the drain time.
pub fn serve(file: &Path) -> Result<(), String> {
    let settings = settings(file)?;
    let executor = Rc::new(LocalExecutor::new());
    future::block_on(executor.run(run(settings, &executor)))
}

async fn run(settings: Settings, executor: &Rc<LocalExecutor<'static>>) -> Result<(), String> {
    // Signals are caught before the ready line: whoever waits for that line may send one at once.
    let mut signals = Signals::catch().await.map_err(|error| error.to_string())?;
    let listener = chat::bind(settings.chat).await.map_err(|error| format!("{}: {error}", settings.chat))?;
    let (name, chat, operator) = (settings.name.clone(), listener.address, settings.operator);
    let mut grpc_listening = None;
    if let Some(address) = settings.grpc {
        grpc_listening = Some(grpc::bind(address).await.map_err(|error| format!("{address}: {error}"))?);
    }
    let gateway = Gateway::start(settings, Spawner::new(executor)).map_err(|error| error.to_string())?;
    let ingress = chat::Ingress::new(gateway.clone());
    let grpc_at = grpc_listening.as_ref().map_or(String::new(), |at| format!(", gRPC on {}", at.address));
    let grpc_front = grpc_listening.map(|at| executor.spawn(grpc::serve(at, ingress.clone())));
    let mut operator_at = String::new();
    if let Some(operator) = operator {
        let listener = async_net::TcpListener::bind(operator).await;
        let listener = listener.map_err(|error| format!("{operator}: {error}"))?;
        let address = listener.local_addr().map_err(|error| format!("{operator}: {error}"))?;
        operator_at = format!(", operators on {address}");
        executor.spawn(operator::serve(listener, gateway.clone())).detach();
    }
    let front = executor.spawn(chat::serve(listener, ingress));
    // A gateway whose standard output can't be written serves all the same.
    let _ = writeln!(
        std::io::stdout(),
        "petrelshore {name} ready: chat on {chat}{grpc_at}{operator_at}, {} model servers",
        gateway.servers()
    );
    while signals.next().await == Signal::Reload {
        match gateway.reload() {
            Ok(servers) => info!(servers, "reloaded the inventory"),
            Err(error) => warn!(%error, "the inventory is not good: staying with the last good list"),
        }
    }
    info!(in_hand = gateway.unanswered(), "stopping: running streams go on within the drain time");
    // New connections are still answered, with a time to come back, until the last stream has ended.
    let ended = gateway.drain().await;
    async_io::Timer::after(LAST_BYTES).await;
    drop((front, grpc_front));
    info!(ended, counts = ?gateway.counts(), "stopped");
    Ok(())
}
