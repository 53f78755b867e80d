//! The state that the calls of a connection share, and the guard that registers a call with its connection.

use crate::frame_observer::PeerState;
use crate::reflection::DescriptorIndex;
use event_listener::Event;
use petrelshore::interface::Nanos;
use petrelshore_chat_gateway::Gateway;
use petrelshore_gateway_core::flow_control::StreamId;
use petrelshore_ingress::listener::ClientGuard;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::debug;

/// The state that the calls of a connection share.
pub struct ConnectionContext {
    /// The gateway that answers the calls.
    pub gateway: Gateway,
    /// The client, which the ingress counts against its limits.
    pub client: ClientGuard,
    /// Abuse detection and flow control of the connection.
    pub peer_state: Rc<PeerState>,
    /// The descriptors that the reflection service returns.
    pub descriptors: Rc<DescriptorIndex>,
    streams: RefCell<BTreeMap<StreamId, Rc<ResetSignal>>>,
}

impl ConnectionContext {
    /// Creates the context of a connection without calls.
    pub fn new(
        gateway: Gateway,
        client: ClientGuard,
        peer_state: Rc<PeerState>,
        descriptors: Rc<DescriptorIndex>,
    ) -> Self {
        ConnectionContext { gateway, client, peer_state, descriptors, streams: RefCell::default() }
    }

    /// The time at which the connection must be checked even if no event has occurred.
    pub fn next_timeout(&self) -> Nanos {
        let flow_control = self.peer_state.flow_control.borrow().next_timeout().unwrap_or(Nanos::MAX);
        self.peer_state.abuse.borrow().next_timeout().min(flow_control)
    }

    /// Ends the call that blocks the connection's window, if any, so that the other calls can continue.
    pub fn reset_blocking_stream(&self, now: Nanos) {
        let Some(id) = self.peer_state.flow_control.borrow_mut().stream_to_reset(now) else { return };
        if let Some(reset) = self.streams.borrow().get(&id) {
            debug!(stream = id, peer = %self.client.peer, "stream reset to unblock its connection");
            reset.notify();
        }
    }
}

/// Signals one call to end, so that the other calls on its connection can continue.
#[derive(Default)]
pub struct ResetSignal {
    sent: Cell<bool>,
    event: Event,
}

impl ResetSignal {
    fn notify(&self) {
        self.sent.set(true);
        self.event.notify(usize::MAX);
    }

    /// Returns once the call has been signalled to end.
    pub async fn notified(&self) {
        let event = self.event.listen();
        if !self.sent.get() {
            event.await;
        }
    }
}

/// Registers a call with its connection until the guard is dropped.
pub struct StreamGuard {
    /// The state that the calls of the connection share.
    pub connection: Rc<ConnectionContext>,
    /// The id of the call's HTTP/2 stream.
    pub id: StreamId,
    /// Signals the call to end early.
    pub reset: Rc<ResetSignal>,
}

impl StreamGuard {
    /// Registers a new call with its connection.
    pub fn new(connection: Rc<ConnectionContext>, id: StreamId) -> Self {
        let reset = Rc::new(ResetSignal::default());
        connection.peer_state.abuse.borrow_mut().call_started();
        connection.peer_state.flow_control.borrow_mut().stream_opened(id);
        connection.streams.borrow_mut().insert(id, reset.clone());
        StreamGuard { connection, id, reset }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let peer_state = &self.connection.peer_state;
        peer_state.abuse.borrow_mut().call_ended(peer_state.clock.now());
        peer_state.flow_control.borrow_mut().stream_closed(self.id);
        self.connection.streams.borrow_mut().remove(&self.id);
    }
}
