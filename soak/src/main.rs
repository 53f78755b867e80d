//! The `petrelshore-soak` command.

use clap::Parser;
use petrelshore_soak::{Plan, Report, run};
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

/// Injects overlapping faults into `petrelshore platform` processes on loopback and checks rules against observations
/// on sockets. Exits with 1 if a rule was broken, and with 2 if the run could not be executed.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Command {
    /// Seed from which faults, traffic and parameters are drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time for which clients send requests, in seconds
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Number of gateways, each with one process at a time
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=60))]
    gateways: u64,
    /// Number of model servers, half of them prefill servers
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(4..=200))]
    servers: u64,
    /// Number of clients, each with a connection of its own
    #[arg(long, default_value_t = 120)]
    clients: usize,
    /// Path of the petrelshore command under test [default: petrelshore in the folder of this command]
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

/// The reason why a run could not be executed.
#[derive(Debug)]
enum Error {
    /// No program was named, and the folder of this command is unknown.
    ProgramMissing,
    /// A file, process or socket operation failed.
    Io(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::ProgramMissing => formatter.write_str(
                "the folder of this command is unknown; name the petrelshore command with --program",
            ),
            Error::Io(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for Error {}

fn execute(command: Command) -> Result<ExitCode, Error> {
    let program = command.program.or_else(default_program).ok_or(Error::ProgramMissing)?;
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

fn default_program() -> Option<PathBuf> {
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
