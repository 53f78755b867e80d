//! Discovery's lists of model servers.

use crate::Malformed;
use crate::settings::{Names, at, list, nanos, number, word, wrong};
use petrelshore::interface::*;
use petrelshore_gateway_core::fingerprint::stable_id;
use serde_json::Value;
use std::net::SocketAddr;

const MILLISECOND: Nanos = 1_000_000;

/// A list, or what has changed in it. An entry that can't be read is left out, with the reason: the others are
/// known all the same.
#[derive(Debug)]
pub struct Listed {
    pub index: u64,
    pub scope: SnapshotKind,
    pub entries: Vec<(Endpoint, SocketAddr)>,
    pub left_out: Vec<Malformed>,
}

pub fn listed(json: &Value, names: &Names) -> Result<Listed, Malformed> {
    let whole = at(json, "snapshot")?.as_bool().ok_or_else(|| wrong("snapshot", &json["snapshot"]))?;
    let (mut entries, mut left_out) = (Vec::new(), Vec::new());
    for (number, row) in list(json, "endpoints")?.iter().enumerate() {
        match entry(row, names) {
            Ok(entry) => entries.push(entry),
            Err(what) => left_out.push(format!("endpoints[{number}]: {what}")),
        }
    }
    let scope = if whole { SnapshotKind::Full } else { SnapshotKind::Delta };
    Ok(Listed { index: nanos(json, "index")?, scope, entries, left_out })
}

fn entry(row: &Value, names: &Names) -> Result<(Endpoint, SocketAddr), Malformed> {
    let place = |field: &str, known: &[String]| {
        let name = word(row, field)?;
        known.iter().position(|k| k == name).ok_or_else(|| wrong(field, &row[field]))
    };
    let address = word(row, "address")?;
    let endpoint = Endpoint {
        server: ServerId(stable_id(word(row, "name")?)),
        kind: ServerKindId(place("type", &names.kinds)?),
        cell: CellId(row.get("group").and_then(Value::as_i64).unwrap_or(0)),
        zone: ZoneId(place("zone", &names.zones)?),
        weight: row.get("weight").map_or(Ok(1.0), |_| number(row, "weight"))?,
        started_at: nanos(row, "since_ms")?.saturating_mul(MILLISECOND).min(Nanos::MAX / 4),
        state: match word(row, "status")? {
            "active" => EndpointState::Ready,
            "leaving" => EndpointState::Draining,
            "left" => EndpointState::Gone,
            _ => return Err(wrong("status", &row["status"])),
        },
    };
    Ok((endpoint, address.parse().map_err(|_| wrong("address", &row["address"]))?))
}
