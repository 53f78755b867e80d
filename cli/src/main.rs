//! The `petrelshore` command: runs a gateway, or tries gateways out with emulated model servers.

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
    /// The format of the log lines on standard error
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    logs: LogFormat,
    /// The filter for log lines, such as "info" or "petrelshore_chat_gateway=debug"
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
    /// Run a gateway with a settings file until SIGTERM; SIGHUP reloads the inventory
    Serve {
        /// The settings file
        settings: PathBuf,
    },
    /// Run a gateway on the operators' platform until SIGTERM, with the configuration file that LB_CONFIG names
    Platform,
    /// Check a settings file and the inventory file that it names, and print every problem
    Check {
        /// The settings file
        settings: PathBuf,
    },
    /// Run a gateway in front of emulated model servers, all in this process, to try it with a client
    Try {
        /// Listen address of the chat API
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
    },
    /// Run a script of requests and faults on loopback, and check the five rules against the socket traffic
    Rehearse {
        /// The script file
        script: PathBuf,
        /// Write every event on the sockets to this file, one JSON object per line
        #[arg(long)]
        record: Option<PathBuf>,
        /// Let the gateways choose servers at random, as a baseline for comparison
        #[arg(long)]
        baseline: bool,
        /// The API that all clients use, instead of those in the script
        #[arg(long, value_enum)]
        front: Option<trial::FrontName>,
    },
    /// Run one emulated model server
    StandIn {
        /// Role of the server
        #[arg(long, value_enum)]
        role: trial::RoleName,
        /// Listen address
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Name of the server
        #[arg(long, default_value = "stand-in")]
        name: String,
        /// Start the server in slow start
        #[arg(long)]
        cold: bool,
        /// Number of answers that are decoded concurrently
        #[arg(long, default_value_t = 64)]
        slots: usize,
        /// Milliseconds between the tokens of an answer while the server is otherwise idle
        #[arg(long, default_value_t = 20)]
        token_ms: u64,
    },
    /// Run concurrent streams, and measure the times to the first token and between tokens
    Load {
        /// Address of a gateway's chat API
        #[arg(long, default_value = "127.0.0.1:8080")]
        to: SocketAddr,
        /// Afterwards run the same load on the gRPC API at this address
        #[arg(long)]
        grpc: Option<SocketAddr>,
        /// Afterwards run the same load directly on this prefill server; needs --writer
        #[arg(long, requires = "writer")]
        reader: Option<SocketAddr>,
        /// The decode server for the load without a gateway; needs --reader
        #[arg(long, requires = "reader")]
        writer: Option<SocketAddr>,
        /// Number of concurrent streams
        #[arg(long, default_value_t = 100)]
        streams: usize,
        /// Number of tokens in each answer
        #[arg(long, default_value_t = 50)]
        tokens: u64,
        /// Duration of the load on each target, in seconds
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
        Err(error) => return report_failure(&format!("--log-filter: {error}")),
    };
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(logs::writer())
        // A log line that can't be written is dropped. Reporting that failure on standard error would panic.
        .log_internal_errors(false)
        .with_ansi(std::io::IsTerminal::is_terminal(&std::io::stderr()));
    match command.logs.logs {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
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
        Err(error) => report_failure(&error.to_string()),
    }
}

fn report_failure(message: &str) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "petrelshore: {message}");
    ExitCode::FAILURE
}
