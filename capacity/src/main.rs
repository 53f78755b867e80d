//! The `petrelshore-capacity` command: parses the arguments and runs the chosen measurement.

use clap::{Parser, Subcommand, ValueEnum};
use petrelshore_capacity::fleet::{self, Scenario, Setup};
use petrelshore_capacity::limits::{self, LimitError};
use petrelshore_capacity::report::{Format, Printer};
use petrelshore_capacity::slopes::{self, Plan};
use petrelshore_gateway_core::PolicyKind;
use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

/// Measures the cost of gateways and simulates their behavior at the size of the whole service, without sockets.
#[derive(Parser)]
#[command(name = "petrelshore-capacity", version)]
struct Arguments {
    /// Prints one JSON object per line instead of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures the cost of requests and endpoint lists, and the memory, of one gateway with fleets of growing size.
    Slopes(SlopesArguments),
    /// Simulates gateways without sockets and simplified model servers in one process, in virtual time.
    Fleet(FleetArguments),
}

#[derive(clap::Args)]
struct SlopesArguments {
    /// Numbers of model servers.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1_000, 2_000, 4_200, 8_400])]
    servers: Vec<u64>,
    /// Numbers of tenants.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 1, 64, 640])]
    tenants: Vec<u64>,
    /// Shares of the servers in slow start, from 0 to 1.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 1.0 / 7.0, 1.0])]
    slow_start: Vec<f64>,
    /// Shares of the servers that accept requests but never respond, from 0 to 1.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0])]
    silent: Vec<f64>,
    /// Number of requests measured for each row.
    #[arg(long, default_value_t = 2_000)]
    requests: u64,
    /// Maximum time to measure one row, in milliseconds; after this time the row ends with fewer requests.
    #[arg(long, default_value_t = 1_000)]
    row_ms: u64,
    /// Numbers of requests after which the memory of the process is read.
    #[arg(long, value_delimiter = ',', default_values_t = [10_000, 100_000, 1_000_000])]
    memory_at: Vec<u64>,
    /// How the gateway finds a server for a request.
    #[arg(long, value_enum, default_value_t = Policy::Candidates)]
    policy: Policy,
}

#[derive(clap::Args)]
struct FleetArguments {
    /// Number of gateways.
    #[arg(long, default_value_t = 990)]
    gateways: u64,
    /// Number of model servers; 26% of the servers are prefill servers.
    #[arg(long, default_value_t = 4_200)]
    servers: u64,
    /// Number of tenants.
    #[arg(long, default_value_t = 640)]
    tenants: u64,
    /// Requests per second over all gateways; by default in proportion to the number of servers.
    #[arg(long)]
    rate: Option<u64>,
    /// Duration of the simulation in virtual time, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How gateways find a server for a request; by default both policies run one after the other.
    #[arg(long, value_enum)]
    policy: Option<Policy>,
    /// Scenario to simulate; by default all scenarios run one after the other.
    #[arg(long, value_enum)]
    scene: Option<ScenarioName>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum ScenarioName {
    /// Traffic without failures.
    Ordinary,
    /// All model servers of a zone fail at the same time, and later restart at the same time.
    Zone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Policy {
    /// The gateway examines every server for every request.
    Scan,
    /// The gateway examines a bounded number of candidates, as in production.
    Candidates,
}

impl Policy {
    fn policy_kind(self) -> PolicyKind {
        match self {
            Policy::Scan => PolicyKind::FullScan,
            Policy::Candidates => PolicyKind::Scheduler,
        }
    }
}

/// Number of requests per second of the whole service.
const SERVICE_RATE: f64 = 63_000.0;
/// Number of model servers of the whole service.
const SERVICE_SERVERS: f64 = 4_200.0;
const MAX_TENANTS: u64 = 100_000;
const MAX_REQUESTS: u64 = 100_000_000;
const MAX_ROW_MS: u64 = 600_000;

/// The reason why a command is not executed.
#[derive(Debug)]
enum Error {
    /// A size is out of range or does not fit this machine.
    Limit(LimitError),
    /// A share of the servers is not between 0 and 1.
    ShareOutOfRange(f64),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Limit(error) => error.fmt(formatter),
            Error::ShareOutOfRange(share) => {
                write!(formatter, "a share of the servers must be from 0 to 1, not {share}")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<LimitError> for Error {
    fn from(error: LimitError) -> Self {
        Error::Limit(error)
    }
}

impl SlopesArguments {
    fn plan(&self) -> Result<Plan, Error> {
        for servers in &self.servers {
            limits::check_range("--servers", *servers, limits::MAX_SERVERS)?;
        }
        for tenants in self.tenants.iter().filter(|tenants| **tenants > 0) {
            limits::check_range("--tenants", *tenants, MAX_TENANTS)?;
        }
        for requests in &self.memory_at {
            limits::check_range("--memory-at", *requests, MAX_REQUESTS)?;
        }
        limits::check_range("--requests", self.requests, MAX_REQUESTS)?;
        limits::check_range("--row-ms", self.row_ms, MAX_ROW_MS)?;
        for share in self.slow_start.iter().chain(&self.silent) {
            if !(0.0..=1.0).contains(share) {
                return Err(Error::ShareOutOfRange(*share));
            }
        }
        Ok(Plan {
            servers: self.servers.clone(),
            tenants: self.tenants.iter().map(|tenants| *tenants as usize).collect(),
            slow_start_shares: self.slow_start.clone(),
            silent_shares: self.silent.clone(),
            requests: self.requests,
            row_time: Duration::from_millis(self.row_ms),
            memory_at: self.memory_at.clone(),
            policy_kind: self.policy.policy_kind(),
        })
    }
}

impl ScenarioName {
    fn scenario(self) -> Scenario {
        match self {
            ScenarioName::Ordinary => Scenario::Ordinary,
            ScenarioName::Zone => Scenario::ZoneLost,
        }
    }
}

impl FleetArguments {
    /// Returns one setup for each combination of the chosen scenarios and the chosen policies.
    fn setups(&self) -> Result<Vec<Setup>, Error> {
        limits::check_fleet(self.gateways, self.servers, limits::machine_memory())?;
        if self.tenants > 0 {
            limits::check_range("--tenants", self.tenants, MAX_TENANTS)?;
        }
        let scenarios =
            self.scene.map_or(vec![ScenarioName::Ordinary, ScenarioName::Zone], |scene| vec![scene]);
        let policies = self.policy.map_or(vec![Policy::Scan, Policy::Candidates], |policy| vec![policy]);
        let mut setups = Vec::new();
        for scenario in scenarios {
            setups.extend(policies.iter().map(|policy| self.setup(scenario, *policy)));
        }
        Ok(setups)
    }

    fn setup(&self, scenario: ScenarioName, policy: Policy) -> Setup {
        let proportional_rate = SERVICE_RATE * self.servers as f64 / SERVICE_SERVERS;
        Setup {
            gateways: self.gateways as usize,
            servers: self.servers,
            tenants: self.tenants as usize,
            rate: self.rate.map_or(proportional_rate, |rate| rate as f64),
            seconds: self.seconds,
            seed: self.seed,
            policy_kind: policy.policy_kind(),
            scenario: scenario.scenario(),
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Error> {
    let mut printer = Printer::new(if arguments.json { Format::Json } else { Format::Table });
    match &arguments.command {
        Command::Slopes(slopes) => slopes::run(&slopes.plan()?, &mut printer)?,
        Command::Fleet(fleet) => fleet::run(&fleet.setups()?, &mut printer)?,
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("petrelshore-capacity: {error}");
            ExitCode::FAILURE
        }
    }
}
