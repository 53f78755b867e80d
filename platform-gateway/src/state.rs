//! State shared by the tasks of a gateway.

use crate::event_log::AttemptLog;
use crate::forwarded_request::ForwardedRequest;
use crate::known_servers::KnownServers;
use async_channel::Sender;
use bytes::Bytes;
use event_listener::Event;
use petrelshore::interface::{Nanos, SequenceId};
use petrelshore_gateway_core::endpoint_history::EndpointHistory;
use petrelshore_gateway_core::event_budget::EventBudget;
use petrelshore_gateway_core::passthrough::{FinalAnswer, PassthroughRequests};
use petrelshore_platform_engine_client::Client;
use petrelshore_platform_protocol::settings::Names;
use petrelshore_runtime::{AttemptSlot, EventLoop, Spawner};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The request table, which keeps each client's request until the first event of its answer.
pub(crate) type Requests = PassthroughRequests<Rc<ForwardedRequest>>;

/// The I/O state of a request in flight. Created by the ingress task that submits the request.
pub(crate) struct RequestEntry {
    /// Sends events to the [`Answer`](crate::Answer). Filled by the attempt task; closed when the final answer is given
    /// or the entry is removed.
    pub(crate) events: Sender<Bytes>,
    /// The final answer. Set once, before `events` is closed; read by the [`Answer`](crate::Answer). Comparing
    /// the pointers also distinguishes two successive requests with the same id.
    pub(crate) final_answer: Rc<Cell<Option<FinalAnswer>>>,
    /// The task of the attempt in flight. Set when the attempt is started; taken by the attempt task at its end, or
    /// when the attempt is cancelled.
    pub(crate) attempt: AttemptSlot,
    /// Log data of the last attempt that was started.
    pub(crate) attempt_log: Option<AttemptLog>,
    pub(crate) accepted_at: Nanos,
}

/// State shared by the tasks of one gateway and by the ingress, all on one thread. No task may hold a borrow across an
/// await.
pub(crate) struct GatewayState {
    /// The request table with its clock and timer. Every task applies its events to the table.
    pub(crate) event_loop: EventLoop<Requests>,
    pub(crate) spawner: Spawner,
    pub(crate) client: Client,
    pub(crate) names: Names,
    /// The names of the listed servers, for the log. Updated with the endpoint list; read wherever a server is logged.
    pub(crate) known_servers: RefCell<KnownServers>,
    /// Corrects endpoint lists that are older than lists that were applied before.
    pub(crate) endpoint_history: RefCell<EndpointHistory>,
    pub(crate) event_budget: RefCell<EventBudget>,
    /// The requests in flight. The ingress tasks add entries on acceptance; the task that executes a command changes or
    /// removes them.
    pub(crate) entries: RefCell<HashMap<SequenceId, RequestEntry>>,
    /// Notified when a request is removed and when a release task ends.
    pub(crate) request_or_release_finished: Event,
    pub(crate) drain_grace: Nanos,
    pub(crate) health_checks_allowed: bool,
    /// The address of the discovery agent. Set when the configuration is reloaded; read by the watch task.
    pub(crate) discovery_address: Cell<SocketAddr>,
    /// Notified when `discovery_address` has changed.
    pub(crate) discovery_address_changed: Event,
}
