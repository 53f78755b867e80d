//! The gateways' processes: started, told, killed, watched.

use crate::record::{Event, Process};
use crate::shim::{Faults, Library};
use crate::world::World;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::process::{Pid, Signal, kill_process};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(10);
const READY_WITHIN: Duration = Duration::from_secs(30);
/// Clients still come to a gateway that was told to stop for so long.
const STILL_COMING: Duration = Duration::from_millis(300);
/// The kill comes this long after the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
const DEADLINE_LEAST: Duration = Duration::from_secs(3);
const LOGGED: &str = "info,petrelshore_platform_gateway=debug,petrelshore_platform_ingress=debug";

/// One gateway, over all of its processes.
pub struct Gateway {
    world: Rc<World>,
    program: PathBuf,
    number: usize,
    pub faults: Faults,
    child: RefCell<Option<Child>>,
    run: Cell<usize>,
    /// A stop or a start is under way.
    busy: Cell<bool>,
}

impl Gateway {
    pub fn new(
        world: &Rc<World>,
        program: PathBuf,
        library: &Library,
        number: usize,
    ) -> io::Result<Rc<Gateway>> {
        let words = world.folder.join(format!("n{number}.words"));
        let faults = Faults::new(library, words, world.seed.wrapping_add(number as u64 + 1))?;
        Ok(Rc::new(Gateway {
            world: world.clone(),
            program,
            number,
            faults,
            child: RefCell::default(),
            run: Cell::new(0),
            busy: Cell::new(false),
        }))
    }

    fn process(&self) -> Process {
        Process { gateway: self.number, run: self.run.get() }
    }

    fn config_file(&self) -> PathBuf {
        self.world.folder.join(format!("n{}.json", self.number))
    }

    pub fn log_file(&self, run: usize) -> PathBuf {
        self.world.folder.join(format!("n{}-{run}.log", self.number))
    }

    fn write_config(&self) -> io::Result<()> {
        let beside = self.config_file().with_extension("new");
        std::fs::write(&beside, self.world.config(self.number, self.run.get()))?;
        std::fs::rename(beside, self.config_file())
    }

    /// Starts a process, and says when it is ready; clients come from then on.
    pub async fn start(&self) -> io::Result<()> {
        self.run.set(self.run.get() + 1);
        let process = self.process();
        self.write_config()?;
        let mut command = Command::new(&self.program);
        command.arg("--log-filter").arg(LOGGED).arg("platform").env("LB_CONFIG", self.config_file());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(File::create(self.log_file(process.run))?);
        self.faults.preload(&mut command);
        *self.child.borrow_mut() = Some(command.spawn()?);
        self.world.record.write(Event::Spawned { process });
        for (server, state) in self.world.servers.iter().enumerate() {
            if !self.world.agents[self.number].silent.get() {
                let status = state.status.get();
                self.world.record.write(Event::Had { gateway: self.number, server, status });
            }
        }
        let began = self.world.record.now();
        while self.world.record.now() - began < READY_WITHIN {
            if self.is_ready().await {
                let took = self.world.record.now() - began;
                self.world.record.write(Event::Ready { process, took });
                self.world.open.borrow_mut().insert(self.number, process.run);
                return Ok(());
            }
            if self.has_exited() {
                break;
            }
            Timer::after(LOOK).await;
        }
        self.world.record.write(Event::NotReady { process });
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let asked = async {
            let mut stream = TcpStream::connect(self.world.gateway_address(self.number)).await?;
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: soak\r\n\r\n").await?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await?;
            Ok::<_, io::Error>(answer.ends_with(b"200"))
        };
        crate::message::within(Duration::from_millis(500), asked)
            .await
            .is_some_and(|told| told.unwrap_or(false))
    }

    /// Whether its process has ended; says so once.
    fn has_exited(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let Some(running) = child.as_mut() else { return true };
        let Ok(Some(status)) = running.try_wait() else { return false };
        let clean = status.success();
        self.world.open.borrow_mut().remove(&self.number);
        self.world.record.write(Event::Exited { process: self.process(), clean });
        *child = None;
        true
    }

    fn signal(&self, signal: Signal) {
        let child = self.child.borrow();
        let id = child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(id) = id {
            let _ = kill_process(id, signal);
        }
    }

    fn close(&self) {
        self.world.open.borrow_mut().remove(&self.number);
    }

    fn kill(&self) {
        let Some(mut child) = self.child.borrow_mut().take() else { return };
        self.world.record.write(Event::Killed { process: self.process() });
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Kills it outright and starts it again after a while.
    pub async fn crash(&self, away: Duration) {
        if self.busy.replace(true) {
            return;
        }
        // A process that ended before is not to be taken for one that was killed.
        if !self.has_exited() {
            self.close();
            self.kill();
        }
        Timer::after(away).await;
        let _ = self.start().await;
        self.busy.set(false);
    }

    /// Tells it to stop, kills it when its time is over, and starts it again.
    pub async fn restart(&self) {
        if self.busy.replace(true) {
            return;
        }
        self.stop().await;
        let _ = self.start().await;
        self.busy.set(false);
    }

    async fn stop(&self) {
        self.world.record.write(Event::ToldToStop { process: self.process() });
        self.signal(Signal::TERM);
        let kill_at =
            self.world.record.now() + self.world.terms.longest_deadline.max(DEADLINE_LEAST) + KILL_AFTER;
        let coming_until = self.world.record.now() + STILL_COMING;
        while self.world.record.now() < kill_at && !self.has_exited() {
            if self.world.record.now() >= coming_until {
                self.close();
            }
            Timer::after(LOOK).await;
        }
        self.close();
        self.kill();
    }

    /// Moves its discovery by a new configuration.
    pub fn reload(&self, address: usize) {
        if self.busy.get() || self.child.borrow().is_none() {
            return;
        }
        self.world.agents[self.number].address.set(address);
        if self.write_config().is_ok() {
            self.world.record.write(Event::ToldToReload { process: self.process() });
            self.signal(Signal::HUP);
        }
    }

    /// Watches for a process that ends by itself, for as long as it is polled.
    pub async fn watch(&self) {
        loop {
            Timer::after(LOOK).await;
            if !self.busy.get() && self.child.borrow().is_some() && self.has_exited() {
                let _ = self.start().await;
            }
        }
    }

    /// Stops it for good.
    pub async fn end(&self) {
        while self.busy.get() {
            Timer::after(LOOK).await;
        }
        self.busy.set(true);
        if self.child.borrow().is_some() {
            self.stop().await;
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = self.child.borrow_mut().as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
