//! Validates the entries of an inventory file, whatever its format.
//!
//! All problems of a file are collected, so that an operator can correct them in one edit.

use crate::endpoint_list::{EndpointList, Server};
use crate::entry::{Entry, REQUIRED_FIELDS};
use crate::problem::Problem;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

const DEFAULT_WEIGHT: f64 = 1.0;
const READY: &str = "ready";
const DRAINING: &str = "draining";

/// Returns the endpoint list that the entries of a file make up, or every problem in the entries.
pub(crate) fn validate(
    file: &Path,
    kinds: &[String],
    entries: &[Entry],
) -> Result<EndpointList, Vec<Problem>> {
    let mut validation = Validation { file, kinds, problems: Vec::new() };
    let mut names: BTreeMap<String, (u64, Server)> = BTreeMap::new();
    let mut addresses: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for entry in entries {
        let Some(server) = validation.server(entry) else { continue };
        if let Some((first, other)) = names.get(&server.name) {
            let differs = if other.kind != server.kind { " with another kind" } else { "" };
            let message = format!("'{}' is already used on line {first}{differs}", server.name);
            validation.reject(entry, "name", message);
        } else if let Some(first) = addresses.insert(server.address, entry.line) {
            let message = format!("{} is already used on line {first}", server.address);
            validation.reject(entry, "address", message);
        } else {
            names.insert(server.name.clone(), (entry.line, server));
        }
    }
    if entries.is_empty() {
        validation.problems.push(Problem::in_file(file, "names no server"));
    }
    if !validation.problems.is_empty() {
        return Err(validation.problems);
    }
    Ok(EndpointList { servers: names.into_values().map(|(_, server)| server).collect() })
}

struct Validation<'a> {
    file: &'a Path,
    kinds: &'a [String],
    problems: Vec<Problem>,
}

impl Validation<'_> {
    fn reject(&mut self, entry: &Entry, field: &'static str, message: impl Into<String>) {
        self.problems.push(Problem::in_file(self.file, message).at_line(entry.line).of_field(field));
    }

    /// Returns the server of an entry, or `None` after recording at least one problem with the entry.
    fn server(&mut self, entry: &Entry) -> Option<Server> {
        let problems_before = self.problems.len();
        self.check_required_fields(entry);
        let address = self.address(entry);
        self.check_kind(entry);
        let weight = self.weight(entry);
        let draining = self.draining(entry);
        let text = |name| entry.field(name).unwrap_or_default().to_owned();
        (self.problems.len() == problems_before).then_some(Server {
            name: text("name"),
            address: address?,
            kind: text("kind"),
            cell: text("cell"),
            zone: text("zone"),
            weight,
            draining,
        })
    }

    fn check_required_fields(&mut self, entry: &Entry) {
        for name in REQUIRED_FIELDS {
            if entry.field(name).is_none() {
                self.reject(entry, name, "is missing");
            }
        }
    }

    fn address(&mut self, entry: &Entry) -> Option<SocketAddr> {
        let text = entry.field("address")?;
        let address = text.parse().ok();
        if address.is_none() {
            self.reject(entry, "address", format!("'{text}' is not an IP address with a port"));
        }
        address
    }

    fn check_kind(&mut self, entry: &Entry) {
        let Some(kind) = entry.field("kind") else { return };
        if !self.kinds.iter().any(|known| known == kind) {
            let known = self.kinds.join(", ");
            self.reject(entry, "kind", format!("unknown kind '{kind}'; the settings define: {known}"));
        }
    }

    fn weight(&mut self, entry: &Entry) -> f64 {
        let weight = entry.field("weight").map_or(Ok(DEFAULT_WEIGHT), str::parse).unwrap_or(f64::NAN);
        if !(weight > 0.0 && weight.is_finite()) {
            self.reject(entry, "weight", "must be a number above zero");
        }
        weight
    }

    fn draining(&mut self, entry: &Entry) -> bool {
        let state = entry.field("state").unwrap_or(READY);
        if !matches!(state, READY | DRAINING) {
            self.reject(entry, "state", format!("'{state}' is neither ready nor draining"));
        }
        state == DRAINING
    }
}
