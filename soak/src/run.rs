//! Executes one run, from its plan to its report.

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

/// Time from the start of the clients until faults may begin.
const FAULT_START_DELAY: Duration = Duration::from_secs(1);
/// Time before the clients stop during which no fault begins.
const LAST_FAULT_MARGIN: Duration = Duration::from_secs(4);
/// Time for which a run waits after the last request, so that the response arrives and the request's KV cache is
/// released.
const SETTLE_TIME: Duration = Duration::from_millis(4_500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);
/// The shortest delay of the soak itself that is recorded.
const MIN_SCHEDULING_DELAY: Duration = Duration::from_millis(10);

/// The size, duration and seed of a run.
pub struct Plan {
    /// The seed from which faults, traffic and parameters are drawn.
    pub seed: u64,
    /// The time for which clients send requests, in seconds.
    pub seconds: u64,
    /// The number of gateways, each of which has one process at a time.
    pub gateways: usize,
    /// The number of model servers.
    pub servers: usize,
    /// The number of clients.
    pub clients: usize,
    /// The path of the `petrelshore` command.
    pub program: PathBuf,
    /// A new folder for configurations and logs. The run removes it if no rule was broken.
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
    /// The parameters of the deployment; timeouts differ from seed to seed.
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
    let shared = testbed.clone();
    testbed.spawn(async move { record_scheduling_delays(&shared).await });
    let gateways = start_gateways(testbed, plan, library).await?;
    for number in 0..plan.clients {
        testbed.spawn(client::run(testbed.clone(), number));
    }
    let end = testbed.record.now() + Duration::from_secs(plan.seconds);
    Timer::after(FAULT_START_DELAY).await;
    FaultInjector::new(testbed, gateways.clone()).run(end.saturating_sub(LAST_FAULT_MARGIN)).await;
    Timer::after(LAST_FAULT_MARGIN).await;
    testbed.finished.set(true);
    Timer::after(SETTLE_TIME).await;
    shut_down(testbed, &gateways).await;
    Ok(())
}

/// Spawns the model servers and discovery agents at the addresses where each gateway reaches them.
fn spawn_servers(testbed: &Rc<Testbed>) {
    for gateway in 0..testbed.parameters.gateways {
        for server in 0..testbed.parameters.servers {
            let shared = testbed.clone();
            testbed.spawn(async move {
                let result = server::serve(shared.clone(), gateway, server).await;
                record_failure(&shared, result);
            });
        }
        for address in 0..discovery::ADDRESSES {
            let shared = testbed.clone();
            testbed.spawn(async move {
                let result = discovery::serve(shared.clone(), gateway, address).await;
                record_failure(&shared, result);
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
        let gateway = gateway.clone();
        testbed.executor.spawn(async move { gateway.start().await })
    });
    for start in starts.collect::<Vec<_>>() {
        start.await?;
    }
    for gateway in &gateways {
        let gateway = gateway.clone();
        testbed.spawn(async move { gateway.supervise().await });
    }
    Ok(gateways)
}

/// Stops all gateways at once.
async fn shut_down(testbed: &Rc<Testbed>, gateways: &[Rc<Gateway>]) {
    let shutdowns = gateways.iter().map(|gateway| {
        let gateway = gateway.clone();
        testbed.executor.spawn(async move { gateway.shut_down().await })
    });
    for shutdown in shutdowns.collect::<Vec<_>>() {
        shutdown.await;
    }
}

/// Keeps the first error with which a model server or discovery agent stopped serving; such a run is not judged.
fn record_failure(testbed: &Testbed, result: io::Result<()>) {
    if let Err(error) = result {
        testbed.failure.borrow_mut().get_or_insert(error);
    }
}

/// Records delays of the soak's own tasks, for which the oracle allows extra slack.
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
