//! One client's connection: its requests, one after the other, until it closes.

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

/// Serves a connection until it closes. It is always closed in the same order: requests behind the last response are never
/// forwarded, and what was written arrives.
/// If connections had to wait in the backlog before this one was accepted, its first request may have come from
/// `backlogged_since` on.
pub(crate) async fn serve(
    context: ConnectionContext<'_>,
    backlogged_since: Option<Instant>,
    mut http: HttpConnection,
) {
    let connection = context.id;
    debug!(connection = connection.0, "connection accepted");
    // Bytes that are not here yet are received later, however long the connection waited in the backlog.
    let backlogged_since = backlogged_since.filter(|_| http.peer().has_unread_bytes());
    let reason = serve_requests(context, backlogged_since, &mut http).await;
    let budget = context.registry.gateway();
    if reason.is_own_decision() && budget.may_log(EventKind::ClientConnectionClosed) {
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
        if let Err(reason) = first_byte(context, http).await {
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

/// Waits for the first byte of the next request, or reports why the connection closes before it. Pipelined requests are
/// dropped if the client has closed behind them: nobody waits for their responses. A byte that is here when the wait ends
/// starts a request all the same, also on an evicted connection: what is read is answered.
async fn first_byte(context: ConnectionContext<'_>, http: &mut HttpConnection) -> Result<(), CloseReason> {
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

/// Writes an error response, which announces that the connection closes.
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
