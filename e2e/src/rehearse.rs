//! Executes a script: gateways, fleet, clients and timed faults on loopback; then the auditor's verdict.

mod faults;
mod outcome;
mod traffic;

use crate::auditor::{Bounds, Effect, caches_left_behind, judge};
use crate::client::{Addresses, Api};
use crate::fleet::{Executor, Fleet, RunningGateway, Shape, StartError, settings_text};
use crate::script::{FleetShape, Script};
use async_io::Timer;
use faults::inject;
use petrelshore_chat_gateway::PolicyKind;
use petrelshore_emulator::profile::{Profile, Role};
use petrelshore_emulator::record::{FinalOutcome, Nanos, Record};
use petrelshore_settings::Settings;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

pub use outcome::Outcome;

const SECOND: Nanos = 1_000_000_000;
const NANOS_PER_MS: f64 = 1e6;
/// How long requests in transit may still reach a draining server, from the gateway's notification on.
const DRAIN_GRACE: Nanos = SECOND / 4;

/// Why a rehearsal was not executed.
#[derive(Debug)]
pub enum Error {
    /// The script has no gateway.
    NoGateway,
    /// A gateway or the fleet did not start.
    Start(StartError),
    /// The inventory or a restarted server failed.
    Io(std::io::Error),
    /// A gateway rejects the changed inventory.
    Reload(String),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NoGateway => formatter.write_str("a rehearsal needs a gateway"),
            Error::Start(error) => error.fmt(formatter),
            Error::Io(error) => error.fmt(formatter),
            Error::Reload(message) => formatter.write_str(message),
        }
    }
}

impl std::error::Error for Error {}

impl From<StartError> for Error {
    fn from(error: StartError) -> Self {
        Error::Start(error)
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Error::Io(error)
    }
}

/// What the tasks of a rehearsal share.
struct Rehearsal {
    executor: Executor,
    folder: PathBuf,
    record: Record,
    gateways: RefCell<Vec<Option<RunningGateway>>>,
    addresses: Vec<Addresses>,
    names: Vec<String>,
    /// Settings records of all gateways beside the usual ones.
    more: String,
    policy_kind: PolicyKind,
    settings: Settings,
    next_client: Cell<u64>,
    requests: RefCell<Vec<ClientRequest>>,
}

/// One request of a client, over all its retries.
struct ClientRequest {
    model: &'static str,
    api: Api,
    outcome: FinalOutcome,
    within_slo: bool,
    /// From the first attempt on.
    first_token: Option<Nanos>,
}

/// Executes a script; its files go to `folder`, and `progress` gets a line now and then.
pub async fn rehearse(
    executor: &Executor,
    folder: &Path,
    script: &Script,
    more: &str,
    policy_kind: PolicyKind,
    progress: impl Fn(String),
) -> Result<Outcome, Error> {
    let mut fleet = start_fleet(executor, folder, &script.fleet).await?;
    let rehearsal = Rehearsal::start(executor, folder, &fleet.record, script, more, policy_kind).await?;
    let clients = rehearsal.start_clients(script);
    let started = rehearsal.record.now();
    let mut faults = script.faults.clone();
    faults.sort_by(|first, second| first.at_ms.total_cmp(&second.at_ms));
    for fault in &faults {
        sleep_until(&rehearsal.record, started + nanos(fault.at_ms)).await;
        progress(fault.to_string());
        inject(&mut fleet, &rehearsal, fault).await?;
    }
    for arrivals in clients {
        for request in arrivals.await {
            request.await;
        }
    }
    progress("clients are done".to_owned());
    // What has to be released is given its time.
    Timer::after(Duration::from_nanos(2 * rehearsal.settings.deployment.release_timeout)).await;
    Ok(rehearsal.outcome())
}

async fn start_fleet(executor: &Executor, folder: &Path, fleet: &FleetShape) -> std::io::Result<Fleet> {
    let shape = Shape {
        cells: fleet.cells as usize,
        prefill: fleet.prefill as usize,
        decode: fleet.decode as usize,
        combined: fleet.combined as usize,
    };
    let profile = |role: Role| Profile {
        slots: fleet.slots as usize,
        token_interval: nanos(fleet.token_ms),
        prefill_tokens_per_second: fleet.prefill_tokens_per_second,
        warm_up: nanos(fleet.warm_up_ms),
        overload_factor: fleet.overload_factor,
        ..Profile::default_for(role)
    };
    Fleet::start(executor.clone(), folder, &shape, profile).await
}

impl Rehearsal {
    /// Starts the gateways of a script.
    async fn start(
        executor: &Executor,
        folder: &Path,
        record: &Record,
        script: &Script,
        more: &str,
        policy_kind: PolicyKind,
    ) -> Result<Rc<Rehearsal>, Error> {
        let count = (script.gateways as usize).max(1);
        let (warm_up_ms, overload_factor) = (script.fleet.warm_up_ms, script.fleet.overload_factor);
        let more = format!("cold.lasts = \"{warm_up_ms}ms\", cold.multiple = {overload_factor}, {more}");
        let names: Vec<String> = (1..=count).map(|number| format!("gw-{number}")).collect();
        let mut gateways = Vec::new();
        for name in &names {
            let settings = settings_text(name, count, "127.0.0.1:0", &more);
            gateways.push(RunningGateway::start_with(executor, folder, &settings, policy_kind).await?);
        }
        let settings = gateways.first().ok_or(Error::NoGateway)?.gateway.settings().clone();
        Ok(Rc::new(Rehearsal {
            executor: executor.clone(),
            folder: folder.to_owned(),
            record: record.clone(),
            addresses: gateways.iter().map(|gateway| gateway.addresses).collect(),
            gateways: RefCell::new(gateways.into_iter().map(Some).collect()),
            names,
            more,
            policy_kind,
            settings,
            next_client: Cell::new(0),
            requests: RefCell::default(),
        }))
    }

    /// Judges what was recorded.
    fn outcome(&self) -> Outcome {
        let gateways = self.gateways.borrow();
        let left_in_gateways = gateways.iter().flatten().map(|gateway| gateway.gateway.tracked()).sum();
        let entries = self.record.entries();
        let left_in_servers = caches_left_behind(&entries);
        let verdict = judge(&entries, &bounds(&self.settings));
        let summary = outcome::summarize(&self.settings, &self.requests.borrow());
        Outcome { verdict, entries, left_in_gateways, left_in_servers, ..summary }
    }
}

/// The bounds of the rules, as the gateways' settings have them.
pub fn bounds(settings: &Settings) -> Bounds {
    use petrelshore_chat_gateway::Idempotency;
    let mut bounds = Bounds::new(settings.deployment.release_timeout, DRAIN_GRACE);
    for traffic in &settings.traffic {
        let effect = match traffic.idempotency {
            Idempotency::Idempotent => Effect::Idempotent,
            Idempotency::AtMostOnce => Effect::AtMostOnce,
            Idempotency::Keyed { window, .. } => Effect::KeyedInCell(window),
        };
        bounds.effects.insert(traffic.name.clone(), effect);
    }
    bounds
}

fn nanos(millis: f64) -> Nanos {
    (millis * NANOS_PER_MS) as Nanos
}

async fn sleep_until(record: &Record, at: Nanos) {
    Timer::after(Duration::from_nanos(at.saturating_sub(record.now()))).await;
}
