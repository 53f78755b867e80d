//! The `petrelshore-capacity` command.

use clap::{Parser, Subcommand, ValueEnum};
use petrelshore_capacity::fleet::{self, Scene, Setup};
use petrelshore_capacity::limits::{self, Refused};
use petrelshore_capacity::report::{Form, Printer};
use petrelshore_capacity::slopes::{self, Plan};
use petrelshore_gateway_core::Chooser;
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
    /// One gateway's cost for a whole request, for lists, and its memory, over growing fleets.
    Slopes(Slopes),
    /// Hollow gateways sharing one process before simple model servers, in virtual time.
    Fleet(FleetArguments),
}

#[derive(clap::Args)]
struct Slopes {
    /// Numbers of model servers.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1_000, 2_000, 4_200, 8_400])]
    servers: Vec<u64>,
    /// Numbers of tenants.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 1, 64, 640])]
    tenants: Vec<u64>,
    /// Parts of the servers in slow start, from 0 to 1.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 1.0 / 7.0, 1.0])]
    slow_start: Vec<f64>,
    /// Parts of the servers that answer nothing, from 0 to 1.
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
    scene: Option<SceneName>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum SceneName {
    /// Nothing but traffic.
    Ordinary,
    /// The model servers of a zone are lost at once, and come back cold at once.
    Zone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Policy {
    /// Every server is looked at for every request.
    Scan,
    /// A bounded number of candidates is looked at, as the gateway does.
    Candidates,
}

impl Policy {
    fn chooser(self) -> Chooser {
        match self {
            Policy::Scan => Chooser::Scan,
            Policy::Candidates => Chooser::Decisions,
        }
    }
}

/// The size of the service: requests a second, and model servers.
const FULL_RATE: f64 = 63_000.0;
const FULL_SERVERS: f64 = 4_200.0;
const MOST_TENANTS: u64 = 100_000;
const MOST_REQUESTS: u64 = 100_000_000;
const LONGEST_ROW_MS: u64 = 600_000;

impl Slopes {
    fn plan(&self) -> Result<Plan, String> {
        let range = |what, given: u64, most| {
            limits::in_range(what, given, most).map_err(|no: Refused| no.to_string())
        };
        self.servers.iter().try_for_each(|&n| range("--servers", n, limits::MOST_SERVERS))?;
        self.tenants.iter().filter(|n| **n > 0).try_for_each(|&n| range("--tenants", n, MOST_TENANTS))?;
        self.memory_at.iter().try_for_each(|&n| range("--memory-at", n, MOST_REQUESTS))?;
        range("--requests", self.requests, MOST_REQUESTS)?;
        range("--row-ms", self.row_ms, LONGEST_ROW_MS)?;
        for part in self.slow_start.iter().chain(&self.silent) {
            if !(0.0..=1.0).contains(part) {
                return Err(format!("a part of the servers must be from 0 to 1, not {part}"));
            }
        }
        Ok(Plan {
            servers: self.servers.clone(),
            tenants: self.tenants.iter().map(|n| *n as usize).collect(),
            slow_start: self.slow_start.clone(),
            silent: self.silent.clone(),
            requests: self.requests,
            row_time: Duration::from_millis(self.row_ms),
            memory_at: self.memory_at.clone(),
            chooser: self.policy.chooser(),
        })
    }
}

impl FleetArguments {
    fn setups(&self) -> Result<Vec<Setup>, String> {
        let no = |no: Refused| no.to_string();
        limits::check(self.gateways, self.servers, limits::machine_memory()).map_err(no)?;
        if self.tenants > 0 {
            limits::in_range("--tenants", self.tenants, MOST_TENANTS).map_err(no)?;
        }
        let in_proportion = FULL_RATE * self.servers as f64 / FULL_SERVERS;
        let rate = self.rate.map_or(in_proportion, |rate| rate as f64);
        let mut setups = Vec::new();
        for scene in self.scene.map_or(vec![SceneName::Ordinary, SceneName::Zone], |scene| vec![scene]) {
            for policy in self.policy.map_or(vec![Policy::Scan, Policy::Candidates], |policy| vec![policy]) {
                setups.push(Setup {
                    gateways: self.gateways as usize,
                    servers: self.servers,
                    tenants: self.tenants as usize,
                    rate,
                    seconds: self.seconds,
                    seed: self.seed,
                    chooser: policy.chooser(),
                    scene: match scene {
                        SceneName::Ordinary => Scene::Ordinary,
                        SceneName::Zone => Scene::ZoneLost,
                    },
                });
            }
        }
        Ok(setups)
    }
}

fn run(arguments: &Arguments) -> Result<(), String> {
    let mut printer = Printer::new(if arguments.json { Form::Json } else { Form::Table });
    match &arguments.command {
        Command::Slopes(slopes) => slopes::run(&slopes.plan()?, &mut printer).map_err(|no| no.to_string()),
        Command::Fleet(arguments) => {
            fleet::run(&arguments.setups()?, &mut printer).map_err(|no| no.to_string())
        }
    }
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("petrelshore-capacity: {message}");
            ExitCode::FAILURE
        }
    }
}
