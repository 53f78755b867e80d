//! The `petrelshore` command: one gateway, and the means to try it out.

mod error;
mod logs;
mod operator;
mod platform;
mod serve;
mod signals;
mod trial;

use clap::{Args, Parser, Subcommand, ValueEnum};
use petrelshore_e2e::load;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Routes chat requests to model servers that prefill prompts and decode answers on separate machines.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Command {
    #[command(flatten)]
    logs: Logs,
    #[command(subcommand)]
    subcommand: Subcommands,
}

#[derive(Args)]
struct Logs {
    /// How log lines are written, on standard error
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    logs: LogFormat,
    /// What is logged, such as "info" or "petrelshore_chat_gateway=debug"
    #[arg(long, global = true, default_value = "info")]
    log_filter: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Run a gateway by a settings file until SIGTERM; SIGHUP reloads its inventory
    Serve {
        /// The settings file
        settings: PathBuf,
    },
    /// Run a gateway on the operators' platform, by the file that LB_CONFIG names, until SIGTERM
    Platform,
    /// Check a settings file and the inventory that it names, and print every problem
    Check {
        /// The settings file
        settings: PathBuf,
    },
    /// Run a gateway before emulated model servers, all in this process, ready for a client
    Try {
        /// Where the chat API listens
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
    },
    /// Play a script of faults on loopback, and judge the five rules from what passed on the sockets
    Rehearse {
        /// The script
        script: PathBuf,
        /// Write every event on the sockets to this file, a JSON object a line
        #[arg(long)]
        record: Option<PathBuf>,
        /// Let the gateways choose servers at random, as a baseline
        #[arg(long)]
        baseline: bool,
        /// Which API all clients use, whatever the script says
        #[arg(long, value_enum)]
        front: Option<trial::FrontName>,
    },
    /// Run one emulated model server
    StandIn {
        /// Its role
        #[arg(long, value_enum)]
        role: trial::RoleName,
        /// Where it listens
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Its name
        #[arg(long, default_value = "stand-in")]
        name: String,
        /// Begin in slow start
        #[arg(long)]
        cold: bool,
        /// Answers decoded at once
        #[arg(long, default_value_t = 64)]
        slots: usize,
        /// Milliseconds between tokens while idle
        #[arg(long, default_value_t = 20)]
        token_ms: u64,
    },
    /// Keep streams running, and measure the times to the first token and between tokens
    Load {
        /// The chat API of a gateway
        #[arg(long, default_value = "127.0.0.1:8080")]
        to: SocketAddr,
        /// Then the same by its gRPC API
        #[arg(long)]
        grpc: Option<SocketAddr>,
        /// Then the same straight at this prefill server, with --writer
        #[arg(long, requires = "writer")]
        reader: Option<SocketAddr>,
        /// Then the same straight at this decode server, with --reader
        #[arg(long, requires = "reader")]
        writer: Option<SocketAddr>,
        /// Streams at once
        #[arg(long, default_value_t = 100)]
        streams: usize,
        /// Tokens of each answer
        #[arg(long, default_value_t = 50)]
        tokens: u64,
        /// Seconds for each of them
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Model name
        #[arg(long, default_value = "workshop-chat")]
        model: String,
        /// API key
        #[arg(long)]
        key: Option<String>,
    },
}

fn main() -> ExitCode {
    let command = Command::parse();
    let filter = match EnvFilter::try_new(&command.logs.log_filter) {
        Ok(filter) => filter,
        Err(error) => return failed(&format!("--log-filter: {error}")),
    };
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(logs::writer())
        // A line that can't be written is dropped. It must not be reported on standard error either: that would panic.
        .log_internal_errors(false)
        .with_ansi(std::io::IsTerminal::is_terminal(&std::io::stderr()));
    match command.logs.logs {
        LogFormat::Text => lines.init(),
        LogFormat::Json => lines.json().init(),
    }
    let outcome = match command.subcommand {
        Subcommands::Serve { settings } => serve::serve(&settings),
        Subcommands::Platform => platform::platform(),
        Subcommands::Check { settings } => serve::check(&settings),
        Subcommands::Try { listen } => trial::try_out(listen),
        Subcommands::Rehearse { script, record, baseline, front } => {
            trial::rehearse(&script, record.as_deref(), baseline, front)
        }
        Subcommands::StandIn { role, listen, name, cold, slots, token_ms } => {
            trial::stand_in(trial::EmulatedServerArguments { role, listen, name, cold, slots, token_ms })
        }
        Subcommands::Load { to, grpc, reader, writer, streams, tokens, seconds, model, key } => {
            let duration = std::time::Duration::from_secs(seconds);
            let direct = reader.zip(writer);
            trial::load(to, grpc, direct, &load::Load { streams, tokens, duration, model, key })
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error.to_string()),
    }
}

fn failed(message: &str) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "petrelshore: {message}");
    ExitCode::FAILURE
}
