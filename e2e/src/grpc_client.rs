//! The gRPC side of the client: frames read as they come, with its own end of flow control.

use crate::client::{Question, Seen, shared_text};
use async_io::Timer;
use async_net::TcpStream;
use bytes::{Buf, BytesMut};
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

const UNREAD: usize = 64 << 20;

pub type Sender = SendRequest<bytes::Bytes>;
/// Moves a connection on; a client polls it beside its calls.
pub type Driver = h2::client::Connection<tokio_util::compat::Compat<TcpStream>, bytes::Bytes>;

pub async fn connect(to: SocketAddr) -> Option<(Sender, Driver)> {
    let stream = TcpStream::connect(to).await.ok()?;
    stream.set_nodelay(true).ok()?;
    // The library ends connections on which many small messages wait to be read, as those of a stalled stream do.
    h2::client::Builder::new().data_frame_budget(UNREAD).handshake(stream.compat()).await.ok()
}

/// A request message with its head before it, as it goes out.
pub fn framed(message: &impl Message) -> bytes::Bytes {
    let mut bytes = vec![0];
    bytes.extend_from_slice(&(message.encoded_len() as u32).to_be_bytes());
    bytes.extend_from_slice(&message.encode_to_vec());
    bytes.into()
}

pub fn message(question: &Question) -> v1::ChatRequest {
    let text = |role: v1::Role, text: String| v1::Message { role: role.into(), text };
    v1::ChatRequest {
        model: question.model.clone(),
        messages: vec![text(v1::Role::System, shared_text()), text(v1::Role::User, question.text.clone())],
        max_tokens: Some(question.max_tokens as u32),
        ..Default::default()
    }
}

/// Sends a call; its answer is still to come.
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

/// Puts a question on a connection of its own and reads until its end, or until `leave_after`.
pub async fn exchange(to: SocketAddr, question: &Question, leave_after: Duration) -> Seen {
    let started = Instant::now();
    let mut seen = Seen::nothing();
    let talk = async {
        let Some((mut sender, driver)) = connect(to).await else { return false };
        let asked = async {
            let Some(response) = call(&mut sender, question).await else { return };
            read(response, started, &mut seen).await;
        };
        let drive = async {
            let _ = driver.await;
            // What has come is read to its end.
            future::pending().await
        };
        future::or(asked, drive).await;
        false
    };
    let left = future::or(talk, async {
        Timer::after(leave_after).await;
        true
    })
    .await;
    seen.took = started.elapsed().as_nanos() as Nanos;
    if left && seen.finished == FinalOutcome::NoResponse {
        seen.finished = FinalOutcome::Disconnected;
    }
    seen
}

/// Reads an answer to its trailers.
pub async fn read(response: ResponseFuture, started: Instant, seen: &mut Seen) {
    read_with(response, started, seen, |_| ()).await;
}

/// The same, telling how many tokens came together each time.
pub async fn read_with(
    response: ResponseFuture,
    started: Instant,
    seen: &mut Seen,
    mut came: impl FnMut(u64),
) {
    let Ok(response) = response.await else { return };
    let mut ended = false;
    if response.headers().contains_key("grpc-status") {
        return judge(response.headers(), ended, seen);
    }
    let (mut body, mut part, mut last) = (response.into_body(), BytesMut::new(), 0);
    loop {
        match body.data().await {
            Some(Ok(bytes)) => {
                let _ = body.flow_control().release_capacity(bytes.len());
                part.extend_from_slice(&bytes);
            }
            Some(Err(_)) => return,
            None => break,
        }
        let mut tokens = 0;
        while part.len() >= 5 && part.len() >= 5 + (&part[1..5]).get_u32() as usize {
            part.advance(1);
            let length = part.get_u32() as usize;
            let Ok(event) = v1::ChatEvent::decode(part.split_to(length).freeze()) else { return };
            seen.after_final |= ended;
            match event.event {
                Some(Event::Text(text)) => {
                    tokens += 1;
                    seen.body.push_str(&text);
                }
                Some(Event::End(_)) => ended = true,
                _ => {}
            }
        }
        seen.came(started.elapsed().as_nanos() as Nanos, tokens, &mut last);
        if tokens > 0 {
            came(tokens);
        }
    }
    if let Ok(Some(trailers)) = body.trailers().await {
        judge(&trailers, ended, seen);
    }
}

fn judge(trailers: &HeaderMap, ended: bool, seen: &mut Seen) {
    let Some(status) = Status::from_header_map(trailers) else { return };
    seen.status = status.code() as u16;
    seen.code = status.get_details_error_info().map(|info| info.reason.to_lowercase());
    let pushback = trailers.get("grpc-retry-pushback-ms").and_then(|value| value.to_str().ok()?.parse().ok());
    // Clients send again by themselves after these codes only, and not against a pushback.
    let again = matches!(status.code(), Code::Unavailable | Code::ResourceExhausted);
    seen.retry_after = pushback.filter(|_| again).map(Duration::from_millis);
    seen.finished = match status.code() {
        Code::Ok if ended => FinalOutcome::Completed,
        Code::Ok => FinalOutcome::NoResponse,
        _ => seen.judged_by_code().unwrap_or(FinalOutcome::NotAccepted),
    };
}
