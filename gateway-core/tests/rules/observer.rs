//! An observer outside the request manager, which follows each sequence and checks the rules:
//!
//! - Rule 1: every sequence gets exactly one final answer, within its client's deadlines. No attempt is sent after the
//!   final answer or, while the client has no token, after the first-token deadline.
//! - Rule 2: work that may have run is not run again, unless it is idempotent or its idempotency key still holds.
//! - Rule 3: no attempt is sent to a server that is draining.
//! - Rule 5: no KV cache is held longer than the release timeout while no attempt is in flight.

use crate::test_deployment::{AT_MOST_ONCE, IDEMPOTENT};
use petrelshore::interface::{Deployment, Idempotency, KeyScope, Nanos, SequenceId, ServerId, Step};
use petrelshore_gateway_core::{Dispatch, Relay};

/// The first decode attempt that may have run.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    server: ServerId,
    sent_at: Nanos,
    pub(crate) attempt: usize,
}

/// The state of one sequence, as the events and actions show it.
#[derive(Default)]
pub(crate) struct ObservedSequence {
    pub(crate) traffic: usize,
    pub(crate) relay: Option<Relay>,
    pub(crate) first_token_deadline: Nanos,
    pub(crate) completion_deadline: Option<Nanos>,
    pub(crate) final_answers: usize,
    pub(crate) in_flight: Option<Dispatch>,
    /// True if the attempt in flight has sent its first token.
    pub(crate) streaming: bool,
    /// True if the client has received part of the stream.
    pub(crate) client_has_tokens: bool,
    pub(crate) may_have_run: Option<PossibleRun>,
    /// The number of KV caches that prefills may have left.
    pub(crate) caches: usize,
    /// The time since which a KV cache may be held with no attempt in flight.
    pub(crate) cache_held_since: Option<Nanos>,
}

impl ObservedSequence {
    /// Records that an attempt is sent, and checks that the attempt may be sent.
    pub(crate) fn sent(
        &mut self,
        now: Nanos,
        dispatch: Dispatch,
        server_draining: bool,
        deployment: &Deployment,
    ) -> Result<(), String> {
        self.check_send(now, &dispatch, server_draining)?;
        self.check_key_scope(now, &dispatch, deployment)?;
        if dispatch.step != Step::Prefill && self.may_have_run.is_none() {
            self.may_have_run =
                Some(PossibleRun { server: dispatch.server, sent_at: now, attempt: dispatch.attempt });
        }
        self.in_flight = Some(dispatch);
        self.streaming = false;
        self.cache_held_since = None;
        Ok(())
    }

    fn check_send(&self, now: Nanos, dispatch: &Dispatch, server_draining: bool) -> Result<(), String> {
        let decodes = dispatch.step != Step::Prefill;
        let at_most_once = self.traffic == AT_MOST_ONCE;
        let violations = [
            (self.final_answers > 0, "rule 1: sent after the final answer"),
            (
                self.client_has_tokens && self.traffic != IDEMPOTENT,
                "rule 2: stream resumed though the work may have run to its end",
            ),
            (self.in_flight.is_some(), "two attempts in flight at once"),
            (server_draining, "rule 3: sent to a server that is draining"),
            (
                !self.client_has_tokens && now >= self.first_token_deadline,
                "rule 1: sent after the client's deadline",
            ),
            (
                !self.client_has_tokens && dispatch.timeout + now > self.first_token_deadline,
                "rule 1: attempt may outlast the client's deadline",
            ),
            (at_most_once && self.may_have_run.is_some(), "rule 2: at-most-once work sent again"),
            (
                at_most_once && decodes && !dispatch.new_connection,
                "rule 2: at-most-once work on a reused connection",
            ),
        ];
        match violations.iter().find(|(violated, _)| *violated) {
            Some((_, violation)) => Err(format!("{violation}: {dispatch:?}")),
            None => Ok(()),
        }
    }

    /// Checks that keyed work is sent again only to servers in the scope of its key, and only within the window.
    fn check_key_scope(
        &self,
        now: Nanos,
        dispatch: &Dispatch,
        deployment: &Deployment,
    ) -> Result<(), String> {
        let idempotency = deployment.types[self.traffic].idempotency;
        if let (Idempotency::Keyed { scope, window }, Some(first)) = (idempotency, self.may_have_run) {
            let in_scope = match scope {
                KeyScope::Fleet => true,
                KeyScope::Zone => first.server.0 / 3 == dispatch.server.0 / 3,
                KeyScope::Cell => first.server.0 % 2 == dispatch.server.0 % 2,
            };
            if !in_scope || now >= first.sent_at + window {
                return Err(format!("rule 2: keyed work sent outside its scope or window: {dispatch:?}"));
            }
        }
        Ok(())
    }

    /// Records that the attempt in flight is cancelled.
    pub(crate) fn cancelled(&mut self, now: Nanos, step: Step) {
        self.in_flight = None;
        self.caches += usize::from(step == Step::Prefill);
        self.cache_held_since = (self.caches > 0).then_some(now);
    }

    /// Records that the KV caches are released.
    pub(crate) fn released(&mut self) {
        self.caches = 0;
        self.cache_held_since = None;
    }

    /// Records that the sequence is rejected, and checks that a retry of the client is harmless.
    pub(crate) fn rejected(
        &mut self,
        now: Nanos,
        id: SequenceId,
        retry_after: Option<Nanos>,
        deployment: &Deployment,
    ) -> Result<(), String> {
        self.final_answers += 1;
        let retry_is_harmful = match (deployment.types[self.traffic].idempotency, self.may_have_run) {
            (Idempotency::Idempotent, _) | (_, None) => false,
            (Idempotency::Keyed { scope: KeyScope::Fleet, window }, Some(first)) => {
                now + retry_after.unwrap_or(0) >= first.sent_at + window
            }
            _ => true,
        };
        if retry_is_harmful || self.client_has_tokens {
            return Err(format!("rule 2: {id:?} was rejected though it may have run"));
        }
        Ok(())
    }

    /// Checks the rules that hold at any time.
    pub(crate) fn check(&self, now: Nanos, id: SequenceId, deployment: &Deployment) -> Result<(), String> {
        let unanswered = self.final_answers == 0;
        if unanswered && self.completion_deadline.is_some_and(|deadline| now > deadline) {
            return Err(format!("rule 1: {id:?} is unanswered after its client's completion deadline"));
        }
        let late = now >= self.first_token_deadline + deployment.timer_resolution.max(1);
        if unanswered && !self.streaming && !self.client_has_tokens && late {
            return Err(format!("rule 1: {id:?} has no final answer by its client's deadline"));
        }
        if self.final_answers > 1 {
            return Err(format!("rule 1: {id:?} got {} final answers", self.final_answers));
        }
        let held_too_long =
            self.cache_held_since.is_some_and(|since| now > since + deployment.release_timeout);
        if self.in_flight.is_none() && held_too_long {
            return Err(format!("rule 5: a KV cache of {id:?} is held too long"));
        }
        Ok(())
    }
}
