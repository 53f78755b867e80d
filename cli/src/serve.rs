//! Runs one gateway with a settings file: check, start, reload and shutdown.

use crate::error::CommandError;
use crate::operator;
use crate::signals::{Signal, Signals};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::future;
use petrelshore_chat_api as chat;
use petrelshore_chat_gateway::{Gateway, Spawner};
use petrelshore_grpc_api as grpc;
use petrelshore_inventory::{Format, read_list};
use petrelshore_settings::{Settings, read};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Time after the last final answer in which its bytes can still reach the client.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks a settings file and its inventory file without starting a gateway.
pub fn check(file: &Path) -> Result<(), CommandError> {
    let settings = read(file).map_err(CommandError::Settings)?;
    let inventory = &settings.inventory;
    let format = Format::from_path(inventory);
    let format = format.ok_or_else(|| CommandError::UnknownInventoryFormat(inventory.clone()))?;
    let text = std::fs::read_to_string(inventory).map_err(CommandError::io(inventory.display()))?;
    let list = read_list(inventory, format, &text, &settings.kinds).map_err(CommandError::Inventory)?;
    println!(
        "{}: valid; {} traffic types, {} tenants, {} model servers in {}",
        file.display(),
        settings.traffic.len(),
        settings.tenants.len(),
        list.servers.len(),
        inventory.display()
    );
    Ok(())
}

/// Runs a gateway until a stop signal, and then ends the streams in flight within the drain time.
pub fn serve(file: &Path) -> Result<(), CommandError> {
    let settings = read(file).map_err(CommandError::Settings)?;
    let executor = Rc::new(LocalExecutor::new());
    future::block_on(executor.run(run(settings, &executor)))
}

/// The parts of the ready line for listeners other than that of the chat API. The part of a listener that is not
/// configured is empty.
#[derive(Default)]
struct OtherListeners {
    grpc: String,
    operator: String,
}

async fn run(settings: Settings, executor: &Rc<LocalExecutor<'static>>) -> Result<(), CommandError> {
    // The signal handlers are registered before the ready line is printed, because a process that waits for that line
    // may send a signal at once.
    let mut signals = Signals::catch().await.map_err(CommandError::Signals)?;
    let listener = chat::bind(settings.chat).await.map_err(CommandError::io(settings.chat))?;
    let (name, chat, operator) = (settings.name.clone(), listener.address, settings.operator);
    let mut grpc_listener = None;
    if let Some(address) = settings.grpc {
        grpc_listener = Some(grpc::bind(address).await.map_err(CommandError::io(address))?);
    }
    let gateway = Gateway::start(settings, Spawner::new(executor)).map_err(CommandError::Start)?;
    let ingress = chat::Ingress::new(gateway.clone());
    let mut others = OtherListeners::default();
    let grpc_ingress = grpc_listener.map(|listener| {
        others.grpc = format!(", gRPC on {}", listener.address);
        executor.spawn(grpc::serve(listener, ingress.clone()))
    });
    if let Some(address) = operator {
        let listener = TcpListener::bind(address).await.map_err(CommandError::io(address))?;
        let bound = listener.local_addr().map_err(CommandError::io(address))?;
        others.operator = format!(", operators on {bound}");
        executor.spawn(operator::serve(listener, gateway.clone())).detach();
    }
    let chat_ingress = executor.spawn(chat::serve(listener, ingress));
    print_ready(&name, chat, &others, gateway.servers());
    reload_until_stopped(&mut signals, &gateway).await;
    info!(in_flight = gateway.unanswered(), "stopping");
    // Until the last stream has ended, new requests are still answered with a rejection and a Retry-After.
    let terminated = gateway.drain().await;
    Timer::after(FINAL_FLUSH_TIMEOUT).await;
    drop((chat_ingress, grpc_ingress));
    info!(terminated, counts = ?gateway.counts(), "stopped");
    Ok(())
}

/// Prints the ready line. The gateway also serves if standard output can't be written.
fn print_ready(name: &str, chat: SocketAddr, others: &OtherListeners, servers: usize) {
    let OtherListeners { grpc, operator } = others;
    let _ = writeln!(
        std::io::stdout(),
        "petrelshore {name} ready: chat on {chat}{grpc}{operator}, {servers} model servers"
    );
}

async fn reload_until_stopped(signals: &mut Signals, gateway: &Gateway) {
    while signals.next().await == Signal::Reload {
        match gateway.reload() {
            Ok(servers) => info!(servers, "inventory reloaded"),
            Err(error) => warn!(%error, "inventory rejected, last good endpoint list stays"),
        }
    }
}
