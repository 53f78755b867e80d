//! Admission of requests to the buffered request table.

use super::BufferedRequests;
use super::command::Command;
use super::entry::{RequestEntry, client_id, keyed_request};
use super::message::{Admission, FinalAnswer, Rejection, Request};
use crate::cancellation_limits::TooManyCancelled;
use crate::capacity::CapacityError;
use crate::fingerprint::request_fingerprint;
use crate::idempotency::{CompletedRequest, KeyStatus, KeyedRequest};
use crate::request_manager::{FailureReason, NewSequence, Relay};
use crate::request_table::action_handler::ActionHandler;
use crate::timeouts;
use petrelshore::interface::{Idempotency, Nanos, SequenceId};
use std::rc::Rc;

impl<P: Clone> BufferedRequests<P> {
    /// Accepts a request, replays a stored answer, or rejects the request. An accepted request gets exactly one final
    /// answer.
    pub fn accept(&mut self, now: Nanos, request: Request, commands: &mut Vec<Command<P>>) -> Admission {
        if let Err(rejection) = self.check_admissible(now, &request) {
            return Admission::Rejected(rejection);
        }
        let id = self.allocate_id();
        let keyed = keyed_request(id, &request);
        if let Some(keyed) = &keyed
            && let Some(admission) = self.begin_idempotent_request(now, keyed, &request)
        {
            return admission;
        }
        if let Err(error) = self.store.acquire_capacity(now, request.client, request.traffic) {
            if let Some(keyed) = &keyed {
                self.idempotency_store.remove(keyed);
            }
            return Admission::Rejected(self.capacity_rejection(now, error));
        }
        let idempotent = self.idempotency_by_type[request.traffic.0] == Idempotency::Idempotent;
        let resumable = idempotent && request.relay == Relay::Streamed;
        let new = new_sequence(id, &request);
        self.store.insert(id, request.client, RequestEntry::new(request, keyed.is_some() || resumable));
        self.apply(now, commands, |manager, actions| manager.accept(now, new, actions));
        Admission::Accepted(id)
    }

    /// Returns an id that no other request and no replayed answer of this gateway has, even one that is not accepted.
    fn allocate_id(&mut self) -> SequenceId {
        self.last_id = self.last_id.wrapping_add(1);
        SequenceId(self.last_id)
    }

    /// Performs the checks that reserve neither capacity nor an idempotency key.
    fn check_admissible(&self, now: Nanos, request: &Request) -> Result<(), Rejection> {
        if self.draining {
            return Err(Rejection::Draining { retry_after: timeouts::DEFAULT_RETRY_AFTER });
        }
        if !timeouts::has_time_left(now, request.arrived_at, first_token_budget(request)) {
            return Err(Rejection::DeadlineTooShort);
        }
        let client = client_id(request);
        self.cancellation_limits
            .check(now, client)
            .map_err(|TooManyCancelled { retry_after }| Rejection::TooManyCancelled { retry_after })
    }

    /// Marks a new idempotency key as in flight and returns `None`. If the key is known, returns the result of the
    /// admission instead.
    fn begin_idempotent_request(
        &mut self,
        now: Nanos,
        keyed: &KeyedRequest,
        request: &Request,
    ) -> Option<Admission> {
        let id = keyed.id;
        let fingerprint = request_fingerprint(&request.model, &request.prompt, request.max_tokens);
        match self.idempotency_store.begin(now, keyed, fingerprint) {
            KeyStatus::New => None,
            KeyStatus::InFlight => Some(Admission::Rejected(Rejection::KeyInFlight {
                retry_after: timeouts::DEFAULT_RETRY_AFTER,
            })),
            KeyStatus::DifferentRequest => Some(Admission::Rejected(Rejection::KeyReused)),
            KeyStatus::Completed(CompletedRequest::Answered { text, end }) => {
                Some(Admission::Replayed { id, text, last: end })
            }
            KeyStatus::Completed(CompletedRequest::AnswerNotStored) => {
                let last = FinalAnswer::Aborted { reason: FailureReason::AlreadyRan };
                Some(Admission::Replayed { id, text: Rc::from(""), last })
            }
        }
    }

    fn capacity_rejection(&self, now: Nanos, error: CapacityError) -> Rejection {
        let retry_after = self.store.retry_after(now);
        match error {
            CapacityError::Gateway => Rejection::GatewayAtCapacity { retry_after },
            CapacityError::Client => Rejection::ClientAtCapacity { retry_after },
        }
    }
}

/// The time that the client waits for the first token, which is at most its time for the complete answer.
fn first_token_budget(request: &Request) -> Nanos {
    request.completion_budget.unwrap_or(request.first_token_budget).min(request.first_token_budget)
}

fn new_sequence(id: SequenceId, request: &Request) -> NewSequence {
    let deadline = |budget| timeouts::first_token_deadline(request.arrived_at, budget);
    NewSequence {
        id,
        traffic: request.traffic,
        tenant: request.tenant,
        session: request.session,
        prefix: request.estimate.prefix,
        prompt_tokens: request.estimate.prompt_tokens,
        prefix_tokens: request.estimate.prefix_tokens,
        max_output_tokens: f64::from(request.max_tokens),
        output_length_hint: None,
        resumed: false,
        relay: request.relay,
        first_token_deadline: deadline(first_token_budget(request)),
        completion_deadline: request.completion_budget.map(deadline),
    }
}
