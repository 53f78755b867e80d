//! The gRPC part of the client. The client reads frames as they arrive and manages HTTP/2 flow control itself.

use crate::client::{Observation, Question, shared_text};
use async_io::Timer;
use async_net::TcpStream;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::future;
use h2::client::{ResponseFuture, SendRequest};
use http::{HeaderMap, Request};
use petrelshore_emulator::record::{FinalOutcome, Nanos};
use petrelshore_grpc_api::{SERVICE, v1};
use prost::Message;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio_util::compat::FuturesAsyncReadCompatExt;
use tonic::{Code, Status};
use tonic_types::StatusExt;
use v1::chat_event::Event;

/// The budget of a connection for small DATA frames that wait to be read, in bytes.
const MAX_UNREAD_BYTES: usize = 64 << 20;

const STATUS_TRAILER: &str = "grpc-status";
/// The size of the compression flag and the length that precede each message.
const MESSAGE_PREFIX_BYTES: usize = 5;

/// Starts calls on a connection.
pub type Sender = SendRequest<Bytes>;
/// Drives a connection. A client has to poll it along with its calls.
pub type Driver = h2::client::Connection<tokio_util::compat::Compat<TcpStream>, Bytes>;

/// Opens a connection.
pub async fn connect(address: SocketAddr) -> Option<(Sender, Driver)> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    // With its default budget, h2 closes a connection on which many small messages wait to be read, as happens when the
    // client stalls a stream.
    h2::client::Builder::new().data_frame_budget(MAX_UNREAD_BYTES).handshake(stream.compat()).await.ok()
}

/// Encodes a message with its gRPC prefix.
pub fn framed(message: &impl Message) -> Bytes {
    let mut bytes = vec![0];
    bytes.extend_from_slice(&(message.encoded_len() as u32).to_be_bytes());
    bytes.extend_from_slice(&message.encode_to_vec());
    bytes.into()
}

/// Returns the request message for a question.
pub fn message(question: &Question) -> v1::ChatRequest {
    let text = |role: v1::Role, text: String| v1::Message { role: role.into(), text };
    v1::ChatRequest {
        model: question.model.clone(),
        messages: vec![text(v1::Role::System, shared_text()), text(v1::Role::User, question.text.clone())],
        max_tokens: Some(question.max_tokens as u32),
        ..Default::default()
    }
}

/// Sends a call and returns the future of its response.
pub async fn call(sender: &mut Sender, question: &Question) -> Option<ResponseFuture> {
    let path = format!("http://gateway/{SERVICE}/Stream");
    let mut request = Request::post(path).header("content-type", "application/grpc").header("te", "trailers");
    for (name, value) in &question.headers {
        request = request.header(*name, value);
    }
    future::poll_fn(|context| sender.poll_ready(context)).await.ok()?;
    let (response, mut body) = sender.send_request(request.body(()).ok()?, false).ok()?;
    body.send_data(framed(&message(question)), true).ok()?;
    Some(response)
}

/// Sends a question on a new connection and reads the stream to its end, but disconnects after `timeout`.
pub async fn exchange(address: SocketAddr, question: &Question, timeout: Duration) -> Observation {
    let started = Instant::now();
    let mut observation = Observation::nothing();
    let exchange = async {
        let Some((mut sender, driver)) = connect(address).await else { return false };
        let call = async {
            let Some(response) = call(&mut sender, question).await else { return };
            read(response, started, &mut observation).await;
        };
        let drive = async {
            let _ = driver.await;
            // The connection has ended, but the call still reads the data that was received before.
            future::pending().await
        };
        future::or(call, drive).await;
        false
    };
    let disconnected = future::or(exchange, async {
        Timer::after(timeout).await;
        true
    })
    .await;
    observation.took = started.elapsed().as_nanos() as Nanos;
    if disconnected && observation.outcome == FinalOutcome::NoResponse {
        observation.outcome = FinalOutcome::Disconnected;
    }
    observation
}

/// Reads a response up to its trailers.
pub async fn read(response: ResponseFuture, started: Instant, observation: &mut Observation) {
    read_with(response, started, observation, |_| ()).await;
}

/// Like [`read`], and calls `on_tokens` with the number of tokens each time that tokens are received.
pub async fn read_with(
    response: ResponseFuture,
    started: Instant,
    observation: &mut Observation,
    mut on_tokens: impl FnMut(u64),
) {
    let Ok(response) = response.await else { return };
    let mut ended = false;
    if response.headers().contains_key(STATUS_TRAILER) {
        return read_status(response.headers(), ended, observation);
    }
    let (mut body, mut buffer, mut last) = (response.into_body(), BytesMut::new(), 0);
    while let Some(data) = body.data().await {
        let Ok(data) = data else { return };
        let _ = body.flow_control().release_capacity(data.len());
        buffer.extend_from_slice(&data);
        let Some(tokens) = read_events(&mut buffer, &mut ended, observation) else { return };
        observation.count_tokens(started.elapsed().as_nanos() as Nanos, tokens, &mut last);
        if tokens > 0 {
            on_tokens(tokens);
        }
    }
    if let Ok(Some(trailers)) = body.trailers().await {
        read_status(&trailers, ended, observation);
    }
}

/// Reads all complete events of a buffer. Returns their number of tokens, or `None` if an event is invalid.
fn read_events(buffer: &mut BytesMut, ended: &mut bool, observation: &mut Observation) -> Option<u64> {
    let mut tokens = 0;
    while let Some(message) = next_message(buffer) {
        let event = v1::ChatEvent::decode(message).ok()?;
        observation.after_final |= *ended;
        match event.event {
            Some(Event::Text(text)) => {
                tokens += 1;
                observation.body.push_str(&text);
            }
            Some(Event::End(_)) => *ended = true,
            _ => {}
        }
    }
    Some(tokens)
}

/// Removes the next message from a buffer, if the message is complete.
fn next_message(buffer: &mut BytesMut) -> Option<Bytes> {
    let length = (buffer.get(1..MESSAGE_PREFIX_BYTES)?).get_u32() as usize;
    if buffer.len() < MESSAGE_PREFIX_BYTES + length {
        return None;
    }
    buffer.advance(MESSAGE_PREFIX_BYTES);
    Some(buffer.split_to(length).freeze())
}

fn read_status(trailers: &HeaderMap, ended: bool, observation: &mut Observation) {
    let Some(status) = Status::from_header_map(trailers) else { return };
    observation.status = status.code() as u16;
    observation.code = status.get_details_error_info().map(|info| info.reason.to_lowercase());
    let pushback = trailers.get("grpc-retry-pushback-ms").and_then(|value| value.to_str().ok()?.parse().ok());
    // gRPC clients retry automatically only after these codes, and only if the server's pushback allows a retry.
    let may_retry = matches!(status.code(), Code::Unavailable | Code::ResourceExhausted);
    observation.retry_after = pushback.filter(|_| may_retry).map(Duration::from_millis);
    observation.outcome = match status.code() {
        Code::Ok if ended => FinalOutcome::Completed,
        Code::Ok => FinalOutcome::NoResponse,
        _ => observation.outcome_by_code().unwrap_or(FinalOutcome::NotAccepted),
    };
}
