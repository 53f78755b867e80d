//! The course of a play: events in the order of their times.

use super::measures::{
    BETWEEN_TOKENS, Counts, FIRST_TOKEN, SlowStart, Spread, Summary, seconds, work_by_role,
};
use super::servers::{ModelServer, Outcome};
use super::traffic::{Request, Traffic};
use super::{Scene, Setup};
use crate::inventory::{self, SECOND, Size};
use crate::limits;
use oorandom::Rand64;
use petrelshore::interface::{
    CellId, Deployment, Endpoint, EndpointState, Nanos, PrefixId, Role, SequenceId, ServerId, SessionId,
    SnapshotKind, Step, TrafficTypeId, ZoneId,
};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, Chooser, Dispatch, NewSequence, Relay, RequestManager};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

/// What a client waits for its first token.
const DEADLINE: Nanos = 4 * SECOND;
/// A final answer may come this much after that.
const SLACK: Nanos = SECOND / 20;
/// How often a stream's tokens are told to its request manager.
const PROGRESS: Nanos = 4 * SECOND;
const SLOW_START: Nanos = 10 * SECOND;
/// Parts of a play: before the first nothing is counted; a zone is lost at the second and back at the third.
const WARM_UP: f64 = 0.2;
const LOST_AT: f64 = 0.35;
const BACK_AT: f64 = 0.5;
/// A change is told to one gateway after the other within this time.
const TOLD_WITHIN: Nanos = 2 * SECOND;
/// The zone that is lost.
const LOST: ZoneId = ZoneId(0);
const START: Nanos = 1_000 * SECOND;
const TENANT_RATE: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    Read { dispatch: Dispatch, gateway: usize, start: u64, kept: f64 },
    FirstToken { dispatch: Dispatch, gateway: usize, start: u64, token: Nanos },
    Tokens { id: SequenceId, gateway: usize },
    StreamEnds { dispatch: Dispatch, gateway: usize, start: u64, tokens: f64 },
    Ends { dispatch: Dispatch, gateway: usize, ending: AttemptEnd },
    Due { gateway: usize },
    ZoneLost,
    ZoneBack,
    Told { gateway: usize, lost: bool },
}

/// An event at its time; the number keeps the order of those at one time.
struct Timed {
    at: Nanos,
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Gateway {
    manager: RequestManager,
    /// When its timers are looked at next.
    due: Nanos,
    knows_lost: bool,
}

/// A request that has not had its final answer.
struct Open {
    request: Request,
    arrived: Nanos,
    /// Where its prompt was read last.
    read_at: (CellId, ZoneId),
    begun: bool,
    counts: bool,
}

struct Play {
    setup: Setup,
    deployment: Deployment,
    random: Rand64,
    traffic: Traffic,
    events: BinaryHeap<Reverse<Timed>>,
    numbers: u64,
    gateways: Vec<Gateway>,
    servers: Vec<ModelServer>,
    places: HashMap<ServerId, usize>,
    open: HashMap<SequenceId, Open>,
    next_id: u64,
    counts: Counts,
    slow_start: HashMap<usize, SlowStart>,
    slow_start_worst: f64,
    deciding: Duration,
}

/// Plays one setup to its end.
pub fn play(setup: &Setup) -> Summary {
    let from = Instant::now();
    let mut play = Play::new(*setup);
    let end = play.at(1.0);
    play.run(end);
    play.finish(end);
    play.summary(from.elapsed())
}

impl Play {
    fn new(setup: Setup) -> Self {
        let size = Size {
            gateways: setup.gateways,
            servers: setup.servers,
            tenants: setup.tenants,
            tenant_rate: TENANT_RATE * setup.rate / setup.tenants.max(1) as f64,
            slow_start: SLOW_START,
        };
        let list = inventory::fleet(setup.servers, 0.0, 0);
        let gateway = |number: usize| {
            let deployment = inventory::deployment(size, number % inventory::ZONES);
            let seed = setup.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
            let mut manager = RequestManager::with(START, deployment, seed, setup.chooser);
            manager.update_endpoints(START, SnapshotKind::Full, &list);
            Gateway { manager, due: Nanos::MAX, knows_lost: false }
        };
        let deployment = inventory::deployment(size, 0);
        let servers = list.iter().map(|endpoint| ModelServer::new(endpoint.clone(), &deployment)).collect();
        let mut play = Play {
            random: Rand64::new(u128::from(setup.seed) + 1),
            traffic: Traffic::new(setup.seed, setup.rate, setup.gateways, setup.tenants),
            events: BinaryHeap::new(),
            numbers: 0,
            gateways: (0..setup.gateways).map(gateway).collect(),
            places: list.iter().enumerate().map(|(place, endpoint)| (endpoint.server, place)).collect(),
            servers,
            open: HashMap::new(),
            next_id: 0,
            counts: Counts::default(),
            slow_start: HashMap::new(),
            slow_start_worst: 0.0,
            deciding: Duration::ZERO,
            deployment,
            setup,
        };
        play.schedule(START, Event::Arrival);
        if setup.scene == Scene::ZoneLost {
            play.schedule(play.at(LOST_AT), Event::ZoneLost);
            play.schedule(play.at(BACK_AT), Event::ZoneBack);
        }
        play
    }

    /// The time at a part of the play.
    fn at(&self, part: f64) -> Nanos {
        START + (self.setup.seconds as f64 * part * SECOND as f64) as Nanos
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.numbers += 1;
        self.events.push(Reverse(Timed { at, number: self.numbers, event }));
    }

    fn run(&mut self, end: Nanos) {
        while let Some(Reverse(Timed { at, event, .. })) = self.events.pop().filter(|next| next.0.at < end) {
            self.happens(at, event);
        }
    }

    fn happens(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Arrival => self.arrival(now),
            Event::Read { dispatch, gateway, start, kept } => {
                if self.server_is(dispatch.server, start) {
                    self.report(now, gateway, dispatch.server);
                    self.ends(now, gateway, &dispatch, AttemptEnd::PrefillDone { cached_tokens: kept });
                }
            }
            Event::FirstToken { dispatch, gateway, start, token } => {
                if self.server_is(dispatch.server, start) {
                    self.first_token(now, gateway, &dispatch, token);
                }
            }
            Event::Tokens { id, gateway } => self.tokens(now, gateway, id),
            Event::StreamEnds { dispatch, gateway, start, tokens } => {
                if self.server_is(dispatch.server, start) {
                    let place = self.places[&dispatch.server];
                    self.servers[place].ended(tokens);
                    self.report(now, gateway, dispatch.server);
                    self.ends(now, gateway, &dispatch, AttemptEnd::Completed);
                }
            }
            Event::Ends { dispatch, gateway, ending } => self.ends(now, gateway, &dispatch, ending),
            Event::Due { gateway } => {
                if self.gateways[gateway].due == now {
                    self.gateways[gateway].due = Nanos::MAX;
                    self.decide(now, gateway, |manager, out| manager.on_timeout(now, out));
                }
            }
            Event::ZoneLost => self.zone(now, true),
            Event::ZoneBack => self.zone(now, false),
            Event::Told { gateway, lost } => self.told(now, gateway, lost),
        }
    }

    fn arrival(&mut self, now: Nanos) {
        let pause = self.traffic.pause();
        self.schedule(now + pause.max(1), Event::Arrival);
        let request = self.traffic.request();
        self.next_id += 1;
        let id = SequenceId(self.next_id);
        let counts = now >= self.at(WARM_UP) && now + DEADLINE < self.at(1.0);
        let prompt = request.prompt;
        if counts {
            self.counts.requests += 1;
            self.counts.prompt_tokens += prompt.tokens;
        }
        let read_at = (CellId(-1), ZoneId(usize::MAX));
        self.open.insert(id, Open { request, arrived: now, read_at, begun: false, counts });
        let new = NewSequence {
            id,
            traffic: TrafficTypeId(0),
            tenant: request.tenant,
            session: Some(SessionId(prompt.session)),
            prefix: Some(PrefixId(prompt.prefix)),
            prompt_tokens: prompt.tokens,
            prefix_tokens: prompt.prefix_tokens,
            max_output_tokens: 1_000.0,
            output_length_hint: None,
            resumed: false,
            relay: Relay::Passthrough,
            first_token_deadline: now + DEADLINE,
            completion_deadline: None,
        };
        self.decide(now, request.gateway, |manager, out| manager.accept(now, new, out));
    }

    /// Tells a gateway's request manager something, and carries out what follows.
    fn decide(
        &mut self,
        now: Nanos,
        gateway: usize,
        tell: impl FnOnce(&mut RequestManager, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        let from = Instant::now();
        tell(&mut self.gateways[gateway].manager, &mut actions);
        self.deciding += from.elapsed();
        for action in actions {
            self.carry_out(now, gateway, action);
        }
        let due = self.gateways[gateway].manager.next_timeout().unwrap_or(Nanos::MAX).max(now + 1);
        if due < self.gateways[gateway].due {
            self.gateways[gateway].due = due;
            self.schedule(due, Event::Due { gateway });
        }
    }

    fn carry_out(&mut self, now: Nanos, gateway: usize, action: Action) {
        match action {
            Action::Send(dispatch) => self.send(now, gateway, dispatch),
            Action::Complete { id, outcome, .. } => {
                self.final_answer(now, id, outcome == petrelshore::interface::Outcome::Completed, false);
            }
            Action::Reject { id, .. } => self.final_answer(now, id, false, true),
            Action::Abort { id, .. } => self.final_answer(now, id, false, false),
            Action::Cancel { .. }
            | Action::Release { .. }
            | Action::WakeAt { .. }
            | Action::PollEndpoints { .. } => {}
        }
    }

    /// The one final answer of a request: a second one, or a late one, breaks rule 1.
    fn final_answer(&mut self, now: Nanos, id: SequenceId, generated: bool, rejected: bool) {
        let Some(open) = self.open.remove(&id) else {
            self.counts.rules_broken += 1;
            return;
        };
        if !open.begun && now > open.arrived + DEADLINE + SLACK {
            self.counts.rules_broken += 1;
        }
        if open.counts && !generated && !open.begun {
            let of = if rejected { &mut self.counts.refused } else { &mut self.counts.failed };
            *of += 1;
        }
    }

    fn send(&mut self, now: Nanos, gateway: usize, dispatch: Dispatch) {
        let place = self.places[&dispatch.server];
        let Some(open) = self.open.get_mut(&dispatch.id) else {
            self.counts.rules_broken += 1;
            return;
        };
        self.counts.attempts += u64::from(open.counts);
        let server = &mut self.servers[place];
        if self.gateways[gateway].knows_lost && server.endpoint.zone == LOST {
            self.counts.rules_broken += 1;
        }
        if server.lost {
            let at = now + dispatch.connect_timeout.min(dispatch.timeout);
            return self.schedule(at, Event::Ends { dispatch, gateway, ending: AttemptEnd::NotConnected });
        }
        let reads = dispatch.step == Step::Prefill;
        let (prompt, answer) = (open.request.prompt, f64::from(open.request.answer));
        let tokens = prompt.tokens + answer;
        let outcome = if reads {
            open.read_at = (server.endpoint.cell, server.endpoint.zone);
            server.read(now, &prompt)
        } else {
            server.write(now, tokens, open.read_at.0, open.read_at.1)
        };
        if open.counts && !reads {
            self.counts.decodes += 1;
            self.counts.moved += u64::from(server.endpoint.cell != open.read_at.0);
        }
        if open.counts
            && let Outcome::Read { kept, .. } = outcome
        {
            self.counts.kept_tokens += kept;
        }
        let start = server.start;
        self.count_cold(now, place);
        match outcome {
            Outcome::Read { at, kept } => self.schedule(at, Event::Read { dispatch, gateway, start, kept }),
            Outcome::Writes { first, token } => {
                self.schedule(first, Event::FirstToken { dispatch, gateway, start, token });
                let end = first + token * answer as Nanos;
                self.schedule(end, Event::StreamEnds { dispatch, gateway, start, tokens });
            }
            Outcome::Full => {
                self.schedule(
                    now + SECOND / 1_000,
                    Event::Ends { dispatch, gateway, ending: AttemptEnd::AtCapacity },
                );
            }
        }
    }

    /// Counts a call to a server in slow start against its budget.
    fn count_cold(&mut self, now: Nanos, place: usize) {
        let server = &self.servers[place];
        if !server.is_cold(now) {
            return;
        }
        let of_role = (0..self.setup.servers).filter(|number| inventory::prefills(*number)).count() as f64;
        let servers = match self.role(&server.endpoint) {
            Role::Prefill => of_role,
            _ => self.setup.servers as f64 - of_role,
        };
        let Deployment { slow_start_overload_factor: cold_multiple, slow_start_window: cold_window, .. } =
            self.deployment;
        let ordinary = self.setup.rate / servers.max(1.0) * seconds(cold_window);
        let allowed = cold_multiple * server.present(now) * ordinary;
        let calls = self.slow_start.entry(place).or_default();
        calls.call(now, cold_window, allowed);
        self.slow_start_worst = self.slow_start_worst.max(calls.worst());
    }

    fn role(&self, endpoint: &Endpoint) -> Role {
        self.deployment.kinds[endpoint.kind.0].role
    }

    fn server_is(&self, id: ServerId, start: u64) -> bool {
        let server = &self.servers[self.places[&id]];
        server.start == start && !server.lost
    }

    fn report(&mut self, now: Nanos, gateway: usize, id: ServerId) {
        let report = self.servers[self.places[&id]].report(now);
        self.gateways[gateway].manager.load_reported(now, id, report);
    }

    fn ends(&mut self, now: Nanos, gateway: usize, dispatch: &Dispatch, ending: AttemptEnd) {
        let (id, attempt) = (dispatch.id, dispatch.attempt);
        self.decide(now, gateway, |manager, out| manager.attempt_ended(now, id, attempt, ending, out));
    }

    fn first_token(&mut self, now: Nanos, gateway: usize, dispatch: &Dispatch, token: Nanos) {
        let Some(open) = self.open.get_mut(&dispatch.id).filter(|open| !open.begun) else { return };
        open.begun = true;
        if open.counts {
            let took = now - open.arrived;
            self.counts.answered += 1;
            self.counts.on_target += u64::from(took <= FIRST_TOKEN && token <= BETWEEN_TOKENS);
            self.counts.first_token(took);
        }
        let (id, attempt) = (dispatch.id, dispatch.attempt);
        self.decide(now, gateway, |manager, _| manager.first_token(now, id, attempt));
        self.schedule(now + PROGRESS, Event::Tokens { id, gateway });
    }

    fn tokens(&mut self, now: Nanos, gateway: usize, id: SequenceId) {
        if self.open.contains_key(&id) {
            self.gateways[gateway].manager.token_received(now, id);
            self.schedule(now + PROGRESS, Event::Tokens { id, gateway });
        }
    }

    /// The model servers of a zone are lost, or back; each gateway is told some time later.
    fn zone(&mut self, now: Nanos, lost: bool) {
        for (place, server) in self.servers.iter_mut().enumerate().filter(|(_, s)| s.endpoint.zone == LOST) {
            if lost {
                server.lost = true;
                server.start += 1;
            } else {
                server.restart(now);
                self.slow_start.insert(place, SlowStart::default());
            }
        }
        for gateway in 0..self.gateways.len() {
            let at = now + self.random.rand_range(0..TOLD_WITHIN);
            self.schedule(at, Event::Told { gateway, lost });
        }
    }

    fn told(&mut self, now: Nanos, gateway: usize, lost: bool) {
        let condition = if lost { EndpointState::Gone } else { EndpointState::Ready };
        let of_zone = self.servers.iter().filter(|server| server.endpoint.zone == LOST);
        let list: Vec<Endpoint> =
            of_zone.map(|s| Endpoint { state: condition, ..s.endpoint.clone() }).collect();
        self.gateways[gateway].manager.update_endpoints(now, SnapshotKind::Delta, &list);
        self.gateways[gateway].knows_lost = lost;
    }

    /// Every request that is open at the end gets its final answer then; one that does not breaks rule 1.
    fn finish(&mut self, end: Nanos) {
        for gateway in 0..self.gateways.len() {
            self.decide(end, gateway, |manager, out| manager.terminate_all(end, out));
        }
        self.counts.rules_broken += self.open.len() as u64;
    }

    fn summary(&self, took: Duration) -> Summary {
        let Counts { requests, on_target, answered, refused, failed, .. } = self.counts;
        let part = |count: u64, of: u64| count as f64 / of.max(1) as f64;
        let work = self.servers.iter().map(|server| (self.role(&server.endpoint), server.work));
        let by_role = work_by_role(work);
        let spread = |role: Role| Spread::of(by_role.get(&(role as usize)).cloned().unwrap_or_default());
        let (prefill, decode) = (spread(Role::Prefill), spread(Role::Decode));
        let examined: u64 = self.gateways.iter().map(|gateway| gateway.manager.servers_examined()).sum();
        Summary {
            play: self.setup.scene.name().to_owned(),
            policy: if self.setup.chooser == Chooser::Scan { "scan" } else { "candidates" }.to_owned(),
            seed: self.setup.seed,
            gateways: self.setup.gateways,
            servers: self.setup.servers,
            rate: self.setup.rate,
            requests,
            served: part(on_target, requests),
            answered: part(answered, requests),
            refused: part(refused, requests),
            failed: part(failed, requests),
            first_token_p95_ms: self
                .counts
                .first_token_ms
                .as_ref()
                .map_or(0, |ms| ms.value_at_quantile(0.95)),
            cached: self.counts.kept_tokens / self.counts.prompt_tokens.max(1.0),
            prefill_p99_over_mean: prefill.p99,
            prefill_max_over_mean: prefill.max,
            decode_p99_over_mean: decode.p99,
            decode_max_over_mean: decode.max,
            max_over_mean: prefill.max.max(decode.max),
            moved: part(self.counts.moved, self.counts.decodes),
            attempts: part(self.counts.attempts, requests),
            slow_start_worst: self.slow_start_worst,
            rules_broken: self.counts.rules_broken,
            examined_per_request: part(examined, self.next_id),
            us_per_request: self.deciding.as_secs_f64() * 1e6 / self.next_id.max(1) as f64,
            real_seconds: took.as_secs_f64(),
            peak_mib: limits::peak_resident().unwrap_or(0) >> 20,
        }
    }
}
