//! Decodes the endpoint lists of the wire, and maps server ids back to the names that the wire uses.

use crate::error::WireError;
use crate::line::Line;
use petrelshore::interface::{CellId, Endpoint, EndpointState, ServerId, ServerKindId, ZoneId};
use petrelshore_gateway_core::fingerprint::stable_id;
use petrelshore_platform_protocol::settings::Names;
use std::collections::HashMap;

const DEFAULT_WEIGHT: f64 = 1.0;

/// The names that the wire uses for servers, by server id.
#[derive(Default)]
pub(crate) struct ServerNames {
    names: HashMap<ServerId, String>,
}

impl ServerNames {
    /// Stores the name of a server and returns its id. Fails if another name has the same id.
    fn register(&mut self, name: &str) -> Result<ServerId, WireError> {
        let server = ServerId(stable_id(name));
        if self.names.entry(server).or_insert_with(|| name.to_owned()) != name {
            return Err(WireError::AmbiguousServer { name: name.to_owned() });
        }
        Ok(server)
    }

    /// Returns the name of a server that an endpoint list contained.
    pub(crate) fn name(&self, server: ServerId) -> &str {
        &self.names[&server]
    }
}

/// Decodes the entries of an endpoint list.
pub(crate) fn decode_endpoints(
    entries: &[Line],
    names: &Names,
    servers: &mut ServerNames,
) -> Result<Vec<Endpoint>, WireError> {
    entries.iter().map(|entry| decode_endpoint(entry, names, servers)).collect()
}

fn decode_endpoint(line: &Line, names: &Names, servers: &mut ServerNames) -> Result<Endpoint, WireError> {
    Ok(Endpoint {
        server: servers.register(line.required("server")?)?,
        kind: ServerKindId(line.index_of_name("flavor", &names.kinds)?),
        cell: CellId(line.parsed("pack")?.unwrap_or(0)),
        zone: ZoneId(line.index_of_name("regionPart", &names.zones)?),
        weight: line.number("weight")?.unwrap_or(DEFAULT_WEIGHT),
        started_at: line.parsed("since")?.unwrap_or(0),
        state: decode_state(line)?,
    })
}

fn decode_state(line: &Line) -> Result<EndpointState, WireError> {
    match line.required("condition")? {
        "Ready" => Ok(EndpointState::Ready),
        "Terminating" => Ok(EndpointState::Draining),
        "Gone" => Ok(EndpointState::Gone),
        other => Err(line.invalid("condition", other)),
    }
}
