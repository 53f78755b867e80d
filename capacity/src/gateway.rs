//! Runs the request manager of one gateway in virtual time, one request after the other, to measure its cost.

use crate::inventory::{self, MILLISECOND, SECOND, Size};
use petrelshore::interface::{
    Endpoint, LoadReport, Nanos, PrefixId, SequenceId, ServerId, SessionId, SnapshotKind, Step, TenantId,
    TrafficTypeId,
};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, Dispatch, NewSequence, PolicyKind, Relay, RequestManager};
use std::hint::black_box;

/// Number of requests that a gateway handles before a measurement starts.
pub const WARM_UP_REQUESTS: u64 = 200;
/// Time that a prefill takes, and the time to the first token of a decode, in nanoseconds.
const STEP_LATENCY: Nanos = 5 * MILLISECOND;
/// The time between two tokens, in nanoseconds.
const TOKEN_INTERVAL: Nanos = MILLISECOND / 10;
/// Number of tokens of an answer after the first token.
const TOKENS_AFTER_FIRST: usize = 9;
/// The maximum number of attempts that are simulated for one request.
const MAX_ATTEMPTS: usize = 8;
/// The random seed of the request manager.
const SEED: u64 = 7;

/// The deployment and the requests that a measured gateway handles.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The size of the deployment.
    pub size: Size,
    /// Number of requests per second that the gateway receives.
    pub rate: f64,
    /// Number of sessions; consecutive requests cycle through the sessions.
    pub sessions: u64,
    /// Number of shared prefixes; consecutive requests cycle through the prefixes.
    pub prefixes: u64,
    /// The share of servers that accept requests but never respond.
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
    /// Creates a gateway that has applied the endpoint list and has not received a request.
    pub fn new(load: Load, list: &[Endpoint], policy_kind: PolicyKind) -> Self {
        let deployment = inventory::deployment(load.size, 0);
        let mut manager = RequestManager::with_policy(SECOND, deployment, SEED, policy_kind);
        manager.update_endpoints(SECOND, SnapshotKind::Full, list);
        MeasuredGateway { manager, load, now: 2 * SECOND, requests: 0, attempts: 0 }
    }

    /// Returns the number of attempts that the gateway has sent.
    pub fn attempts(&self) -> u64 {
        self.attempts
    }

    /// Returns the virtual time, in nanoseconds.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Returns the request manager of the gateway.
    pub fn manager(&mut self) -> &mut RequestManager {
        &mut self.manager
    }

    fn is_silent(&self, server: ServerId) -> bool {
        (server.0 >> 32) as f64 / (1u64 << 32) as f64 <= self.load.silent_share
    }

    /// Handles one request from its acceptance to its completion: prefill, then a decode that generates ten tokens.
    ///
    /// Attempts on silent servers time out, and the request manager retries them.
    pub fn handle_request(&mut self) {
        let started_at = self.now;
        let sequence = self.next_sequence();
        let id = sequence.id;
        let mut actions = Vec::new();
        self.manager.accept(self.now, sequence, &mut actions);
        for _ in 0..MAX_ATTEMPTS {
            let Some(dispatch) = find_dispatch(&actions) else { break };
            actions.clear();
            self.attempts += 1;
            self.respond(id, dispatch, &mut actions);
        }
        black_box(&actions);
        let interval = (SECOND as f64 / self.load.rate) as Nanos;
        self.now = self.now.max(started_at + interval);
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

    /// Simulates the response of a server to an attempt. If the server is silent, the attempt times out.
    fn respond(&mut self, id: SequenceId, dispatch: Dispatch, actions: &mut Vec<Action>) {
        if self.is_silent(dispatch.server) {
            self.now += dispatch.timeout;
            self.manager.on_timeout(self.now, actions);
            return;
        }
        self.now += STEP_LATENCY;
        let report =
            LoadReport { memory_share: Some(0.2), queued_prompt_tokens: Some(500.0), in_flight: Some(2.0) };
        self.manager.load_reported(self.now, dispatch.server, report);
        if dispatch.step == Step::Prefill {
            let end = AttemptEnd::PrefillDone { cached_tokens: 400.0 };
            return self.manager.attempt_ended(self.now, id, dispatch.attempt, end, actions);
        }
        self.manager.first_token(self.now, id, dispatch.attempt);
        for _ in 0..TOKENS_AFTER_FIRST {
            self.now += TOKEN_INTERVAL;
            self.manager.token_received(self.now, id);
        }
        self.manager.attempt_ended(self.now, id, dispatch.attempt, AttemptEnd::Completed, actions);
        assert!(actions.iter().any(|action| matches!(action, Action::Complete { .. })));
    }
}

fn find_dispatch(actions: &[Action]) -> Option<Dispatch> {
    actions.iter().find_map(|action| match action {
        Action::Send(dispatch) => Some(*dispatch),
        _ => None,
    })
}
