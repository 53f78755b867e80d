//! The state of a server: its model, the receivers of job progress, and the held KV caches by request.

use super::Identity;
use crate::model::{Job, Model, Progress, Rejection};
use crate::profile::Fault;
use crate::record::{Event, Record};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use event_listener::Event as Notification;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The state that all tasks of a server share.
pub(super) struct ServerState {
    identity: Identity,
    address: SocketAddr,
    record: Record,
    model: RefCell<Model>,
    started_seconds: f64,
    /// Notified when the model's next timeout may have changed.
    wake: Notification,
    subscribers: RefCell<BTreeMap<u64, Sender<Progress>>>,
    next_job: Cell<u64>,
    /// The prefill jobs whose KV caches are held, by request ID.
    held: RefCell<BTreeMap<String, u64>>,
    /// The request IDs of unfinished prefills, by job.
    prefills: RefCell<BTreeMap<u64, String>>,
    /// The idempotency keys of the decode and combined steps that the model accepted.
    executed_keys: RefCell<BTreeSet<String>>,
}

impl ServerState {
    pub(super) fn new(identity: Identity, address: SocketAddr, record: Record, model: Model) -> Self {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ServerState {
            identity,
            address,
            record,
            model: RefCell::new(model),
            started_seconds: epoch.as_secs_f64(),
            wake: Notification::new(),
            subscribers: RefCell::default(),
            next_job: Cell::new(0),
            held: RefCell::default(),
            prefills: RefCell::default(),
            executed_keys: RefCell::default(),
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.identity.name
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn record(&self) -> &Record {
        &self.record
    }

    pub(super) fn fault(&self) -> Fault {
        self.model.borrow().fault()
    }

    /// Returns true if the server reads requests without ever responding to them.
    pub(super) fn unresponsive(&self) -> bool {
        let model = self.model.borrow();
        matches!(model.fault(), Fault::Silent | Fault::Hangs) || model.overloaded()
    }

    pub(super) fn set_fault(&self, fault: Fault) {
        self.record_fault(fault);
        self.model.borrow_mut().set_fault(fault);
        self.wake.notify(usize::MAX);
    }

    pub(super) fn record_fault(&self, fault: Fault) {
        self.record.write(Event::FaultSet {
            server: self.identity.name.clone(),
            cell: self.identity.cell.clone(),
            fault: fault.to_string(),
        });
    }

    pub(super) fn clear_prefix_cache(&self) {
        self.model.borrow_mut().clear_prefix_cache();
    }

    pub(super) fn held_caches(&self) -> usize {
        self.model.borrow().held_caches()
    }

    pub(super) fn in_flight(&self) -> usize {
        self.model.borrow().in_flight()
    }

    /// Calls the model at each of its timeouts and sends the resulting progress to the subscribers of the jobs.
    pub(super) async fn run_model(self: Rc<Self>) {
        loop {
            let woken = self.wake.listen();
            let now = self.record.now();
            let due = self.model.borrow().next_timeout();
            match due {
                Some(due) if due <= now => {
                    let progress = self.model.borrow_mut().on_timeout(now);
                    progress.into_iter().for_each(|progress| self.deliver_progress(progress));
                    future::yield_now().await;
                }
                Some(due) => {
                    let timer = async {
                        Timer::after(Duration::from_nanos(due - now)).await;
                    };
                    future::or(woken, timer).await;
                }
                None => woken.await,
            }
        }
    }

    fn deliver_progress(&self, progress: Progress) {
        let id = match progress {
            Progress::PrefillDone { id, .. } => {
                self.hold_cache(id);
                id
            }
            Progress::Token { id, .. } => id,
            Progress::CacheExpired { id } => return self.expire_cache(id),
        };
        if let Some(subscriber) = self.subscribers.borrow().get(&id) {
            let _ = subscriber.try_send(progress);
        }
    }

    /// Records that the server holds the KV cache of a finished prefill, even if the response of the prefill is lost.
    fn hold_cache(&self, id: u64) {
        let Some(request) = self.prefills.borrow_mut().remove(&id) else { return };
        self.held.borrow_mut().insert(request.clone(), id);
        self.record.write(Event::CacheReserved { server: self.identity.name.clone(), request });
    }

    fn expire_cache(&self, id: u64) {
        let held = self.held.borrow();
        let request = held.iter().find(|(_, job)| **job == id).map(|(request, _)| request.clone());
        drop(held);
        if let Some(request) = request {
            self.release_cache(&request);
        }
    }

    /// Releases the KV cache of a request. Returns false if the server held none.
    pub(super) fn release_cache(&self, request: &str) -> bool {
        let Some(id) = self.held.borrow_mut().remove(request) else { return false };
        self.model.borrow_mut().release(id);
        let (server, request) = (self.identity.name.clone(), request.to_owned());
        self.record.write(Event::CacheReleased { server, request });
        true
    }

    pub(super) fn release_all(&self) {
        let requests: Vec<String> = self.held.borrow().keys().cloned().collect();
        for request in requests {
            self.release_cache(&request);
        }
    }

    /// The load report, in the format of the response header.
    pub(super) fn load_report(&self) -> String {
        let model = self.model.borrow();
        format!(
            "TEXT named_metrics.kv_cache_usage_perc={:.4}, named_metrics.num_requests_running={}, \
             named_metrics.queued_prompt_tokens={}, named_metrics.process_start_time_seconds={:.3}",
            model.memory_share(),
            model.in_flight(),
            model.queued_prompt_tokens(),
            self.started_seconds,
        )
    }

    /// Returns the ID of a new job.
    pub(super) fn next_job(&self) -> u64 {
        let id = self.next_job.get();
        self.next_job.set(id + 1);
        id
    }

    /// Returns a channel that receives the progress of a job.
    pub(super) fn subscribe(&self, id: u64) -> Receiver<Progress> {
        let (sender, progress) = async_channel::unbounded();
        self.subscribers.borrow_mut().insert(id, sender);
        progress
    }

    /// Stores the request ID under which the KV cache of a prefill job will be held.
    pub(super) fn register_prefill(&self, id: u64, request: String) {
        self.prefills.borrow_mut().insert(id, request);
    }

    /// Cancels a job in the model and removes its subscriber.
    pub(super) fn cancel(&self, id: u64) {
        self.subscribers.borrow_mut().remove(&id);
        self.prefills.borrow_mut().remove(&id);
        let now = self.record.now();
        self.model.borrow_mut().cancel(now, id);
        self.wake.notify(usize::MAX);
    }

    /// Submits a job to the model, and records an event if the job overloads the server.
    pub(super) fn submit(&self, job: Job) -> Result<(), Rejection> {
        let mut model = self.model.borrow_mut();
        let was_overloaded = model.overloaded();
        let accepted = model.accept(self.record.now(), job);
        if model.overloaded() && !was_overloaded {
            self.record.write(Event::ServerOverloaded { server: self.identity.name.clone() });
        }
        drop(model);
        if accepted.is_ok() {
            self.wake.notify(usize::MAX);
        }
        accepted
    }

    /// Returns true if this server's model accepted a decode or combined step with this idempotency key.
    pub(super) fn was_executed(&self, key: &str) -> bool {
        self.executed_keys.borrow().contains(key)
    }

    /// Records that the model accepted a step that has an effect (decode or combined), and stores the idempotency key
    /// of the step. The step may still wait for a slot.
    pub(super) fn record_execution(&self, request: &str, key: Option<String>) {
        self.executed_keys.borrow_mut().extend(key);
        let (server, request) = (self.identity.name.clone(), request.to_owned());
        self.record.write(Event::ExecutionStarted { server, request });
    }
}
