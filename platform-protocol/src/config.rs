//! Decodes the configuration file of a gateway on the operators' platform.

use crate::endpoint_list::{self, EndpointList};
use crate::error::DecodeError;
use crate::json::{array, boolean, decode_each, integer, invalid, string, value_at};
use crate::settings::{self, Names};
use petrelshore::interface::{Deployment, Nanos, StartTimeClock};
use petrelshore_gateway_core::graceful_shutdown::ClientResumption;
use serde_json::Value;
use std::net::SocketAddr;

const BYTES_PER_MEGABYTE: usize = 1 << 20;

/// The configuration of a gateway.
#[derive(Debug)]
pub struct Config {
    /// The name of the gateway.
    pub name: String,
    /// The address on which the gateway listens for clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent, which serves the endpoint list.
    pub discovery: SocketAddr,
    /// The seed of the gateway's random number generator.
    pub seed: u64,
    /// The maximum memory that the gateway may use, in bytes.
    pub memory_bytes: usize,
    /// The maximum number of file descriptors that the gateway may have open.
    pub descriptors: usize,
    /// The endpoint list at the time at which the file was written.
    pub known: EndpointList,
    /// The settings of the scheduler.
    pub deployment: Deployment,
    /// The names that endpoint lists, requests and load reports refer to.
    pub names: Names,
    /// The time within which the gateway must stop sending attempts to a server after a notice that the server is
    /// draining or gone, in nanoseconds.
    pub drain_grace: Nanos,
    /// The time after which a model server closes an idle connection, in nanoseconds.
    pub idle_for: Nanos,
    /// The clients' support for requesting the rest of an answer whose stream broke.
    pub client_resumption: ClientResumption,
    /// True if the gateway may send health checks to model servers.
    pub health_checks_allowed: bool,
    /// The longest time that a client of any traffic type waits for its first token, in nanoseconds.
    pub longest_abandon: Nanos,
}

/// Decodes the text of a configuration file.
///
/// # Errors
/// Returns an error that names the first missing or malformed field, or the position at which the text is not JSON.
pub fn decode(text: &str) -> Result<Config, DecodeError> {
    let json: Value = serde_json::from_str(text).map_err(DecodeError::Json)?;
    let seed = string(&json, "seed")?;
    let seed = u64::from_str_radix(seed, 16).map_err(|_| invalid("seed", &json["seed"]))?;
    let settings = value_at(&json, "settings")?;
    let (mut deployment, names) = settings::decode(settings)?;
    deployment.start_time_clock = StartTimeClock::Wall;
    let abandon_times = decode_each("lanes", array(settings, "lanes")?, |lane| integer(lane, "hardLimit"))?;
    Ok(Config {
        name: string(&json, "name")?.to_owned(),
        listen: address(&json, "listen")?,
        discovery: address(&json, "discovery")?,
        seed,
        memory_bytes: (integer(&json, "limits.memory_mb")? as usize).saturating_mul(BYTES_PER_MEGABYTE),
        descriptors: integer(&json, "limits.sockets")? as usize,
        known: endpoint_list::decode(value_at(&json, "known")?, &names)?,
        drain_grace: integer(settings, "rules.drainGrace")?,
        idle_for: integer(settings, "allowed.connIdle")?,
        client_resumption: ClientResumption::supported_if(boolean(settings, "specifics.resume")?),
        health_checks_allowed: settings["allowed"]["probes"].as_bool().unwrap_or(false),
        longest_abandon: abandon_times
            .into_iter()
            .max()
            .ok_or_else(|| invalid("lanes", &settings["lanes"]))?,
        deployment,
        names,
    })
}

fn address(json: &Value, field: &str) -> Result<SocketAddr, DecodeError> {
    string(json, field)?.parse().map_err(|_| invalid(field, &json[field]))
}
