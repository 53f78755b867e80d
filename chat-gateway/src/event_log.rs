//! Logs the failures that are logged by default: which request or attempt failed, and why. An event budget limits the
//! number of log lines. Successes, and failures beyond the budget, are logged at debug level; cancellations beyond the
//! budget are not logged.

use crate::state::GatewayState;
use petrelshore::interface::SequenceId;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::buffered::FinalAnswer;
use petrelshore_gateway_core::cache_releases::CacheRelease;
use petrelshore_gateway_core::event_budget::EventKind;
use petrelshore_gateway_core::{CancelReason, Dispatch};
use tracing::{debug, info};

impl GatewayState {
    /// Counts an event. Returns true if the event budget admits the event to the default log.
    fn may_log(&self, kind: EventKind) -> bool {
        self.event_budget.borrow_mut().admit(self.event_loop.now(), kind)
    }

    /// Logs the end of an attempt.
    pub(crate) fn log_attempt_end(&self, dispatch: &Dispatch, end: AttemptEnd) {
        let Dispatch { id, attempt, server, step, holds_cache, .. } = *dispatch;
        let succeeded = matches!(end, AttemptEnd::Completed | AttemptEnd::PrefillDone { .. });
        let (request_id, server) = (id.0, server.0);
        if !succeeded && self.may_log(EventKind::AttemptFailed) {
            info!(request_id, attempt, ?step, server, outcome = ?end, holds_cache, "attempt failed");
        } else {
            debug!(request_id, attempt, ?step, server, outcome = ?end, "attempt finished");
        }
    }

    /// Logs the cancellation of an attempt, within the event budget.
    pub(crate) fn log_attempt_cancelled(&self, id: SequenceId, attempt: usize, reason: CancelReason) {
        let kind = match reason {
            CancelReason::TimedOut | CancelReason::ClientStalled => EventKind::AttemptFailed,
            CancelReason::ClientLeft | CancelReason::ShuttingDown => EventKind::AttemptCancelled,
        };
        if self.may_log(kind) {
            info!(request_id = id.0, attempt, ?reason, "attempt cancelled");
        }
    }

    /// Logs the outcome of a release request.
    pub(crate) fn log_release(&self, release: &CacheRelease, outcome: Result<(), AttemptEnd>) {
        let (server, server_request_id) = (release.server.0, &release.request_id);
        if outcome.is_err() && self.may_log(EventKind::ReleaseDelayed) {
            info!(server, %server_request_id, ?outcome, "release failed, it is sent again");
        } else {
            debug!(server, %server_request_id, ?outcome, "release attempted");
        }
    }

    /// Logs that an attempt generates an answer anew, of which an earlier attempt had sent a part.
    pub(crate) fn log_answer_restarted(&self, dispatch: &Dispatch) {
        let Dispatch { id, attempt, server, .. } = *dispatch;
        debug!(request_id = id.0, attempt, server = server.0, "answer restarted");
    }

    /// Logs the end of an answer's use by its ingress. `final_answer_read` is false if the client left before.
    pub(crate) fn log_answer_dropped(&self, id: SequenceId, final_answer_read: bool) {
        debug!(request_id = id.0, final_answer_read, "answer dropped");
    }

    /// Logs the final answer of a request.
    pub(crate) fn log_final_answer(&self, id: SequenceId, outcome: &FinalAnswer) {
        let completed = matches!(outcome, FinalAnswer::Completed { .. });
        if !completed && self.may_log(EventKind::RequestFailed) {
            info!(request_id = id.0, ?outcome, "request failed");
        } else {
            debug!(request_id = id.0, ?outcome, "request finished");
        }
    }
}
