//! The handle to a running gateway.

use crate::answer::{Answer, AnswerPart, AnswerSource};
use crate::generation_request::GenerationRequest;
use crate::reload_error::ReloadError;
use crate::state::{GatewayState, RequestEntry};
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use petrelshore_engine_client::Client;
use petrelshore_gateway_core::buffered::{Admission, BufferedRequests, Rejection};
use petrelshore_gateway_core::{Counts, PolicyKind};
use petrelshore_inventory::Membership;
use petrelshore_runtime::{AttemptSlot, Clock, EventDriven, EventLoop, Spawner, wait_until};
use petrelshore_settings::Settings;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The maximum number of parts that are queued for a client that does not read them. Beyond this number, the attempt
/// stops reading from its server.
const MAX_QUEUED_PARTS: usize = 16;

/// A handle to a running gateway. A clone refers to the same gateway.
#[derive(Clone)]
pub struct Gateway(pub(crate) Rc<GatewayState>);

impl Gateway {
    /// Starts a gateway with these settings. The endpoint list is the inventory if it is valid, otherwise the list
    /// stored by an earlier run. The tasks of the gateway are spawned with `spawner`.
    pub fn start(settings: Settings, spawner: Spawner) -> Result<Gateway, ReloadError> {
        Self::start_with(settings, spawner, PolicyKind::Scheduler)
    }

    /// Starts a gateway with the given policy. Policies other than the scheduler serve for comparisons.
    pub fn start_with(
        settings: Settings,
        spawner: Spawner,
        policy_kind: PolicyKind,
    ) -> Result<Gateway, ReloadError> {
        let clock = Clock::start();
        let now = clock.now();
        let seed = settings.seed(now);
        let membership = Membership::new(&settings.kinds, &settings.zone);
        let requests = BufferedRequests::new(
            now,
            settings.deployment.clone(),
            seed,
            settings.limits.sequences,
            policy_kind,
        );
        let gateway = Gateway(Rc::new(GatewayState {
            client: Client::new(spawner.clone(), &settings.name),
            event_loop: EventLoop::new(clock, requests),
            event_budget: RefCell::default(),
            membership: RefCell::new(membership),
            change_guard: RefCell::default(),
            addresses: RefCell::default(),
            former_addresses: RefCell::default(),
            entries: RefCell::default(),
            store_task_running: Cell::new(false),
            request_finished: Event::new(),
            draining: Event::new(),
            settings,
            spawner,
        }));
        gateway.load_initial_list()?;
        gateway.0.spawner.run(gateway.0.clone().run_timeouts());
        Ok(gateway)
    }

    /// Accepts a request, or returns the reason for the rejection. Each accepted request gets exactly one final answer.
    pub fn accept(&self, request: GenerationRequest) -> Result<Answer, Rejection> {
        let state = &self.0;
        let GenerationRequest { request, stop, sampling } = request;
        let model = request.model.clone();
        let (mut commands, now) = (Vec::new(), state.event_loop.now());
        let admission = state.event_loop.requests_mut().accept(now, request, &mut commands);
        let (sender, parts) = async_channel::bounded(MAX_QUEUED_PARTS);
        let (id, source) = match admission {
            Admission::Rejected(rejection) => return Err(rejection),
            Admission::Accepted(id) => {
                let final_answer_set = Rc::new(Event::new());
                let entry = RequestEntry {
                    stop,
                    sampling,
                    model,
                    parts: sender,
                    final_answer: None,
                    final_answer_set: final_answer_set.clone(),
                    attempt: AttemptSlot::default(),
                };
                state.entries.borrow_mut().insert(id, entry);
                (id, AnswerSource::Request { state: state.clone(), final_answer_set })
            }
            Admission::Replayed { id, text, last } => {
                if !text.is_empty() {
                    // The channel is new, so it has capacity for this text.
                    let _ = sender.try_send(AnswerPart::Text(text.to_string()));
                }
                sender.close();
                (id, AnswerSource::Stored(last))
            }
        };
        state.execute_all(commands);
        Ok(Answer::new(id, parts, source))
    }

    /// Stops accepting requests, lets running streams continue for the drain time, then terminates the remaining
    /// requests. Returns the number of terminated requests.
    pub async fn drain(&self) -> usize {
        let state = &self.0;
        state.event_loop.requests_mut().drain();
        state.draining.notify(usize::MAX);
        let all_answered = wait_until(&state.request_finished, || self.unanswered() == 0);
        let drain_time_over = async {
            Timer::after(Duration::from_nanos(state.settings.drain_time)).await;
        };
        future::or(all_answered, drain_time_over).await;
        let terminated = self.unanswered();
        state.apply(|requests, now, commands| requests.terminate_all(now, commands));
        terminated
    }

    /// Waits until the gateway is draining.
    pub async fn wait_until_draining(&self) {
        wait_until(&self.0.draining, || self.is_draining()).await;
    }

    /// Returns true if new requests are rejected because the gateway is draining.
    pub fn is_draining(&self) -> bool {
        self.0.event_loop.requests().is_draining()
    }

    /// The settings of this gateway.
    pub fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// The spawner for the tasks of this gateway.
    pub fn spawner(&self) -> &Spawner {
        &self.0.spawner
    }

    /// The clock of this gateway, to which all its times refer.
    pub fn clock(&self) -> Clock {
        self.0.event_loop.clock()
    }

    /// Counts of events since the start.
    pub fn counts(&self) -> Counts {
        self.0.event_loop.requests().counts()
    }

    /// Number of requests whose final answer is pending.
    pub fn unanswered(&self) -> usize {
        self.0.event_loop.requests().unanswered()
    }

    /// Number of requests in the request table, answered or not. Leak checks expect zero once no request is left.
    pub fn tracked(&self) -> usize {
        self.0.event_loop.requests().tracked()
    }
}
