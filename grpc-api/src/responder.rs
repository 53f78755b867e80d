//! The client's side of one call: its request received, its response sent as far as the client reads.

use crate::error::RpcError;
use crate::frame_observer::PeerState;
use crate::message::{self, RequestStream};
use crate::status;
use crate::stream::{ConnectionContext, StreamGuard};
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use h2::SendStream;
use h2::server::SendResponse;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use petrelshore::interface::Nanos;
use petrelshore_chat_gateway::{Answer, Gateway};
use petrelshore_gateway_core::{FailureReason, timeouts};
use petrelshore_ingress::error::{RequestError, RequestErrorKind};
use prost::Message;
use std::task::{Context, Poll, Waker};
use tonic::Status;

/// The content type of the protocol.
pub const CONTENT_TYPE: &str = "application/grpc";

/// Receives the request of one call and sends its response.
pub struct Responder {
    stream: StreamGuard,
    respond: SendResponse<Bytes>,
    /// The response's body, once its head has been sent.
    body: Option<SendStream<Bytes>>,
    /// When the complete answer is given up, where the client said so.
    pub completion_deadline: Option<Nanos>,
}

impl Responder {
    /// A responder that has sent nothing.
    pub fn new(stream: StreamGuard, respond: SendResponse<Bytes>) -> Self {
        Responder { stream, respond, body: None, completion_deadline: None }
    }

    /// What the calls of this connection share.
    pub fn connection(&self) -> &ConnectionContext {
        &self.stream.connection
    }

    /// The gateway that answers the call.
    pub fn gateway(&self) -> &Gateway {
        &self.stream.connection.gateway
    }

    /// Receives the one message of a unary request, within the time that a request may take.
    pub async fn receive_only<M: Message + Default>(
        &mut self,
        requests: &mut RequestStream,
    ) -> Result<M, RpcError> {
        let clock = self.connection().peer_state.clock;
        let body_deadline = clock.now() + self.gateway().settings().limits.body_time;
        let deadline = self.completion_deadline.map_or(body_deadline, |by| by.min(body_deadline));
        let deadline = clock.instant(deadline);
        let expired = async {
            Timer::at(deadline).await;
            let message = "the request was not whole in time";
            Err(RequestError::new(RequestErrorKind::ReceiveTimeout, message).into())
        };
        let message = self.unless_disconnected(future::or(requests.next_message(), expired)).await??;
        message
            .ok_or_else(|| RequestError::new(RequestErrorKind::Malformed, "the call has no message").into())
    }

    fn poll_disconnected(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let reset = match &mut self.body {
            Some(body) => body.poll_reset(context),
            None => self.respond.poll_reset(context),
        };
        reset.map(|_| ())
    }

    /// Fails if the client has reset the stream or disconnected by now.
    pub fn ensure_connected(&mut self) -> Result<(), RpcError> {
        let mut context = Context::from_waker(Waker::noop());
        match self.poll_disconnected(&mut context) {
            Poll::Ready(()) => Err(RpcError::ClientDisconnected),
            Poll::Pending => Ok(()),
        }
    }

    /// The outcome of some work, unless the client disconnects before it.
    pub async fn unless_disconnected<T>(&mut self, work: impl Future<Output = T>) -> Result<T, RpcError> {
        let disconnected = async {
            std::future::poll_fn(|context| self.poll_disconnected(context)).await;
            Err(RpcError::ClientDisconnected)
        };
        future::or(async { Ok(work.await) }, disconnected).await
    }

    /// Sends the head of a response, with the request's id if it has one.
    pub fn send_head(&mut self, request_id: Option<&str>) -> Result<(), RpcError> {
        let mut response = Response::new(());
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
        if let Some(Ok(request_id)) = request_id.map(HeaderValue::from_str) {
            response.headers_mut().insert("x-request-id", request_id);
        }
        let body = self.respond.send_response(response, false);
        self.body = Some(body.map_err(|_| RpcError::ClientDisconnected)?);
        Ok(())
    }

    /// Sends the head and the one message of a unary response.
    pub async fn send_only(&mut self, message: &impl Message) -> Result<(), RpcError> {
        self.send_head(None)?;
        self.send(message::encode(message), None).await
    }

    /// Sends bytes as flow control allows. If the gateway gives up `answer` while they wait, they are dropped.
    pub async fn send(&mut self, mut bytes: Bytes, mut answer: Option<&mut Answer>) -> Result<(), RpcError> {
        while !bytes.is_empty() {
            let capacity = self.capacity(bytes.len(), answer.as_deref_mut()).await?;
            let part = bytes.split_to(capacity);
            let peer_state = &self.stream.connection.peer_state;
            let now = peer_state.clock.now();
            peer_state.flow_control.borrow_mut().data_sent(now, self.stream.id, part.len());
            peer_state.abuse.borrow_mut().frame_sent();
            let body = self.body.as_mut().ok_or(RpcError::ClientDisconnected)?;
            body.send_data(part, false).map_err(|_| RpcError::ClientDisconnected)?;
        }
        Ok(())
    }

    /// How many of so many bytes may be sent now; at least one.
    async fn capacity(&mut self, bytes: usize, answer: Option<&mut Answer>) -> Result<usize, RpcError> {
        let body = self.body.as_mut().ok_or(RpcError::ClientDisconnected)?;
        let sendable = self.stream.connection.peer_state.flow_control.borrow().sendable(self.stream.id);
        body.reserve_capacity(bytes.min(sendable));
        match body.capacity().min(bytes).min(sendable) {
            0 => self.wait_for_capacity(bytes, answer).await,
            capacity => Ok(capacity),
        }
    }

    /// Waits for capacity in the client's windows. A client that never gives any gets its status all the same, since
    /// trailers are not subject to flow control.
    async fn wait_for_capacity(
        &mut self,
        bytes: usize,
        answer: Option<&mut Answer>,
    ) -> Result<usize, RpcError> {
        let peer_state = self.stream.connection.peer_state.clone();
        let clock = peer_state.clock;
        let timeout = SendTimeout::new(clock.now(), self.completion_deadline);
        let reset = self.stream.reset.clone();
        let capacity = self.capacity_from_window_updates(&peer_state, bytes);
        let wait_for_failure = async {
            let Some(answer) = answer else { return future::pending().await };
            Err(RpcError::from_final_answer(&answer.wait_for_failure().await))
        };
        let reset = async {
            reset.notified().await;
            Err(RpcError::aborted(FailureReason::ClientStalled))
        };
        let expired = async {
            Timer::at(clock.instant(timeout.deadline)).await;
            Err(RpcError::aborted(timeout.reason))
        };
        future::or(capacity, future::or(wait_for_failure, future::or(reset, expired))).await
    }

    async fn capacity_from_window_updates(
        &mut self,
        peer_state: &PeerState,
        bytes: usize,
    ) -> Result<usize, RpcError> {
        loop {
            let window_updated = peer_state.window_updated.listen();
            let sendable = peer_state.flow_control.borrow().sendable(self.stream.id).min(bytes);
            if sendable == 0 {
                self.unless_disconnected(window_updated).await?;
                continue;
            }
            let body = self.body.as_mut().ok_or(RpcError::ClientDisconnected)?;
            body.reserve_capacity(sendable);
            return self.reserved_capacity().await.map(|capacity| capacity.min(sendable));
        }
    }

    /// Waits for the capacity that was reserved, or a part of it.
    async fn reserved_capacity(&mut self) -> Result<usize, RpcError> {
        let body = self.body.as_mut().ok_or(RpcError::ClientDisconnected)?;
        let poll_capacity = |context: &mut Context<'_>| {
            if body.poll_reset(context).is_ready() {
                return Poll::Ready(Err(RpcError::ClientDisconnected));
            }
            loop {
                if body.capacity() > 0 {
                    return Poll::Ready(Ok(body.capacity()));
                }
                match body.poll_capacity(context) {
                    Poll::Ready(Some(Ok(_))) => {}
                    Poll::Ready(_) => return Poll::Ready(Err(RpcError::ClientDisconnected)),
                    Poll::Pending => return Poll::Pending,
                }
            }
        };
        std::future::poll_fn(poll_capacity).await
    }

    /// Ends the call with its status.
    pub fn finish(mut self, outcome: Result<(), RpcError>) {
        let status = match outcome {
            Ok(()) => Status::ok(""),
            Err(RpcError::Call(error)) => status::from_call_error(&error),
            Err(RpcError::Status(status)) => status,
            Err(RpcError::ClientDisconnected) => return,
        };
        let mut trailers = trailers(&status);
        match &mut self.body {
            Some(body) => {
                body.reserve_capacity(0);
                let _ = body.send_trailers(trailers);
            }
            None => {
                trailers.insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
                let mut response = Response::new(());
                *response.headers_mut() = trailers;
                let _ = self.respond.send_response(response, true);
            }
        }
    }

    /// Rejects what is not a call of this protocol, with an HTTP status.
    pub fn reject(mut self, status: StatusCode) {
        let mut response = Response::new(());
        *response.status_mut() = status;
        let _ = self.respond.send_response(response, true);
    }
}

fn trailers(status: &Status) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    if status.add_header(&mut trailers).is_err() {
        // Its message could not be put into a header; its code always can.
        let code = HeaderValue::from(status.code() as i32);
        trailers = HeaderMap::from_iter([(HeaderName::from_static("grpc-status"), code)]);
    }
    trailers
}

/// When a response that makes no progress is given up, and why.
struct SendTimeout {
    deadline: Nanos,
    reason: FailureReason,
}

impl SendTimeout {
    fn new(now: Nanos, completion_deadline: Option<Nanos>) -> Self {
        let stall_deadline = now + timeouts::stall_timeout();
        match completion_deadline {
            Some(deadline) if deadline < stall_deadline => {
                SendTimeout { deadline, reason: FailureReason::DeadlineExceeded }
            }
            _ => SendTimeout { deadline: stall_deadline, reason: FailureReason::ClientStalled },
        }
    }
}
