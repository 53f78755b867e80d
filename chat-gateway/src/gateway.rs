//! The handle of a running gateway.

use crate::answer::Answer;
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

/// Texts that are queued for a client that does not read them, before its attempt has to wait.
const MAX_QUEUED_TEXTS: usize = 16;

/// A running gateway. Clones are the same gateway.
#[derive(Clone)]
pub struct Gateway(pub(crate) Rc<GatewayState>);

impl Gateway {
    /// Starts a gateway from its settings and its endpoint list: the inventory where it is good, else the list stored by
    /// an earlier run. Its tasks run where `spawner` says.
    pub fn start(settings: Settings, spawner: Spawner) -> Result<Gateway, ReloadError> {
        Self::start_with(settings, spawner, PolicyKind::Scheduler)
    }

    /// Starts a gateway that routes by another policy.
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
            guard: RefCell::default(),
            addresses: RefCell::default(),
            former_addresses: RefCell::default(),
            entries: RefCell::default(),
            storing_list: Cell::new(false),
            request_finished: Event::new(),
            draining: Event::new(),
            settings,
            spawner,
        }));
        gateway.load_first_list()?;
        gateway.0.spawner.run(gateway.0.clone().run_timeouts());
        Ok(gateway)
    }

    /// Accepts a request, or says why not. What is accepted gets exactly one final answer.
    pub fn accept(&self, request: GenerationRequest) -> Result<Answer, Rejection> {
        let state = &self.0;
        let GenerationRequest { request, stop, sampling } = request;
        let model = request.model.clone();
        let (mut commands, now) = (Vec::new(), state.event_loop.now());
        let admission = state.event_loop.requests_mut().accept(now, request, &mut commands);
        let (sender, texts) = async_channel::bounded(MAX_QUEUED_TEXTS);
        let completed = Rc::new(Event::new());
        let (id, replayed) = match admission {
            Admission::Rejected(rejection) => return Err(rejection),
            Admission::Accepted(id) => {
                let entry = RequestEntry {
                    stop,
                    sampling,
                    model,
                    texts: sender,
                    final_answer: None,
                    completed: completed.clone(),
                    attempt: AttemptSlot::default(),
                };
                state.entries.borrow_mut().insert(id, entry);
                (id, None)
            }
            Admission::Replayed { id, text, last } => {
                if !text.is_empty() {
                    // The channel is new and has capacity.
                    let _ = sender.try_send(text.to_string());
                }
                sender.close();
                (id, Some(last))
            }
        };
        state.execute_all(commands);
        Ok(Answer { id, state: state.clone(), texts, completed, final_answer_read: false, replayed })
    }

    /// Accepts nothing further, lets running streams go on for the drain time, then terminates the rest. Returns how
    /// many had to be terminated.
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

    /// Returns once nothing further is accepted.
    pub async fn wait_until_draining(&self) {
        wait_until(&self.0.draining, || self.is_draining()).await;
    }

    /// Whether nothing further is accepted.
    pub fn is_draining(&self) -> bool {
        self.0.event_loop.requests().is_draining()
    }

    /// The settings that this gateway runs with.
    pub fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// What spawns the tasks of this gateway.
    pub fn spawner(&self) -> &Spawner {
        &self.0.spawner
    }

    /// The clock that all times of this gateway go by.
    pub fn clock(&self) -> Clock {
        self.0.event_loop.clock()
    }

    /// What happened so far, as counters.
    pub fn counts(&self) -> Counts {
        self.0.event_loop.requests().counts()
    }

    /// How many requests wait for their final answer.
    pub fn unanswered(&self) -> usize {
        self.0.event_loop.requests().unanswered()
    }

    /// Everything that is tracked for requests, for leak checks.
    pub fn tracked(&self) -> usize {
        self.0.event_loop.requests().tracked()
    }
}
