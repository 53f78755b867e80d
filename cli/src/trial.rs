//! Trying things out: a fleet in this process, or one stand-in.

use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use clap::ValueEnum;
use futures_lite::{StreamExt, future};
use petrelshore_rehearsal::fleet;
use petrelshore_stand_in::model::Role;
use petrelshore_stand_in::record::Record;
use petrelshore_stand_in::server::{StandIn, usual_build};
use std::net::SocketAddr;
use std::rc::Rc;

#[derive(Clone, Copy, ValueEnum)]
pub enum RoleName {
    Reader,
    Writer,
    Mixed,
}

async fn stopped() -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(|error| error.to_string())?;
    signals.next().await;
    Ok(())
}

pub fn try_out(listen: SocketAddr) -> Result<(), String> {
    let folder = std::env::temp_dir().join(format!("petrelshore-try-{}", std::process::id()));
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        let (fleet, running) = fleet::try_out(executor.clone(), &folder, listen).await?;
        let at = running.address;
        println!("petrelshore ready: chat on {at}, before {} stand-ins of this process", fleet.places.len());
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

pub fn stand_in(role: RoleName, listen: SocketAddr, name: &str, cold: bool) -> Result<(), String> {
    let role = match role {
        RoleName::Reader => Role::Reader,
        RoleName::Writer => Role::Writer,
        RoleName::Mixed => Role::Mixed,
    };
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        let record = Record::default();
        let stand_in = StandIn::start(&executor, &record, name, usual_build(role), listen, cold).await;
        let stand_in = stand_in.map_err(|error| format!("{listen}: {error}"))?;
        println!("stand-in {name} ready on {}", stand_in.address);
        stopped().await
    };
    future::block_on(executor.run(run))
}
