//! Attempts at model servers. Each attempt has one attempt task, which runs from the command that starts the attempt
//! until the attempt ends.

use crate::event_log::{AttemptLog, RequestId};
use crate::forwarded_request::ForwardedRequest;
use crate::state::GatewayState;
use bytes::Bytes;
use petrelshore::interface::{LoadReport, Nanos, SequenceId, ServerId, Step};
use petrelshore_gateway_core::Dispatch;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::send_gate::{PendingSend, SendDenial};
use petrelshore_platform_engine_client::{
    AttemptRequest, ExchangeTrace, LivenessProbe, SendCheck, SendPermission, Stream,
};
use petrelshore_runtime::{Delivery, EventDriven};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// An attempt with the state that was known when it was scheduled.
#[derive(Clone, Copy)]
struct ScheduledAttempt {
    dispatch: Dispatch,
    address: SocketAddr,
    decided_at: Nanos,
    /// Start time of the server in the endpoint list when the attempt was scheduled.
    server_started_at: Option<Nanos>,
}

/// The reason why the forwarding of a decode stream ended.
enum StreamEnd {
    /// The attempt ended, which must be reported to the request table.
    Ended(AttemptEnd),
    /// The ingress no longer reads the answer: the client has left or has its final answer. Nothing is reported, since
    /// the request table already knows that the answer has ended.
    AnswerClosed,
}

impl GatewayState {
    /// Starts the attempt task of an attempt.
    pub(crate) fn send_attempt(
        self: &Rc<Self>,
        dispatch: Dispatch,
        address: Option<SocketAddr>,
        request: Option<Rc<ForwardedRequest>>,
    ) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&dispatch.id) else { return };
        let Dispatch { id, attempt, server, step, timeout, .. } = dispatch;
        let timeout_ms = timeout / NANOS_PER_MILLISECOND;
        let name = self.server_name(server);
        debug!(request_id = %RequestId(id), attempt, ?step, server = %name, timeout_ms, "attempt started");
        let state = self.clone();
        let server_started_at = self.event_loop.requests().server_started_at(server);
        let decided_at = self.event_loop.now();
        let log = AttemptLog { dispatch, decided_at, trace: Rc::default() };
        entry.attempt_log = Some(log.clone());
        let task = self.spawner.spawn(async move {
            let (Some(address), Some(request)) = (address, request) else {
                return state.attempt_ended(log, AttemptEnd::NotConnected, None);
            };
            let scheduled = ScheduledAttempt { dispatch, address, decided_at, server_started_at };
            let exchange = state.attempt_request(scheduled, &request, log.trace.clone());
            drop(request);
            match step {
                Step::Prefill => state.prefill(log, exchange).await,
                Step::Decode | Step::MigratedDecode | Step::Combined => state.decode(log, exchange).await,
            }
        });
        entry.attempt.start(attempt, task);
    }

    fn attempt_request(
        self: &Rc<Self>,
        scheduled: ScheduledAttempt,
        request: &ForwardedRequest,
        trace: Rc<ExchangeTrace>,
    ) -> AttemptRequest {
        let dispatch = &scheduled.dispatch;
        AttemptRequest {
            address: scheduled.address,
            target: request.target.clone(),
            id: request.id.clone(),
            fields: request.fields.clone(),
            body: request.body.clone(),
            timeout: dispatch.timeout,
            decided_at: scheduled.decided_at,
            connect_timeout: Duration::from_nanos(dispatch.connect_timeout),
            holds_cache: dispatch.holds_cache,
            probe: self.liveness_probe(),
            new_connection: dispatch.new_connection,
            send_check: self.send_check(scheduled, request),
            trace,
        }
    }

    /// The probe whose answer proves that a server's process is running: a release request for a finished request. If
    /// no request has finished yet, the probe is a health check, or `None` if the settings forbid health checks.
    fn liveness_probe(&self) -> Option<LivenessProbe> {
        if let Some(request_id) = self.event_loop.requests().finished_request_id() {
            return Some(LivenessProbe::ReleaseFinished { request_id: request_id.into() });
        }
        self.health_checks_allowed.then_some(LivenessProbe::HealthCheck)
    }

    /// Returns the check that decides, immediately before the first byte is written, whether the attempt may be sent.
    fn send_check(self: &Rc<Self>, scheduled: ScheduledAttempt, request: &ForwardedRequest) -> SendCheck {
        let (state, has_client_left) = (self.clone(), request.has_client_left.clone());
        Rc::new(move || {
            let ScheduledAttempt { dispatch, address, decided_at, server_started_at } = &scheduled;
            let pending = PendingSend {
                dispatch,
                decided_at: *decided_at,
                address: *address,
                server_started_at: *server_started_at,
                client_left: has_client_left(),
            };
            let permitted = state.event_loop.requests().may_send(state.event_loop.now(), &pending);
            let Err(reason) = permitted else { return SendPermission::Granted };
            state.log_denial(dispatch, reason);
            match reason {
                SendDenial::ClientLeft => SendPermission::ClientLeft,
                _ => SendPermission::Denied,
            }
        })
    }

    /// Records the proof that a running server has received the request of an attempt.
    fn attempt_delivered(&self, dispatch: &Dispatch) {
        debug!(request_id = %RequestId(dispatch.id), attempt = dispatch.attempt, "attempt delivered");
        self.event_loop.requests_mut().attempt_delivered(dispatch.id, dispatch.attempt);
    }

    /// The attempt task of a prefill.
    async fn prefill(self: Rc<Self>, log: AttemptLog, request: AttemptRequest) {
        let dispatch = log.dispatch;
        let reply = self.client.prefill(&request, &|| self.attempt_delivered(&dispatch)).await;
        let end = match reply.result {
            Ok(cached_tokens) => AttemptEnd::PrefillDone { cached_tokens },
            Err(AttemptEnd::ReturnedUnsent) => return self.client_left_before_send(dispatch.id),
            Err(end) => end,
        };
        self.attempt_ended(log, end, reply.load);
    }

    /// The attempt task of all steps that decode.
    async fn decode(self: Rc<Self>, log: AttemptLog, request: AttemptRequest) {
        let dispatch = log.dispatch;
        let reply = self.client.decode(&request, &|| self.attempt_delivered(&dispatch)).await;
        drop(request);
        let mut stream = match reply.result {
            Ok(stream) => stream,
            Err(AttemptEnd::ReturnedUnsent) => return self.client_left_before_send(dispatch.id),
            Err(end) => return self.attempt_ended(log, end, reply.load),
        };
        self.load_reported(dispatch.server, reply.load);
        if let StreamEnd::Ended(end) = self.forward_stream(dispatch, &mut stream).await {
            self.attempt_ended(log, end, stream.load);
        }
    }

    async fn forward_stream(self: &Rc<Self>, dispatch: Dispatch, stream: &mut Stream) -> StreamEnd {
        let mut stream_started = false;
        loop {
            let events = match stream.next().await {
                Ok(Some(events)) => events,
                Ok(None) if stream_started => return StreamEnd::Ended(AttemptEnd::Completed),
                Ok(None) => return StreamEnd::Ended(AttemptEnd::Malformed),
                Err(end) => return StreamEnd::Ended(end),
            };
            if stream_started {
                let now = self.event_loop.now();
                self.event_loop.requests_mut().token_received(now, dispatch.id);
            } else {
                stream_started = true;
                self.apply(|requests, now, commands| requests.first_token(now, &dispatch, commands));
            }
            if self.forward_events(dispatch.id, events).await == Delivery::Closed {
                return StreamEnd::AnswerClosed;
            }
        }
    }

    async fn forward_events(self: &Rc<Self>, id: SequenceId, events: Bytes) -> Delivery {
        let sender = self.entries.borrow().get(&id).map(|entry| entry.events.clone());
        match sender {
            Some(sender) => self.forward(id, &sender, events).await,
            None => Delivery::Closed,
        }
    }

    /// Handles a client that left before its attempt was sent. No attempt is sent for the request any more.
    fn client_left_before_send(self: &Rc<Self>, id: SequenceId) {
        debug!(request_id = %RequestId(id), "client disconnected before its attempt was sent");
        self.apply(|requests, now, commands| requests.client_cancelled(now, id, commands));
    }

    fn attempt_ended(self: &Rc<Self>, log: AttemptLog, end: AttemptEnd, load: Option<LoadReport>) {
        self.log_attempt_end(&log, end);
        let dispatch = log.dispatch;
        let Dispatch { id, attempt, server, .. } = dispatch;
        self.load_reported(server, load);
        let mut entries = self.entries.borrow_mut();
        let own_task = entries.get_mut(&id).and_then(|entry| entry.attempt.take(attempt));
        drop(entries);
        // This code runs in the attempt task itself. Dropping the task here would cancel it before its end.
        if let Some(task) = own_task {
            task.detach();
        }
        self.apply(|requests, now, commands| requests.attempt_ended(now, &dispatch, end, commands));
    }

    fn load_reported(&self, server: ServerId, load: Option<LoadReport>) {
        let Some(report) = load else { return };
        let LoadReport { memory_share, queued_prompt_tokens, in_flight } = report;
        debug!(server = %self.server_name(server), memory_share, queued_prompt_tokens, in_flight, "load reported");
        let now = self.event_loop.now();
        self.event_loop.requests_mut().load_reported(now, server, report);
    }
}
