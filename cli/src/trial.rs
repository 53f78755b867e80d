//! Trying things out: a fleet in this process, or one stand-in.

use crate::signals::{Signal, Signals};
use async_executor::LocalExecutor;
use clap::ValueEnum;
use futures_lite::future;
use petrelshore_chat_gateway::Chooser;
use petrelshore_e2e::rehearse::Outcome;
use petrelshore_e2e::{fleet, load, rehearse, script};
use petrelshore_emulator::profile::{Profile, Role};
use petrelshore_emulator::record::Record;
use petrelshore_emulator::server::{EmulatedServer, Identity, StartState};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

#[derive(Clone, Copy, ValueEnum)]
pub enum RoleName {
    Reader,
    Writer,
    Mixed,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum FrontName {
    Chat,
    Grpc,
    /// Every second client each
    Both,
}

async fn stopped() -> Result<(), String> {
    let mut signals = Signals::catch().await.map_err(|error| error.to_string())?;
    while signals.next().await != Signal::Stop {}
    Ok(())
}

pub fn try_out(listen: SocketAddr) -> Result<(), String> {
    let folder = std::env::temp_dir().join(format!("petrelshore-try-{}", std::process::id()));
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        let (fleet, running) =
            fleet::try_out(executor.clone(), &folder, listen).await.map_err(|error| error.to_string())?;
        let at = running.addresses.chat;
        println!(
            "petrelshore ready: chat on {at}, gRPC on {}, before {} stand-ins of this process",
            running.addresses.grpc,
            fleet.members.len()
        );
        println!("try it:\n");
        println!("  curl -N http://{at}/v1/chat/completions -H 'content-type: application/json' \\");
        println!(
            "    -d '{{\"model\":\"rider-query\",\"stream\":true,\"max_tokens\":20,\"messages\":[{{\"role\":\"user\",\"content\":\"Why did my unlock fail?\"}}]}}'\n"
        );
        println!("models: rider-query, workshop-chat, unlock-once, dock-tokened; stop with Ctrl-C");
        stopped().await
    };
    let outcome = future::block_on(executor.run(run));
    let _ = std::fs::remove_dir_all(&folder);
    outcome
}

pub fn stand_in(
    role: RoleName,
    listen: SocketAddr,
    name: &str,
    cold: bool,
    slots: usize,
    token_ms: u64,
) -> Result<(), String> {
    let role = match role {
        RoleName::Reader => Role::Prefill,
        RoleName::Writer => Role::Decode,
        RoleName::Mixed => Role::Combined,
    };
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        let record = Record::default();
        // Nobody reads what a lone stand-in writes down, and it may run for long.
        record.disable();
        let usual = Profile::default_for(role);
        let build = Profile {
            slots,
            token_interval: token_ms * 1_000_000,
            memory_tokens: usual.memory_tokens.max(slots as u64 * 4_000),
            queue: usual.queue.max(slots),
            ..usual
        };
        let identity = Identity { name: name.to_owned(), cell: String::new() };
        let start = if cold { StartState::Cold } else { StartState::Warm };
        let stand_in = EmulatedServer::start(&executor, &record, identity, build, listen, start).await;
        let stand_in = stand_in.map_err(|error| format!("{listen}: {error}"))?;
        println!("stand-in {name} ready on {}", stand_in.address());
        stopped().await
    };
    future::block_on(executor.run(run))
}

/// Plays a script and prints its figures. An error where a rule was broken or something was left behind.
pub fn rehearse(
    file: &Path,
    record: Option<&Path>,
    baseline: bool,
    front: Option<FrontName>,
) -> Result<(), String> {
    let mut script = script::read(file).map_err(|problem| problem.to_string())?;
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
    println!("rehearsing {}: {} s and what follows", script.name, script.duration_ms / 1e3);
    let chooser = if baseline { Chooser::Baseline } else { Chooser::Decisions };
    let run = rehearse::rehearse(&executor, &folder, &script, "", chooser, |line| println!("{line}"));
    let outcome = future::block_on(executor.run(run));
    let _ = std::fs::remove_dir_all(&folder);
    let outcome = outcome.map_err(|error| error.to_string())?;
    if let Some(file) = record {
        write_record(file, &outcome).map_err(|error| format!("{}: {error}", file.display()))?;
    }
    print(&outcome);
    match (outcome.verdict.violations.len(), outcome.left_in_gateways + outcome.left_in_servers) {
        (0, 0) => Ok(()),
        (0, left) => Err(format!("{left} sequences or states were left behind")),
        (breaks, _) => Err(format!("rules were broken {breaks} times")),
    }
}

fn write_record(file: &Path, outcome: &Outcome) -> std::io::Result<()> {
    let mut out = std::io::BufWriter::new(std::fs::File::create(file)?);
    for entry in &outcome.entries {
        writeln!(out, "{}", serde_json::to_string(entry)?)?;
    }
    out.flush()
}

fn print(outcome: &Outcome) {
    let verdict = &outcome.verdict;
    println!("\nservice {:.3} (utility within the latency SLO over utility asked)", outcome.service);
    for (front, service) in &outcome.service_by_api {
        println!("  by {front:?}: {service:.3}");
    }
    for (model, answers) in &outcome.outcomes {
        let counts: Vec<String> = answers.iter().map(|(answer, count)| format!("{answer} {count}")).collect();
        let times = outcome.first_tokens.get(model).map(|times| {
            let at = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
            format!("; first token p50 {:.1} ms, p90 {:.1}, p99 {:.1}", at(0.5), at(0.9), at(0.99))
        });
        println!("  {model}: {}{}", counts.join(", "), times.unwrap_or_default());
    }
    println!(
        "judged from sockets: {} requests, {} arrivals at servers, {} held states, {} words to stop",
        verdict.requests, verdict.arrivals, verdict.reservations, verdict.drain_notifications
    );
    println!(
        "left at the end: {} in gateways, {} states in boxes",
        outcome.left_in_gateways, outcome.left_in_servers
    );
    for rule in 1..=5 {
        let breaks: Vec<_> = verdict.violations.iter().filter(|found| found.rule == rule).collect();
        println!(
            "rule {rule}: {}",
            if breaks.is_empty() { "kept".to_owned() } else { format!("BROKEN {} times", breaks.len()) }
        );
        for found in breaks.iter().take(5) {
            println!("  {:.3} s: {}", found.at as f64 / 1e9, found.description);
        }
    }
}

/// Keeps streams going, through the gateway and then, where asked for, straight at the servers.
pub fn load(
    to: SocketAddr,
    grpc: Option<SocketAddr>,
    direct: Option<(SocketAddr, SocketAddr)>,
    load: &load::Load,
) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let ways = [("gateway", load::Target::Gateway(to))]
        .into_iter()
        .chain(grpc.map(|to| ("gateway by gRPC", load::Target::Grpc(to))))
        .chain(
            direct
                .map(|(reader, writer)| ("direct", load::Target::Direct { prefill: reader, decode: writer })),
        );
    for (name, way) in ways {
        let times = future::block_on(executor.run(load::run(&executor, way, load)))
            .map_err(|error| error.to_string())?;
        let row = |times: &hdrhistogram::Histogram<u64>| {
            let at = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
            format!("p50 {:.2} ms, p90 {:.2}, p99 {:.2}", at(0.5), at(0.9), at(0.99))
        };
        println!(
            "{name}: {} streams, {} answers, {} tokens, {} failed; first token {}; between tokens {}",
            load.streams,
            times.answers,
            times.tokens,
            times.failed,
            row(&times.first_token),
            row(&times.between_tokens)
        );
    }
    Ok(())
}
