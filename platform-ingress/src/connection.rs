//! Serves one client's connection: its requests, one after the other, until the connection closes.

use crate::answer::write;
use crate::failure::{CloseReason, RequestFailure, RequestRejection};
use crate::registry::ConnectionContext;
use crate::request::{RequestTiming, serve_request};
use crate::response::{self, Persistence};
use async_io::Timer;
use futures_lite::future;
use petrelshore_gateway_core::event_budget::EventKind;
use petrelshore_http1::connection::HttpConnection;
use std::time::{Duration, Instant};
use tracing::{debug, info};

/// Serves a connection until it closes. Every connection closes in the same order, so that requests behind the last
/// response are never forwarded and all bytes that were written reach the client.
///
/// If connections had to wait in the backlog before this one was accepted, its first request may have arrived at any
/// time since `backlogged_since`.
pub(crate) async fn serve(
    context: ConnectionContext<'_>,
    backlogged_since: Option<Instant>,
    mut http: HttpConnection,
) {
    let connection = context.id;
    debug!(connection = connection.0, "connection accepted");
    // If no bytes have arrived yet, the first request arrives later, however long the connection waited in the backlog.
    let backlogged_since = backlogged_since.filter(|_| http.peer().has_unread_bytes());
    let reason = serve_requests(context, backlogged_since, &mut http).await;
    let gateway = context.registry.gateway();
    if reason.is_own_decision() && gateway.may_log(EventKind::ClientConnectionClosed) {
        info!(connection = connection.0, ?reason, "connection closing");
    } else {
        debug!(connection = connection.0, ?reason, "connection closing");
    }
    context.registry.connection_closing(connection);
    http.lingering_close().await;
}

async fn serve_requests(
    context: ConnectionContext<'_>,
    mut backlogged_since: Option<Instant>,
    http: &mut HttpConnection,
) -> CloseReason {
    let clock = context.registry.gateway().clock();
    let mut accepted_at = Some(clock.now());
    loop {
        if let Err(reason) = wait_for_first_byte(context, http).await {
            return reason;
        }
        let started = accepted_at.take().unwrap_or_else(|| clock.now());
        let received = http.first_byte_received_at().into_iter().chain(backlogged_since.take()).min();
        let received = received.map_or(started, |received| clock.at(received));
        context.registry.request_started(context.id);
        match serve_request(context, RequestTiming { started, received }, http).await {
            Ok(()) => {}
            Err(RequestFailure::Close(reason)) => return reason,
            Err(RequestFailure::Rejected(rejection)) => return reject(context, http, rejection).await,
        }
        context.registry.connection_idle(context.id);
    }
}

/// Waits for the first byte of the next request, or returns the reason why the connection closes before that byte.
///
/// Pipelined requests are dropped if the client has closed the connection behind them, because nobody waits for their
/// responses. A byte that has arrived when the wait ends starts a request, even on an evicted connection, because every
/// request that is read gets a response.
async fn wait_for_first_byte(
    context: ConnectionContext<'_>,
    http: &mut HttpConnection,
) -> Result<(), CloseReason> {
    let ConnectionContext { registry, id, close_signal } = context;
    if !http.buffer.is_empty() {
        return if http.peer().has_closed() { Err(CloseReason::ClientClosed) } else { Ok(()) };
    }
    let idle_timeout = Duration::from_nanos(registry.idle_timeout(id));
    let timed_out = async {
        Timer::after(idle_timeout).await;
        Err(CloseReason::IdleTimeout)
    };
    let signalled = async {
        registry.close_signalled(id, close_signal).await;
        Err(if close_signal.is_evicted() { CloseReason::Evicted } else { CloseReason::ShuttingDown })
    };
    let received = async { http.read_more().await.map_err(|_| CloseReason::ClientClosed) };
    match future::or(received, future::or(signalled, timed_out)).await {
        Err(_) if http.peer().has_unread_bytes() && http.read_more().await.is_ok() => Ok(()),
        result => result,
    }
}

/// Writes an error response that announces that the connection closes.
async fn reject(
    context: ConnectionContext<'_>,
    http: &mut HttpConnection,
    rejection: RequestRejection,
) -> CloseReason {
    let RequestRejection { status, message, retry_after, request_id } = rejection;
    if context.registry.gateway().may_log(EventKind::RequestFailed) {
        info!(connection = context.id.0, request_id, status, error = message, "request rejected");
    }
    let response = response::complete(status, &message, Persistence::Close, retry_after);
    let _ = write(http, response.as_bytes()).await;
    CloseReason::Rejected
}
