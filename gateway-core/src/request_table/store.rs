//! The entries of a request table, the capacity that they use, and their pending releases.

use crate::cache_releases::{CacheRelease, CacheReleases, CacheState};
use crate::capacity::{CapacityError, CapacityLimit, relative_priorities};
use crate::policy::PolicyKind;
use crate::request_manager::RequestManager;
use petrelshore::interface::{Deployment, Nanos, SequenceId, TrafficTypeId};
use std::collections::HashMap;

/// One request. `D` is the type of the state that is specific to the kind of request table.
struct Entry<D> {
    /// The client whose capacity the request uses.
    client: u64,
    /// Set once the request has its final answer.
    answered: bool,
    details: D,
}

/// The state that both request tables have in common.
pub(super) struct RequestStore<D> {
    pub(super) manager: RequestManager,
    pub(super) releases: CacheReleases,
    pub(super) capacity: CapacityLimit,
    entries: HashMap<SequenceId, Entry<D>>,
    /// Priority weight of each traffic type as a share of the highest weight.
    relative_priorities: Vec<f64>,
    max_retry_after: Option<Nanos>,
}

impl<D> RequestStore<D> {
    /// Creates an empty store for at most `max_requests` concurrent requests.
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

    /// Acquires capacity for a request of a client.
    pub(super) fn acquire_capacity(
        &mut self,
        now: Nanos,
        client: u64,
        traffic: TrafficTypeId,
    ) -> Result<(), CapacityError> {
        self.capacity.acquire(now, client, self.relative_priorities[traffic.0])
    }

    /// The time that a client is asked to wait if its request was rejected for lack of capacity.
    pub(super) fn retry_after(&self, now: Nanos) -> Nanos {
        self.capacity.retry_after(now, self.max_retry_after)
    }

    /// The result of [`Self::retry_after`], or `None` if the settings configure no Retry-After for rejections.
    pub(super) fn configured_retry_after(&self, now: Nanos) -> Option<Nanos> {
        self.max_retry_after.map(|_| self.retry_after(now))
    }

    /// Adds a request for which capacity was acquired.
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

    /// Returns the state of a request, unless the request is unknown or has its final answer.
    pub(super) fn get_unanswered(&self, id: SequenceId) -> Option<&D> {
        self.entries.get(&id).filter(|entry| !entry.answered).map(|entry| &entry.details)
    }

    /// Returns the state of a request, unless the request is unknown or has its final answer.
    pub(super) fn get_unanswered_mut(&mut self, id: SequenceId) -> Option<&mut D> {
        self.entries.get_mut(&id).filter(|entry| !entry.answered).map(|entry| &mut entry.details)
    }

    /// Marks a request as answered and returns its state. Returns `None` if the request is unknown or was already
    /// answered: each request gets only one final answer.
    pub(super) fn mark_answered(&mut self, id: SequenceId) -> Option<&mut D> {
        let entry = self.entries.get_mut(&id).filter(|entry| !entry.answered)?;
        entry.answered = true;
        Some(&mut entry.details)
    }

    /// Removes a request and releases its capacity.
    pub(super) fn remove(&mut self, now: Nanos, id: SequenceId) -> Option<RemovedRequest<D>> {
        let Entry { client, answered, details } = self.entries.remove(&id)?;
        self.capacity.release(now, client);
        Some(RemovedRequest { answered, details })
    }

    /// Number of requests, answered or not.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Sends a release request, and tracks it until it is answered.
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

    /// The time of the next sequence timer or resend of a pending release, whichever is earlier.
    pub(super) fn next_timeout(&self) -> Option<Nanos> {
        self.manager.next_timeout().into_iter().chain(self.releases.next_timeout()).min()
    }
}

/// A request that was removed.
pub(super) struct RemovedRequest<D> {
    /// Set if the request had its final answer.
    pub(super) answered: bool,
    pub(super) details: D,
}
