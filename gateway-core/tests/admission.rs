//! Who is refused: by the length of prompts and by session, in a small model of readers and writers.

mod common;

use common::*;
use oorandom::Rand64;
use petrelshore::interface::*;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, NewSequence, Relay, RequestManager};
use std::collections::{BTreeMap, BTreeSet};

/// Pairs of a reader and a writer, and prompt tokens that a reader reads a second.
const PAIRS: u64 = 8;
const SPEED: f64 = 16_000.0;
/// Median and spread of the logarithm of what each turn adds to its prompt.
const TOKENS: f64 = 2_000.0;
const SPREAD: f64 = 0.8;
const MEAN: f64 = 2_754.0;

fn two_types(gateways: usize) -> Deployment {
    let kind = |role| ServerKind { role, memory_tokens: 200_000.0 };
    let traffic = |utility, latency_slo| TrafficType {
        priority_weight: utility,
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

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next turn of a session.
    Turn(u64),
    /// A read that its reader has done, or a first token.
    Read(usize, SequenceId, usize),
    Began(usize, SequenceId, usize),
    Whole(usize, SequenceId, usize),
    /// A gateway's own timer.
    PendingSend(usize),
}

/// One request of a session, by its prompt, and whether it was answered.
struct Asked {
    session: u64,
    traffic: usize,
    prompt: f64,
    answered: bool,
}

struct World {
    gateways: Vec<RequestManager>,
    events: BTreeSet<(Nanos, u64, Event)>,
    drawn: u64,
    /// Until when each reader is busy with what it was sent.
    busy: BTreeMap<ServerId, Nanos>,
    asked: Vec<Asked>,
    by_id: BTreeMap<SequenceId, usize>,
}

impl World {
    fn later(&mut self, at: Nanos, event: Event) {
        self.drawn += 1;
        self.events.insert((at, self.drawn, event));
    }

    fn carry_out(&mut self, now: Nanos, gateway: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send(dispatch) = action else { continue };
            let (id, attempt) = (dispatch.id, dispatch.attempt);
            if dispatch.step == Step::Prefill {
                let prompt = self.asked[self.by_id[&id]].prompt;
                let busy = self.busy.entry(dispatch.server).or_insert(0);
                *busy = (*busy).max(now) + (prompt / SPEED * 1e9) as Nanos;
                let done = *busy;
                self.later(done, Event::Read(gateway, id, attempt));
            } else {
                self.later(now + 60 * MS, Event::Began(gateway, id, attempt));
            }
        }
        if let Some(due) = self.gateways[gateway].next_timeout() {
            self.later(due.max(now), Event::PendingSend(gateway));
        }
    }
}

/// Plays `seconds` at so many times what the readers can do; what was asked after the first fifth of them.
fn play(gateways: usize, load: f64, seconds: u64, seed: u64) -> Vec<Asked> {
    let entry = |n: u64| Endpoint {
        server: ServerId(n + 1),
        kind: ServerKindId((n % 2) as usize),
        cell: CellId((n / 4) as i64),
        zone: ZoneId(0),
        weight: 1.0,
        started_at: 0,
        state: EndpointState::Ready,
    };
    let fleet: Vec<Endpoint> = (0..2 * PAIRS).map(entry).collect();
    let start = |n: usize| {
        let mut manager = RequestManager::new(START, two_types(gateways), seed + n as u64);
        manager.update_endpoints(START, SnapshotKind::Full, &fleet);
        manager
    };
    let mut world = World {
        gateways: (0..gateways).map(start).collect(),
        events: BTreeSet::new(),
        drawn: 0,
        busy: BTreeMap::new(),
        asked: Vec::new(),
        by_id: BTreeMap::new(),
    };
    let mut chance = Rand64::new(u128::from(seed) + 99);
    let mut prompts: BTreeMap<u64, (f64, usize)> = BTreeMap::new();
    // Sessions of four turns, each some seconds after the one before, whose prompts grow.
    let rate = load * SPEED * PAIRS as f64 / MEAN / 4.0 / 2.5;
    let (mut at, mut session) = (START, 0);
    let until = START + seconds * S;
    while at < until {
        at += (-chance.rand_float().max(1e-12).ln() / rate * 1e9) as Nanos;
        session += 1;
        for turn in 0..4 {
            world.later(at + turn * 3 * S, Event::Turn(session));
        }
    }
    while let Some((now, _, event)) = world.events.pop_first() {
        let mut out = Vec::new();
        let gateway = match event {
            Event::Turn(_) if now >= until => continue,
            Event::Turn(session) => {
                let normal = (-2.0 * chance.rand_float().max(1e-12).ln()).sqrt()
                    * (2.0 * std::f64::consts::PI * chance.rand_float()).cos();
                let (prompt, turns) = prompts.entry(session).or_insert((0.0, 0));
                *prompt += TOKENS * (SPREAD * normal).exp();
                *turns += 1;
                let (prompt, traffic) = (*prompt, (session % 2) as usize);
                let id = SequenceId(world.asked.len() as u64 + 1);
                world.by_id.insert(id, world.asked.len());
                world.asked.push(Asked { session, traffic, prompt, answered: false });
                let gateway = chance.rand_range(0..gateways as u64) as usize;
                let new = NewSequence {
                    id,
                    traffic: TrafficTypeId(traffic),
                    tenant: None,
                    session: Some(SessionId(session)),
                    prefix: None,
                    prompt_tokens: prompt,
                    prefix_tokens: 0.0,
                    max_output_tokens: 400.0,
                    output_length_hint: None,
                    resumed: false,
                    relay: Relay::Passthrough,
                    first_token_deadline: now + [6, 10][traffic] * S,
                    completion_deadline: None,
                };
                world.gateways[gateway].accept(now, new, &mut out);
                gateway
            }
            Event::Read(gateway, id, attempt) => {
                world.gateways[gateway].attempt_ended(
                    now,
                    id,
                    attempt,
                    AttemptEnd::PrefillDone { cached_tokens: 0.0 },
                    &mut out,
                );
                gateway
            }
            Event::Began(gateway, id, attempt) => {
                world.gateways[gateway].first_token(now, id, attempt);
                world.later(now + 2 * S, Event::Whole(gateway, id, attempt));
                gateway
            }
            Event::Whole(gateway, id, attempt) => {
                world.gateways[gateway].attempt_ended(now, id, attempt, AttemptEnd::Completed, &mut out);
                if out
                    .iter()
                    .any(|action| matches!(action, Action::Complete { outcome: Outcome::Completed, .. }))
                {
                    let asked = world.by_id[&id];
                    world.asked[asked].answered = true;
                }
                gateway
            }
            Event::PendingSend(gateway) => {
                world.gateways[gateway].on_timeout(now, &mut out);
                gateway
            }
        };
        world.carry_out(now, gateway, out);
    }
    let warm = world.asked.len() / 5;
    world.asked.split_off(warm)
}

fn share<'a>(asked: impl Iterator<Item = &'a Asked>) -> f64 {
    let (all, answered) =
        asked.fold((0, 0), |(all, answered), one| (all + 1, answered + u32::from(one.answered)));
    f64::from(answered) / f64::from(all.max(1))
}

/// Of a class: its answered share, and those of the tenth with the longest prompts and of the next fifth, against it.
fn by_length(asked: &[Asked], traffic: usize) -> (f64, f64, f64) {
    let mut class: Vec<&Asked> = asked.iter().filter(|one| one.traffic == traffic).collect();
    class.sort_by(|a, b| b.prompt.total_cmp(&a.prompt));
    let (tenth, fifth) = (class.len() / 10, class.len() / 10 + class.len() / 5);
    let all = share(class.iter().copied());
    let of = |part: &[&Asked]| share(part.iter().copied()) / all.max(1e-9);
    (all, of(&class[..tenth]), of(&class[tenth..fifth]))
}

#[test]
fn the_longest_prompts_are_answered_like_their_class_on_a_quiet_day_and_half_as_often_on_others() {
    for gateways in [3, 30] {
        for (load, least) in [(0.6, 2.0 / 3.0), (1.0, 0.5)] {
            for seed in 0..3 {
                let asked = play(gateways, load, 60, seed * 100);
                for traffic in 0..2 {
                    let (all, tenth, fifth) = by_length(&asked, traffic);
                    let told = format!(
                        "{gateways} gateways, load {load}, seed {seed}, type {traffic}: {all:.3}, {tenth:.3}, {fifth:.3}"
                    );
                    assert!(tenth >= least && fifth >= least, "{told}");
                }
            }
        }
    }
}

/// Sessions all of whose turns were refused, as a part of all, against what chance gives where each turn is refused
/// with the same probability.
fn singled_out(asked: &[Asked]) -> (f64, f64) {
    let mut sessions: BTreeMap<u64, (i32, i32)> = BTreeMap::new();
    for one in asked {
        let (turns, refused) = sessions.entry(one.session).or_default();
        *turns += 1;
        *refused += i32::from(!one.answered);
    }
    let whole: Vec<(i32, i32)> = sessions.into_values().filter(|(turns, _)| *turns > 1).collect();
    let refused = 1.0 - share(asked.iter());
    let all = whole.len().max(1) as f64;
    let throughout = whole.iter().filter(|(turns, refused)| turns == refused).count() as f64 / all;
    let chance = whole.iter().map(|(turns, _)| refused.powi(*turns)).sum::<f64>() / all;
    (throughout, chance)
}

#[test]
fn no_set_of_sessions_is_refused_throughout_beyond_what_chance_gives() {
    for gateways in [3, 30] {
        for load in [0.6, 0.9] {
            for seed in 0..3 {
                let asked = play(gateways, load, 60, seed * 100);
                let (throughout, chance) = singled_out(&asked);
                let told =
                    format!("{gateways} gateways, load {load}, seed {seed}: {throughout:.3}, {chance:.3}");
                assert!(throughout <= chance + 0.12, "{told}");
            }
        }
    }
}
