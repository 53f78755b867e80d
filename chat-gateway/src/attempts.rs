//! Attempts at model servers. Each attempt has its own attempt task, which runs from the command that sends the attempt
//! to the end of the attempt.

use crate::answer::AnswerPart;
use crate::state::GatewayState;
use async_executor::Task;
use petrelshore::interface::{LoadReport, Nanos, SequenceId, ServerId, Step};
use petrelshore_engine_client::{CompletionRequest, DecodeStream, Load};
use petrelshore_gateway_core::Dispatch;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::buffered::{OutgoingAttempt, OutputStart, Piece};
use petrelshore_runtime::{Delivery, EventDriven};
use serde_json::value::RawValue;
use std::rc::Rc;
use std::time::Duration;

const NANOS_PER_SECOND: f64 = 1e9;

/// The way in which the stream of a decode attempt ended.
enum StreamEnd {
    /// The complete stream was received.
    Completed,
    /// The stream failed.
    Failed(AttemptEnd),
    /// The ingress no longer reads the answer, so the end of the attempt is not reported.
    Unread,
}

impl GatewayState {
    /// Starts the task of an attempt.
    pub(crate) fn send_attempt(self: &Rc<Self>, outgoing: OutgoingAttempt<Rc<RawValue>>) {
        let dispatch = outgoing.dispatch;
        let Some(address) = self.addresses.borrow().get(&dispatch.server).copied() else {
            return self.attempt_ended(dispatch, AttemptEnd::NotConnected, None);
        };
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&dispatch.id) else { return };
        let request = CompletionRequest {
            address,
            request_id: outgoing.request_id,
            model: entry.model.clone(),
            prompt: outgoing.prompt,
            max_tokens: outgoing.max_tokens,
            stop: entry.stop.clone(),
            sampling: entry.sampling.clone(),
            idempotency_key: outgoing.idempotency_key,
            transfer_params: outgoing.transfer_params,
            new_connection: dispatch.new_connection,
            connect_timeout: Duration::from_nanos(dispatch.connect_timeout),
            holds_cache: dispatch.holds_cache,
        };
        let state = self.clone();
        let task = self.spawner.spawn(async move {
            match dispatch.step {
                Step::Prefill => state.prefill(dispatch, request).await,
                Step::Decode | Step::MigratedDecode | Step::Combined => state.decode(dispatch, request).await,
            }
        });
        entry.attempt.start(dispatch.attempt, task);
    }

    /// Reports the proof that a running server has received the request of an attempt.
    fn attempt_delivered(&self, dispatch: &Dispatch) {
        self.event_loop.requests_mut().attempt_delivered(dispatch.id, dispatch.attempt);
    }

    /// Runs a prefill attempt, in its attempt task.
    async fn prefill(self: Rc<Self>, dispatch: Dispatch, request: CompletionRequest) {
        let reply = self.client.prefill(&request, &|| self.attempt_delivered(&dispatch)).await;
        let result = match reply.result {
            Ok(result) => result,
            Err(end) => return self.attempt_ended(dispatch, end, reply.load),
        };
        let cached_tokens = result.cached_tokens;
        self.log_attempt_end(&dispatch, AttemptEnd::PrefillDone { cached_tokens });
        self.load_reported(dispatch.server, reply.load);
        self.detach_attempt_task(dispatch.id, dispatch.attempt);
        self.apply(|requests, now, commands| {
            requests.prefill_done(now, &dispatch, cached_tokens, result.transfer_params, commands)
        });
    }

    /// Runs an attempt of any step that decodes, in its attempt task.
    async fn decode(self: Rc<Self>, dispatch: Dispatch, request: CompletionRequest) {
        let reply = self.client.decode(&request, &|| self.attempt_delivered(&dispatch)).await;
        let mut stream = match reply.result {
            Ok(stream) => stream,
            Err(end) => return self.attempt_ended(dispatch, end, reply.load),
        };
        self.load_reported(dispatch.server, reply.load);
        match self.forward_stream(dispatch, &mut stream).await {
            StreamEnd::Completed => {
                stream.return_connection();
                self.attempt_ended(dispatch, AttemptEnd::Completed, None);
            }
            StreamEnd::Failed(end) => self.attempt_ended(dispatch, end, None),
            StreamEnd::Unread => {}
        }
    }

    /// Forwards the pieces of a decode stream to the ingress until the stream ends.
    async fn forward_stream(self: &Rc<Self>, dispatch: Dispatch, stream: &mut DecodeStream) -> StreamEnd {
        let mut stream_started = false;
        loop {
            let piece = match stream.next().await {
                Ok(Some(piece)) => piece,
                Ok(None) => return StreamEnd::Completed,
                Err(end) => return StreamEnd::Failed(end),
            };
            if stream_started {
                let now = self.event_loop.now();
                self.event_loop.requests_mut().token_received(now, dispatch.id);
            } else {
                stream_started = true;
                if self.start_output(&dispatch).await == Delivery::Closed {
                    return StreamEnd::Unread;
                }
            }
            if self.forward_piece(dispatch.id, piece).await == Delivery::Closed {
                return StreamEnd::Unread;
            }
        }
    }

    /// Reports the first piece of an attempt. Tells the ingress if the texts of earlier attempts are void.
    async fn start_output(self: &Rc<Self>, dispatch: &Dispatch) -> Delivery {
        let mut start = OutputStart::Continues;
        self.apply(|requests, now, commands| start = requests.first_token(now, dispatch, commands));
        match start {
            OutputStart::Continues => Delivery::Delivered,
            OutputStart::Restarts => {
                self.log_answer_restarted(dispatch);
                self.forward_part(dispatch.id, AnswerPart::Restart).await
            }
        }
    }

    async fn forward_piece(self: &Rc<Self>, id: SequenceId, piece: Piece) -> Delivery {
        let text = match self.event_loop.requests_mut().receive_piece(id, piece) {
            Some(Some(text)) => text,
            Some(None) => return Delivery::Delivered,
            None => return Delivery::Closed,
        };
        self.forward_part(id, AnswerPart::Text(text)).await
    }

    async fn forward_part(self: &Rc<Self>, id: SequenceId, part: AnswerPart) -> Delivery {
        let sender = self.entries.borrow().get(&id).map(|entry| entry.parts.clone());
        match sender {
            Some(sender) => self.forward(id, &sender, part).await,
            None => Delivery::Closed,
        }
    }

    fn attempt_ended(self: &Rc<Self>, dispatch: Dispatch, end: AttemptEnd, load: Option<Load>) {
        self.log_attempt_end(&dispatch, end);
        self.load_reported(dispatch.server, load);
        self.detach_attempt_task(dispatch.id, dispatch.attempt);
        if end == AttemptEnd::NotConnected {
            let change = self.membership.borrow_mut().unreachable(self.event_loop.now(), dispatch.server);
            if let Some(change) = change {
                self.apply_endpoint_change(change);
            }
        }
        self.apply(|requests, now, commands| requests.attempt_ended(now, &dispatch, end, commands));
    }

    /// Takes the task of an attempt out of its request's entry, if this attempt is in flight.
    pub(crate) fn take_attempt_task(&self, id: SequenceId, attempt: usize) -> Option<Task<()>> {
        let mut entries = self.entries.borrow_mut();
        entries.get_mut(&id).and_then(|entry| entry.attempt.take(attempt))
    }

    /// Detaches the task of an attempt that reports its own end, so that the task can finish. A task that stayed in its
    /// entry would be cancelled as soon as the next attempt replaces it or the entry is removed.
    fn detach_attempt_task(&self, id: SequenceId, attempt: usize) {
        if let Some(task) = self.take_attempt_task(id, attempt) {
            task.detach();
        }
    }

    /// Handles a load report, which may also contain the start time of the server's process.
    fn load_reported(&self, server: ServerId, load: Option<Load>) {
        let Some(load) = load else { return };
        let now = self.event_loop.now();
        if let Some(seconds) = load.process_start_time_seconds {
            let started_at = (seconds * NANOS_PER_SECOND) as Nanos;
            let change = self.membership.borrow_mut().start_reported(now, server, started_at);
            if let Some(change) = change {
                self.apply_endpoint_change(change);
            }
        }
        if load.memory_share.is_some() || load.queued_prompt_tokens.is_some() {
            let report = LoadReport {
                memory_share: load.memory_share,
                queued_prompt_tokens: load.queued_prompt_tokens,
                in_flight: None,
            };
            self.event_loop.requests_mut().load_reported(now, server, report);
        }
    }
}
