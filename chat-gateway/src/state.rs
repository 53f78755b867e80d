//! The state that the tasks of a gateway share.

use crate::answer::AnswerPart;
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

/// The request table. KV transfer parameters pass through the table as raw JSON.
pub(crate) type Requests = BufferedRequests<Rc<RawValue>>;

/// The data of a request that its attempt task and its ingress use. The entry is added when an ingress task has the
/// request accepted, and removed when that task drops the [`Answer`](crate::Answer).
pub(crate) struct RequestEntry {
    pub(crate) stop: Rc<[String]>,
    pub(crate) sampling: Rc<serde_json::Map<String, serde_json::Value>>,
    pub(crate) model: Rc<str>,
    /// The channel to the [`Answer`](crate::Answer). The attempt task sends parts; the final answer closes the channel.
    pub(crate) parts: Sender<AnswerPart>,
    /// The final answer, set once, before `parts` is closed. The [`Answer`](crate::Answer) takes it.
    pub(crate) final_answer: Option<FinalAnswer>,
    /// Notified when `final_answer` is set.
    pub(crate) final_answer_set: Rc<Event>,
    /// The task of the attempt in flight: added when the attempt is sent, and removed by the attempt task at its end or
    /// by the task that cancels the attempt.
    pub(crate) attempt: AttemptSlot,
}

/// State shared by the tasks of one gateway and of its ingress, all on one thread. No borrow is held across an await.
pub(crate) struct GatewayState {
    pub(crate) settings: Settings,
    /// The request table with its clock and timer. Every task applies its events through the event loop.
    pub(crate) event_loop: EventLoop<Requests>,
    pub(crate) spawner: Spawner,
    pub(crate) client: Client,
    pub(crate) event_budget: RefCell<EventBudget>,
    /// The endpoint list. Changed by a reload, and by attempt tasks that find that a server has restarted or is
    /// unreachable.
    pub(crate) membership: RefCell<Membership>,
    /// Rejects implausible changes of the endpoint list. Changed by a reload.
    pub(crate) change_guard: RefCell<ChangeGuard>,
    /// The addresses of the listed servers. Replaced with each full or cached list.
    pub(crate) addresses: RefCell<BTreeMap<ServerId, SocketAddr>>,
    /// The last known addresses of servers that are no longer listed, the most recently removed ones at the end. These
    /// servers may still run. Changed together with `addresses`.
    pub(crate) former_addresses: RefCell<VecDeque<(ServerId, SocketAddr)>>,
    /// The entries of all requests. Ingress tasks add and remove entries; any task that executes commands changes them.
    pub(crate) entries: RefCell<HashMap<SequenceId, RequestEntry>>,
    /// True while a store task runs. Set by the reload that starts the task, cleared by the task.
    pub(crate) store_task_running: Cell<bool>,
    /// Notified when a request has its final answer, and when an ingress drops an answer.
    pub(crate) request_finished: Event,
    /// Notified when the gateway starts to drain.
    pub(crate) draining: Event,
}
