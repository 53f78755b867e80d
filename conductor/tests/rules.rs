//! The conductor under generated courses of events: whatever happens, the rules hold in its actions.

use oorandom::Rand64;
use petrelshore::interface::*;
use petrelshore_conductor::proof::Ending;
use petrelshore_conductor::{Action, Conductor, Dispatch, NewSequence, Relay};
use quickcheck::{QuickCheck, TestResult};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
const RELEASE_WITHIN: Nanos = 500 * MS;

fn traffic(utility: f64, effect: Effect) -> TrafficType {
    TrafficType { utility, latency_slo: 500 * MS, slo_per_prompt_token: 0, token_pace: 20 * MS, effect }
}

pub fn deployment() -> Deployment {
    let tokened = Effect::Tokened { scope: Scope::Cell, window: 3_000 * MS };
    Deployment {
        gateways: 2,
        zone: ZoneId(0),
        types: vec![traffic(1.0, Effect::Repeatable), traffic(2.0, Effect::OnceOnly), traffic(2.0, tokened)],
        kinds: [Role::Reader, Role::Writer, Role::Mixed]
            .map(|role| Kind { role, memory_tokens: 10_000.0 })
            .into(),
        tenants: vec![],
        over_share_utility: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        ask_within: 1_000 * MS,
        max_attempts: 4,
        longest_retry_after: Some(1_000 * MS),
        writers_read: false,
        release_within: RELEASE_WITHIN,
        cold_for: 1_000 * MS,
        cold_from: 0.3,
        cold_multiple: 2.5,
        cold_window: 500 * MS,
    }
}

pub fn listing(number: u64, condition: Condition) -> Listing {
    Listing {
        server: ServerId(number),
        kind: KindId(if number < 2 {
            0
        } else if number < 5 {
            1
        } else {
            2
        }),
        cell: CellId((number % 2) as i64),
        zone: ZoneId(0),
        weight: 1.0,
        since: 0,
        condition,
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
    state: Option<Nanos>,
}

struct World {
    conductor: Conductor,
    courses: BTreeMap<SeqId, Course>,
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
                    let writes = dispatch.step != Step::Read;
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
                            !course.seen && dispatch.limit + self.now > course.abandon_at,
                            "rule 1: an attempt outlasts its client",
                        ),
                        (
                            course.traffic == 1 && course.may_have_run.is_some(),
                            "rule 2: once-only sent again",
                        ),
                        (
                            course.traffic == 1 && writes && !dispatch.fresh,
                            "rule 2: once-only not on a fresh connection",
                        ),
                    ];
                    if let Some((_, what)) = checks.iter().find(|(broken, _)| *broken) {
                        return Err(format!("{what}: {dispatch:?}"));
                    }
                    if let (2, Some((first, at, _)), true) = (course.traffic, course.may_have_run, writes)
                        && (first.0 % 2 != dispatch.server.0 % 2 || self.now >= at + 3_000 * MS)
                    {
                        return Err(format!("rule 2: tokened left its group or window: {dispatch:?}"));
                    }
                    if writes && course.may_have_run.is_none() {
                        course.may_have_run = Some((dispatch.server, self.now, dispatch.attempt));
                    }
                    (course.out, course.began, course.state) = (Some(dispatch), false, None);
                }
                Action::Cancel { id, .. } => {
                    if let Some(course) = self.courses.get_mut(&id) {
                        course.out = None;
                    }
                }
                Action::Release { id } => {
                    if let Some(course) = self.courses.get_mut(&id) {
                        course.state = None;
                    }
                }
                Action::Reject { id, .. } => {
                    let course = self.courses.get_mut(&id).ok_or("a rejection for nobody")?;
                    course.finals += 1;
                    let ran = course.may_have_run.is_some();
                    if course.traffic != 0 && ran || course.seen {
                        return Err(format!("rule 2: {id:?} was rejected though it may have run"));
                    }
                }
                Action::Abort { id, .. } | Action::Over { id, .. } => {
                    self.courses.get_mut(&id).ok_or("an end for nobody")?.finals += 1;
                }
                Action::AskAt { .. } | Action::AskList { .. } => {}
            }
        }
        for (id, course) in &self.courses {
            if course.finals == 0 && course.whole_by.is_some_and(|by| self.now > by) {
                return Err(format!("rule 1: {id:?} outlasts its client's whole time"));
            }
            if course.finals > 1 {
                return Err(format!("rule 1: {id:?} got {} final answers", course.finals));
            }
            if course.out.is_none() && course.state.is_some_and(|since| self.now > since + RELEASE_WITHIN) {
                return Err(format!("rule 5: a state of {id:?} is pinned"));
            }
        }
        Ok(())
    }

    fn ending(&mut self, dispatch: &Dispatch, began: bool) -> Ending {
        match self.chance.rand_range(0..10) {
            0 => Ending::NotConnected,
            1 => Ending::RefusedFull,
            2 if dispatch.step != Step::Read => Ending::StateMissing,
            3 => Ending::Reset,
            4 => Ending::Refused { status: 500 },
            5 => Ending::Malformed,
            6 => Ending::HandedBack,
            _ if dispatch.step == Step::Read => Ending::ReadDone { kept: 0.0 },
            _ if began => Ending::Generated,
            _ => Ending::Reset,
        }
    }

    /// One event at a time, as chance has it.
    fn step(&mut self, number: u64) -> Result<(), String> {
        let mut out = Vec::new();
        let running: Vec<(SeqId, Dispatch, bool)> =
            self.courses.iter().filter_map(|(id, course)| Some((*id, course.out?, course.began))).collect();
        let picked =
            (!running.is_empty()).then(|| running[self.chance.rand_range(0..running.len() as u64) as usize]);
        match self.chance.rand_range(0..12) {
            0..3 => {
                let id = SeqId(number);
                let traffic = self.chance.rand_range(0..3) as usize;
                let relay = if self.chance.rand_range(0..2) == 0 { Relay::Streamed } else { Relay::Whole };
                let abandon_at = self.now + (200 + self.chance.rand_range(0..2_000)) * MS;
                // Some clients bound the whole answer too.
                let whole = self.chance.rand_range(0..4_000);
                let whole_by = whole.is_multiple_of(2).then_some(abandon_at + whole * MS);
                let relay_of = Some(relay);
                let course = Course { traffic, relay: relay_of, abandon_at, whole_by, ..Course::default() };
                self.courses.insert(id, course);
                let new = NewSequence {
                    id,
                    traffic: TypeId(traffic),
                    tenant: None,
                    session: Some(SessionId(number % 5)),
                    prefix: None,
                    prompt_tokens: 100.0,
                    prefix_tokens: 0.0,
                    max_out: 50.0,
                    hint: None,
                    resumed: false,
                    relay,
                    abandon_at,
                    whole_by,
                };
                self.conductor.take(self.now, new, &mut out);
            }
            3..5 => {
                if let Some((id, dispatch, false)) = picked.filter(|(_, d, _)| d.step != Step::Read) {
                    self.conductor.began(self.now, id, dispatch.attempt);
                    let course = self.courses.get_mut(&id).ok_or("gone")?;
                    course.began = true;
                    course.seen |= course.relay == Some(Relay::Streamed);
                }
            }
            5..8 => {
                if let Some((id, dispatch, began)) = picked {
                    let ending = self.ending(&dispatch, began);
                    let course = self.courses.get_mut(&id).ok_or("gone")?;
                    course.out = None;
                    match ending {
                        Ending::ReadDone { .. } => course.state = Some(self.now),
                        proven if proven.proves_unrun() && !began => {
                            // The observer forgets an attempt that provably never ran.
                            let own = |(.., attempt): &(ServerId, Nanos, usize)| *attempt == dispatch.attempt;
                            course.may_have_run = course.may_have_run.filter(|first| !own(first));
                        }
                        _ => {}
                    }
                    self.conductor.ended(self.now, id, dispatch.attempt, ending, &mut out);
                }
            }
            8 => {
                if let Some((id, ..)) = picked {
                    let course = self.courses.get_mut(&id).ok_or("gone")?;
                    course.finals += 1; // nobody is left to be answered
                    self.conductor.withdrawn(id, &mut out);
                }
            }
            9 => {
                let server = self.chance.rand_range(0..6);
                let condition =
                    [Condition::Ready, Condition::Draining][self.chance.rand_range(0..2) as usize];
                self.closed[server as usize] = condition != Condition::Ready;
                self.conductor.listed(self.now, ListScope::Changes, &[listing(server, condition)]);
            }
            _ => {
                // Time never jumps over a timer, as in a shell that keeps them.
                let most = self.now + self.chance.rand_range(0..400) * MS;
                while let Some(due) = self.conductor.next_due().filter(|due| *due <= most) {
                    self.now = self.now.max(due);
                    let mut late = Vec::new();
                    self.conductor.due(self.now, &mut late);
                    self.carry_out(late)?;
                }
                self.now = self.now.max(most);
            }
        }
        self.carry_out(out)
    }
}

fn course(seed: u64) -> Result<(), String> {
    let mut conductor = Conductor::new(0, deployment(), seed);
    let list: Vec<Listing> = (0..6).map(|number| listing(number, Condition::Ready)).collect();
    conductor.listed(0, ListScope::Whole, &list);
    let chance = Rand64::new(seed.into());
    let mut world = World { conductor, courses: BTreeMap::new(), closed: [false; 6], chance, now: MS };
    for number in 0..300 {
        world.step(number)?;
    }
    // Every timer runs out: whatever is in hand ends by itself.
    for _ in 0..100_000 {
        let Some(due) = world.conductor.next_due() else { break };
        world.now = world.now.max(due);
        let mut out = Vec::new();
        world.conductor.due(world.now, &mut out);
        world.carry_out(out)?;
    }
    let unanswered = world.courses.values().filter(|course| course.finals != 1).count();
    if unanswered + world.conductor.in_hand() > 0 {
        return Err(format!("rule 1: {unanswered} without a final answer"));
    }
    Ok(())
}

#[test]
fn whatever_happens_the_rules_hold() {
    let holds = |seed: u64| match course(seed) {
        Ok(()) => TestResult::passed(),
        Err(what) => TestResult::error(format!("seed {seed}: {what}")),
    };
    QuickCheck::new().tests(300).quickcheck(holds as fn(u64) -> TestResult);
}

#[test]
fn at_the_end_of_a_drain_everything_is_answered_at_once() {
    for seed in 0..50 {
        let mut conductor = Conductor::new(0, deployment(), seed);
        let list: Vec<Listing> = (0..6).map(|number| listing(number, Condition::Ready)).collect();
        conductor.listed(0, ListScope::Whole, &list);
        let chance = Rand64::new(seed.into());
        let mut world = World { conductor, courses: BTreeMap::new(), closed: [false; 6], chance, now: MS };
        for number in 0..60 {
            world.step(number).unwrap();
        }
        let mut out = Vec::new();
        world.conductor.finish_all(world.now, &mut out);
        world.carry_out(out).unwrap();
        assert!(world.courses.values().all(|course| course.finals == 1), "seed {seed}");
        assert_eq!((world.conductor.in_hand(), world.conductor.next_due()), (0, None));
    }
}
