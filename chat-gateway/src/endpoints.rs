//! The endpoint list: loaded from the inventory, stored for later runs, and updated when attempts show that a server
//! has restarted or is unreachable.

use crate::gateway::Gateway;
use crate::reload_error::ReloadError;
use crate::state::GatewayState;
use async_io::Timer;
use petrelshore::interface::SnapshotKind;
use petrelshore_inventory::{Change, EndpointList, Format, cached_list, read_list};
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{info, warn};

/// The maximum number of addresses kept for servers that have left the inventory. The gateway still sends release
/// requests to these servers for the KV caches that they hold.
const MAX_FORMER_ADDRESSES: usize = 1_024;

impl Gateway {
    /// Loads the endpoint list at the start: from the inventory if it is valid, otherwise the list stored by an earlier
    /// run. Fails if the inventory is rejected and no list with servers is stored.
    pub(crate) fn load_initial_list(&self) -> Result<(), ReloadError> {
        let state = &self.0;
        match cached_list::load(&state.settings.cached_list, state.event_loop.now()) {
            Ok(Some(cached)) => {
                info!(servers = cached.list.servers.len(), "stored endpoint list loaded");
                let change = state.membership.borrow_mut().restore(cached);
                state.apply_endpoint_change(change);
            }
            Ok(None) => {}
            Err(error) => warn!(%error, "stored endpoint list not usable"),
        }
        match self.reload() {
            Err(error) if state.membership.borrow().list().servers.is_empty() => Err(error),
            Err(error) => {
                warn!(%error, "inventory rejected, last good endpoint list stays");
                Ok(())
            }
            Ok(_) => Ok(()),
        }
    }

    /// Reads the inventory and replaces the endpoint list. An inventory with any error is rejected completely. Returns
    /// the number of listed servers.
    pub fn reload(&self) -> Result<usize, ReloadError> {
        let state = &self.0;
        let list = state.read_inventory()?;
        let servers = list.servers.len();
        let checked = state.change_guard.borrow_mut().check(state.membership.borrow().list(), &list);
        checked.map_err(ReloadError::Implausible)?;
        let change = state.membership.borrow_mut().replace(state.event_loop.now(), list);
        state.apply_endpoint_change(change);
        state.store_list();
        info!(servers, "endpoint list updated");
        Ok(servers)
    }

    /// Number of listed model servers.
    pub fn servers(&self) -> usize {
        self.0.membership.borrow().list().servers.len()
    }
}

impl GatewayState {
    fn read_inventory(&self) -> Result<EndpointList, ReloadError> {
        let file = &self.settings.inventory;
        let format =
            Format::from_path(file).ok_or_else(|| ReloadError::UnknownFormat { file: file.clone() })?;
        let text = std::fs::read_to_string(file)
            .map_err(|error| ReloadError::Unreadable { file: file.clone(), error })?;
        read_list(file, format, &text, &self.settings.kinds).map_err(ReloadError::Invalid)
    }

    /// Applies a change of the endpoint list to the request table. A full or cached list also replaces the addresses.
    pub(crate) fn apply_endpoint_change(&self, change: Change) {
        let now = self.event_loop.now();
        self.event_loop.requests_mut().update_endpoints(now, change.scope, &change.entries);
        if change.scope != SnapshotKind::Delta {
            self.replace_addresses();
        }
    }

    /// Replaces the addresses of the listed servers, and keeps those of servers that are no longer listed in
    /// `former_addresses`.
    fn replace_addresses(&self) {
        let membership = self.membership.borrow();
        let servers = &membership.list().servers;
        let listed: BTreeMap<_, _> = servers.iter().map(|server| (server.id(), server.address)).collect();
        let before = self.addresses.replace(listed);
        let addresses = self.addresses.borrow();
        let mut former = self.former_addresses.borrow_mut();
        former.extend(before);
        former.retain(|(id, _)| !addresses.contains_key(id));
        let excess = former.len().saturating_sub(MAX_FORMER_ADDRESSES);
        former.drain(..excess);
        self.client.retain_endpoints(|address| servers.iter().any(|server| server.address == *address));
    }

    /// Stores the endpoint list for a later run. If writing the file fails, a store task retries until it succeeds.
    fn store_list(self: &Rc<Self>) {
        if self.try_store_list().is_ok() || self.store_task_running.replace(true) {
            return;
        }
        let state = self.clone();
        self.spawner.run(async move {
            let mut failures = 1;
            loop {
                Timer::after(cached_list::store_backoff(failures)).await;
                if state.try_store_list().is_ok() {
                    break;
                }
                failures += 1;
            }
            state.store_task_running.set(false);
        });
    }

    /// Tries once to store the current endpoint list.
    fn try_store_list(&self) -> std::io::Result<()> {
        let (membership, file) = (self.membership.borrow(), &self.settings.cached_list);
        let now = self.event_loop.now();
        let stored = cached_list::store(file, membership.list(), membership.start_times(), now);
        if let Err(error) = &stored {
            warn!(%error, file = %file.display(), "endpoint list could not be stored");
        }
        stored
    }
}
