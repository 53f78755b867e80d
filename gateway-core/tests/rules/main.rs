//! The request manager under generated courses of events: whatever happens, the rules hold in its actions.

use oorandom::Rand64;
use petrelshore::interface::*;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, Dispatch, NewSequence, Relay, RequestManager};
use quickcheck::{QuickCheck, TestResult};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
const RELEASE_WITHIN: Nanos = 500 * MS;

fn traffic(utility: f64, effect: Idempotency) -> TrafficType {
    let delivery = Delivery::Streamed;
    TrafficType {
        priority_weight: utility,
        latency_slo: 500 * MS,
        slo_per_prompt_token: 0,
        token_interval: 20 * MS,
        idempotency: effect,
        delivery,
    }
}

/// A deployment as settings may have it, and its servers by kind.
struct Build {
    deployment: Deployment,
    kinds: [usize; 6],
}

impl Build {
    fn usual() -> Self {
        Build { deployment: deployment(), kinds: [0, 0, 1, 1, 1, 2] }
    }

    /// Any mix of roles and limits that the wire allows.
    fn any(chance: &mut Rand64) -> Self {
        let mut deployment = deployment();
        let mut one_of = |most: u64| chance.rand_range(0..most) as usize;
        let kinds: &[usize] = [&[0, 1, 2][..], &[0, 1], &[0, 2], &[1, 2], &[0], &[1], &[2]][one_of(7)];
        deployment.max_attempts = 1 + one_of(3);
        deployment.decode_servers_prefill = one_of(2) == 0;
        deployment.gateways = [1, 300][one_of(2)];
        deployment.weights = [Weights::Size, Weights::Unused][one_of(2)];
        deployment.max_retry_after = [None, Some(0), Some(60_000 * MS)][one_of(3)];
        deployment.release_timeout = [30, 200, 500, 5_000][one_of(4)] * MS;
        deployment.timer_resolution = [0, 4, 25][one_of(3)] * MS;
        let scope = [KeyScope::Fleet, KeyScope::Zone, KeyScope::Cell][one_of(3)];
        deployment.types[2].idempotency =
            Idempotency::Keyed { scope, window: [0, 100, 3_000][one_of(3)] * MS };
        for traffic in &mut deployment.types {
            traffic.delivery = [Delivery::Streamed, Delivery::Buffered][one_of(2)];
            traffic.priority_weight = [0.0, 0.5, 4.0][one_of(3)];
            traffic.latency_slo = [1, 500, 60_000][one_of(3)] * MS;
        }
        Build { deployment, kinds: std::array::from_fn(|_| kinds[one_of(kinds.len() as u64)]) }
    }

    fn endpoint(&self, number: u64, condition: EndpointState) -> Endpoint {
        let zone = ZoneId(number as usize / 3);
        Endpoint { kind: ServerKindId(self.kinds[number as usize]), zone, ..endpoint(number, condition) }
    }
}

pub fn deployment() -> Deployment {
    let tokened = Idempotency::Keyed { scope: KeyScope::Cell, window: 3_000 * MS };
    Deployment {
        gateways: 2,
        zone: ZoneId(0),
        types: vec![
            traffic(1.0, Idempotency::Idempotent),
            traffic(2.0, Idempotency::AtMostOnce),
            traffic(2.0, tokened),
        ],
        kinds: [Role::Prefill, Role::Decode, Role::Combined]
            .map(|role| ServerKind { role, memory_tokens: 10_000.0 })
            .into(),
        tenants: vec![],
        over_quota_factor: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        max_poll_interval: 1_000 * MS,
        max_attempts: 4,
        max_retry_after: Some(1_000 * MS),
        decode_servers_prefill: false,
        release_timeout: RELEASE_WITHIN,
        slow_start_duration: 1_000 * MS,
        slow_start_initial_share: 0.3,
        slow_start_overload_factor: 2.5,
        slow_start_window: 500 * MS,
        timer_resolution: 0,
        start_time_clock: StartTimeClock::Local,
    }
}

pub fn endpoint(number: u64, condition: EndpointState) -> Endpoint {
    Endpoint {
        server: ServerId(number),
        kind: ServerKindId(if number < 2 {
            0
        } else if number < 5 {
            1
        } else {
            2
        }),
        cell: CellId((number % 2) as i64),
        zone: ZoneId(0),
        weight: 1.0,
        started_at: 0,
        state: condition,
    }
}

fn new_sequence(id: SequenceId, traffic: usize, abandon_at: Nanos) -> NewSequence {
    NewSequence {
        id,
        traffic: TrafficTypeId(traffic),
        tenant: None,
        session: None,
        prefix: None,
        prompt_tokens: 100.0,
        prefix_tokens: 0.0,
        max_output_tokens: 50.0,
        output_length_hint: None,
        resumed: false,
        relay: Relay::Passthrough,
        first_token_deadline: abandon_at,
        completion_deadline: None,
    }
}

/// What a plain observer knows of one sequence.
#[derive(Default)]
struct Course {
    traffic: usize,
    relay: Option<Relay>,
    abandon_at: Nanos,
    whole_by: Option<Nanos>,
    finals: usize,
    out: Option<Dispatch>,
    began: bool,
    /// Its client has seen part of its stream.
    seen: bool,
    may_have_run: Option<(ServerId, Nanos, usize)>,
    /// Reads that may have left something, and since when that waits with nothing out.
    left: usize,
    state: Option<Nanos>,
}

struct World {
    build: Build,
    manager: RequestManager,
    courses: BTreeMap<SequenceId, Course>,
    closed: [bool; 6],
    chance: Rand64,
    now: Nanos,
}

impl World {
    fn carry_out(&mut self, actions: Vec<Action>) -> Result<(), String> {
        for action in actions {
            match action {
                Action::Send(dispatch) => {
                    let closed = self.closed[dispatch.server.0 as usize];
                    let course = self.courses.get_mut(&dispatch.id).ok_or("a send for nobody")?;
                    let writes = dispatch.step != Step::Prefill;
                    let checks = [
                        (course.finals > 0, "rule 1: sent after its final answer"),
                        (
                            course.seen && course.traffic != 0,
                            "rule 2: went on though it may have run to its end",
                        ),
                        (course.out.is_some(), "two attempts out at once"),
                        (closed, "rule 3: sent to a server that is closed"),
                        (
                            !course.seen && self.now >= course.abandon_at,
                            "rule 1: sent after its client's time",
                        ),
                        (
                            !course.seen && dispatch.timeout + self.now > course.abandon_at,
                            "rule 1: an attempt outlasts its client",
                        ),
                        (
                            course.traffic == 1 && course.may_have_run.is_some(),
                            "rule 2: once-only sent again",
                        ),
                        (
                            course.traffic == 1 && writes && !dispatch.new_connection,
                            "rule 2: once-only not on a fresh connection",
                        ),
                    ];
                    if let Some((_, what)) = checks.iter().find(|(broken, _)| *broken) {
                        return Err(format!("{what}: {dispatch:?}"));
                    }
                    let effect = self.build.deployment.types[course.traffic].idempotency;
                    if let (Idempotency::Keyed { scope, window }, Some((first, at, _))) =
                        (effect, course.may_have_run)
                    {
                        let group = match scope {
                            KeyScope::Fleet => true,
                            KeyScope::Zone => first.0 / 3 == dispatch.server.0 / 3,
                            KeyScope::Cell => first.0 % 2 == dispatch.server.0 % 2,
                        };
                        if !group || self.now >= at + window {
                            return Err(format!("rule 2: tokened left its group or window: {dispatch:?}"));
                        }
                    }
                    if writes && course.may_have_run.is_none() {
                        course.may_have_run = Some((dispatch.server, self.now, dispatch.attempt));
                    }
                    (course.out, course.began, course.state) = (Some(dispatch), false, None);
                }
                Action::Cancel { id, step, .. } => {
                    if let Some(course) = self.courses.get_mut(&id) {
                        course.out = None;
                        course.left += usize::from(step == Step::Prefill);
                        course.state = (course.left > 0).then_some(self.now);
                    }
                }
                Action::Release { id } => {
                    if let Some(course) = self.courses.get_mut(&id) {
                        (course.left, course.state) = (0, None);
                    }
                }
                Action::Reject { id, retry_after, .. } => {
                    let course = self.courses.get_mut(&id).ok_or("a rejection for nobody")?;
                    course.finals += 1;
                    let harmful = match (
                        self.build.deployment.types[course.traffic].idempotency,
                        course.may_have_run,
                    ) {
                        (Idempotency::Idempotent, _) | (_, None) => false,
                        (Idempotency::Keyed { scope: KeyScope::Fleet, window }, Some((_, at, _))) => {
                            self.now + retry_after.unwrap_or(0) >= at + window
                        }
                        _ => true,
                    };
                    if harmful || course.seen {
                        return Err(format!("rule 2: {id:?} was rejected though it may have run"));
                    }
                }
                Action::Abort { id, .. } | Action::Complete { id, .. } => {
                    self.courses.get_mut(&id).ok_or("an end for nobody")?.finals += 1;
                }
                Action::WakeAt { .. } | Action::PollEndpoints { .. } => {}
            }
        }
        for (id, course) in &self.courses {
            if course.finals == 0 && course.whole_by.is_some_and(|by| self.now > by) {
                return Err(format!("rule 1: {id:?} outlasts its client's whole time"));
            }
            let late = self.now >= course.abandon_at + self.build.deployment.timer_resolution.max(1);
            if course.finals == 0 && !course.began && !course.seen && late {
                return Err(format!("rule 1: {id:?} has no final answer in its client's time"));
            }
            if course.finals > 1 {
                return Err(format!("rule 1: {id:?} got {} final answers", course.finals));
            }
            if course.out.is_none()
                && course.state.is_some_and(|since| self.now > since + self.build.deployment.release_timeout)
            {
                return Err(format!("rule 5: a state of {id:?} is pinned"));
            }
        }
        Ok(())
    }

    /// Nothing of an answer shows before its end.
    fn whole(&self, id: SequenceId) -> bool {
        let traffic = self.courses.get(&id).map_or(0, |course| course.traffic);
        self.build.deployment.types[traffic].delivery == Delivery::Buffered
    }

    fn ending(&mut self, dispatch: &Dispatch, began: bool) -> AttemptEnd {
        match self.chance.rand_range(0..10) {
            0 => AttemptEnd::NotConnected,
            1 => AttemptEnd::AtCapacity,
            2 if dispatch.step != Step::Prefill => AttemptEnd::KvCacheMissing,
            3 => AttemptEnd::Reset,
            4 => AttemptEnd::ErrorStatus { status: 500 },
            5 => AttemptEnd::Malformed,
            6 => AttemptEnd::ReturnedUnsent,
            _ if dispatch.step == Step::Prefill => AttemptEnd::PrefillDone { cached_tokens: 0.0 },
            _ if began || self.whole(dispatch.id) => AttemptEnd::Completed,
            _ => AttemptEnd::Reset,
        }
    }

    /// A timer comes as late as the clock allows.
    fn pass_timer(&mut self, due: Nanos) -> Result<(), String> {
        let late = self.chance.rand_range(0..self.build.deployment.timer_resolution.max(1));
        self.now = self.now.max(due + late);
        let mut out = Vec::new();
        self.manager.on_timeout(self.now, &mut out);
        self.carry_out(out)
    }

    /// One event at a time, as chance has it.
    fn step(&mut self, number: u64) -> Result<(), String> {
        let mut out = Vec::new();
        let running: Vec<(SequenceId, Dispatch, bool)> =
            self.courses.iter().filter_map(|(id, course)| Some((*id, course.out?, course.began))).collect();
        let picked =
            (!running.is_empty()).then(|| running[self.chance.rand_range(0..running.len() as u64) as usize]);
        match self.chance.rand_range(0..12) {
            0..3 => {
                let id = SequenceId(number);
                let traffic = self.chance.rand_range(0..3) as usize;
                let relay = if self.chance.rand_range(0..2) == 0 { Relay::Streamed } else { Relay::Buffered };
                let abandon_at = self.now + (200 + self.chance.rand_range(0..2_000)) * MS;
                // Some clients bound the whole answer too.
                let whole = self.chance.rand_range(0..4_000);
                let whole_by = whole.is_multiple_of(2).then_some(abandon_at + whole * MS);
                let relay_of = Some(relay);
                let course = Course { traffic, relay: relay_of, abandon_at, whole_by, ..Course::default() };
                self.courses.insert(id, course);
                let session = Some(SessionId(number % 5));
                let new = NewSequence {
                    session,
                    relay,
                    completion_deadline: whole_by,
                    ..new_sequence(id, traffic, abandon_at)
                };
                self.manager.accept(self.now, new, &mut out);
            }
            3..5 => {
                if let Some((id, dispatch, false)) =
                    picked.filter(|(id, d, _)| d.step != Step::Prefill && !self.whole(*id))
                {
                    self.manager.first_token(self.now, id, dispatch.attempt);
                    let course = self.courses.get_mut(&id).ok_or("gone")?;
                    (course.began, course.left) = (true, 0);
                    course.seen |= course.relay == Some(Relay::Streamed);
                }
            }
            5..8 => {
                if let Some((id, dispatch, began)) = picked {
                    let ending = self.ending(&dispatch, began);
                    let course = self.courses.get_mut(&id).ok_or("gone")?;
                    course.out = None;
                    let read = dispatch.step == Step::Prefill && !ending.proves_not_run();
                    let missing = ending == AttemptEnd::KvCacheMissing;
                    course.left = (course.left + usize::from(read)).saturating_sub(usize::from(missing));
                    course.state = (course.left > 0).then_some(self.now);
                    match ending {
                        proven if proven.proves_not_run() && !began => {
                            // The observer forgets an attempt that provably never ran.
                            let own = |(.., attempt): &(ServerId, Nanos, usize)| *attempt == dispatch.attempt;
                            course.may_have_run = course.may_have_run.filter(|first| !own(first));
                        }
                        _ => {}
                    }
                    self.manager.attempt_ended(self.now, id, dispatch.attempt, ending, &mut out);
                }
            }
            8 => {
                let (server, share) = (ServerId(number % 7), self.chance.rand_float());
                let report = LoadReport {
                    memory_share: Some(share),
                    queued_prompt_tokens: Some(share * 1e4),
                    in_flight: None,
                };
                self.manager.load_reported(self.now, server, report);
                if let Some((id, ..)) = picked {
                    let course = self.courses.get_mut(&id).ok_or("gone")?;
                    course.finals += 1; // nobody is left to be answered
                    self.manager.client_cancelled(id, &mut out);
                }
            }
            9 => {
                let server = self.chance.rand_range(0..6);
                let condition =
                    [EndpointState::Ready, EndpointState::Draining][self.chance.rand_range(0..2) as usize];
                self.closed[server as usize] = condition != EndpointState::Ready;
                self.manager.update_endpoints(
                    self.now,
                    SnapshotKind::Delta,
                    &[self.build.endpoint(server, condition)],
                );
            }
            _ => {
                // Time never jumps over a timer, as in a shell that keeps them.
                let most = self.now + self.chance.rand_range(0..400) * MS;
                while let Some(due) = self.manager.next_timeout().filter(|due| *due <= most) {
                    self.pass_timer(due)?;
                }
                self.now = self.now.max(most);
            }
        }
        self.carry_out(out)
    }
}

fn world(seed: u64, build: Build) -> World {
    let mut manager = RequestManager::new(0, build.deployment.clone(), seed);
    let list: Vec<Endpoint> = (0..6).map(|number| build.endpoint(number, EndpointState::Ready)).collect();
    manager.update_endpoints(0, SnapshotKind::Full, &list);
    let chance = Rand64::new(seed.into());
    World { build, manager, courses: BTreeMap::new(), closed: [false; 6], chance, now: MS }
}

fn course(seed: u64, build: Build) -> Result<(), String> {
    let mut world = world(seed, build);
    for number in 0..300 {
        world.step(number)?;
    }
    // Every timer runs out: whatever is in hand ends by itself.
    for _ in 0..100_000 {
        let Some(due) = world.manager.next_timeout() else { break };
        world.pass_timer(due)?;
    }
    // And nothing is held after the end, however long nobody looks.
    world.now += 2 * world.build.deployment.release_timeout;
    world.carry_out(Vec::new())?;
    let unanswered = world.courses.values().filter(|course| course.finals != 1).count();
    if unanswered + world.manager.unanswered() > 0 {
        return Err(format!("rule 1: {unanswered} without a final answer"));
    }
    Ok(())
}

#[test]
fn whatever_happens_the_rules_hold() {
    let holds = |seed: u64| match course(seed, Build::usual()) {
        Ok(()) => TestResult::passed(),
        Err(what) => TestResult::error(format!("seed {seed}: {what}")),
    };
    QuickCheck::new().tests(300).quickcheck(holds as fn(u64) -> TestResult);
}

#[test]
fn whatever_happens_in_any_build_that_settings_allow_the_rules_hold() {
    for seed in 0..1_000 {
        let build = Build::any(&mut Rand64::new(!u128::from(seed)));
        course(seed, build).unwrap_or_else(|what| panic!("seed {seed}: {what}"));
    }
}

#[test]
fn at_the_end_of_a_drain_everything_is_answered_at_once() {
    for seed in 0..50 {
        let mut world = world(seed, Build::usual());
        for number in 0..60 {
            world.step(number).unwrap();
        }
        let mut out = Vec::new();
        world.manager.terminate_all(world.now, &mut out);
        world.carry_out(out).unwrap();
        assert!(world.courses.values().all(|course| course.finals == 1), "seed {seed}");
        assert_eq!((world.manager.unanswered(), world.manager.next_timeout()), (0, None));
    }
}

/// Where a request manager stands just before it gives a sequence up, and the event that makes it.
type ErrorCause = fn(&mut RequestManager, &mut Vec<Action>) -> Nanos;

/// A sequence of this traffic type whose client waits for four seconds; the attempts that went out are ended so,
/// each 10 ms after the one before.
fn tried(
    manager: &mut RequestManager,
    traffic: usize,
    endings: &[AttemptEnd],
    out: &mut Vec<Action>,
) -> Nanos {
    manager.accept(0, new_sequence(SequenceId(1), traffic, 4_000 * MS), out);
    let mut now = 0;
    for (attempt, ending) in endings.iter().enumerate() {
        now += 10 * MS;
        manager.attempt_ended(now, SequenceId(1), attempt, *ending, out);
    }
    now
}

/// Timers up to the first that is not before `until`.
fn pass(manager: &mut RequestManager, until: Nanos, out: &mut Vec<Action>) -> Nanos {
    while let Some(due) = manager.next_timeout() {
        out.clear();
        manager.on_timeout(due, out);
        if due >= until || manager.next_timeout().is_none() {
            return due;
        }
    }
    until
}

#[test]
fn whatever_gives_a_sequence_up_answers_it_in_the_same_step() {
    let causes: [(&str, ErrorCause); 8] = [
        ("attempts are used up", |c, out| {
            tried(
                c,
                2,
                &[
                    AttemptEnd::AtCapacity,
                    AttemptEnd::NotConnected,
                    AttemptEnd::AtCapacity,
                    AttemptEnd::NotConnected,
                ],
                out,
            )
        }),
        ("once-only work may have run", |c, out| {
            tried(c, 1, &[AttemptEnd::PrefillDone { cached_tokens: 0.0 }, AttemptEnd::Reset], out)
        }),
        ("the stream broke", |c, out| {
            tried(c, 0, &[AttemptEnd::PrefillDone { cached_tokens: 0.0 }], out);
            c.first_token(20 * MS, SequenceId(1), 1);
            c.attempt_ended(30 * MS, SequenceId(1), 1, AttemptEnd::Reset, out);
            30 * MS
        }),
        ("no server comes", |c, out| {
            c.update_endpoints(0, SnapshotKind::Full, &[]);
            tried(c, 0, &[], out);
            pass(c, 4_000 * MS, out)
        }),
        ("nobody can take the state in time", |c, out| {
            let writers: Vec<Endpoint> = (2..6).map(|n| endpoint(n, EndpointState::Gone)).collect();
            c.update_endpoints(0, SnapshotKind::Delta, &writers);
            tried(c, 0, &[AttemptEnd::PrefillDone { cached_tokens: 0.0 }], out);
            pass(c, 4_000 * MS, out)
        }),
        ("the client's time is up under an attempt", |c, out| {
            tried(c, 1, &[AttemptEnd::PrefillDone { cached_tokens: 0.0 }], out);
            pass(c, 4_000 * MS, out)
        }),
        ("the gateway stops", |c, out| {
            tried(c, 0, &[AttemptEnd::PrefillDone { cached_tokens: 0.0 }], out);
            c.terminate_all(20 * MS, out);
            20 * MS
        }),
        ("all writers are full", |c, out| {
            let full = LoadReport { memory_share: Some(1.0), queued_prompt_tokens: None, in_flight: None };
            (2..6).for_each(|n| c.load_reported(0, ServerId(n), full));
            tried(c, 0, &[], out)
        }),
    ];
    for (why, cause) in causes {
        let mut manager = world(5, Build::usual()).manager;
        let mut out = Vec::new();
        let now = cause(&mut manager, &mut out);
        let last =
            |a: &&Action| matches!(a, Action::Reject { .. } | Action::Abort { .. } | Action::Complete { .. });
        assert_eq!(out.iter().filter(last).count(), 1, "{why}: {out:?}");
        assert_eq!(
            (manager.next_timeout(), manager.unanswered()),
            (None, 0),
            "{why}: nothing is left to wait for"
        );
        assert!(now <= 4_000 * MS, "{why}: at {now}");
        let told = out.iter().all(|a| !matches!(a, Action::Reject { retry_after: None, .. }));
        assert!(told, "{why}: a rejection says when to come back where settings carry it");
    }
}
