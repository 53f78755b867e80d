//! Executes a script: runs the fleet, gateways, clients and timed faults on loopback, and then audits the record.

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
/// The time for which requests in transit may still arrive at a draining server after their gateway was notified, in
/// nanoseconds.
const DRAIN_GRACE: Nanos = SECOND / 4;

/// The reason why a rehearsal was not completed.
#[derive(Debug)]
pub enum Error {
    /// The script has no gateway.
    NoGateway,
    /// A gateway or the fleet did not start.
    Start(StartError),
    /// Writing the inventory or starting a server failed.
    Io(std::io::Error),
    /// A gateway rejected the changed inventory.
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

/// The state that the tasks of a rehearsal share.
struct Rehearsal {
    executor: Executor,
    folder: PathBuf,
    record: Record,
    gateways: RefCell<Vec<Option<RunningGateway>>>,
    addresses: Vec<Addresses>,
    names: Vec<String>,
    /// Settings of all gateways in addition to the default ones.
    extra_settings: String,
    policy_kind: PolicyKind,
    settings: Settings,
    next_client: Cell<u64>,
    requests: RefCell<Vec<ClientRequest>>,
}

/// A request of a client, including its retries.
struct ClientRequest {
    model: &'static str,
    api: Api,
    outcome: FinalOutcome,
    within_slo: bool,
    /// The time from the first attempt to the first token, in nanoseconds.
    first_token: Option<Nanos>,
}

/// Executes a script. `folder` holds the files of the run. `progress` is called with a line for each fault, and when
/// all clients have finished.
pub async fn rehearse(
    executor: &Executor,
    folder: &Path,
    script: &Script,
    extra_settings: &str,
    policy_kind: PolicyKind,
    progress: impl Fn(String),
) -> Result<Outcome, Error> {
    let mut fleet = start_fleet(executor, folder, &script.fleet).await?;
    let rehearsal =
        Rehearsal::start(executor, folder, &fleet.record, script, extra_settings, policy_kind).await?;
    let client_groups = rehearsal.start_clients(script);
    let started = rehearsal.record.now();
    let mut faults = script.faults.clone();
    faults.sort_by(|first, second| first.at_ms.total_cmp(&second.at_ms));
    for fault in &faults {
        sleep_until(&rehearsal.record, started + nanos(fault.at_ms)).await;
        progress(fault.to_string());
        inject(&mut fleet, &rehearsal, fault).await?;
    }
    for group in client_groups {
        for request in group.await {
            request.await;
        }
    }
    progress("all clients have finished".to_owned());
    // Gives gateways time to release KV caches before the audit.
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
        extra_settings: &str,
        policy_kind: PolicyKind,
    ) -> Result<Rc<Rehearsal>, Error> {
        let count = (script.gateways as usize).max(1);
        let (warm_up_ms, overload_factor) = (script.fleet.warm_up_ms, script.fleet.overload_factor);
        let extra_settings =
            format!("cold.lasts = \"{warm_up_ms}ms\", cold.multiple = {overload_factor}, {extra_settings}");
        let names: Vec<String> = (1..=count).map(|number| format!("gw-{number}")).collect();
        let mut gateways = Vec::new();
        for name in &names {
            let settings = settings_text(name, count, "127.0.0.1:0", &extra_settings);
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
            extra_settings,
            policy_kind,
            settings,
            next_client: Cell::new(0),
            requests: RefCell::default(),
        }))
    }

    /// Audits the record and summarizes the requests.
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

/// Returns the bounds of the rules for the settings of the gateways.
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
