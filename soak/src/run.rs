//! One run from its plan to its report.

use crate::fault::Troubles;
use crate::oracle::{self, RULES, Violation, judge};
use crate::process::Gateway;
use crate::record::{Event, Seen, Time};
use crate::shim::Library;
use crate::world::{Terms, World};
use crate::{client, discovery, server};
use async_io::Timer;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Troubles begin after this, and none begins this long before the end.
const QUIET: Duration = Duration::from_secs(1);
const LAST: Duration = Duration::from_secs(4);
/// After the last request has been asked its time and what is held are waited for.
const SETTLE: Duration = Duration::from_millis(4_500);
const HEARTBEAT: Duration = Duration::from_millis(5);
/// Delays of the soak's own that are noted.
const LAG: Duration = Duration::from_millis(10);
/// Lines of the record that are printed around a violation.
const MOST_LINES: usize = 60;
const AROUND: Duration = Duration::from_secs(3);

/// What a run plays.
pub struct Plan {
    pub seed: u64,
    pub seconds: u64,
    pub gateways: usize,
    pub servers: usize,
    pub clients: usize,
    /// The `petrelshore` command.
    pub program: PathBuf,
    /// A new folder for configurations and logs; removed where nothing is broken.
    pub folder: PathBuf,
}

/// What came of a run.
pub struct Report {
    pub requests: usize,
    pub served: usize,
    pub faults: usize,
    /// How often troubles of two kinds overlapped.
    pub overlaps: BTreeMap<(String, String), usize>,
    pub violations: Vec<Violation>,
    events: Vec<(Time, Event)>,
}

/// Plays a run to its end.
pub fn run(plan: &Plan) -> io::Result<Report> {
    std::fs::create_dir_all(&plan.folder)?;
    let library = Library::build(&plan.folder)?;
    let terms = terms(plan);
    let world = World::new(terms, plan.seed, plan.folder.clone())?;
    async_io::block_on(world.executor.run(play(&world, plan, &library)))?;
    if let Some(error) = world.failed.take() {
        return Err(error);
    }
    let events = world.record.events();
    let violations = judge(&terms, &events);
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&plan.folder);
    }
    let asked = |event: &&(Time, Event)| matches!(event.1, Event::Asked { .. });
    let served = |event: &&(Time, Event)| matches!(event.1, Event::Answered { seen: Seen::Whole(200), .. });
    let began = |event: &&(Time, Event)| matches!(event.1, Event::Trouble { began: true, .. });
    Ok(Report {
        requests: events.iter().filter(asked).count(),
        served: events.iter().filter(served).count(),
        faults: events.iter().filter(began).count(),
        overlaps: oracle::overlaps(&events),
        violations,
        events,
    })
}

/// The deployment of a run: its short times differ from seed to seed.
fn terms(plan: &Plan) -> Terms {
    let of = |times: [u64; 3], place: u64| Duration::from_millis(times[(plan.seed / place % 3) as usize]);
    Terms {
        gateways: plan.gateways,
        servers: plan.servers,
        clients: plan.clients,
        drain_grace: of([250, 1_000, 2_000], 1),
        release_within: of([300, 500, 1_000], 3),
        token_window: of([800, 1_500, 2_500], 9),
        cold_for: Duration::from_secs(5),
        cold_from: 0.3,
        overload_factor: 2.5,
        overload_for: Duration::from_millis(1_500),
        longest_deadline: Duration::from_secs(3),
        resume: plan.seed % 2 == 1,
    }
}

async fn play(world: &Rc<World>, plan: &Plan, library: &Library) -> io::Result<()> {
    for gateway in 0..plan.gateways {
        for server in 0..plan.servers {
            let own = world.clone();
            world.spawn(async move { note(&own.clone(), server::serve(own, gateway, server).await) });
        }
        for which in 0..discovery::ADDRESSES {
            let own = world.clone();
            world.spawn(async move { note(&own.clone(), discovery::serve(own, gateway, which).await) });
        }
    }
    let own = world.clone();
    world.spawn(async move { heartbeat(&own).await });
    let made: io::Result<Vec<Rc<Gateway>>> =
        (0..plan.gateways).map(|number| Gateway::new(world, plan.program.clone(), library, number)).collect();
    let gateways = made?;
    let starts = gateways.iter().map(|gateway| {
        let own = gateway.clone();
        world.executor.spawn(async move { own.start().await })
    });
    for start in starts.collect::<Vec<_>>() {
        start.await?;
    }
    for gateway in &gateways {
        let own = gateway.clone();
        world.spawn(async move { own.watch().await });
    }
    for number in 0..plan.clients {
        let own = world.clone();
        world.spawn(async move { client::serve(own, number).await });
    }
    let lasts = world.record.now() + Duration::from_secs(plan.seconds);
    Timer::after(QUIET).await;
    Troubles::new(world, gateways.clone()).play(lasts.saturating_sub(LAST)).await;
    Timer::after(LAST).await;
    world.over.set(true);
    Timer::after(SETTLE).await;
    let ends = gateways.iter().map(|gateway| {
        let own = gateway.clone();
        world.executor.spawn(async move { own.end().await })
    });
    for end in ends.collect::<Vec<_>>() {
        end.await;
    }
    Ok(())
}

/// Notes that a party could not serve.
fn note(world: &World, ended: io::Result<()>) {
    if let Err(error) = ended {
        world.failed.borrow_mut().get_or_insert(error);
    }
}

/// Notes by how much the soak itself is held up.
async fn heartbeat(world: &World) {
    loop {
        let due = world.record.now() + HEARTBEAT;
        Timer::after(HEARTBEAT).await;
        let late = world.record.now().saturating_sub(due);
        if late > LAG {
            world.record.write(Event::Lag { late });
        }
    }
}

impl Report {
    /// One line of JSON: counts, and violations by rule.
    pub fn json(&self) -> String {
        let count = |rule| self.violations.iter().filter(|violation| violation.rule == rule).count();
        let by_rule: serde_json::Map<String, serde_json::Value> =
            RULES.iter().map(|(rule, name)| ((*name).to_owned(), count(*rule).into())).collect();
        serde_json::json!({
            "requests": self.requests,
            "served": self.served,
            "faults": self.faults,
            "overlaps": self.overlaps.values().sum::<usize>(),
            "violations": by_rule,
        })
        .to_string()
    }

    /// The first violation of each rule, with what passed for its request and around it.
    pub fn explain(&self, seed: u64, folder: &Path) -> String {
        let mut text = String::new();
        for (rule, name) in RULES {
            let of_rule: Vec<&Violation> = self.violations.iter().filter(|v| v.rule == rule).collect();
            let Some(first) = of_rule.first() else { continue };
            text.push_str(&format!(
                "{name}: {} times; seed {seed}, logs in {}\n",
                of_rule.len(),
                folder.display()
            ));
            for violation in of_rule.iter().take(3) {
                text.push_str(&format!(
                    "  at {:?}, request {}, {:?}: {}\n",
                    violation.at,
                    violation.request.map_or("-".to_owned(), |id| format!("{id:016x}")),
                    violation.process,
                    violation.what
                ));
            }
            text.push_str(&self.timeline(first));
        }
        text
    }

    fn timeline(&self, violation: &Violation) -> String {
        let about = |event: &Event| match event {
            Event::Trouble { .. }
            | Event::Killed { .. }
            | Event::ToldToStop { .. }
            | Event::Started { .. } => true,
            Event::Ended { exchange, .. } => self.exchanges(violation.request).contains(&exchange.0),
            other => self.request_of(other).is_some_and(|id| Some(id) == violation.request),
        };
        let from = violation.at.saturating_sub(AROUND);
        let near = |at: &Time| *at >= from && *at <= violation.at + Duration::from_secs(1);
        let lines = self.events.iter().filter(|(at, event)| near(at) && about(event));
        lines
            .take(MOST_LINES)
            .map(|(at, event)| format!("    {:9.4} {event:?}\n", at.as_secs_f64()))
            .collect()
    }

    fn exchanges(&self, request: Option<u64>) -> Vec<u64> {
        let of = |(_, event): &(Time, Event)| match event {
            Event::Arrived { exchange, request: id, .. } if Some(*id) == request => Some(exchange.0),
            _ => None,
        };
        self.events.iter().filter_map(of).collect()
    }

    fn request_of(&self, event: &Event) -> Option<u64> {
        match event {
            Event::Asked { request, .. }
            | Event::AnswerBegan { request }
            | Event::Answered { request, .. }
            | Event::Left { request }
            | Event::Arrived { request, .. }
            | Event::Held { request, .. }
            | Event::Freed { request, .. } => Some(*request),
            _ => None,
        }
    }
}
