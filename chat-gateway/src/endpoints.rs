//! The endpoint list: read from the inventory, stored for a later run, changed by what attempts learn.

use crate::gateway::Gateway;
use crate::reload_error::ReloadError;
use crate::state::GatewayState;
use async_io::Timer;
use petrelshore::interface::SnapshotKind;
use petrelshore_inventory::{Change, EndpointList, Format, cached_list, read_list};
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{info, warn};

/// Addresses that are remembered of servers that left the inventory: KV caches that they hold are still released.
const MAX_FORMER_ADDRESSES: usize = 1_024;

impl Gateway {
    /// Takes the endpoint list at the start: the inventory where it is good, else the list stored by an earlier run.
    pub(crate) fn load_first_list(&self) -> Result<(), ReloadError> {
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

    /// Reads the inventory again. A list with any fault is rejected completely. Returns how many
    /// servers it has.
    pub fn reload(&self) -> Result<usize, ReloadError> {
        let state = &self.0;
        let list = state.read_inventory()?;
        let servers = list.servers.len();
        let checked = state.guard.borrow_mut().check(state.membership.borrow().list(), &list);
        checked.map_err(ReloadError::Implausible)?;
        let change = state.membership.borrow_mut().replace(state.event_loop.now(), list);
        state.apply_endpoint_change(change);
        state.store_list();
        info!(servers, "endpoint list updated");
        Ok(servers)
    }

    /// How many model servers are listed.
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

    /// Applies a change of the endpoint list; a full or cached list also replaces the addresses.
    pub(crate) fn apply_endpoint_change(&self, change: Change) {
        let now = self.event_loop.now();
        self.event_loop.requests_mut().update_endpoints(now, change.scope, &change.entries);
        if change.scope != SnapshotKind::Delta {
            self.replace_addresses();
        }
    }

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

    /// Stores the list for a later run. Where its disk does not take it, a store task retries until it does.
    fn store_list(self: &Rc<Self>) {
        if self.try_store_list().is_ok() || self.storing_list.replace(true) {
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
            state.storing_list.set(false);
        });
    }

    /// Stores the list as it is now.
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
