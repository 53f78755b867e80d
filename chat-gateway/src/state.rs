//! What the tasks of a gateway share.

use async_channel::Sender;
use event_listener::Event;
use petrelshore::interface::{SequenceId, ServerId};
use petrelshore_engine_client::Client;
use petrelshore_gateway_core::buffered::{BufferedRequests, FinalAnswer};
use petrelshore_gateway_core::event_budget::EventBudget;
use petrelshore_inventory::{ChangeGuard, Membership};
use petrelshore_runtime::{AttemptSlot, EventLoop, Spawner};
use petrelshore_settings::Settings;
use serde_json::value::RawValue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// The request table; KV transfer parameters pass through it as raw JSON.
pub(crate) type Requests = BufferedRequests<Rc<RawValue>>;

/// A request in flight, as far as its sockets and its ingress go. Made by the ingress's task that has it accepted, and
/// removed when that drops its [`Answer`](crate::Answer).
pub(crate) struct RequestEntry {
    pub(crate) stop: Rc<[String]>,
    pub(crate) sampling: Rc<serde_json::Map<String, serde_json::Value>>,
    pub(crate) model: Rc<str>,
    /// To the [`Answer`](crate::Answer). Filled by the attempt task; closed by the final answer.
    pub(crate) texts: Sender<String>,
    /// Set once, before `texts` is closed; taken by the [`Answer`](crate::Answer).
    pub(crate) final_answer: Option<FinalAnswer>,
    /// Notified when `final_answer` is set.
    pub(crate) completed: Rc<Event>,
    /// Filled when an attempt is sent; emptied by its attempt task at its end, or by whoever cancels it.
    pub(crate) attempt: AttemptSlot,
}

/// State shared by the tasks of one gateway and by the ingress, all on one thread. No borrow is held across an await.
pub(crate) struct GatewayState {
    pub(crate) settings: Settings,
    /// The request table and what drives it. Every task applies its events.
    pub(crate) event_loop: EventLoop<Requests>,
    pub(crate) spawner: Spawner,
    pub(crate) client: Client,
    pub(crate) event_budget: RefCell<EventBudget>,
    /// The endpoint list. Changed when it is reloaded, and by attempt tasks that learn of a server's start or absence.
    pub(crate) membership: RefCell<Membership>,
    /// Changed when the list is reloaded.
    pub(crate) guard: RefCell<ChangeGuard>,
    /// Where the listed servers are reached. Replaced with each full or cached list.
    pub(crate) addresses: RefCell<BTreeMap<ServerId, SocketAddr>>,
    /// Where servers were reached that are listed no more, the last to leave at the end: they may run on. Changed with
    /// `addresses`.
    pub(crate) former_addresses: RefCell<VecDeque<(ServerId, SocketAddr)>>,
    /// Added to by the ingress's tasks on acceptance and removed by them; changed by whichever task executes commands.
    pub(crate) entries: RefCell<HashMap<SequenceId, RequestEntry>>,
    /// Whether a store task runs. Set by the reload that starts one, cleared by the store task.
    pub(crate) storing_list: Cell<bool>,
    /// Notified when a request has its final answer, and when its client has left.
    pub(crate) request_finished: Event,
    /// Notified when nothing further is accepted.
    pub(crate) draining: Event,
}
