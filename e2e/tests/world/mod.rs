//! A fleet with one gateway before it, for the cases of both fronts.

#![allow(dead_code, reason = "each test program uses a part of it")]

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use petrelshore_e2e::auditor::{Verdict, judge};
use petrelshore_e2e::client::{Addresses, Front, Question, Seen};
use petrelshore_e2e::fleet::{Executor, Fleet, Running, Shape, settings_text};
use petrelshore_e2e::rehearse::figures;
use petrelshore_emulator::profile::{Fault, Profile};
use petrelshore_emulator::record::Event;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

pub const LONG: Duration = Duration::from_secs(30);

/// A client's way to the gateway under test.
#[derive(Clone, Copy)]
pub struct Way {
    pub front: Front,
    pub at: Addresses,
}

impl Way {
    pub async fn put(self, question: Question) -> Seen {
        question.ask(self.front, self.at, LONG).await
    }
}

pub struct World {
    pub front: Front,
    pub executor: Executor,
    pub fleet: Fleet,
    pub gateway: Running,
    pub folder: PathBuf,
    clients: std::cell::Cell<u64>,
}

impl World {
    pub fn way(&self) -> Way {
        Way { front: self.front, at: self.gateway.at }
    }

    /// Asks and writes down what was seen, as the auditor needs it.
    pub async fn ask(&self, model: &'static str, max_tokens: u64, leave_after: Duration) -> Seen {
        self.ask_this(Question::new(model, "why", max_tokens), leave_after).await
    }

    pub async fn ask_this(&self, mut question: Question, leave: Duration) -> Seen {
        let client = self.clients.get();
        self.clients.set(client + 1);
        let settings = self.gateway.gateway.settings();
        let abandon = settings.traffic.iter().find(|t| t.name == question.model).unwrap().abandon_time;
        let until = self.fleet.record.now() + abandon;
        let (gateway, traffic) = (self.gateway.name.clone(), question.model.to_owned());
        self.fleet.record.write(Event::RequestSent { client, gateway, traffic, deadline: until });
        question.text.push_str(&format!(" #client {client} "));
        let seen = question.ask(self.front, self.gateway.at, leave).await;
        let (answer, first_token) = (seen.finished, seen.first_token);
        self.fleet.record.write(Event::ResponseReceived {
            client,
            outcome: answer,
            first_token,
            tokens: seen.tokens,
        });
        seen
    }

    pub fn fault(&self, names: &str, fault: Fault) {
        let named = self.fleet.places.iter().filter(|place| place.name.starts_with(names));
        named.filter_map(|place| place.stand_in.as_ref()).for_each(|stand_in| stand_in.set_fault(fault));
    }

    pub fn arrivals(&self, work: &str) -> usize {
        let entries = self.fleet.record.entries();
        let same = |event: &Event| matches!(event, Event::AttemptArrived { step, .. } if step == work);
        entries.iter().filter(|entry| same(&entry.event)).count()
    }

    /// Waits until nothing is left anywhere; the auditor then must find every rule kept.
    pub async fn clean(&self) -> Verdict {
        let left = || {
            let boxes = self.fleet.places.iter().filter_map(|place| place.stand_in.as_ref());
            self.gateway.gateway.tracked() + boxes.map(|b| b.held_caches() + b.in_flight()).sum::<usize>()
        };
        for _ in 0..200 {
            if left() == 0 {
                break;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        let boxes = self.fleet.places.iter().filter_map(|place| place.stand_in.as_ref());
        let boxes: Vec<_> = boxes.map(|b| (b.held_caches(), b.in_flight())).collect();
        assert_eq!(
            left(),
            0,
            "left behind: {} in the gateway, {boxes:?} in boxes",
            self.gateway.gateway.tracked()
        );
        let verdict = judge(&self.fleet.record.entries(), &figures(self.gateway.gateway.settings()));
        assert_eq!(verdict.breaks, [], "rules were broken");
        verdict
    }
}

pub fn quick(build: Profile) -> Profile {
    Profile { token_interval: 5_000_000, ..build }
}

/// Runs a case before one cell of a reader and two writers, or as `shape` says.
pub fn case<F: Future<Output = ()>>(name: &str, shape: Shape, more: &str, run: impl Fn(World) -> F) {
    case_with(name, shape, more, quick, run);
}

pub fn case_with<F: Future<Output = ()>>(
    name: &str,
    shape: Shape,
    more: &str,
    build: impl Fn(Profile) -> Profile,
    run: impl Fn(World) -> F,
) {
    for front in Front::ALL {
        case_of(front, name, &shape, more, &build, &run);
    }
}

pub fn case_of<F: Future<Output = ()>>(
    front: Front,
    name: &str,
    shape: &Shape,
    more: &str,
    build: impl Fn(Profile) -> Profile,
    run: impl Fn(World) -> F,
) {
    let folder = std::env::temp_dir().join(format!("petrelshore-{name}-{front:?}-{}", std::process::id()));
    let executor: Executor = Rc::new(LocalExecutor::new());
    let work = async {
        let fleet = Fleet::start(executor.clone(), &folder, shape, |role| build(Profile::default_for(role)))
            .await
            .unwrap();
        let text = settings_text("gw-1", 1, "127.0.0.1:0", more);
        let gateway = Running::start(&executor, &folder, &text).await.unwrap();
        let (executor, folder) = (executor.clone(), folder.clone());
        run(World { front, executor, fleet, gateway, folder, clients: Default::default() }).await;
    };
    future::block_on(executor.run(work));
    let _ = std::fs::remove_dir_all(&folder);
}

pub fn small() -> Shape {
    Shape { cells: 1, readers: 1, writers: 2, mixed: 0 }
}

impl World {
    /// The same after a client has stalled for as long as it may.
    pub async fn clean_after_stall(&self) {
        for _ in 0..300 {
            if self.gateway.gateway.unanswered() == 0 {
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        self.clean().await;
    }
}
