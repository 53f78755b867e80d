//! Receives the request of one call, and sends its response as fast as the client reads.

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

/// The content type of gRPC.
pub const CONTENT_TYPE: &str = "application/grpc";

/// Receives the request of one call and sends its response.
pub struct Responder {
    stream: StreamGuard,
    respond: SendResponse<Bytes>,
    /// The body of the response, once the head has been sent.
    body: Option<SendStream<Bytes>>,
    /// The time at which a call without a complete answer is aborted; `None` if the client has set no timeout.
    pub completion_deadline: Option<Nanos>,
}

impl Responder {
    /// Creates a responder that has sent nothing yet.
    pub fn new(stream: StreamGuard, respond: SendResponse<Bytes>) -> Self {
        Responder { stream, respond, body: None, completion_deadline: None }
    }

    /// The state that the calls of this connection share.
    pub fn connection(&self) -> &ConnectionContext {
        &self.stream.connection
    }

    /// The gateway that answers the call.
    pub fn gateway(&self) -> &Gateway {
        &self.stream.connection.gateway
    }

    /// Receives the only message of a unary request, within the body timeout and before the client's deadline.
    pub async fn receive_only<M: Message + Default>(
        &mut self,
        requests: &mut RequestStream,
    ) -> Result<M, RpcError> {
        let clock = self.connection().peer_state.clock;
        let body_deadline = clock.now() + self.gateway().settings().limits.body_time;
        let deadline =
            self.completion_deadline.map_or(body_deadline, |completion| completion.min(body_deadline));
        let deadline = clock.instant(deadline);
        let expired = async {
            Timer::at(deadline).await;
            let message = "the request was not complete in time";
            Err(RequestError::new(RequestErrorKind::ReceiveTimeout, message).into())
        };
        let message = self.unless_disconnected(future::or(requests.next_message(), expired)).await??;
        message.ok_or_else(|| RequestError::new(RequestErrorKind::Malformed, "the message is missing").into())
    }

    fn poll_disconnected(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let reset = match &mut self.body {
            Some(body) => body.poll_reset(context),
            None => self.respond.poll_reset(context),
        };
        reset.map(|_| ())
    }

    /// Returns an error if the client has reset the stream or disconnected.
    pub fn ensure_connected(&mut self) -> Result<(), RpcError> {
        let mut context = Context::from_waker(Waker::noop());
        match self.poll_disconnected(&mut context) {
            Poll::Ready(()) => Err(RpcError::ClientDisconnected),
            Poll::Pending => Ok(()),
        }
    }

    /// Returns the output of `work`, or an error if the client disconnects first.
    pub async fn unless_disconnected<T>(&mut self, work: impl Future<Output = T>) -> Result<T, RpcError> {
        let disconnected = async {
            std::future::poll_fn(|context| self.poll_disconnected(context)).await;
            Err(RpcError::ClientDisconnected)
        };
        future::or(async { Ok(work.await) }, disconnected).await
    }

    /// Sends the head of a response, with the request's id if there is one.
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

    /// Sends the head and the only message of a unary response.
    pub async fn send_only(&mut self, message: &impl Message) -> Result<(), RpcError> {
        self.send_head(None)?;
        self.send(message::encode(message), None).await
    }

    /// Sends bytes as flow control allows. If `answer` fails while bytes wait for flow control, these bytes are dropped
    /// and the failure is returned.
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

    /// Waits until flow control allows at least one byte. Returns how many of `bytes` bytes may be sent.
    async fn capacity(&mut self, bytes: usize, answer: Option<&mut Answer>) -> Result<usize, RpcError> {
        let body = self.body.as_mut().ok_or(RpcError::ClientDisconnected)?;
        let sendable = self.stream.connection.peer_state.flow_control.borrow().sendable(self.stream.id);
        body.reserve_capacity(bytes.min(sendable));
        match body.capacity().min(bytes).min(sendable) {
            0 => self.wait_for_capacity(bytes, answer).await,
            capacity => Ok(capacity),
        }
    }

    /// Waits for capacity in the client's flow-control windows. A client that never grants any capacity still gets its
    /// status, since trailers are not subject to flow control.
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

    /// Waits for the reserved capacity or a part of it. Returns its size in bytes.
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

    /// Rejects a request that is not a gRPC call, with an HTTP status.
    pub fn reject(mut self, status: StatusCode) {
        let mut response = Response::new(());
        *response.status_mut() = status;
        let _ = self.respond.send_response(response, true);
    }
}

fn trailers(status: &Status) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    if status.add_header(&mut trailers).is_err() {
        // The message can't be encoded in a header, so only the code is sent.
        let code = HeaderValue::from(status.code() as i32);
        trailers = HeaderMap::from_iter([(HeaderName::from_static("grpc-status"), code)]);
    }
    trailers
}

/// The time at which a response without progress is aborted, and the reason.
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
