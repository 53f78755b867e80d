//! A fleet of emulated servers, and gateways before it, in one process.

mod gateway;

use async_executor::LocalExecutor;
use petrelshore_emulator::profile::{Profile, Role};
use petrelshore_emulator::record::Record;
use petrelshore_emulator::server::{EmulatedServer, Identity, StartState};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

pub use gateway::{RunningGateway, StartError, settings_text, try_out};

/// The inventory file that gateways read.
pub const INVENTORY_FILE: &str = "boxes.csv";
const ZONE: &str = "here";

/// The executor of everything in this process.
pub type Executor = Rc<LocalExecutor<'static>>;

/// One server of a fleet, running or not.
pub struct Member {
    /// Its name in the inventory.
    pub name: String,
    /// Its kind in the inventory.
    pub kind: String,
    /// Its cell.
    pub cell: String,
    /// Its zone.
    pub zone: String,
    /// What it can do.
    pub profile: Profile,
    /// Where it listens.
    pub address: SocketAddr,
    /// The inventory lists it as draining.
    pub draining: bool,
    /// The inventory lists it.
    pub listed: bool,
    /// The server, where it runs.
    pub server: Option<EmulatedServer>,
}

/// Emulated servers, and the inventory file that lists them.
pub struct Fleet {
    /// Executes the servers.
    pub executor: Executor,
    /// What the servers observe.
    pub record: Record,
    /// Holds the inventory file.
    pub folder: PathBuf,
    /// The servers.
    pub members: Vec<Member>,
}

/// How many servers of each kind a fleet has.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Cells.
    pub cells: usize,
    /// Prefill servers of each cell.
    pub prefill: usize,
    /// Decode servers of each cell.
    pub decode: usize,
    /// Combined servers of each cell.
    pub combined: usize,
}

impl Fleet {
    /// Starts a fleet of warm servers.
    pub async fn start(
        executor: Executor,
        folder: &Path,
        shape: &Shape,
        profile: impl Fn(Role) -> Profile,
    ) -> io::Result<Fleet> {
        std::fs::create_dir_all(folder)?;
        let mut fleet =
            Fleet { executor, record: Record::default(), folder: folder.to_owned(), members: Vec::new() };
        for cell in 1..=shape.cells {
            let counts = [
                (Role::Prefill, shape.prefill),
                (Role::Decode, shape.decode),
                (Role::Combined, shape.combined),
            ];
            for (role, count) in counts {
                for number in 1..=count {
                    fleet.add(role, cell, number, profile(role)).await?;
                }
            }
        }
        fleet.write_inventory()?;
        Ok(fleet)
    }

    async fn add(&mut self, role: Role, cell: usize, number: usize, profile: Profile) -> io::Result<()> {
        let kind = role.kind();
        let identity = Identity { name: format!("{kind}-{cell}-{number}"), cell: format!("cell-{cell}") };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let start = StartState::Warm;
        let server =
            EmulatedServer::start(&self.executor, &self.record, identity.clone(), profile, any_port, start)
                .await?;
        self.members.push(Member {
            name: identity.name,
            kind: kind.to_owned(),
            cell: identity.cell,
            zone: ZONE.to_owned(),
            profile,
            address: server.address(),
            draining: false,
            listed: true,
            server: Some(server),
        });
        Ok(())
    }

    /// Writes the inventory as it is now.
    pub fn write_inventory(&self) -> io::Result<()> {
        let mut csv = "name,kind,address,cell,zone,state\n".to_owned();
        for member in self.members.iter().filter(|member| member.listed) {
            let state = if member.draining { "draining" } else { "ready" };
            let Member { name, kind, address, cell, zone, .. } = member;
            let _ = writeln!(csv, "{name},{kind},{address},{cell},{zone},{state}");
        }
        let new_file = self.folder.join("boxes.csv.new");
        std::fs::write(&new_file, csv)?;
        std::fs::rename(new_file, self.folder.join(INVENTORY_FILE))
    }

    /// A server by its name.
    pub fn member(&mut self, name: &str) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.name == name)
    }

    /// A running server by its name.
    pub fn server(&self, name: &str) -> Option<&EmulatedServer> {
        self.members.iter().find(|member| member.name == name)?.server.as_ref()
    }

    /// All running servers.
    pub fn servers(&self) -> impl Iterator<Item = &EmulatedServer> {
        self.members.iter().filter_map(|member| member.server.as_ref())
    }

    /// Kills a server.
    pub fn kill(&mut self, name: &str) {
        if let Some(member) = self.member(name) {
            member.server = None;
        }
    }

    /// Starts a killed server at its address, cold.
    pub async fn restart(&mut self, name: &str) -> io::Result<()> {
        let (executor, record) = (self.executor.clone(), self.record.clone());
        let Some(member) = self.member(name) else { return Ok(()) };
        member.server = None;
        let identity = Identity { name: name.to_owned(), cell: member.cell.clone() };
        let (profile, address) = (member.profile, member.address);
        let server =
            EmulatedServer::start(&executor, &record, identity, profile, address, StartState::Cold).await?;
        member.server = Some(server);
        Ok(())
    }
}
