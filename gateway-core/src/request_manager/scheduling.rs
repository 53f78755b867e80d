//! Schedules sequences without an attempt in flight, and gives the final answers that follow from the decisions.

use super::RequestManager;
use super::action::{Action, Dispatch, FailureReason};
use super::tracked_sequence::{NO_DEADLINE, TrackedSequence};
use crate::timeouts;
use petrelshore::interface::{Decision, Idempotency, Nanos, Sequence, SequenceId, ServerId, Step};

impl RequestManager {
    /// Asks the policy for a decision on a sequence without an attempt in flight, and carries out that decision. A
    /// failure is reported with `reason`.
    pub(super) fn schedule(
        &mut self,
        now: Nanos,
        id: SequenceId,
        reason: FailureReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.sequences.get_mut(&id) else { return };
        // The send deadline and the start of the cache hold are read before the decision, which may reset them.
        let send_deadline = self.policy.send_deadline(&tracked.sequence).unwrap_or(NO_DEADLINE);
        let cache_held_since = tracked.sequence.cache_held_since;
        let release = match self.policy.schedule(now, &mut tracked.sequence) {
            Decision::Send(server) => return self.send(now, id, server, send_deadline, actions),
            Decision::Wait => return self.wait(now, id, actions),
            // The client has received part of the answer, so the sequence is aborted instead of rejected, even if the
            // request may run again.
            Decision::Reject { release, .. } if tracked.resumptions > 0 => {
                self.counts.aborted += 1;
                actions.push(Action::Abort { id, reason: FailureReason::StreamBroken });
                release
            }
            Decision::Reject { retry_after, release } => {
                self.reject(now, id, retry_after, reason, actions);
                release
            }
            Decision::Abort { release } => {
                self.abort(now, id, reason, actions);
                release
            }
        };
        if release {
            self.invariants.cache_released(now, cache_held_since, self.release_timeout);
            actions.push(Action::Release { id });
        }
        self.cancel_timer(id);
        self.remove_if_finished(id);
    }

    /// Sends the attempt that the policy added to the sequence, and sets its timer.
    fn send(
        &mut self,
        now: Nanos,
        id: SequenceId,
        server: ServerId,
        send_deadline: Nanos,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.sequences.get(&id) else { return };
        let idempotency = self.traffic_types[tracked.sequence.traffic.0].idempotency;
        self.invariants.attempt_sent(now, &tracked.sequence, idempotency);
        self.counts.attempts += 1;
        let timeout = self.policy.next_timeout(now, &tracked.sequence).max(1);
        let release_deadline = self.policy.cache_release_deadline(&tracked.sequence);
        let time_to_release = release_deadline.map(|deadline| deadline.saturating_sub(now));
        let limits = AttemptLimits {
            timeout,
            connect_timeout: timeouts::connect_timeout(timeout, time_to_release),
            send_deadline,
        };
        if let Some(dispatch) = last_attempt_dispatch(tracked, server, idempotency, &limits) {
            actions.push(Action::Send(dispatch));
        }
        self.set_timer(id, now.saturating_add(timeout));
    }

    /// Sets the timer after which a sequence is scheduled again that no server can take yet.
    fn wait(&mut self, now: Nanos, id: SequenceId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.sequences.get(&id) else { return };
        if !tracked.sequence.completed && !tracked.has_open_attempt() {
            let at = now + self.policy.next_timeout(now, &tracked.sequence).max(1);
            actions.push(Action::WakeAt { id, at });
            self.set_timer(id, at);
        }
    }

    fn reject(
        &mut self,
        now: Nanos,
        id: SequenceId,
        retry_after: Option<Nanos>,
        reason: FailureReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(TrackedSequence { sequence, .. }) = self.sequences.get(&id) else { return };
        self.counts.rejected += 1;
        self.invariants.rejected(now, sequence, self.traffic_types[sequence.traffic.0].idempotency);
        self.invariants.answered(now, sequence);
        let reason = reported_reason(now, sequence, reason);
        actions.push(Action::Reject { id, retry_after, reason });
    }

    fn abort(&mut self, now: Nanos, id: SequenceId, reason: FailureReason, actions: &mut Vec<Action>) {
        let Some(TrackedSequence { sequence, .. }) = self.sequences.get(&id) else { return };
        self.counts.aborted += 1;
        self.invariants.answered(now, sequence);
        actions.push(Action::Abort { id, reason: reported_reason(now, sequence, reason) });
    }
}

/// The time limits of an attempt: two durations and the deadline for sending it, in nanoseconds.
struct AttemptLimits {
    timeout: Nanos,
    connect_timeout: Nanos,
    send_deadline: Nanos,
}

/// Returns the dispatch of the last attempt of a sequence, if the sequence has an attempt.
fn last_attempt_dispatch(
    tracked: &TrackedSequence,
    server: ServerId,
    idempotency: Idempotency,
    limits: &AttemptLimits,
) -> Option<Dispatch> {
    let sequence = &tracked.sequence;
    let attempt = sequence.attempts.len().checked_sub(1)?;
    let step = sequence.attempts[attempt].step;
    let fetches_cache = matches!(step, Step::Decode | Step::MigratedDecode);
    Some(Dispatch {
        id: sequence.id,
        attempt,
        server,
        step,
        prefill_server: sequence.kv_cache.map(|location| location.server).filter(|_| fetches_cache),
        timeout: limits.timeout,
        tokens_delivered: tracked.tokens_resumed_after,
        connect_timeout: limits.connect_timeout,
        send_deadline: limits.send_deadline,
        holds_cache: sequence.cache_held_since.is_some(),
        new_connection: step != Step::Prefill && idempotency == Idempotency::AtMostOnce,
    })
}

/// Returns the reason that is reported for a failure: once the client's deadline has passed, the deadline is reported
/// as the reason, except in a shutdown.
fn reported_reason(now: Nanos, sequence: &Sequence, reason: FailureReason) -> FailureReason {
    if reason != FailureReason::ShuttingDown && now >= sequence.first_token_deadline {
        FailureReason::DeadlineExceeded
    } else {
        reason
    }
}
