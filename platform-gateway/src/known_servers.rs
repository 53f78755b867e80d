//! The names of servers, for the log, and what a list changes.

use petrelshore::interface::{EndpointState, ServerId, SnapshotKind};
use petrelshore_platform_protocol::endpoint_list::{EndpointList, ListedEndpoint};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// Changes of one list that are named in the log.
const MAX_NAMED_CHANGES: usize = 8;

/// A server's name in the log.
#[derive(Clone)]
pub(crate) enum ServerName {
    /// As it is listed.
    Listed(Rc<str>),
    /// It is not listed any more.
    Unlisted(ServerId),
}

impl fmt::Display for ServerName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServerName::Listed(name) => formatter.write_str(name),
            ServerName::Unlisted(server) => write!(formatter, "unlisted-{:016x}", server.0),
        }
    }
}

impl fmt::Debug for ServerName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

struct KnownServer {
    name: Rc<str>,
    state: EndpointState,
}

/// The listed servers by name and state.
#[derive(Default)]
pub(crate) struct KnownServers {
    servers: BTreeMap<ServerId, KnownServer>,
}

/// What a list changed.
#[derive(Debug, Default)]
pub(crate) struct ListChange {
    /// How many servers came, left or changed their state.
    pub(crate) count: usize,
    /// The first of them, each with its state.
    pub(crate) named: Vec<String>,
}

impl ListChange {
    fn add(&mut self, name: &str, state: EndpointState) {
        self.count += 1;
        if self.named.len() < MAX_NAMED_CHANGES {
            self.named.push(format!("{name}={state:?}"));
        }
    }
}

impl KnownServers {
    pub(crate) fn name(&self, server: ServerId) -> ServerName {
        match self.servers.get(&server) {
            Some(known) => ServerName::Listed(known.name.clone()),
            None => ServerName::Unlisted(server),
        }
    }

    /// Takes a list in, and returns what it changes.
    pub(crate) fn update(&mut self, list: &EndpointList) -> ListChange {
        let mut change = ListChange::default();
        let mut previous = match list.scope {
            SnapshotKind::Delta => BTreeMap::new(),
            SnapshotKind::Full | SnapshotKind::Cached => std::mem::take(&mut self.servers),
        };
        for ListedEndpoint { name, endpoint, .. } in &list.entries {
            let (server, state) = (endpoint.server, endpoint.state);
            let known = previous.remove(&server).or_else(|| self.servers.remove(&server));
            if known.as_ref().map(|known| known.state) != Some(state) {
                change.add(name, state);
            }
            if state != EndpointState::Gone {
                let name = known.map_or_else(|| Rc::from(&**name), |known| known.name);
                self.servers.insert(server, KnownServer { name, state });
            }
        }
        previous.values().for_each(|left| change.add(&left.name, EndpointState::Gone));
        change
    }
}
