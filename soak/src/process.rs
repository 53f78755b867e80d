//! Spawns, signals, kills and supervises the gateway processes.

use crate::message::with_timeout;
use crate::record::{Event, Process};
use crate::shim::{Faults, Library};
use crate::testbed::Testbed;
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

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the stop signal during which clients still connect to a gateway.
const OPEN_AFTER_STOP: Duration = Duration::from_millis(300);
/// Time from the longest deadline of a request until a stopping process is killed.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The longest request deadline that a stopping process is given time for before it is killed.
const MAX_AWAITED_DEADLINE: Duration = Duration::from_secs(3);
/// Time between two signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(120);
const LOG_FILTER: &str = "info,petrelshore_platform_gateway=debug,petrelshore_platform_ingress=debug";

/// The signals that a process is stopped with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignals {
    /// One SIGTERM.
    Once,
    /// One SIGTERM, followed by more stop signals and reload signals.
    Series,
}

impl StopSignals {
    /// The signals that follow the first SIGTERM.
    fn series(self) -> &'static [Signal] {
        match self {
            StopSignals::Once => &[],
            StopSignals::Series => &[Signal::HUP, Signal::TERM, Signal::HUP, Signal::INT, Signal::TERM],
        }
    }
}

/// One gateway, across all processes that run it one after the other.
pub struct Gateway {
    testbed: Rc<Testbed>,
    program: PathBuf,
    number: usize,
    /// The faults in the system calls of its processes.
    pub faults: Faults,
    child: RefCell<Option<Child>>,
    run: Cell<usize>,
    /// True while a stop or a start is in progress.
    transitioning: Cell<bool>,
}

impl Gateway {
    /// Creates a gateway without a process. Its addresses and file names follow from `number`.
    pub fn new(
        testbed: &Rc<Testbed>,
        program: PathBuf,
        library: &Library,
        number: usize,
    ) -> io::Result<Rc<Gateway>> {
        let settings = testbed.folder.join(format!("n{number}.words"));
        let faults = Faults::new(library, settings, testbed.seed.wrapping_add(number as u64 + 1))?;
        Ok(Rc::new(Gateway {
            testbed: testbed.clone(),
            program,
            number,
            faults,
            child: RefCell::default(),
            run: Cell::new(0),
            transitioning: Cell::new(false),
        }))
    }

    fn process(&self) -> Process {
        Process { gateway: self.number, run: self.run.get() }
    }

    fn config_file(&self) -> PathBuf {
        self.testbed.folder.join(format!("n{}.json", self.number))
    }

    /// The path of the log file of one of the gateway's processes.
    pub fn log_file(&self, run: usize) -> PathBuf {
        self.testbed.folder.join(format!("n{}-{run}.log", self.number))
    }

    fn write_config(&self) -> io::Result<()> {
        let new_file = self.config_file().with_extension("new");
        std::fs::write(&new_file, self.testbed.gateway_config(self.number, self.run.get()))?;
        std::fs::rename(new_file, self.config_file())
    }

    /// Starts a process and waits until it is ready; clients may connect to it from then on.
    pub async fn start(&self) -> io::Result<()> {
        self.run.set(self.run.get() + 1);
        let process = self.process();
        self.write_config()?;
        *self.child.borrow_mut() = Some(self.spawn(process)?);
        self.testbed.record.write(Event::ProcessSpawned { process });
        if !self.testbed.agents[self.number].silent.get() {
            self.testbed.record_endpoint_list(self.number);
        }
        match self.wait_until_ready().await {
            Some(startup_time) => {
                self.testbed.record.write(Event::ProcessReady { process, startup_time });
                self.testbed.open_gateways.borrow_mut().insert(self.number, process.run);
            }
            None => self.testbed.record.write(Event::ProcessNotReady { process }),
        }
        Ok(())
    }

    fn spawn(&self, process: Process) -> io::Result<Child> {
        let log = File::create(self.log_file(process.run))?;
        let mut command = Command::new(&self.program);
        command.arg("--log-filter").arg(LOG_FILTER).arg("platform").env("LB_CONFIG", self.config_file());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.faults.preload(&mut command);
        command.spawn()
    }

    /// Waits until the process is ready and returns its startup time. Returns `None` if the process exited or took too
    /// long.
    async fn wait_until_ready(&self) -> Option<Duration> {
        let started_at = self.testbed.record.now();
        while self.testbed.record.now() - started_at < STARTUP_TIMEOUT {
            if self.is_ready().await {
                return Some(self.testbed.record.now() - started_at);
            }
            if self.has_exited() {
                return None;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        None
    }

    async fn is_ready(&self) -> bool {
        let check = async {
            let mut stream = TcpStream::connect(self.testbed.gateway_address(self.number)).await?;
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: soak\r\n\r\n").await?;
            let mut status_line = [0; 12];
            stream.read_exact(&mut status_line).await?;
            Ok::<_, io::Error>(status_line.ends_with(b"200"))
        };
        matches!(with_timeout(HEALTH_CHECK_TIMEOUT, check).await, Some(Ok(true)))
    }

    /// Returns true if the gateway has no running process. The first call after the exit of a process records the exit.
    fn has_exited(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let Some(running) = child.as_mut() else { return true };
        let Ok(Some(status)) = running.try_wait() else { return false };
        let clean = status.success();
        self.testbed.open_gateways.borrow_mut().remove(&self.number);
        self.testbed.record.write(Event::ProcessExited { process: self.process(), clean });
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

    /// Keeps clients from opening new connections to the gateway.
    fn close_to_clients(&self) {
        self.testbed.open_gateways.borrow_mut().remove(&self.number);
    }

    fn kill(&self) {
        let Some(mut child) = self.child.borrow_mut().take() else { return };
        self.testbed.record.write(Event::ProcessKilled { process: self.process() });
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Kills the process without a stop signal and starts another after `downtime`.
    pub async fn crash(&self, downtime: Duration) {
        if self.transitioning.replace(true) {
            return;
        }
        // A process that exited by itself must not be recorded as killed.
        if !self.has_exited() {
            self.close_to_clients();
            self.kill();
        }
        Timer::after(downtime).await;
        let _ = self.start().await;
        self.transitioning.set(false);
    }

    /// Sends the stop signals, kills the process if it does not exit in time, and starts another.
    pub async fn restart(&self, signals: StopSignals) {
        if self.transitioning.replace(true) {
            return;
        }
        self.stop(signals).await;
        let _ = self.start().await;
        self.transitioning.set(false);
    }

    async fn stop(&self, signals: StopSignals) {
        let record = &self.testbed.record;
        record.write(Event::StopSignalSent { process: self.process() });
        self.signal(Signal::TERM);
        let kill_at =
            record.now() + self.testbed.parameters.max_deadline.min(MAX_AWAITED_DEADLINE) + KILL_DELAY;
        let close_to_clients_at = record.now() + OPEN_AFTER_STOP;
        let mut series = signals.series().iter();
        let mut next_signal_at = record.now() + SIGNAL_INTERVAL;
        while record.now() < kill_at && !self.has_exited() {
            if record.now() >= next_signal_at
                && let Some(signal) = series.next()
            {
                self.signal(*signal);
                next_signal_at += SIGNAL_INTERVAL;
            }
            if record.now() >= close_to_clients_at {
                self.close_to_clients();
            }
            Timer::after(POLL_INTERVAL).await;
        }
        self.close_to_clients();
        self.kill();
    }

    /// Moves the gateway's discovery agent to another address and has the process reload its configuration.
    pub fn reload(&self, address: usize) {
        if self.transitioning.get() || self.child.borrow().is_none() {
            return;
        }
        self.testbed.agents[self.number].address.set(address);
        if self.write_config().is_ok() {
            self.testbed.record.write(Event::ReloadSignalSent { process: self.process() });
            self.signal(Signal::HUP);
        }
    }

    /// Restarts the process whenever it exits by itself. This future never completes.
    pub async fn supervise(&self) {
        loop {
            Timer::after(POLL_INTERVAL).await;
            if !self.transitioning.get() && self.child.borrow().is_some() && self.has_exited() {
                let _ = self.start().await;
            }
        }
    }

    /// Stops the gateway's process and starts no other.
    pub async fn shut_down(&self) {
        while self.transitioning.get() {
            Timer::after(POLL_INTERVAL).await;
        }
        self.transitioning.set(true);
        if self.child.borrow().is_some() {
            self.stop(StopSignals::Once).await;
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
