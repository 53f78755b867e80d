//! Lists as configuration tools keep them: CSV with named columns, or YAML.

use crate::{List, Server};
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    Csv,
    Yaml,
}

impl Format {
    /// By the file's ending.
    pub fn of(file: &Path) -> Option<Format> {
        match file.extension()?.to_str()?.to_ascii_lowercase().as_str() {
            "csv" => Some(Format::Csv),
            "yaml" | "yml" => Some(Format::Yaml),
            _ => None,
        }
    }
}

/// What is wrong with a list, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    pub file: PathBuf,
    pub line: Option<u64>,
    pub field: Option<&'static str>,
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(field) = self.field {
            write!(f, ": field {field}")?;
        }
        write!(f, ": {}", self.what)
    }
}

impl std::error::Error for Problem {}

/// One entry, its fields still as text.
#[derive(Default)]
struct Entry {
    line: u64,
    fields: BTreeMap<&'static str, String>,
}

const FIELDS: [&str; 7] = ["name", "address", "kind", "cell", "zone", "weight", "state"];
const NEEDED: [&str; 4] = ["name", "address", "kind", "zone"];
/// Lists longer than this are a mistake, not a fleet.
const MOST: usize = 100_000;

/// Reads a list whole, or says all that is wrong with it. `kinds` are those that the settings define.
pub fn read_list(file: &Path, format: Format, text: &str, kinds: &[String]) -> Result<List, Vec<Problem>> {
    let entries = match format {
        Format::Csv => csv_entries(file, text),
        Format::Yaml => yaml_entries(file, text),
    };
    let entries = entries.map_err(|problem| vec![problem])?;
    let mut reading = Reading { file, kinds, problems: Vec::new() };
    let mut servers: BTreeMap<String, (u64, Server)> = BTreeMap::new();
    let mut addresses: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for entry in &entries {
        let Some(server) = reading.server(entry) else { continue };
        if let Some((first, other)) = servers.get(&server.name) {
            let differs = if other.kind != server.kind { ", with another kind" } else { "" };
            let what = format!("'{}' stands on line {first} already{differs}", server.name);
            reading.wrong(entry, "name", what);
        } else if let Some(first) = addresses.insert(server.address, entry.line) {
            let what = format!("{} stands on line {first} already", server.address);
            reading.wrong(entry, "address", what);
        } else {
            servers.insert(server.name.clone(), (entry.line, server));
        }
    }
    if entries.is_empty() {
        reading.problems.push(problem(file, None, None, "names no server"));
    }
    match reading.problems.is_empty() {
        true => Ok(List { servers: servers.into_values().map(|(_, server)| server).collect() }),
        false => Err(reading.problems),
    }
}

fn problem(file: &Path, line: Option<u64>, field: Option<&'static str>, what: impl Into<String>) -> Problem {
    Problem { file: file.to_owned(), line, field, what: what.into() }
}

struct Reading<'a> {
    file: &'a Path,
    kinds: &'a [String],
    problems: Vec<Problem>,
}

impl Reading<'_> {
    fn wrong(&mut self, entry: &Entry, field: &'static str, what: impl Into<String>) {
        self.problems.push(problem(self.file, Some(entry.line), Some(field), what));
    }

    fn server(&mut self, entry: &Entry) -> Option<Server> {
        let before = self.problems.len();
        let field = |name| entry.fields.get(name).map(String::as_str).filter(|text| !text.is_empty());
        for name in NEEDED {
            if field(name).is_none() {
                self.wrong(entry, name, "is missing");
            }
        }
        let address = field("address").unwrap_or_default();
        let address = address.parse::<SocketAddr>().inspect_err(|_| {
            if !address.is_empty() {
                self.wrong(entry, "address", format!("'{address}' is not an address with a port"));
            }
        });
        let kind = field("kind").unwrap_or_default();
        if !kind.is_empty() && !self.kinds.iter().any(|known| known == kind) {
            let known = self.kinds.join(", ");
            self.wrong(entry, "kind", format!("'{kind}' is not a kind of the settings: {known}"));
        }
        let weight = field("weight").map_or(Ok(1.0), str::parse::<f64>).unwrap_or(f64::NAN);
        if !(weight > 0.0 && weight.is_finite()) {
            self.wrong(entry, "weight", "must be a number above zero");
        }
        let state = field("state").unwrap_or("ready");
        if !matches!(state, "ready" | "draining") {
            self.wrong(entry, "state", format!("'{state}' is neither ready nor draining"));
        }
        let text = |name| field(name).unwrap_or_default().to_owned();
        (self.problems.len() == before).then_some(Server {
            name: text("name"),
            address: address.ok()?,
            kind: text("kind"),
            cell: text("cell"),
            zone: text("zone"),
            weight,
            draining: state == "draining",
        })
    }
}

fn csv_entries(file: &Path, text: &str) -> Result<Vec<Entry>, Problem> {
    let mut reader =
        csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let said = |error: csv::Error| {
        let line = error.position().map(|position| position.line());
        let what = match error.kind() {
            csv::ErrorKind::UnequalLengths { expected_len, len, .. } => {
                format!("has {len} columns where the first line names {expected_len}: is the file whole?")
            }
            _ => error.to_string(),
        };
        problem(file, line, None, what)
    };
    let headers = reader.headers().map_err(said)?.clone();
    let columns: Vec<Option<&'static str>> =
        headers.iter().map(|name| FIELDS.iter().copied().find(|field| *field == name)).collect();
    if let Some(missing) = NEEDED.iter().find(|field| !columns.contains(&Some(**field))) {
        return Err(problem(file, Some(1), Some(missing), "no column has this name"));
    }
    let mut entries = Vec::new();
    for record in reader.records() {
        let record = record.map_err(said)?;
        let line = record.position().map_or(0, |position| position.line());
        let named = columns.iter().zip(&record).filter_map(|(name, text)| Some(((*name)?, text.to_owned())));
        entries.push(Entry { line, fields: named.collect() });
        if entries.len() > MOST {
            return Err(problem(file, Some(line), None, "has more entries than any fleet"));
        }
    }
    // A file cut in the middle of its last line may still parse.
    if !text.ends_with('\n') {
        return Err(problem(file, None, None, "does not end with a line end: is the file whole?"));
    }
    Ok(entries)
}

#[derive(Deserialize)]
struct YamlFile {
    servers: Vec<Spanned<YamlServer>>,
}

#[derive(Deserialize)]
struct YamlServer {
    name: Option<String>,
    address: Option<String>,
    kind: Option<String>,
    cell: Option<String>,
    zone: Option<String>,
    weight: Option<f64>,
    state: Option<String>,
}

fn yaml_entries(file: &Path, text: &str) -> Result<Vec<Entry>, Problem> {
    let parsed: YamlFile = serde_saphyr::from_str(text).map_err(|error| {
        let line = error.location().map(|location| location.line());
        let what = error.to_string();
        problem(file, line, None, what.lines().next().unwrap_or("is not YAML"))
    })?;
    let entry = |server: Spanned<YamlServer>| {
        let line = server.referenced.line();
        let YamlServer { name, address, kind, cell, zone, weight, state } = server.value;
        let weight = weight.map(|weight| weight.to_string());
        let values = [name, address, kind, cell, zone, weight, state];
        let named = FIELDS.iter().zip(values).filter_map(|(name, value)| Some((*name, value?)));
        Entry { line, fields: named.collect() }
    };
    Ok(parsed.servers.into_iter().map(entry).collect())
}
