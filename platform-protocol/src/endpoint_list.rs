//! Discovery's lists of model servers.

use crate::error::DecodeError;
use crate::json::{array, at, invalid, nanos, number, string};
use crate::settings::Names;
use petrelshore::interface::{
    CellId, Endpoint, EndpointState, Nanos, ServerId, ServerKindId, SnapshotKind, ZoneId,
};
use petrelshore_gateway_core::fingerprint::stable_id;
use serde_json::Value;
use std::net::SocketAddr;

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// Later starts are clamped: sums with them must not overflow.
const MAX_STARTED_AT: Nanos = Nanos::MAX / 4;
const DEFAULT_WEIGHT: f64 = 1.0;

/// A list, or what has changed in it. An entry that can't be read is left out, with the reason: the others are
/// known all the same.
#[derive(Debug)]
pub struct EndpointList {
    /// Grows with each change of the list.
    pub index: u64,
    /// Whether it is the full list or what has changed.
    pub scope: SnapshotKind,
    /// Its entries.
    pub entries: Vec<ListedEndpoint>,
    /// Why entries were left out.
    pub left_out: Vec<DecodeError>,
}

/// An entry of a list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The name that all gateways call it by.
    pub name: Box<str>,
    /// What the scheduler knows of it.
    pub endpoint: Endpoint,
    /// Where this gateway reaches it.
    pub address: SocketAddr,
}

/// Decodes a list, calling zones and kinds by `names`.
///
/// # Errors
/// The first field of the list itself that is missing or malformed.
pub fn decode(json: &Value, names: &Names) -> Result<EndpointList, DecodeError> {
    let is_full = at(json, "snapshot")?.as_bool().ok_or_else(|| invalid("snapshot", &json["snapshot"]))?;
    let (mut entries, mut left_out) = (Vec::new(), Vec::new());
    for (index, row) in array(json, "endpoints")?.iter().enumerate() {
        match entry(row, names) {
            Ok(entry) => entries.push(entry),
            Err(error) => left_out.push(error.in_entry("endpoints", index)),
        }
    }
    let scope = if is_full { SnapshotKind::Full } else { SnapshotKind::Delta };
    Ok(EndpointList { index: nanos(json, "index")?, scope, entries, left_out })
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
        started_at: nanos(row, "since_ms")?.saturating_mul(NANOS_PER_MILLISECOND).min(MAX_STARTED_AT),
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
