//! One gateway's request manager with times known, taking request after request in virtual time.

use crate::inventory::{self, MILLISECOND, SECOND, Size};
use petrelshore::interface::*;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, Chooser, Dispatch, NewSequence, Relay, RequestManager};
use std::hint::black_box;

/// Requests before anything is measured.
pub const WARM_UP: u64 = 200;
/// How long a prefill and the first token of a decode take here.
const STEP: Nanos = 5 * MILLISECOND;
/// Most attempts that are followed for one request.
const ATTEMPTS: usize = 8;

/// What the requests are like.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub size: Size,
    /// Requests a second that this gateway takes.
    pub rate: f64,
    pub sessions: u64,
    pub prefixes: u64,
    /// Part of the servers that takes requests and answers none.
    pub silent: f64,
}

pub struct Warm {
    manager: RequestManager,
    load: Load,
    now: Nanos,
    next: u64,
    sent: u64,
}

impl Warm {
    pub fn new(load: Load, list: &[Endpoint], chooser: Chooser) -> Self {
        let deployment = inventory::deployment(load.size, 0);
        let mut manager = RequestManager::with(SECOND, deployment, 7, chooser);
        manager.update_endpoints(SECOND, SnapshotKind::Full, list);
        Warm { manager, load, now: 2 * SECOND, next: 0, sent: 0 }
    }

    /// Attempts that were sent so far.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    pub fn now(&self) -> Nanos {
        self.now
    }

    pub fn manager(&mut self) -> &mut RequestManager {
        &mut self.manager
    }

    fn silent(&self, server: ServerId) -> bool {
        (server.0 >> 32) as f64 / (1u64 << 32) as f64 <= self.load.silent
    }

    /// One request whole: taken, its prompt read, its answer written in ten tokens.
    pub fn request(&mut self) {
        let began = self.now;
        self.next += 1;
        let id = SequenceId(self.next);
        let tenants = self.load.size.tenants as u64;
        let new = NewSequence {
            id,
            traffic: TrafficTypeId(0),
            tenant: (tenants > 0).then(|| TenantId((self.next % tenants) as usize)),
            session: Some(SessionId(self.next % self.load.sessions.max(1))),
            prefix: Some(PrefixId(1 + self.next % self.load.prefixes.max(1))),
            prompt_tokens: 800.0,
            prefix_tokens: 400.0,
            max_output_tokens: 100.0,
            output_length_hint: None,
            resumed: false,
            relay: Relay::Streamed,
            first_token_deadline: self.now + 5 * SECOND,
            completion_deadline: None,
        };
        let mut out = Vec::new();
        self.manager.accept(self.now, new, &mut out);
        for _ in 0..ATTEMPTS {
            let Some(dispatch) = sent(&out) else { break };
            out.clear();
            self.sent += 1;
            self.answer(id, dispatch, &mut out);
        }
        black_box(&out);
        let between = (SECOND as f64 / self.load.rate) as Nanos;
        self.now = self.now.max(began + between);
    }

    /// A server answers an attempt, or its time runs out.
    fn answer(&mut self, id: SequenceId, dispatch: Dispatch, out: &mut Vec<Action>) {
        if self.silent(dispatch.server) {
            self.now += dispatch.timeout;
            self.manager.on_timeout(self.now, out);
            return;
        }
        self.now += STEP;
        let report =
            LoadReport { memory_share: Some(0.2), queued_prompt_tokens: Some(500.0), in_flight: Some(2.0) };
        self.manager.load_reported(self.now, dispatch.server, report);
        if dispatch.step == Step::Prefill {
            let ending = AttemptEnd::PrefillDone { cached_tokens: 400.0 };
            return self.manager.attempt_ended(self.now, id, dispatch.attempt, ending, out);
        }
        self.manager.first_token(self.now, id, dispatch.attempt);
        for _ in 0..9 {
            self.now += MILLISECOND / 10;
            self.manager.token_received(self.now, id);
        }
        self.manager.attempt_ended(self.now, id, dispatch.attempt, AttemptEnd::Completed, out);
        assert!(out.iter().any(|action| matches!(action, Action::Complete { .. })));
    }
}

fn sent(out: &[Action]) -> Option<Dispatch> {
    out.iter().find_map(|action| match action {
        Action::Send(dispatch) => Some(*dispatch),
        _ => None,
    })
}
