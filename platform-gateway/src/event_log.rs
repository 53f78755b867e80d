//! The log lines about single requests, attempts and releases. Failures are logged by default, within a budget per kind
//! of event, so that the log tells which request failed and why.

use crate::known_servers::ServerName;
use crate::state::GatewayState;
use petrelshore::interface::{Nanos, SequenceId, ServerId};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::cache_releases::CacheRelease;
use petrelshore_gateway_core::event_budget::EventKind;
use petrelshore_gateway_core::passthrough::FinalAnswer;
use petrelshore_gateway_core::send_gate::SendDenial;
use petrelshore_gateway_core::{CancelReason, Dispatch};
use petrelshore_platform_engine_client::ExchangeTrace;
use std::fmt;
use std::rc::Rc;
use tracing::{debug, info};

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// Displays a request id in the format that clients and servers use.
pub(crate) struct RequestId(pub(crate) SequenceId);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0.0)
    }
}

/// The data that is logged at the end of an attempt.
#[derive(Clone)]
pub(crate) struct AttemptLog {
    pub(crate) dispatch: Dispatch,
    pub(crate) decided_at: Nanos,
    pub(crate) trace: Rc<ExchangeTrace>,
}

/// The reason why an attempt did not succeed.
#[derive(Clone, Copy)]
enum AttemptFailure {
    Ended(AttemptEnd),
    Cancelled(CancelReason),
}

impl fmt::Display for AttemptFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptFailure::Ended(end) => write!(formatter, "{end:?}"),
            AttemptFailure::Cancelled(reason) => write!(formatter, "Cancelled({reason:?})"),
        }
    }
}

impl GatewayState {
    /// Counts an event and returns whether the event may be logged within the budget.
    pub(crate) fn may_log(&self, kind: EventKind) -> bool {
        self.event_budget.borrow_mut().admit(self.event_loop.now(), kind)
    }

    /// The name of a server, for the log.
    pub(crate) fn server_name(&self, server: ServerId) -> ServerName {
        self.known_servers.borrow().name(server)
    }

    /// Logs the end of an attempt.
    pub(crate) fn log_attempt_end(&self, log: &AttemptLog, end: AttemptEnd) {
        let succeeded = matches!(end, AttemptEnd::Completed | AttemptEnd::PrefillDone { .. });
        if !succeeded && self.may_log(EventKind::AttemptFailed) {
            return self.log_attempt_failure(log, AttemptFailure::Ended(end));
        }
        let Dispatch { id, attempt, server, step, .. } = log.dispatch;
        let (request_id, server) = (RequestId(id), self.server_name(server));
        debug!(%request_id, attempt, ?step, %server, outcome = ?end, "attempt finished");
    }

    /// Logs that an attempt was cancelled.
    pub(crate) fn log_attempt_cancelled(&self, log: &AttemptLog, reason: CancelReason) {
        let kind = match reason {
            CancelReason::TimedOut | CancelReason::ClientStalled => EventKind::AttemptFailed,
            CancelReason::ClientLeft | CancelReason::ShuttingDown => EventKind::AttemptCancelled,
        };
        if self.may_log(kind) {
            self.log_attempt_failure(log, AttemptFailure::Cancelled(reason));
        }
    }

    fn log_attempt_failure(&self, log: &AttemptLog, failure: AttemptFailure) {
        let Dispatch { id, attempt, server, step, holds_cache, .. } = log.dispatch;
        info!(
            request_id = %RequestId(id),
            attempt,
            ?step,
            server = %self.server_name(server),
            outcome = %failure,
            connection = ?log.trace.connection(),
            delivery = ?log.trace.delivery(),
            holds_cache,
            elapsed_ms = self.elapsed_ms(log.decided_at),
            "attempt failed"
        );
    }

    /// Logs that an attempt was denied immediately before its first byte was written.
    pub(crate) fn log_denial(&self, dispatch: &Dispatch, reason: SendDenial) {
        if self.may_log(EventKind::AttemptDenied) {
            let Dispatch { id, attempt, server, .. } = *dispatch;
            let (request_id, server) = (RequestId(id), self.server_name(server));
            info!(%request_id, attempt, %server, ?reason, "attempt denied");
        }
    }

    /// Logs the end of a release request. The release is logged as delayed if no server answered or if the answer took
    /// the relay interval or longer, as long as the budget for delayed releases lasts. Any other release is logged as
    /// finished.
    pub(crate) fn log_release(&self, release: &CacheRelease, sent_at: Nanos, answered_by: Option<ServerId>) {
        let elapsed = self.event_loop.now().saturating_sub(sent_at);
        let within_relay_interval = elapsed < self.event_loop.requests().relay_interval();
        let (server, request_id) = (self.server_name(release.server), &release.request_id);
        let elapsed_ms = elapsed / NANOS_PER_MILLISECOND;
        let answered_by = answered_by.map(|server| self.server_name(server));
        if (answered_by.is_none() || !within_relay_interval) && self.may_log(EventKind::ReleaseDelayed) {
            info!(%request_id, %server, ?answered_by, elapsed_ms, "release delayed");
        } else {
            debug!(%request_id, %server, ?answered_by, elapsed_ms, "release finished");
        }
    }

    /// Logs the final answer of a request.
    pub(crate) fn log_final_answer(&self, id: SequenceId, accepted_at: Nanos, outcome: FinalAnswer) {
        let (request_id, elapsed_ms) = (RequestId(id), self.elapsed_ms(accepted_at));
        if outcome != FinalAnswer::Completed && self.may_log(EventKind::RequestFailed) {
            info!(%request_id, ?outcome, elapsed_ms, "request failed");
        } else {
            debug!(%request_id, ?outcome, elapsed_ms, "request finished");
        }
    }

    fn elapsed_ms(&self, since: Nanos) -> Nanos {
        self.event_loop.now().saturating_sub(since) / NANOS_PER_MILLISECOND
    }
}
