//! Gateways that run in this process.

use super::{Executor, Fleet, Shape};
use crate::client::Addresses;
use async_executor::{LocalExecutor, Task};
use futures_lite::future;
use petrelshore_chat_api as chat;
use petrelshore_chat_gateway::{Gateway, PolicyKind, Spawner};
use petrelshore_emulator::profile::Profile;
use petrelshore_emulator::record::{Event, Record};
use petrelshore_grpc_api as grpc;
use petrelshore_settings::{Settings, read_text};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// The reason why a gateway or its fleet did not start.
#[derive(Debug)]
pub enum StartError {
    /// The settings are invalid; the message has one line for each problem.
    Settings(String),
    /// The settings have no address for gRPC.
    GrpcAddressMissing,
    /// The gateway can't listen on an address.
    Listen(String),
    /// The gateway rejects its settings or its inventory.
    Gateway(String),
    /// The servers of the fleet did not start.
    Fleet(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Settings(message) | StartError::Listen(message) | StartError::Gateway(message) => {
                formatter.write_str(message)
            }
            StartError::GrpcAddressMissing => formatter.write_str("listen.grpc is missing"),
            StartError::Fleet(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for StartError {}

/// Returns the settings of a gateway for a fleet. `extra_settings` may add or override fields.
pub fn settings_text(name: &str, gateways: usize, chat: &str, extra_settings: &str) -> String {
    format!(
        r#"{{
  name = "{name}", zone = "here", gateways = {gateways},
  listen = {{ chat = "{chat}", grpc | default = "127.0.0.1:0" }},
  inventory = {{ file = "boxes.csv", kept = "{name}-last.json" }},
  kinds = {{
    reader = {{ role = 'reader, memory_tokens = 200000 }},
    writer = {{ role = 'writer, memory_tokens = 200000 }},
    mixed = {{ role = 'mixed, memory_tokens = 200000 }},
  }},
  open = true,
  traffic = {{
    "rider-query" = {{
      models = ["rider-query"], utility = 2, latency_slo = "1s", abandon_time = "4s", token_pace = "50ms",
    }},
    "workshop-chat" = {{
      models = ["workshop-chat"], utility = 3, latency_slo = "2s", abandon_time = "10s", token_pace = "70ms",
    }},
    "unlock-once" = {{
      models = ["unlock-once"], utility = 4, latency_slo = "1s", abandon_time = "4s", effect = 'once_only,
    }},
    "dock-tokened" = {{
      models = ["dock-tokened"], utility = 4, latency_slo = "1s", abandon_time = "4s", effect = 'tokened,
      repeats = {{ scope = 'cell, window = "60s" }},
    }},
  }},
}} & {{ {extra_settings} }}"#
    )
}

/// A gateway with its APIs on loopback. Dropping it emulates a crash: its connections break.
pub struct RunningGateway {
    /// The gateway's name.
    pub name: String,
    /// The gateway itself.
    pub gateway: Gateway,
    /// The addresses that the gateway's APIs listen on.
    pub addresses: Addresses,
    driver: Task<()>,
}

impl RunningGateway {
    /// Starts a gateway from its settings, with its files in `folder`.
    pub async fn start(
        executor: &Executor,
        folder: &Path,
        settings: &str,
    ) -> Result<RunningGateway, StartError> {
        Self::start_with(executor, folder, settings, PolicyKind::Scheduler).await
    }

    /// Like [`RunningGateway::start`], with a chosen policy.
    pub async fn start_with(
        executor: &Executor,
        folder: &Path,
        settings: &str,
        policy_kind: PolicyKind,
    ) -> Result<RunningGateway, StartError> {
        let settings = read_settings(folder, settings).await?;
        // The whole gateway runs on its own executor, so that a crash ends all of its tasks at once.
        let gateway_executor: Executor = Rc::new(LocalExecutor::new());
        let listen_error = |error: std::io::Error| StartError::Listen(error.to_string());
        let chat_listener = chat::bind(settings.chat).await.map_err(listen_error)?;
        let grpc_address = settings.grpc.ok_or(StartError::GrpcAddressMissing)?;
        let grpc_listener = grpc::bind(grpc_address).await.map_err(listen_error)?;
        let addresses = Addresses { chat: chat_listener.address, grpc: grpc_listener.address };
        let name = settings.name.clone();
        let gateway = Gateway::start_with(settings, Spawner::new(&gateway_executor), policy_kind)
            .map_err(|error| StartError::Gateway(error.to_string()))?;
        let ingress = chat::Ingress::new(gateway.clone());
        let apis =
            future::zip(chat::serve(chat_listener, ingress.clone()), grpc::serve(grpc_listener, ingress));
        let driver = executor.spawn(async move {
            gateway_executor.run(apis).await;
        });
        Ok(RunningGateway { name, gateway, addresses, driver })
    }

    /// Kills the gateway. Its requests in flight get no response.
    pub async fn kill(self, record: &Record) {
        record.write(Event::GatewayKilled { gateway: self.name.clone() });
        self.driver.cancel().await;
    }
}

/// Evaluates settings on a separate thread. The evaluation takes a while and would suspend the other gateways on this
/// thread. In a deployment, each gateway is a process of its own, and its start suspends no other gateway.
async fn read_settings(folder: &Path, text: &str) -> Result<Settings, StartError> {
    let (file, text) = (folder.join("gateway.ncl"), text.to_owned());
    let settings = blocking::unblock(move || read_text(&file, &text)).await;
    settings.map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(|problem| problem.to_string()).collect();
        StartError::Settings(lines.join("\n"))
    })
}

/// Starts the fleet and the gateway of `petrelshore try`.
pub async fn try_out(
    executor: Executor,
    folder: &Path,
    listen: SocketAddr,
) -> Result<(Fleet, RunningGateway), StartError> {
    let shape = Shape { cells: 2, prefill: 2, decode: 2, combined: 1 };
    let fleet = Fleet::start(executor.clone(), folder, &shape, Profile::default_for).await;
    let fleet = fleet.map_err(StartError::Fleet)?;
    let settings = settings_text("try", 1, &listen.to_string(), "");
    let gateway = RunningGateway::start(&executor, folder, &settings).await?;
    Ok((fleet, gateway))
}
