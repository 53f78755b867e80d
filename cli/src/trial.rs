//! Sub-commands for trials: an emulated fleet in this process, one emulated server, rehearsals and load.

use crate::error::CommandError;
use crate::signals::{Signal, Signals};
use async_executor::LocalExecutor;
use clap::ValueEnum;
use futures_lite::future;
use petrelshore_chat_gateway::PolicyKind;
use petrelshore_e2e::rehearse::Outcome;
use petrelshore_e2e::{fleet, load, rehearse, script};
use petrelshore_emulator::profile::{Profile, Role};
use petrelshore_emulator::record::Record;
use petrelshore_emulator::server::{EmulatedServer, Identity, StartState};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// The role of an emulated server, with the names that the command line uses.
#[derive(Clone, Copy, ValueEnum)]
pub enum RoleName {
    Reader,
    Writer,
    Mixed,
}

/// The APIs that the clients of a rehearsal use, with the names that the command line uses.
#[derive(Clone, Copy, ValueEnum)]
pub enum FrontName {
    Chat,
    Grpc,
    /// Half of the clients use each API
    Both,
}

async fn until_stopped() -> Result<(), CommandError> {
    let mut signals = Signals::catch().await.map_err(CommandError::Signals)?;
    while signals.next().await != Signal::Stop {}
    Ok(())
}

/// Runs a gateway and an emulated fleet until a stop signal.
pub fn try_out(listen: SocketAddr) -> Result<(), CommandError> {
    let folder = std::env::temp_dir().join(format!("petrelshore-try-{}", std::process::id()));
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        let (fleet, running) =
            fleet::try_out(executor.clone(), &folder, listen).await.map_err(CommandError::emulation)?;
        let address = running.addresses.chat;
        println!(
            "petrelshore ready: chat on {address}, gRPC on {}, in front of {} emulated model servers in this process",
            running.addresses.grpc,
            fleet.members.len()
        );
        println!("send a request:\n");
        println!("  curl -N http://{address}/v1/chat/completions -H 'content-type: application/json' \\");
        println!(
            "    -d '{{\"model\":\"rider-query\",\"stream\":true,\"max_tokens\":20,\"messages\":[{{\"role\":\"user\",\"content\":\"Why did my unlock fail?\"}}]}}'\n"
        );
        println!("models: rider-query, workshop-chat, unlock-once, dock-tokened; stop with Ctrl-C");
        until_stopped().await
    };
    let outcome = future::block_on(executor.run(run));
    let _ = std::fs::remove_dir_all(&folder);
    outcome
}

/// The command-line arguments of an emulated server.
pub struct EmulatedServerArguments {
    pub role: RoleName,
    pub listen: SocketAddr,
    pub name: String,
    /// True if the server starts in slow start.
    pub cold: bool,
    /// The number of answers that are decoded concurrently.
    pub slots: usize,
    /// Time between the tokens of an answer while the server is otherwise idle, in milliseconds.
    pub token_ms: u64,
}

/// Runs one emulated server until a stop signal.
pub fn stand_in(server: EmulatedServerArguments) -> Result<(), CommandError> {
    let EmulatedServerArguments { role, listen, name, cold, slots, token_ms } = server;
    let role = match role {
        RoleName::Reader => Role::Prefill,
        RoleName::Writer => Role::Decode,
        RoleName::Mixed => Role::Combined,
    };
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        let record = Record::default();
        // Nothing reads the record of a single emulated server, and the record would grow as long as the server runs.
        record.disable();
        let defaults = Profile::default_for(role);
        let profile = Profile {
            slots,
            token_interval: token_ms * 1_000_000,
            memory_tokens: defaults.memory_tokens.max(slots as u64 * 4_000),
            queue: defaults.queue.max(slots),
            ..defaults
        };
        let identity = Identity { name: name.clone(), cell: String::new() };
        let start = if cold { StartState::Cold } else { StartState::Warm };
        let server = EmulatedServer::start(&executor, &record, identity, profile, listen, start).await;
        let server = server.map_err(CommandError::io(listen))?;
        println!("stand-in {name} ready on {}", server.address());
        until_stopped().await
    };
    future::block_on(executor.run(run))
}

/// Runs a rehearsal script and prints its results. Fails if a rule was violated, or if sequences or KV caches were left
/// at the end.
pub fn rehearse(
    file: &Path,
    record: Option<&Path>,
    baseline: bool,
    front: Option<FrontName>,
) -> Result<(), CommandError> {
    let mut script = script::read(file).map_err(CommandError::emulation)?;
    if let Some(front) = front {
        let front = match front {
            FrontName::Chat => script::ApiChoice::Chat,
            FrontName::Grpc => script::ApiChoice::Grpc,
            FrontName::Both => script::ApiChoice::Both,
        };
        script.clients.iter_mut().for_each(|clients| clients.api = front);
    }
    let folder = std::env::temp_dir().join(format!("petrelshore-rehearse-{}", std::process::id()));
    let executor = Rc::new(LocalExecutor::new());
    println!("rehearsing {}: clients send requests for {} s", script.name, script.duration_ms / 1e3);
    let policy_kind = if baseline { PolicyKind::Baseline } else { PolicyKind::Scheduler };
    let run = rehearse::rehearse(&executor, &folder, &script, "", policy_kind, |line| println!("{line}"));
    let outcome = future::block_on(executor.run(run));
    let _ = std::fs::remove_dir_all(&folder);
    let outcome = outcome.map_err(CommandError::emulation)?;
    if let Some(file) = record {
        write_record(file, &outcome).map_err(CommandError::io(file.display()))?;
    }
    print_outcome(&outcome);
    match (outcome.verdict.violations.len(), outcome.left_in_gateways + outcome.left_in_servers) {
        (0, 0) => Ok(()),
        (0, left) => Err(CommandError::LeftBehind(left)),
        (violations, _) => Err(CommandError::RulesBroken(violations)),
    }
}

fn write_record(file: &Path, outcome: &Outcome) -> std::io::Result<()> {
    let mut out = std::io::BufWriter::new(std::fs::File::create(file)?);
    for entry in &outcome.entries {
        writeln!(out, "{}", serde_json::to_string(entry)?)?;
    }
    out.flush()
}

fn print_outcome(outcome: &Outcome) {
    let verdict = &outcome.verdict;
    println!("\nservice {:.3} (utility within the latency SLO over utility asked)", outcome.service);
    for (api, service) in &outcome.service_by_api {
        println!("  by {api:?}: {service:.3}");
    }
    for (model, answers) in &outcome.outcomes {
        let counts: Vec<String> = answers.iter().map(|(answer, count)| format!("{answer} {count}")).collect();
        let times = outcome.first_tokens.get(model).map(|times| {
            let milliseconds = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
            format!(
                "; first token p50 {:.1} ms, p90 {:.1}, p99 {:.1}",
                milliseconds(0.5),
                milliseconds(0.9),
                milliseconds(0.99)
            )
        });
        println!("  {model}: {}{}", counts.join(", "), times.unwrap_or_default());
    }
    println!(
        "judged from sockets: {} requests, {} arrivals at servers, {} KV caches reserved, {} drain notifications",
        verdict.requests, verdict.arrivals, verdict.reservations, verdict.drain_notifications
    );
    println!(
        "left at the end: {} sequences in gateways, {} KV caches in servers",
        outcome.left_in_gateways, outcome.left_in_servers
    );
    for rule in 1..=5 {
        let violations: Vec<_> =
            verdict.violations.iter().filter(|violation| violation.rule == rule).collect();
        println!(
            "rule {rule}: {}",
            if violations.is_empty() {
                "kept".to_owned()
            } else {
                format!("BROKEN {} times", violations.len())
            }
        );
        for violation in violations.iter().take(5) {
            println!("  {:.3} s: {}", violation.at as f64 / 1e9, violation.description);
        }
    }
}

/// Runs a load on the chat API of a gateway, then, if requested, on a gRPC API and directly on a prefill and a decode
/// server, and prints the results of each.
pub fn load(
    chat: SocketAddr,
    grpc: Option<SocketAddr>,
    direct: Option<(SocketAddr, SocketAddr)>,
    load: &load::Load,
) -> Result<(), CommandError> {
    let executor = Rc::new(LocalExecutor::new());
    let targets = [("gateway", load::Target::Gateway(chat))]
        .into_iter()
        .chain(grpc.map(|address| ("gateway by gRPC", load::Target::Grpc(address))))
        .chain(direct.map(|(prefill, decode)| ("direct", load::Target::Direct { prefill, decode })));
    for (name, target) in targets {
        let times = future::block_on(executor.run(load::run(&executor, target, load)))
            .map_err(CommandError::emulation)?;
        let quantiles = |times: &hdrhistogram::Histogram<u64>| {
            let milliseconds = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
            format!(
                "p50 {:.2} ms, p90 {:.2}, p99 {:.2}",
                milliseconds(0.5),
                milliseconds(0.9),
                milliseconds(0.99)
            )
        };
        println!(
            "{name}: {} streams, {} answers, {} tokens, {} failed; first token {}; between tokens {}",
            load.streams,
            times.answers,
            times.tokens,
            times.failed,
            quantiles(&times.first_token),
            quantiles(&times.between_tokens)
        );
    }
    Ok(())
}
