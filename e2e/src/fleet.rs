//! A fleet of emulated servers and its gateways, in one process.

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

/// The name of the inventory file that gateways read.
pub const INVENTORY_FILE: &str = "boxes.csv";
const ZONE: &str = "here";

/// The executor of all servers, gateways and clients in this process.
pub type Executor = Rc<LocalExecutor<'static>>;

/// A server of a fleet, running or stopped.
pub struct Member {
    /// The server's name in the inventory.
    pub name: String,
    /// The server's kind in the inventory.
    pub kind: String,
    /// The server's cell.
    pub cell: String,
    /// The server's zone.
    pub zone: String,
    /// The server's role, capacity and speed.
    pub profile: Profile,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// Set if the inventory lists the server as draining.
    pub draining: bool,
    /// Set if the inventory lists the server.
    pub listed: bool,
    /// The server, if it is running.
    pub server: Option<EmulatedServer>,
}

/// Emulated servers and the inventory file that lists them.
pub struct Fleet {
    /// The executor that the servers run on.
    pub executor: Executor,
    /// The record that the servers write their observations to.
    pub record: Record,
    /// The folder of the inventory file.
    pub folder: PathBuf,
    /// The servers of the fleet, running or stopped.
    pub members: Vec<Member>,
}

/// The number of cells of a fleet, and the number of servers of each role in a cell.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The number of cells.
    pub cells: usize,
    /// The number of prefill servers in each cell.
    pub prefill: usize,
    /// The number of decode servers in each cell.
    pub decode: usize,
    /// The number of combined servers in each cell.
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

    /// Replaces the inventory file with the current state of the servers.
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

    /// Finds a server by its name.
    pub fn member(&mut self, name: &str) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.name == name)
    }

    /// Finds a running server by its name.
    pub fn server(&self, name: &str) -> Option<&EmulatedServer> {
        self.members.iter().find(|member| member.name == name)?.server.as_ref()
    }

    /// Iterates over the running servers.
    pub fn servers(&self) -> impl Iterator<Item = &EmulatedServer> {
        self.members.iter().filter_map(|member| member.server.as_ref())
    }

    /// Kills a server.
    pub fn kill(&mut self, name: &str) {
        if let Some(member) = self.member(name) {
            member.server = None;
        }
    }

    /// Starts a killed server cold, at its previous address.
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
