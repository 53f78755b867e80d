//! The `petrelshore-soak` command.

use clap::Parser;
use petrelshore_soak::{Plan, Report, run};
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

/// Injects overlapping faults into `petrelshore platform` processes on loopback, and judges the rules from what was
/// observed on sockets. Exits with 1 where a rule was broken, with 2 where the run could not be executed.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Command {
    /// Draws faults, traffic and parameters
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long clients send requests
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Gateway processes
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=60))]
    gateways: u64,
    /// Model servers, half of them prefill servers
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(4..=200))]
    servers: u64,
    /// Clients, each with a connection of its own
    #[arg(long, default_value_t = 120)]
    clients: usize,
    /// The command under test, beside this one where none is named
    #[arg(long)]
    program: Option<PathBuf>,
    /// Print one JSON object as the last line
    #[arg(long)]
    json: bool,
    /// Print which kinds of faults overlapped, and how often
    #[arg(long)]
    pairs: bool,
}

fn main() -> ExitCode {
    match execute(Command::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("petrelshore-soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Why a run could not be executed.
#[derive(Debug)]
enum Error {
    /// No program was named, and none stands beside this one.
    ProgramMissing,
    /// A process or a socket failed.
    Io(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::ProgramMissing => {
                formatter.write_str("where is the petrelshore command? Name it with --program")
            }
            Error::Io(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for Error {}

fn execute(command: Command) -> Result<ExitCode, Error> {
    let program = command.program.or_else(program_beside_this_one).ok_or(Error::ProgramMissing)?;
    let folder =
        std::env::temp_dir().join(format!("petrelshore-soak-{}-{}", command.seed, std::process::id()));
    let plan = Plan {
        seed: command.seed,
        seconds: command.seconds,
        gateways: command.gateways as usize,
        servers: command.servers as usize,
        clients: command.clients,
        program,
        folder: folder.clone(),
    };
    let report = run(&plan).map_err(Error::Io)?;
    eprint!("{}", report.explain(command.seed, &folder));
    if command.pairs {
        for (pair, count) in &report.overlaps {
            eprintln!("pair {} {} {count}", pair.first, pair.second);
        }
    }
    println!("{}", if command.json { report.json() } else { summary(&report) });
    Ok(if report.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn program_beside_this_one() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    Some(own.parent()?.join("petrelshore"))
}

fn summary(report: &Report) -> String {
    format!(
        "{} requests, {} served, {} faults, {} overlaps, {} violations",
        report.requests,
        report.served,
        report.faults,
        report.overlaps.values().sum::<usize>(),
        report.violations.len()
    )
}
