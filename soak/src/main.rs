//! The `petrelshore-soak` command.

use clap::Parser;
use petrelshore_soak::{Plan, run};
use std::path::PathBuf;
use std::process::ExitCode;

/// Plays overlapping faults against `petrelshore platform` processes on loopback, and judges the rules from what passed
/// on sockets. Exits with 1 where a rule was broken, with 2 where the run could not be played.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Command {
    /// Draws troubles, traffic and terms
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long clients ask
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
    /// The command that is played against, beside this one where none is named
    #[arg(long)]
    program: Option<PathBuf>,
    /// Print one JSON object as the last line
    #[arg(long)]
    json: bool,
    /// Print which kinds of troubles overlapped, and how often
    #[arg(long)]
    pairs: bool,
}

fn main() -> ExitCode {
    let command = Command::parse();
    let beside = std::env::current_exe().ok().and_then(|own| Some(own.parent()?.join("petrelshore")));
    let Some(program) = command.program.or(beside) else {
        eprintln!("petrelshore-soak: where is the petrelshore command? Name it with --program");
        return ExitCode::from(2);
    };
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
    let report = match run(&plan) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("petrelshore-soak: {error}");
            return ExitCode::from(2);
        }
    };
    eprint!("{}", report.explain(command.seed, &folder));
    if command.pairs {
        for ((first, second), count) in &report.overlaps {
            eprintln!("pair {first} {second} {count}");
        }
    }
    if command.json {
        println!("{}", report.json());
    } else {
        println!(
            "{} requests, {} served, {} faults, {} overlaps, {} violations",
            report.requests,
            report.served,
            report.faults,
            report.overlaps.values().sum::<usize>(),
            report.violations.len()
        );
    }
    if report.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
