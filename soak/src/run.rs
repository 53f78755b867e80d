//! One run, from its plan to its report.

use crate::client;
use crate::discovery;
use crate::fault::FaultInjector;
use crate::oracle::judge;
use crate::process::Gateway;
use crate::record::Event;
use crate::report::Report;
use crate::server;
use crate::shim::Library;
use crate::testbed::{Parameters, Testbed};
use async_io::Timer;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Faults begin after this.
const FAULTS_AFTER: Duration = Duration::from_secs(1);
/// No fault begins this long before clients stop.
const FAULTS_END_BEFORE: Duration = Duration::from_secs(4);
/// After the last request, its response and the release of its KV cache are awaited.
const SETTLE_TIME: Duration = Duration::from_millis(4_500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);
/// Delays of the soak itself that are recorded.
const MIN_SCHEDULING_DELAY: Duration = Duration::from_millis(10);

/// What a run consists of.
pub struct Plan {
    /// Draws faults, traffic and parameters.
    pub seed: u64,
    /// How long clients send requests.
    pub seconds: u64,
    /// Gateway processes.
    pub gateways: usize,
    /// Model servers.
    pub servers: usize,
    /// Clients.
    pub clients: usize,
    /// The `petrelshore` command.
    pub program: PathBuf,
    /// A new folder for configurations and logs; removed where no rule is broken.
    pub folder: PathBuf,
}

/// Executes a run to its end and judges it.
pub fn run(plan: &Plan) -> io::Result<Report> {
    std::fs::create_dir_all(&plan.folder)?;
    let library = Library::build(&plan.folder)?;
    let parameters = plan.parameters();
    let testbed = Testbed::new(parameters, plan.seed, plan.folder.clone())?;
    async_io::block_on(testbed.executor.run(execute(&testbed, plan, &library)))?;
    if let Some(error) = testbed.failure.take() {
        return Err(error);
    }
    let events = testbed.record.events();
    let violations = judge(&parameters, &events);
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&plan.folder);
    }
    Ok(Report::new(violations, events))
}

impl Plan {
    /// The deployment of the run: its timeouts differ from seed to seed.
    fn parameters(&self) -> Parameters {
        let choose = |millis: [u64; 3], divisor: u64| {
            Duration::from_millis(millis[(self.seed / divisor % 3) as usize])
        };
        Parameters {
            gateways: self.gateways,
            servers: self.servers,
            clients: self.clients,
            drain_grace: choose([250, 1_000, 2_000], 1),
            release_timeout: choose([300, 500, 1_000], 3),
            idempotency_window: choose([800, 1_500, 2_500], 9),
            warm_up: Duration::from_secs(5),
            initial_capacity: 0.3,
            overload_factor: 2.5,
            overload_window: Duration::from_millis(1_500),
            max_deadline: Duration::from_millis([3_000, 900, 1_600, 5_000][(self.seed / 5 % 4) as usize]),
            health_checks: self.seed % 7 < 4,
            resume_streams: self.seed % 2 == 1,
        }
    }
}

async fn execute(testbed: &Rc<Testbed>, plan: &Plan, library: &Library) -> io::Result<()> {
    spawn_servers(testbed);
    let own = testbed.clone();
    testbed.spawn(async move { record_scheduling_delays(&own).await });
    let gateways = start_gateways(testbed, plan, library).await?;
    for number in 0..plan.clients {
        testbed.spawn(client::run(testbed.clone(), number));
    }
    let end = testbed.record.now() + Duration::from_secs(plan.seconds);
    Timer::after(FAULTS_AFTER).await;
    FaultInjector::new(testbed, gateways.clone()).run(end.saturating_sub(FAULTS_END_BEFORE)).await;
    Timer::after(FAULTS_END_BEFORE).await;
    testbed.finished.set(true);
    Timer::after(SETTLE_TIME).await;
    shut_down(testbed, &gateways).await;
    Ok(())
}

/// Spawns the model servers and discovery agents that each gateway reaches.
fn spawn_servers(testbed: &Rc<Testbed>) {
    for gateway in 0..testbed.parameters.gateways {
        for server in 0..testbed.parameters.servers {
            let own = testbed.clone();
            testbed.spawn(async move {
                let ended = server::serve(own.clone(), gateway, server).await;
                record_failure(&own, ended);
            });
        }
        for address in 0..discovery::ADDRESSES {
            let own = testbed.clone();
            testbed.spawn(async move {
                let ended = discovery::serve(own.clone(), gateway, address).await;
                record_failure(&own, ended);
            });
        }
    }
}

/// Starts all gateways at once, waits until they are ready, and supervises them from then on.
async fn start_gateways(
    testbed: &Rc<Testbed>,
    plan: &Plan,
    library: &Library,
) -> io::Result<Vec<Rc<Gateway>>> {
    let gateways = (0..plan.gateways)
        .map(|number| Gateway::new(testbed, plan.program.clone(), library, number))
        .collect::<io::Result<Vec<_>>>()?;
    let starts = gateways.iter().map(|gateway| {
        let own = gateway.clone();
        testbed.executor.spawn(async move { own.start().await })
    });
    for start in starts.collect::<Vec<_>>() {
        start.await?;
    }
    for gateway in &gateways {
        let own = gateway.clone();
        testbed.spawn(async move { own.supervise().await });
    }
    Ok(gateways)
}

/// Stops all gateways at once.
async fn shut_down(testbed: &Rc<Testbed>, gateways: &[Rc<Gateway>]) {
    let ends = gateways.iter().map(|gateway| {
        let own = gateway.clone();
        testbed.executor.spawn(async move { own.shut_down().await })
    });
    for end in ends.collect::<Vec<_>>() {
        end.await;
    }
}

/// Records that a server could not listen.
fn record_failure(testbed: &Testbed, ended: io::Result<()>) {
    if let Err(error) = ended {
        testbed.failure.borrow_mut().get_or_insert(error);
    }
}

/// Records by how much the soak itself is delayed.
async fn record_scheduling_delays(testbed: &Testbed) {
    loop {
        let due = testbed.record.now() + HEARTBEAT_INTERVAL;
        Timer::after(HEARTBEAT_INTERVAL).await;
        let delay = testbed.record.now().saturating_sub(due);
        if delay > MIN_SCHEDULING_DELAY {
            testbed.record.write(Event::SchedulingDelay { delay });
        }
    }
}
