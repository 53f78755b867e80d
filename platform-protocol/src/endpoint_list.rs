//! Decodes the endpoint lists that discovery serves.

use crate::error::DecodeError;
use crate::json::{array, integer, invalid, number, string, value_at};
use crate::settings::Names;
use petrelshore::interface::{
    CellId, Endpoint, EndpointState, Nanos, ServerId, ServerKindId, SnapshotKind, ZoneId,
};
use petrelshore_gateway_core::fingerprint::stable_id;
use serde_json::Value;
use std::net::SocketAddr;

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// The latest start time, in nanoseconds. Later start times are clamped to it, so that sums with them do not overflow.
const MAX_STARTED_AT: Nanos = Nanos::MAX / 4;
const DEFAULT_WEIGHT: f64 = 1.0;

/// A full endpoint list, or the changes to one. An entry that is malformed is left out and reported in `left_out`; the
/// other entries still apply.
#[derive(Debug)]
pub struct EndpointList {
    /// The version of the list, which grows with each change.
    pub index: u64,
    /// The scope of the list, which is either full or contains only changes.
    pub scope: SnapshotKind,
    /// The entries that could be decoded.
    pub entries: Vec<ListedEndpoint>,
    /// The errors of the entries that were left out.
    pub left_out: Vec<DecodeError>,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The name of the server, which is the same at all gateways.
    pub name: Box<str>,
    /// The endpoint as the scheduler sees it.
    pub endpoint: Endpoint,
    /// The address at which this gateway reaches the server.
    pub address: SocketAddr,
}

/// Decodes an endpoint list. Zones and server kinds are looked up in `names`.
///
/// # Errors
/// Returns an error for the first missing or malformed field of the list itself, as opposed to a field of an entry.
pub fn decode(json: &Value, names: &Names) -> Result<EndpointList, DecodeError> {
    let is_full =
        value_at(json, "snapshot")?.as_bool().ok_or_else(|| invalid("snapshot", &json["snapshot"]))?;
    let (mut entries, mut left_out) = (Vec::new(), Vec::new());
    for (index, row) in array(json, "endpoints")?.iter().enumerate() {
        match entry(row, names) {
            Ok(entry) => entries.push(entry),
            Err(error) => left_out.push(error.in_entry("endpoints", index)),
        }
    }
    let scope = if is_full { SnapshotKind::Full } else { SnapshotKind::Delta };
    Ok(EndpointList { index: integer(json, "index")?, scope, entries, left_out })
}

fn entry(row: &Value, names: &Names) -> Result<ListedEndpoint, DecodeError> {
    let name = string(row, "name")?;
    let address = string(row, "address")?;
    let endpoint = Endpoint {
        server: ServerId(stable_id(name)),
        kind: ServerKindId(index_of_name(row, "type", &names.kinds)?),
        cell: CellId(row.get("group").and_then(Value::as_i64).unwrap_or(0)),
        zone: ZoneId(index_of_name(row, "zone", &names.zones)?),
        weight: row.get("weight").map_or(Ok(DEFAULT_WEIGHT), |_| number(row, "weight"))?,
        started_at: integer(row, "since_ms")?.saturating_mul(NANOS_PER_MILLISECOND).min(MAX_STARTED_AT),
        state: state(row)?,
    };
    let address = address.parse().map_err(|_| invalid("address", &row["address"]))?;
    Ok(ListedEndpoint { name: name.into(), endpoint, address })
}

fn index_of_name(row: &Value, field: &str, known: &[String]) -> Result<usize, DecodeError> {
    let name = string(row, field)?;
    known.iter().position(|known| known == name).ok_or_else(|| invalid(field, &row[field]))
}

fn state(row: &Value) -> Result<EndpointState, DecodeError> {
    match string(row, "status")? {
        "active" => Ok(EndpointState::Ready),
        "leaving" => Ok(EndpointState::Draining),
        "left" => Ok(EndpointState::Gone),
        _ => Err(invalid("status", &row["status"])),
    }
}
