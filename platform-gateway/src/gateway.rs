//! The handle of a running gateway.

use crate::answer::Answer;
use crate::event_log::RequestId;
use crate::forwarded_request::ForwardedRequest;
use crate::state::{GatewayState, RequestEntry};
use event_listener::Event;
use petrelshore::interface::SnapshotKind;
use petrelshore_gateway_core::cache_releases::RELEASE_CONNECTIONS;
use petrelshore_gateway_core::event_budget::{EventBudget, EventKind};
use petrelshore_gateway_core::invariants::Violation;
use petrelshore_gateway_core::passthrough::{PassthroughRequests, Rejection};
use petrelshore_gateway_core::{Counts, NewSequence};
use petrelshore_platform_engine_client::Client;
use petrelshore_platform_protocol::config::Config;
use petrelshore_platform_protocol::endpoint_list::EndpointList;
use petrelshore_platform_protocol::settings::Names;
use petrelshore_runtime::{AttemptSlot, Clock, EventDriven, EventLoop, Spawner};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::debug;

/// The maximum number of answer parts that are queued for a client that does not read them. The attempt waits while the
/// queue is full.
const MAX_QUEUED_EVENTS: usize = 4;

/// A handle to a running gateway. Clones refer to the same gateway.
#[derive(Clone)]
pub struct PlatformGateway(pub(crate) Rc<GatewayState>);

/// Numbers of connections to model servers and of pending releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Number of open connections to model servers.
    pub open: usize,
    /// Number of open connections that are idle.
    pub idle: usize,
    /// Number of pending releases, which no server has answered yet.
    pub pending_releases: usize,
}

impl PlatformGateway {
    /// Starts a gateway with a configuration and the endpoint list that the configuration contains. At most
    /// `max_connections` connections to model servers are open at once.
    pub fn start(config: Config, max_connections: usize, spawner: Spawner) -> PlatformGateway {
        let clock = Clock::start();
        let load_fields = config.names.report.clone();
        let max_requests = max_connections.saturating_sub(RELEASE_CONNECTIONS).max(1);
        let client = Client::new(clock, max_connections, config.idle_for, load_fields);
        let requests = PassthroughRequests::new(clock.now(), config.deployment, config.seed, max_requests);
        let gateway = PlatformGateway(Rc::new(GatewayState {
            event_loop: EventLoop::new(clock, requests),
            spawner,
            client,
            names: config.names,
            known_servers: RefCell::default(),
            endpoint_history: RefCell::default(),
            event_budget: RefCell::default(),
            entries: RefCell::default(),
            request_or_release_finished: Event::new(),
            drain_grace: config.drain_grace,
            health_checks_allowed: config.health_checks_allowed,
            discovery_address: Cell::new(config.discovery),
            discovery_address_changed: Event::new(),
        }));
        gateway.update_endpoints(EndpointList { scope: SnapshotKind::Cached, ..config.known });
        gateway.0.spawner.run(gateway.0.clone().run_timeouts());
        gateway
    }

    /// Accepts a request or returns the reason for its rejection. An accepted request gets exactly one final answer.
    pub fn accept(&self, new: NewSequence, request: ForwardedRequest) -> Result<Answer, Rejection> {
        let state = &self.0;
        let id = new.id;
        let (sender, events) = async_channel::bounded(MAX_QUEUED_EVENTS);
        let final_answer = Rc::new(Cell::new(None));
        let entry = RequestEntry {
            events: sender,
            final_answer: final_answer.clone(),
            attempt: AttemptSlot::default(),
            attempt_log: None,
            accepted_at: self.0.event_loop.now(),
        };
        let (resumed, prompt_tokens) = (new.resumed, new.prompt_tokens);
        let (session, prefix) = (new.session.map_or(0, |id| id.0), new.prefix.map_or(0, |id| id.0));
        let (mut commands, now) = (Vec::new(), state.event_loop.now());
        state.event_loop.requests_mut().accept(now, new, Rc::new(request), &mut commands)?;
        debug!(request_id = %RequestId(id), resumed, prompt_tokens, session, prefix, "request accepted");
        state.entries.borrow_mut().insert(id, entry);
        state.execute_all(commands);
        Ok(Answer { id, state: state.clone(), events, final_answer, completed: false })
    }

    /// Number of requests in the request table: requests in flight, and answered requests for which work remains.
    pub fn tracked(&self) -> usize {
        self.0.event_loop.requests().tracked()
    }

    /// Counts of events since the start.
    pub fn counts(&self) -> Counts {
        self.0.event_loop.requests().counts()
    }

    /// Number of violations of each invariant since the start. Any violation is a fault of this program.
    pub fn violations(&self) -> BTreeMap<Violation, u64> {
        self.0.event_loop.requests().violations().clone()
    }

    /// Counts an event and returns whether the event may be logged within the budget.
    pub fn may_log(&self, kind: EventKind) -> bool {
        self.0.may_log(kind)
    }

    /// Number of events of each kind since the start, and number of events that were not logged.
    pub fn events(&self) -> EventBudget {
        self.0.event_budget.borrow().clone()
    }

    /// Numbers of connections to model servers and of pending releases.
    pub fn connection_counts(&self) -> ConnectionCounts {
        let petrelshore_platform_engine_client::ConnectionCounts { open, idle } =
            self.0.client.connection_counts();
        let pending_releases = self.0.event_loop.requests().pending_releases();
        ConnectionCounts { open, idle, pending_releases }
    }

    /// The platform's names for the numeric ids of the scheduler, such as zones and server kinds.
    pub fn names(&self) -> &Names {
        &self.0.names
    }

    /// The clock of this gateway, the source of all its times.
    pub fn clock(&self) -> Clock {
        self.0.event_loop.clock()
    }

    /// The spawner of this gateway's tasks.
    pub fn spawner(&self) -> &Spawner {
        &self.0.spawner
    }
}
