//! Serves the HTTP/2 connections of clients: accepts calls, closes a connection on abuse or when it is idle, and shuts
//! it down gracefully when the gateway drains.

use crate::dispatch;
use crate::frame_observer::{FrameObserver, PeerState};
use crate::reflection::DescriptorIndex;
use crate::stream::{ConnectionContext, StreamGuard};
use async_io::Timer;
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, future};
use h2::server::{Builder, Connection, SendResponse};
use h2::{Ping, PingPong, Reason, RecvStream};
use http::Request;
use petrelshore_chat_gateway::Gateway;
use petrelshore_gateway_core::http2_abuse::{Abuse, KeepaliveAction};
use petrelshore_ingress::listener::{ClientGuard, Ingress, Listener, stall_timeout};
use petrelshore_ingress::stall::StallGuard;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};
use tracing::debug;

const MAX_HEADER_LIST_BYTES: u32 = 32 << 10;
/// The maximum number of unread bytes that a client may send on a connection, over all its calls.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 20;
/// The maximum number of bytes buffered for one call whose client does not read.
const MAX_SEND_BUFFER_BYTES: usize = 16 << 10;
/// The maximum time to write the last frames of a connection.
const GOAWAY_TIMEOUT: Duration = Duration::from_secs(2);

type Socket = Compat<FrameObserver<StallGuard>>;
type Http2Connection = Connection<Socket, Bytes>;

/// Serves clients for as long as the future is polled. Connections run on the gateway's executor.
pub async fn serve(listener: Listener, ingress: Ingress) {
    let (gateway, descriptors) = (ingress.gateway.clone(), Rc::new(DescriptorIndex::new()));
    let connected =
        move |stream, client| serve_connection(stream, client, gateway.clone(), descriptors.clone());
    ingress.serve(listener, connected, reject).await;
}

/// Rejects a connection that exceeds the limit, with a GOAWAY frame before any call. The frame tells the client that no
/// call was processed.
async fn reject(mut stream: TcpStream) {
    const SETTINGS: [u8; 9] = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    const ENHANCE_YOUR_CALM: u8 = 11;
    let goaway = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, ENHANCE_YOUR_CALM];
    let _ = stream.write_all(&[&SETTINGS[..], &goaway].concat()).await;
    let _ = stream.close().await;
}

async fn serve_connection(
    stream: TcpStream,
    client: ClientGuard,
    gateway: Gateway,
    descriptors: Rc<DescriptorIndex>,
) {
    let limits = gateway.settings().limits;
    let peer_state = Rc::new(PeerState::new(gateway.clock(), limits.streams as usize));
    let socket = FrameObserver::new(StallGuard::new(stream, stall_timeout()), peer_state.clone()).compat();
    let handshake_timeout = Duration::from_nanos(limits.body_time);
    let Some(http2) = handshake(socket, limits.streams, handshake_timeout).await else { return };
    let context = Rc::new(ConnectionContext::new(gateway, client, peer_state, descriptors));
    run(http2, context).await;
}

async fn handshake(socket: Socket, max_streams: u32, timeout: Duration) -> Option<Http2Connection> {
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(max_streams)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buffer_size(MAX_SEND_BUFFER_BYTES);
    let expired = async {
        Timer::after(timeout).await;
        None
    };
    let handshake = async { builder.handshake::<_, Bytes>(socket).await.ok() };
    future::or(handshake, expired).await
}

/// An event of a connection, which `run` handles.
enum ConnectionEvent {
    Call(Box<Request<RecvStream>>, SendResponse<Bytes>),
    DrainingStarted,
    AbuseDetected(Abuse),
    Timeout,
    Closed(Option<h2::Error>),
}

async fn run(mut http2: Http2Connection, context: Rc<ConnectionContext>) {
    let peer = context.client.peer;
    let mut pings = http2.ping_pong();
    let mut draining = false;
    let mut until_draining = pin!(context.gateway.wait_until_draining());
    loop {
        let draining_started = async {
            match draining {
                true => future::pending().await,
                false => until_draining.as_mut().await,
            }
            ConnectionEvent::DrainingStarted
        };
        let event = next_event(&context, &mut http2, &mut pings);
        match future::or(draining_started, event).await {
            ConnectionEvent::Call(request, respond) => {
                let stream = StreamGuard::new(context.clone(), respond.stream_id().as_u32());
                context.gateway.spawner().run(dispatch::handle(stream, *request, respond));
            }
            ConnectionEvent::DrainingStarted => {
                // Calls in flight are completed. The GOAWAY frame makes the client send new calls to another gateway.
                draining = true;
                http2.graceful_shutdown();
            }
            ConnectionEvent::AbuseDetected(abuse) => {
                debug!(?abuse, %peer, "connection closed for abuse");
                return close(http2, Reason::ENHANCE_YOUR_CALM).await;
            }
            ConnectionEvent::Timeout => match on_timeout(&context, &mut pings) {
                Some(KeepaliveAction::CloseIdle) => return close(http2, Reason::NO_ERROR).await,
                Some(KeepaliveAction::PeerGone) => return debug!(%peer, "keepalive timed out"),
                Some(KeepaliveAction::Ping) | None => {}
            },
            ConnectionEvent::Closed(error) => return debug!(?error, %peer, "client connection closed"),
        }
    }
}

/// Drives the connection until the next event.
async fn next_event(
    context: &ConnectionContext,
    http2: &mut Http2Connection,
    pings: &mut Option<PingPong>,
) -> ConnectionEvent {
    let clock = context.peer_state.clock;
    let mut deadline = context.next_timeout();
    let mut timer = Timer::at(clock.instant(deadline));
    std::future::poll_fn(|task| {
        if let Some(pings) = pings {
            // The pong is dropped here, since the frame observer has recorded the peer's answer.
            let _ = pings.poll_pong(task);
        }
        let accepted = http2.poll_accept(task);
        if let Some(abuse) = context.peer_state.abuse.borrow().detected() {
            return Poll::Ready(ConnectionEvent::AbuseDetected(abuse));
        }
        match accepted {
            Poll::Ready(Some(Ok((request, respond)))) => {
                return Poll::Ready(ConnectionEvent::Call(Box::new(request), respond));
            }
            Poll::Ready(Some(Err(error))) => return Poll::Ready(ConnectionEvent::Closed(Some(error))),
            Poll::Ready(None) => return Poll::Ready(ConnectionEvent::Closed(None)),
            Poll::Pending => {}
        }
        if context.next_timeout() < deadline {
            deadline = context.next_timeout();
            timer.set_at(clock.instant(deadline));
        }
        pin!(&mut timer).poll(task).map(|_| ConnectionEvent::Timeout)
    })
    .await
}

fn on_timeout(context: &ConnectionContext, pings: &mut Option<PingPong>) -> Option<KeepaliveAction> {
    let now = context.peer_state.clock.now();
    context.reset_blocking_stream(now);
    let action = context.peer_state.abuse.borrow_mut().on_timeout(now);
    if action == Some(KeepaliveAction::Ping)
        && let Some(pings) = pings
    {
        // Sending fails while an earlier ping is unanswered, and that ping serves as well as a new one.
        let _ = pings.send_ping(Ping::opaque());
    }
    action
}

async fn close(mut http2: Http2Connection, reason: Reason) {
    http2.abrupt_shutdown(reason);
    let written = async {
        let _ = std::future::poll_fn(|task| http2.poll_closed(task)).await;
    };
    let timeout = async {
        Timer::after(GOAWAY_TIMEOUT).await;
    };
    future::or(written, timeout).await;
}
