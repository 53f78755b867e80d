//! The names and states of the listed servers, for the log.

use petrelshore::interface::{EndpointState, ServerId, SnapshotKind};
use petrelshore_platform_protocol::endpoint_list::{EndpointList, ListedEndpoint};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// The maximum number of changes per list that are logged in detail.
const MAX_LOGGED_CHANGES: usize = 8;

/// A server's name in the log.
#[derive(Clone)]
pub(crate) enum ServerName {
    /// The name in the endpoint list.
    Listed(Rc<str>),
    /// The id of a server that is no longer listed.
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

/// The names and states of the listed servers.
#[derive(Default)]
pub(crate) struct KnownServers {
    servers: BTreeMap<ServerId, KnownServer>,
}

/// The changes that a list made to the known servers.
#[derive(Debug, Default)]
pub(crate) struct ListChange {
    /// Number of servers that were added, were removed or changed their state.
    pub(crate) count: usize,
    /// The first [`MAX_LOGGED_CHANGES`] changes, each as the name and the new state of the server.
    pub(crate) logged: Vec<String>,
}

impl ListChange {
    fn add(&mut self, name: &str, state: EndpointState) {
        self.count += 1;
        if self.logged.len() < MAX_LOGGED_CHANGES {
            self.logged.push(format!("{name}={state:?}"));
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

    /// Applies an endpoint list and returns the changes.
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
        previous.values().for_each(|removed| change.add(&removed.name, EndpointState::Gone));
        change
    }
}
