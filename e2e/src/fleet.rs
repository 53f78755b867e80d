//! A fleet of stand-ins with a gateway before it, in one process.

use crate::client::Addresses;
use async_executor::{LocalExecutor, Task};
use futures_lite::future;
use petrelshore_chat_api as chat;
use petrelshore_chat_gateway::{Chooser, Gateway, Spawner};
use petrelshore_emulator::profile::{Profile, Role};
use petrelshore_emulator::record::{Event, Record};
use petrelshore_emulator::server::{EmulatedServer, Identity, StartState};
use petrelshore_grpc_api as grpc;
use petrelshore_settings::read_text;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

pub type Executor = Rc<LocalExecutor<'static>>;

/// One box of a fleet, running or not.
pub struct Place {
    pub name: String,
    pub kind: String,
    pub cell: String,
    pub zone: String,
    pub build: Profile,
    pub address: SocketAddr,
    pub draining: bool,
    pub listed: bool,
    pub stand_in: Option<EmulatedServer>,
}

/// Stand-ins, and the inventory file that lists them.
pub struct Fleet {
    pub executor: Executor,
    pub record: Record,
    pub folder: PathBuf,
    pub places: Vec<Place>,
}

/// What a fleet is made of: so many of a kind in each cell.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Shape {
    pub cells: usize,
    pub readers: usize,
    pub writers: usize,
    pub mixed: usize,
}

impl Fleet {
    /// Starts a fleet, its boxes warm.
    pub async fn start(
        executor: Executor,
        folder: &Path,
        shape: &Shape,
        build: impl Fn(Role) -> Profile,
    ) -> std::io::Result<Fleet> {
        std::fs::create_dir_all(folder)?;
        let record = Record::default();
        let mut places = Vec::new();
        for cell in 1..=shape.cells {
            let kinds = [
                (Role::Prefill, shape.readers),
                (Role::Decode, shape.writers),
                (Role::Combined, shape.mixed),
            ];
            for (role, count) in kinds {
                let kind = role.kind().to_owned();
                for number in 1..=count {
                    let name = format!("{kind}-{cell}-{number}");
                    let any = SocketAddr::from(([127, 0, 0, 1], 0));
                    let cell = format!("cell-{cell}");
                    let identity = Identity { name: name.clone(), cell: cell.clone() };
                    let profile = build(role);
                    let stand_in =
                        EmulatedServer::start(&executor, &record, identity, profile, any, StartState::Warm)
                            .await?;
                    places.push(Place {
                        address: stand_in.address(),
                        stand_in: Some(stand_in),
                        build: build(role),
                        cell,
                        zone: "here".to_owned(),
                        kind: kind.clone(),
                        draining: false,
                        listed: true,
                        name,
                    });
                }
            }
        }
        let fleet = Fleet { executor, record, folder: folder.to_owned(), places };
        fleet.write_inventory()?;
        Ok(fleet)
    }

    /// Writes the inventory as it now is, and notes for the auditor what the gateways are told by it.
    pub fn write_inventory(&self) -> std::io::Result<()> {
        let mut csv = "name,kind,address,cell,zone,state\n".to_owned();
        for place in self.places.iter().filter(|place| place.listed) {
            let state = if place.draining { "draining" } else { "ready" };
            let Place { name, kind, address, cell, zone, .. } = place;
            let _ = writeln!(csv, "{name},{kind},{address},{cell},{zone},{state}");
        }
        let file = self.folder.join("boxes.csv");
        let beside = self.folder.join("boxes.csv.new");
        std::fs::write(&beside, csv)?;
        std::fs::rename(beside, file)
    }

    pub fn place(&mut self, name: &str) -> Option<&mut Place> {
        self.places.iter_mut().find(|place| place.name == name)
    }

    pub fn stand_in(&self, name: &str) -> Option<&EmulatedServer> {
        self.places.iter().find(|place| place.name == name)?.stand_in.as_ref()
    }

    /// Kills a box outright.
    pub fn kill(&mut self, name: &str) {
        if let Some(place) = self.place(name) {
            place.stand_in = None;
        }
    }

    /// Starts a killed box again at its address, cold.
    pub async fn restart(&mut self, name: &str) -> std::io::Result<()> {
        let (executor, record) = (self.executor.clone(), self.record.clone());
        let Some(place) = self.place(name) else { return Ok(()) };
        place.stand_in = None;
        let (build, address, cell) = (place.build, place.address, place.cell.clone());
        let identity = Identity { name: name.to_owned(), cell };
        let server =
            EmulatedServer::start(&executor, &record, identity, build, address, StartState::Cold).await?;
        place.stand_in = Some(server);
        Ok(())
    }
}

/// The settings text for a gateway before such a fleet; `more` may add or override records.
pub fn settings_text(name: &str, gateways: usize, chat: &str, more: &str) -> String {
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
}} & {{ {more} }}"#
    )
}

/// A gateway with its chat front on loopback. Dropping it is a kill: its sockets break.
pub struct Running {
    pub name: String,
    pub gateway: Gateway,
    pub at: Addresses,
    driver: Task<()>,
}

impl Running {
    /// Starts a gateway from a settings text, its files in `folder`.
    pub async fn start(executor: &Executor, folder: &Path, text: &str) -> Result<Running, String> {
        Self::start_with(executor, folder, text, Chooser::Decisions).await
    }

    /// The same with another policy.
    pub async fn start_with(
        executor: &Executor,
        folder: &Path,
        text: &str,
        chooser: Chooser,
    ) -> Result<Running, String> {
        let said = |problems: Vec<petrelshore_settings::Problem>| {
            problems.iter().map(|problem| problem.to_string()).collect::<Vec<_>>().join("\n")
        };
        // On a thread of its own: settings take a while to evaluate, and on this one all other gateways would stand
        // still meanwhile, which no gateway that starts as a process does to its fellows.
        let (file, text) = (folder.join("gateway.ncl"), text.to_owned());
        let settings = blocking::unblock(move || read_text(&file, &text)).await.map_err(said)?;
        // All that it runs is on an executor of its own, so that a kill ends all of it at once.
        let own: Executor = Rc::new(LocalExecutor::new());
        let listener = chat::bind(settings.chat).await.map_err(|error| error.to_string())?;
        let grpc_at = settings.grpc.ok_or("listen.grpc is missing")?;
        let grpc_listening = grpc::bind(grpc_at).await.map_err(|error| error.to_string())?;
        let at = Addresses { chat: listener.address, grpc: grpc_listening.address };
        let name = settings.name.clone();
        let gateway =
            Gateway::start_with(settings, Spawner::new(&own), chooser).map_err(|error| error.to_string())?;
        let ingress = chat::Ingress::new(gateway.clone());
        let fronts =
            future::zip(chat::serve(listener, ingress.clone()), grpc::serve(grpc_listening, ingress));
        let driver = executor.spawn(async move {
            own.run(fronts).await;
        });
        Ok(Running { name, gateway, at, driver })
    }

    /// Kills it outright: nothing of what it held is answered.
    pub async fn kill(self, record: &Record) {
        record.write(Event::GatewayKilled { gateway: self.name.clone() });
        self.driver.cancel().await;
    }
}

/// The fleet and gateway of `petrelshore try`.
pub async fn try_out(
    executor: Executor,
    folder: &Path,
    listen: SocketAddr,
) -> Result<(Fleet, Running), String> {
    let shape = Shape { cells: 2, readers: 2, writers: 2, mixed: 1 };
    let fleet = Fleet::start(executor.clone(), folder, &shape, Profile::default_for).await;
    let fleet = fleet.map_err(|error| error.to_string())?;
    let text = settings_text("try", 1, &listen.to_string(), "");
    let running = Running::start(&executor, folder, &text).await?;
    Ok((fleet, running))
}
