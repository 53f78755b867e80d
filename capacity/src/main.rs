//! The `petrelshore-capacity` command.

use clap::{Parser, Subcommand, ValueEnum};
use petrelshore_capacity::fleet::{self, Scenario, Setup};
use petrelshore_capacity::limits::{self, LimitError};
use petrelshore_capacity::report::{Format, Printer};
use petrelshore_capacity::slopes::{self, Plan};
use petrelshore_gateway_core::PolicyKind;
use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

/// Measures what gateways cost and how they behave at the size of the whole service. Nothing goes over a socket.
#[derive(Parser)]
#[command(name = "petrelshore-capacity", version)]
struct Arguments {
    /// Prints one JSON object a line instead of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// One gateway's cost for a complete request, for endpoint lists, and its memory, over growing fleets.
    Slopes(SlopesArguments),
    /// Gateways without sockets sharing one process before simple model servers, in virtual time.
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
    /// Shares of the servers that respond to nothing, from 0 to 1.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0])]
    silent: Vec<f64>,
    /// Requests measured for each row.
    #[arg(long, default_value_t = 2_000)]
    requests: u64,
    /// Milliseconds after which a row ends with fewer requests.
    #[arg(long, default_value_t = 1_000)]
    row_ms: u64,
    /// Numbers of requests after which memory is read.
    #[arg(long, value_delimiter = ',', default_values_t = [10_000, 100_000, 1_000_000])]
    memory_at: Vec<u64>,
    /// How servers are found.
    #[arg(long, value_enum, default_value_t = Policy::Candidates)]
    policy: Policy,
}

#[derive(clap::Args)]
struct FleetArguments {
    #[arg(long, default_value_t = 990)]
    gateways: u64,
    /// Model servers, 26 in 100 of them for prefill.
    #[arg(long, default_value_t = 4_200)]
    servers: u64,
    #[arg(long, default_value_t = 640)]
    tenants: u64,
    /// Requests a second over all gateways; in proportion to the servers where it is not given.
    #[arg(long)]
    rate: Option<u64>,
    /// Seconds of virtual time.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How servers are found; both one after the other where it is not given.
    #[arg(long, value_enum)]
    policy: Option<Policy>,
    /// What happens; all one after the other where it is not given.
    #[arg(long, value_enum)]
    scene: Option<ScenarioName>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum ScenarioName {
    /// Nothing but traffic.
    Ordinary,
    /// The model servers of a zone are lost at once, and all restart at once.
    Zone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Policy {
    /// Every server is examined for every request.
    Scan,
    /// A bounded number of candidates is examined, as the gateway does.
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

/// Requests per second of the whole service.
const SERVICE_RATE: f64 = 63_000.0;
/// Model servers of the whole service.
const SERVICE_SERVERS: f64 = 4_200.0;
const MAX_TENANTS: u64 = 100_000;
const MAX_REQUESTS: u64 = 100_000_000;
const MAX_ROW_MS: u64 = 600_000;

/// Why a command is not executed.
#[derive(Debug)]
enum Error {
    /// A size is out of range, or beyond this machine.
    Limit(LimitError),
    /// A share of the servers is not between 0 and 1.
    ShareOutOfRange(f64),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Limit(error) => error.fmt(formatter),
            Error::ShareOutOfRange(share) => {
                write!(formatter, "a part of the servers must be from 0 to 1, not {share}")
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
            limits::in_range("--servers", *servers, limits::MAX_SERVERS)?;
        }
        for tenants in self.tenants.iter().filter(|tenants| **tenants > 0) {
            limits::in_range("--tenants", *tenants, MAX_TENANTS)?;
        }
        for requests in &self.memory_at {
            limits::in_range("--memory-at", *requests, MAX_REQUESTS)?;
        }
        limits::in_range("--requests", self.requests, MAX_REQUESTS)?;
        limits::in_range("--row-ms", self.row_ms, MAX_ROW_MS)?;
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
    /// All chosen scenarios under all chosen policies.
    fn setups(&self) -> Result<Vec<Setup>, Error> {
        limits::check(self.gateways, self.servers, limits::machine_memory())?;
        if self.tenants > 0 {
            limits::in_range("--tenants", self.tenants, MAX_TENANTS)?;
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
