//! The entries of a request table, with the capacity that they use and the releases that they leave.

use crate::cache_releases::{CacheRelease, CacheReleases, CacheState};
use crate::capacity::{CapacityError, CapacityLimit, relative_priorities};
use crate::policy::PolicyKind;
use crate::request_manager::RequestManager;
use petrelshore::interface::{Deployment, Nanos, SequenceId, TrafficTypeId};
use std::collections::HashMap;

/// One request. `D` is what its kind of table knows of it.
struct Entry<D> {
    /// The client whose capacity it uses.
    client: u64,
    /// Whether it has its final answer.
    answered: bool,
    details: D,
}

/// What both request tables keep.
pub(super) struct RequestStore<D> {
    pub(super) manager: RequestManager,
    pub(super) releases: CacheReleases,
    pub(super) capacity: CapacityLimit,
    entries: HashMap<SequenceId, Entry<D>>,
    /// Priority weight of each traffic type, against the highest.
    relative_priorities: Vec<f64>,
    max_retry_after: Option<Nanos>,
}

impl<D> RequestStore<D> {
    /// An empty store for at most `max_requests` at once.
    pub(super) fn new(
        now: Nanos,
        deployment: Deployment,
        seed: u64,
        max_requests: usize,
        policy_kind: PolicyKind,
    ) -> Self {
        RequestStore {
            releases: CacheReleases::new(deployment.release_timeout),
            capacity: CapacityLimit::new(now, max_requests),
            relative_priorities: relative_priorities(&deployment),
            max_retry_after: deployment.max_retry_after,
            manager: RequestManager::with_policy(now, deployment, seed, policy_kind),
            entries: HashMap::new(),
        }
    }

    /// Takes capacity for a request of a client.
    pub(super) fn acquire_capacity(
        &mut self,
        now: Nanos,
        client: u64,
        traffic: TrafficTypeId,
    ) -> Result<(), CapacityError> {
        self.capacity.acquire(now, client, self.relative_priorities[traffic.0])
    }

    /// How long a client without capacity is asked to wait.
    pub(super) fn retry_after(&self, now: Nanos) -> Nanos {
        self.capacity.retry_after(now, self.max_retry_after)
    }

    /// The same, where settings let rejections carry it.
    pub(super) fn configured_retry_after(&self, now: Nanos) -> Option<Nanos> {
        self.max_retry_after.map(|_| self.retry_after(now))
    }

    /// Adds a request for which capacity was taken.
    pub(super) fn insert(&mut self, id: SequenceId, client: u64, details: D) {
        self.entries.insert(id, Entry { client, answered: false, details });
    }

    pub(super) fn contains(&self, id: SequenceId) -> bool {
        self.entries.contains_key(&id)
    }

    pub(super) fn get(&self, id: SequenceId) -> Option<&D> {
        self.entries.get(&id).map(|entry| &entry.details)
    }

    pub(super) fn get_mut(&mut self, id: SequenceId) -> Option<&mut D> {
        self.entries.get_mut(&id).map(|entry| &mut entry.details)
    }

    /// The request, unless it has its final answer.
    pub(super) fn get_unanswered(&self, id: SequenceId) -> Option<&D> {
        self.entries.get(&id).filter(|entry| !entry.answered).map(|entry| &entry.details)
    }

    /// The request, unless it has its final answer.
    pub(super) fn get_unanswered_mut(&mut self, id: SequenceId) -> Option<&mut D> {
        self.entries.get_mut(&id).filter(|entry| !entry.answered).map(|entry| &mut entry.details)
    }

    /// Marks a request as answered. None if it is unknown or was answered before: each gets one final answer.
    pub(super) fn mark_answered(&mut self, id: SequenceId) -> Option<&mut D> {
        let entry = self.entries.get_mut(&id).filter(|entry| !entry.answered)?;
        entry.answered = true;
        Some(&mut entry.details)
    }

    /// Removes a request and gives its capacity back.
    pub(super) fn remove(&mut self, now: Nanos, id: SequenceId) -> Option<RemovedRequest<D>> {
        let Entry { client, answered, details } = self.entries.remove(&id)?;
        self.capacity.release(now, client);
        Some(RemovedRequest { answered, details })
    }

    /// Number of requests, answered or not.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Sends a release request, and tracks it until its prefill server has answered.
    pub(super) fn add_release<C: From<CacheRelease>>(
        &mut self,
        now: Nanos,
        release: CacheRelease,
        state: CacheState,
        commands: &mut Vec<C>,
    ) {
        self.releases.add(now, &release, state);
        commands.push(C::from(release));
    }

    /// The next deadline of a sequence's timer or of a pending release.
    pub(super) fn next_timeout(&self) -> Option<Nanos> {
        self.manager.next_timeout().into_iter().chain(self.releases.next_timeout()).min()
    }
}

/// A request that was removed.
pub(super) struct RemovedRequest<D> {
    /// Whether it had its final answer.
    pub(super) answered: bool,
    pub(super) details: D,
}
