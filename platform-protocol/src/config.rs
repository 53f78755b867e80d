//! The file that a gateway of the platform starts from.

use crate::Malformed;
use crate::list::{Listed, listed};
use crate::settings::{Names, at, each, flag, list, nanos, settings, word, wrong};
use petrelshore::interface::{Deployment, Nanos, StartTimeClock};
use serde_json::Value;
use std::net::SocketAddr;

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_bytes: usize,
    pub descriptors: usize,
    pub known: Listed,
    pub deployment: Deployment,
    pub names: Names,
    /// Nothing new may go to a server later than this after word that it drains or is gone.
    pub drain_grace: Nanos,
    /// A model server closes a connection that was idle for so long.
    pub idle_for: Nanos,
    /// Clients ask for the rest of a stream that broke.
    pub clients_resume: bool,
    /// The longest time for which a client waits for a first token.
    pub longest_abandon: Nanos,
}

pub fn config(text: &str) -> Result<Config, Malformed> {
    let json: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let address = |field: &str| -> Result<SocketAddr, Malformed> {
        word(&json, field)?.parse().map_err(|_| wrong(field, &json[field]))
    };
    let seed = u64::from_str_radix(word(&json, "seed")?, 16).map_err(|_| wrong("seed", &json["seed"]))?;
    let s = at(&json, "settings")?;
    let (mut deployment, names) = settings(s)?;
    deployment.start_time_clock = StartTimeClock::Wall;
    let limits = each("lanes", list(s, "lanes")?, |lane| nanos(lane, "hardLimit"))?;
    Ok(Config {
        name: word(&json, "name")?.to_owned(),
        listen: address("listen")?,
        discovery: address("discovery")?,
        seed,
        memory_bytes: (nanos(&json, "limits.memory_mb")? as usize).saturating_mul(1 << 20),
        descriptors: nanos(&json, "limits.sockets")? as usize,
        known: listed(at(&json, "known")?, &names)?,
        drain_grace: nanos(s, "rules.drainGrace")?,
        idle_for: nanos(s, "allowed.connIdle")?,
        clients_resume: flag(s, "specifics.resume")?,
        longest_abandon: limits.into_iter().max().ok_or_else(|| wrong("lanes", &s["lanes"]))?,
        deployment,
        names,
    })
}
