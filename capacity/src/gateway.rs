//! One gateway's request manager, measured as it handles request after request in virtual time.

use crate::inventory::{self, MILLISECOND, SECOND, Size};
use petrelshore::interface::{
    Endpoint, LoadReport, Nanos, PrefixId, SequenceId, ServerId, SessionId, SnapshotKind, Step, TenantId,
    TrafficTypeId,
};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, Dispatch, NewSequence, PolicyKind, Relay, RequestManager};
use std::hint::black_box;

/// Requests before anything is measured.
pub const WARM_UP_REQUESTS: u64 = 200;
/// How long a prefill and the first token of a decode take.
const STEP_TIME: Nanos = 5 * MILLISECOND;
/// The time between two tokens.
const TOKEN_INTERVAL: Nanos = MILLISECOND / 10;
/// Tokens of an answer after the first.
const FURTHER_TOKENS: usize = 9;
/// The most attempts that are followed for one request.
const MAX_ATTEMPTS: usize = 8;
/// The request manager's seed.
const SEED: u64 = 7;

/// What the requests are like.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The deployment.
    pub size: Size,
    /// Requests per second that this gateway receives.
    pub rate: f64,
    /// Sessions that requests alternate between.
    pub sessions: u64,
    /// Prefixes that requests alternate between.
    pub prefixes: u64,
    /// The share of servers that accept requests and respond to none.
    pub silent_share: f64,
}

/// A gateway without sockets.
pub struct MeasuredGateway {
    manager: RequestManager,
    load: Load,
    now: Nanos,
    requests: u64,
    attempts: u64,
}

impl MeasuredGateway {
    /// A gateway that has the endpoint list and has received nothing.
    pub fn new(load: Load, list: &[Endpoint], policy_kind: PolicyKind) -> Self {
        let deployment = inventory::deployment(load.size, 0);
        let mut manager = RequestManager::with_policy(SECOND, deployment, SEED, policy_kind);
        manager.update_endpoints(SECOND, SnapshotKind::Full, list);
        MeasuredGateway { manager, load, now: 2 * SECOND, requests: 0, attempts: 0 }
    }

    /// Attempts that were sent so far.
    pub fn attempts(&self) -> u64 {
        self.attempts
    }

    /// The virtual time.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Its request manager.
    pub fn manager(&mut self) -> &mut RequestManager {
        &mut self.manager
    }

    fn is_silent(&self, server: ServerId) -> bool {
        (server.0 >> 32) as f64 / (1u64 << 32) as f64 <= self.load.silent_share
    }

    /// Handles one complete request: accepted, its prompt processed, its answer generated in ten tokens.
    pub fn handle_request(&mut self) {
        let began = self.now;
        let sequence = self.next_sequence();
        let id = sequence.id;
        let mut actions = Vec::new();
        self.manager.accept(self.now, sequence, &mut actions);
        for _ in 0..MAX_ATTEMPTS {
            let Some(dispatch) = dispatch_in(&actions) else { break };
            actions.clear();
            self.attempts += 1;
            self.respond(id, dispatch, &mut actions);
        }
        black_box(&actions);
        let interval = (SECOND as f64 / self.load.rate) as Nanos;
        self.now = self.now.max(began + interval);
    }

    fn next_sequence(&mut self) -> NewSequence {
        self.requests += 1;
        let number = self.requests;
        let tenants = self.load.size.tenants as u64;
        NewSequence {
            id: SequenceId(number),
            traffic: TrafficTypeId(0),
            tenant: (tenants > 0).then(|| TenantId((number % tenants) as usize)),
            session: Some(SessionId(number % self.load.sessions.max(1))),
            prefix: Some(PrefixId(1 + number % self.load.prefixes.max(1))),
            prompt_tokens: 800.0,
            prefix_tokens: 400.0,
            max_output_tokens: 100.0,
            output_length_hint: None,
            resumed: false,
            relay: Relay::Streamed,
            first_token_deadline: self.now + 5 * SECOND,
            completion_deadline: None,
        }
    }

    /// A server responds to an attempt, or the attempt times out.
    fn respond(&mut self, id: SequenceId, dispatch: Dispatch, actions: &mut Vec<Action>) {
        if self.is_silent(dispatch.server) {
            self.now += dispatch.timeout;
            self.manager.on_timeout(self.now, actions);
            return;
        }
        self.now += STEP_TIME;
        let report =
            LoadReport { memory_share: Some(0.2), queued_prompt_tokens: Some(500.0), in_flight: Some(2.0) };
        self.manager.load_reported(self.now, dispatch.server, report);
        if dispatch.step == Step::Prefill {
            let end = AttemptEnd::PrefillDone { cached_tokens: 400.0 };
            return self.manager.attempt_ended(self.now, id, dispatch.attempt, end, actions);
        }
        self.manager.first_token(self.now, id, dispatch.attempt);
        for _ in 0..FURTHER_TOKENS {
            self.now += TOKEN_INTERVAL;
            self.manager.token_received(self.now, id);
        }
        self.manager.attempt_ended(self.now, id, dispatch.attempt, AttemptEnd::Completed, actions);
        assert!(actions.iter().any(|action| matches!(action, Action::Complete { .. })));
    }
}

fn dispatch_in(actions: &[Action]) -> Option<Dispatch> {
    actions.iter().find_map(|action| match action {
        Action::Send(dispatch) => Some(*dispatch),
        _ => None,
    })
}
