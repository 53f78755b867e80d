//! Calls the request managers of the gateways and executes the actions that they return.

use super::events::{Event, Exchange};
use super::{DEADLINE_SLACK, FIRST_TOKEN_DEADLINE, LOST_ZONE, Simulation};
use crate::fleet::measures::seconds;
use crate::fleet::servers::CacheLocation;
use crate::inventory::{self, MILLISECOND};
use petrelshore::interface::{Nanos, Outcome, Role, SequenceId, Step};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, Dispatch, RequestManager};
use std::time::Instant;

/// Time until a gateway receives the rejection of an attempt, in nanoseconds.
const REJECTION_LATENCY: Nanos = MILLISECOND;

/// The kind of the final response to a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FinalResponse {
    Completed,
    Rejected,
    Aborted,
}

impl Simulation {
    /// Calls the request manager of a gateway, executes its actions and schedules its next timeout.
    pub(super) fn decide(
        &mut self,
        now: Nanos,
        gateway: usize,
        call: impl FnOnce(&mut RequestManager, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        let start = Instant::now();
        call(&mut self.gateways[gateway].manager, &mut actions);
        self.decision_time += start.elapsed();
        for action in actions {
            self.execute(now, gateway, action);
        }
        let next_timeout = self.gateways[gateway].manager.next_timeout().unwrap_or(Nanos::MAX).max(now + 1);
        if next_timeout < self.gateways[gateway].next_timeout {
            self.gateways[gateway].next_timeout = next_timeout;
            self.events.schedule(next_timeout, Event::Timeout { gateway });
        }
    }

    fn execute(&mut self, now: Nanos, gateway: usize, action: Action) {
        match action {
            Action::Send(dispatch) => self.send(now, gateway, dispatch),
            Action::Complete { id, outcome: Outcome::Completed, .. } => {
                self.finish_request(now, id, FinalResponse::Completed);
            }
            Action::Complete { id, .. } | Action::Abort { id, .. } => {
                self.finish_request(now, id, FinalResponse::Aborted);
            }
            Action::Reject { id, .. } => self.finish_request(now, id, FinalResponse::Rejected),
            Action::Cancel { .. }
            | Action::Release { .. }
            | Action::WakeAt { .. }
            | Action::PollEndpoints { .. } => {}
        }
    }

    /// Handles the final response to a request. Each request must get exactly one final response in time. A second
    /// response is counted as a violation, and so is a late response to a request without a first token.
    fn finish_request(&mut self, now: Nanos, id: SequenceId, response: FinalResponse) {
        let Some(open) = self.open_requests.remove(&id) else {
            self.counts.rules_broken += 1;
            return;
        };
        if !open.started && now > open.arrived + FIRST_TOKEN_DEADLINE + DEADLINE_SLACK {
            self.counts.rules_broken += 1;
        }
        if !open.counted || open.started {
            return;
        }
        match response {
            FinalResponse::Completed => {}
            FinalResponse::Rejected => self.counts.rejected += 1,
            FinalResponse::Aborted => self.counts.failed += 1,
        }
    }

    /// Sends an attempt to its server and schedules the events that follow.
    fn send(&mut self, now: Nanos, gateway: usize, dispatch: Dispatch) {
        let Some(open) = self.open_requests.get(&dispatch.id) else {
            self.counts.rules_broken += 1;
            return;
        };
        self.counts.attempts += u64::from(open.counted);
        let index = self.server_index[&dispatch.server];
        let server = &self.servers[index];
        if self.gateways[gateway].notified_of_zone_loss && server.endpoint.zone == LOST_ZONE {
            self.counts.rules_broken += 1;
        }
        if server.failed {
            let at = now + dispatch.connect_timeout.min(dispatch.timeout);
            let end = AttemptEnd::NotConnected;
            return self.events.schedule(at, Event::AttemptFailed { dispatch, gateway, end });
        }
        let exchange = Exchange { dispatch, gateway, incarnation: server.incarnation };
        let accepted = match dispatch.step {
            Step::Prefill => self.send_prefill(now, exchange, index),
            _ => self.send_decode(now, exchange, index),
        };
        self.count_slow_start_call(now, index);
        if !accepted {
            let end = AttemptEnd::AtCapacity;
            self.events.schedule(now + REJECTION_LATENCY, Event::AttemptFailed { dispatch, gateway, end });
        }
    }

    /// Sends a prompt to a prefill server, and returns whether the server accepts the prompt.
    fn send_prefill(&mut self, now: Nanos, exchange: Exchange, index: usize) -> bool {
        let server = &mut self.servers[index];
        let Some(open) = self.open_requests.get_mut(&exchange.dispatch.id) else { return true };
        open.cache = CacheLocation { cell: server.endpoint.cell, zone: server.endpoint.zone };
        let Some(timing) = server.prefill(now, &open.request.prompt) else { return false };
        let cached_tokens = timing.cached_tokens;
        if open.counted {
            self.counts.cached_tokens += cached_tokens;
        }
        self.events.schedule(timing.done_at, Event::PrefillDone { exchange, cached_tokens });
        true
    }

    /// Sends a decode request to a server, and returns whether the server accepts the request.
    fn send_decode(&mut self, now: Nanos, exchange: Exchange, index: usize) -> bool {
        let server = &mut self.servers[index];
        let Some(open) = self.open_requests.get(&exchange.dispatch.id) else { return true };
        let answer_tokens = f64::from(open.request.answer_tokens);
        let tokens = open.request.prompt.tokens + answer_tokens;
        if open.counted {
            self.counts.decodes += 1;
            self.counts.migrated += u64::from(server.endpoint.cell != open.cache.cell);
        }
        let Some(timing) = server.decode(now, tokens, open.cache) else { return false };
        let token_interval = timing.token_interval;
        self.events.schedule(timing.first_token_at, Event::FirstToken { exchange, token_interval });
        let end = timing.first_token_at + token_interval * answer_tokens as Nanos;
        self.events.schedule(end, Event::StreamEnded { exchange, tokens });
        true
    }

    /// Counts a call to a server in slow start, to compare the calls with the budget of the server.
    fn count_slow_start_call(&mut self, now: Nanos, index: usize) {
        let server = &self.servers[index];
        if !server.in_slow_start(now) {
            return;
        }
        let numbers = 0..self.setup.servers;
        let prefill_servers = numbers.filter(|number| inventory::is_prefill_server(*number)).count() as f64;
        let servers = match self.role(&server.endpoint) {
            Role::Prefill => prefill_servers,
            _ => self.setup.servers as f64 - prefill_servers,
        };
        let window = self.deployment.slow_start_window;
        let even_share = self.setup.rate / servers.max(1.0) * seconds(window);
        let allowed = self.deployment.slow_start_overload_factor * server.capacity_share(now) * even_share;
        let calls = self.slow_starts.entry(index).or_default();
        calls.count_call(now, window, allowed);
        self.slow_start_worst = self.slow_start_worst.max(calls.worst_ratio());
    }
}
