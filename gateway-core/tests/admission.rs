//! Admission under overload, in a small model of prefill and decode servers: the rejections must not all fall on the
//! longest prompts, nor on every turn of the same sessions.

mod common;

use common::{MS, S, START, deployment};
use oorandom::Rand64;
use petrelshore::interface::{
    CellId, Deployment, Endpoint, EndpointState, Nanos, Outcome, Role, SequenceId, ServerId, ServerKind,
    ServerKindId, SessionId, SnapshotKind, Step, TrafficType, TrafficTypeId, ZoneId,
};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, NewSequence, Relay, RequestManager};
use std::collections::{BTreeMap, BTreeSet};

/// The number of prefill servers, and of decode servers.
const SERVER_PAIRS: u64 = 8;
/// The number of prompt tokens that a prefill server processes per second.
const PREFILL_TOKENS_PER_SECOND: f64 = 16_000.0;
/// Median number of tokens that a turn adds to the prompt of its session. The number is log-normally distributed.
const MEDIAN_TURN_TOKENS: f64 = 2_000.0;
/// Standard deviation of the logarithm of the number of tokens that a turn adds.
const TURN_TOKENS_SIGMA: f64 = 0.8;
/// Mean of the distribution: `MEDIAN_TURN_TOKENS * exp(TURN_TOKENS_SIGMA² / 2)`.
const MEAN_TURN_TOKENS: f64 = 2_754.0;
const TURNS_PER_SESSION: u64 = 4;
/// Time between the starts of two turns of a session, in nanoseconds.
const TURN_INTERVAL: Nanos = 3 * S;
/// Time from sending a decode attempt to its first token, in nanoseconds.
const FIRST_TOKEN_TIME: Nanos = 60 * MS;
/// Time from the first token to the end of the answer, in nanoseconds.
const DECODE_TIME: Nanos = 2 * S;
/// The time that clients of each traffic type wait for their first token, in seconds.
const ABANDON_SECONDS: [u64; 2] = [6, 10];

fn two_types(gateways: usize) -> Deployment {
    let kind = |role| ServerKind { role, memory_tokens: 200_000.0 };
    let traffic = |priority_weight, latency_slo| TrafficType {
        priority_weight,
        latency_slo,
        slo_per_prompt_token: 40_000,
        token_interval: 60 * MS,
        ..deployment().types[0].clone()
    };
    Deployment {
        gateways,
        types: vec![traffic(2.0, 1_200 * MS), traffic(3.0, 2_500 * MS)],
        kinds: vec![kind(Role::Prefill), kind(Role::Decode)],
        ..deployment()
    }
}

fn endpoint(index: u64) -> Endpoint {
    Endpoint {
        server: ServerId(index + 1),
        kind: ServerKindId((index % 2) as usize),
        cell: CellId((index / 4) as i64),
        zone: ZoneId(0),
        weight: 1.0,
        started_at: 0,
        state: EndpointState::Ready,
    }
}

/// An attempt of a sequence at one of the gateways.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    gateway: usize,
    sequence: SequenceId,
    attempt: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The client sends the next turn of a session.
    Turn {
        session: u64,
    },
    PrefillDone(AttemptId),
    FirstToken(AttemptId),
    Completed(AttemptId),
    Timeout {
        gateway: usize,
    },
}

/// One turn of a session.
struct Request {
    session: u64,
    traffic: usize,
    prompt_tokens: f64,
    answered: bool,
}

/// The state of a session.
#[derive(Default)]
struct Session {
    /// Length of the prompt of the latest turn, which includes the prompts of all earlier turns.
    prompt_tokens: f64,
}

struct Model {
    gateways: Vec<RequestManager>,
    random: Rand64,
    /// Pending events, ordered by time and, at equal times, by the order in which they were scheduled.
    events: BTreeSet<(Nanos, u64, Event)>,
    /// The number of events scheduled so far.
    scheduled: u64,
    /// The time at which each prefill server has finished all prefills that it was sent.
    busy_until: BTreeMap<ServerId, Nanos>,
    sessions: BTreeMap<u64, Session>,
    requests: Vec<Request>,
    request_by_id: BTreeMap<SequenceId, usize>,
}

impl Model {
    fn new(gateways: usize, seed: u64) -> Self {
        let endpoints: Vec<Endpoint> = (0..2 * SERVER_PAIRS).map(endpoint).collect();
        let start = |index: usize| {
            let mut manager = RequestManager::new(START, two_types(gateways), seed + index as u64);
            manager.update_endpoints(START, SnapshotKind::Full, &endpoints);
            manager
        };
        Model {
            gateways: (0..gateways).map(start).collect(),
            random: Rand64::new(u128::from(seed) + 99),
            events: BTreeSet::new(),
            scheduled: 0,
            busy_until: BTreeMap::new(),
            sessions: BTreeMap::new(),
            requests: Vec::new(),
            request_by_id: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled, event));
    }

    /// Schedules sessions that start at random times until `end`, at an average load of `load` times the capacity of
    /// the prefill servers.
    fn schedule_sessions(&mut self, load: f64, end: Nanos) {
        let capacity = PREFILL_TOKENS_PER_SECOND * SERVER_PAIRS as f64;
        // Each turn adds MEAN_TURN_TOKENS to the prompt on average, so the prompts of a session's four turns average
        // (1 + 2 + 3 + 4) / 4 = 2.5 times MEAN_TURN_TOKENS.
        let sessions_per_second = load * capacity / MEAN_TURN_TOKENS / TURNS_PER_SESSION as f64 / 2.5;
        let (mut at, mut session) = (START, 0);
        while at < end {
            at += (-self.random.rand_float().max(1e-12).ln() / sessions_per_second * 1e9) as Nanos;
            session += 1;
            for turn in 0..TURNS_PER_SESSION {
                self.schedule(at + turn * TURN_INTERVAL, Event::Turn { session });
            }
        }
    }

    /// A random number of tokens that a turn adds to the prompt of its session.
    fn turn_tokens(&mut self) -> f64 {
        let normal = (-2.0 * self.random.rand_float().max(1e-12).ln()).sqrt()
            * (2.0 * std::f64::consts::PI * self.random.rand_float()).cos();
        MEDIAN_TURN_TOKENS * (TURN_TOKENS_SIGMA * normal).exp()
    }

    /// Sends the next turn of a session to a random gateway and returns the index of that gateway.
    fn send_turn(&mut self, now: Nanos, session: u64, actions: &mut Vec<Action>) -> usize {
        let added_tokens = self.turn_tokens();
        let state = self.sessions.entry(session).or_default();
        state.prompt_tokens += added_tokens;
        let (prompt_tokens, traffic) = (state.prompt_tokens, (session % 2) as usize);
        let id = SequenceId(self.requests.len() as u64 + 1);
        self.request_by_id.insert(id, self.requests.len());
        self.requests.push(Request { session, traffic, prompt_tokens, answered: false });
        let gateway = self.random.rand_range(0..self.gateways.len() as u64) as usize;
        let new = NewSequence {
            id,
            traffic: TrafficTypeId(traffic),
            tenant: None,
            session: Some(SessionId(session)),
            prefix: None,
            prompt_tokens,
            prefix_tokens: 0.0,
            max_output_tokens: 400.0,
            output_length_hint: None,
            resumed: false,
            relay: Relay::Passthrough,
            first_token_deadline: now + ABANDON_SECONDS[traffic] * S,
            completion_deadline: None,
        };
        self.gateways[gateway].accept(now, new, actions);
        gateway
    }

    fn attempt_ended(&mut self, now: Nanos, id: AttemptId, end: AttemptEnd, actions: &mut Vec<Action>) {
        self.gateways[id.gateway].attempt_ended(now, id.sequence, id.attempt, end, actions);
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        let mut actions = Vec::new();
        let gateway = match event {
            Event::Turn { session } => self.send_turn(now, session, &mut actions),
            Event::PrefillDone(id) => {
                let end = AttemptEnd::PrefillDone { cached_tokens: 0.0 };
                self.attempt_ended(now, id, end, &mut actions);
                id.gateway
            }
            Event::FirstToken(id) => {
                self.gateways[id.gateway].first_token(now, id.sequence, id.attempt);
                self.schedule(now + DECODE_TIME, Event::Completed(id));
                id.gateway
            }
            Event::Completed(id) => {
                self.attempt_ended(now, id, AttemptEnd::Completed, &mut actions);
                let completes =
                    |action: &Action| matches!(action, Action::Complete { outcome: Outcome::Completed, .. });
                if actions.iter().any(completes) {
                    let index = self.request_by_id[&id.sequence];
                    self.requests[index].answered = true;
                }
                id.gateway
            }
            Event::Timeout { gateway } => {
                self.gateways[gateway].on_timeout(now, &mut actions);
                gateway
            }
        };
        self.execute(now, gateway, actions);
    }

    fn execute(&mut self, now: Nanos, gateway: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send(dispatch) = action else { continue };
            let id = AttemptId { gateway, sequence: dispatch.id, attempt: dispatch.attempt };
            if dispatch.step == Step::Prefill {
                let prompt_tokens = self.requests[self.request_by_id[&id.sequence]].prompt_tokens;
                let busy_until = self.busy_until.entry(dispatch.server).or_insert(0);
                *busy_until =
                    (*busy_until).max(now) + (prompt_tokens / PREFILL_TOKENS_PER_SECOND * 1e9) as Nanos;
                let done_at = *busy_until;
                self.schedule(done_at, Event::PrefillDone(id));
            } else {
                self.schedule(now + FIRST_TOKEN_TIME, Event::FirstToken(id));
            }
        }
        if let Some(timeout) = self.gateways[gateway].next_timeout() {
            self.schedule(timeout.max(now), Event::Timeout { gateway });
        }
    }
}

/// Runs the model for `seconds` at `load` times the capacity of the prefill servers. Returns all requests but the first
/// fifth, which belongs to the warm-up.
fn simulate(gateways: usize, load: f64, seconds: u64, seed: u64) -> Vec<Request> {
    let end = START + seconds * S;
    let mut model = Model::new(gateways, seed);
    model.schedule_sessions(load, end);
    while let Some((now, _, event)) = model.events.pop_first() {
        if now < end || !matches!(event, Event::Turn { .. }) {
            model.handle(now, event);
        }
    }
    let warm_up = model.requests.len() / 5;
    model.requests.split_off(warm_up)
}

/// The share of the requests that got a complete answer.
fn answered_share<'a>(requests: impl Iterator<Item = &'a Request>) -> f64 {
    let (total, answered) = requests
        .fold((0, 0), |(total, answered), request| (total + 1, answered + u32::from(request.answered)));
    f64::from(answered) / f64::from(total.max(1))
}

/// The answered shares of one traffic type, by prompt length.
struct ShareByLength {
    /// The answered share of all requests of the traffic type.
    overall: f64,
    /// The answered share of the longest tenth of the prompts, relative to `overall`.
    longest_tenth: f64,
    /// The answered share of the next longest fifth of the prompts, relative to `overall`.
    next_fifth: f64,
}

fn share_by_length(requests: &[Request], traffic: usize) -> ShareByLength {
    let mut of_type: Vec<&Request> = requests.iter().filter(|request| request.traffic == traffic).collect();
    of_type.sort_by(|a, b| b.prompt_tokens.total_cmp(&a.prompt_tokens));
    let tenth = of_type.len() / 10;
    let next_fifth = tenth..tenth + of_type.len() / 5;
    let overall = answered_share(of_type.iter().copied());
    let relative = |part: &[&Request]| answered_share(part.iter().copied()) / overall.max(1e-9);
    ShareByLength {
        overall,
        longest_tenth: relative(&of_type[..tenth]),
        next_fifth: relative(&of_type[next_fifth]),
    }
}

/// Guards against admission that rejects the longest prompts far more often than the others.
#[test]
fn longest_prompts_get_a_fair_share_of_answers() {
    for gateways in [3, 30] {
        for (load, min_share) in [(0.6, 2.0 / 3.0), (1.0, 0.5)] {
            for seed in 0..3 {
                let requests = simulate(gateways, load, 60, seed * 100);
                for traffic in 0..2 {
                    let ShareByLength { overall, longest_tenth, next_fifth } =
                        share_by_length(&requests, traffic);
                    assert!(
                        longest_tenth >= min_share && next_fifth >= min_share,
                        "{gateways} gateways, load {load}, seed {seed}, type {traffic}: \
                         answered {overall:.3}, relative to that the longest tenth {longest_tenth:.3} \
                         and the next fifth {next_fifth:.3}"
                    );
                }
            }
        }
    }
}

/// Share of the sessions of which every turn was rejected.
struct RejectedSessions {
    /// The share in the model run.
    observed: f64,
    /// The expected share if each turn were rejected independently with the same probability.
    expected: f64,
}

fn rejected_sessions(requests: &[Request]) -> RejectedSessions {
    #[derive(Default)]
    struct Turns {
        total: i32,
        rejected: i32,
    }
    let mut sessions: BTreeMap<u64, Turns> = BTreeMap::new();
    for request in requests {
        let turns = sessions.entry(request.session).or_default();
        turns.total += 1;
        turns.rejected += i32::from(!request.answered);
    }
    let sessions: Vec<Turns> = sessions.into_values().filter(|turns| turns.total > 1).collect();
    let rejected_share = 1.0 - answered_share(requests.iter());
    let count = sessions.len().max(1) as f64;
    let rejected_throughout = sessions.iter().filter(|turns| turns.total == turns.rejected).count();
    RejectedSessions {
        observed: rejected_throughout as f64 / count,
        expected: sessions.iter().map(|turns| rejected_share.powi(turns.total)).sum::<f64>() / count,
    }
}

/// Guards against admission that rejects all turns of some sessions far more often than independent rejections of the
/// single turns would.
#[test]
fn sessions_are_not_rejected_throughout_beyond_chance() {
    for gateways in [3, 30] {
        for load in [0.6, 0.9] {
            for seed in 0..3 {
                let requests = simulate(gateways, load, 60, seed * 100);
                let RejectedSessions { observed, expected } = rejected_sessions(&requests);
                assert!(
                    observed <= expected + 0.12,
                    "{gateways} gateways, load {load}, seed {seed}: {observed:.3} of the sessions are \
                     rejected throughout, {expected:.3} are expected"
                );
            }
        }
    }
}
