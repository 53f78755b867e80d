//! A fleet with one gateway before it, for the cases of both APIs.

#![allow(dead_code, reason = "each test program uses a part of it")]

pub mod raw_http2;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use petrelshore_e2e::auditor::{Verdict, judge};
use petrelshore_e2e::client::{Addresses, Api, Observation, Question};
use petrelshore_e2e::fleet::{Executor, Fleet, RunningGateway, Shape, settings_text};
use petrelshore_e2e::rehearse::bounds;
use petrelshore_emulator::model::Step;
use petrelshore_emulator::profile::{Fault, Profile};
use petrelshore_emulator::record::Event;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Longer than any rule allows a response to take.
pub const LONG: Duration = Duration::from_secs(30);

/// How a client reaches the gateway under test.
#[derive(Clone, Copy)]
pub struct Route {
    pub api: Api,
    pub addresses: Addresses,
}

impl Route {
    pub async fn send(self, question: Question) -> Observation {
        question.send(self.api, self.addresses, LONG).await
    }
}

pub struct Testbed {
    pub api: Api,
    pub executor: Executor,
    pub fleet: Fleet,
    pub gateway: RunningGateway,
    pub folder: PathBuf,
    clients: std::cell::Cell<u64>,
}

impl Testbed {
    pub fn route(&self) -> Route {
        Route { api: self.api, addresses: self.gateway.addresses }
    }

    /// Sends a question and records what was observed, as the auditor needs it.
    pub async fn ask(&self, model: &'static str, max_tokens: u64, timeout: Duration) -> Observation {
        self.send(Question::new(model, "why", max_tokens), timeout).await
    }

    pub async fn send(&self, mut question: Question, timeout: Duration) -> Observation {
        let client = self.clients.get();
        self.clients.set(client + 1);
        let settings = self.gateway.gateway.settings();
        let abandon = settings.traffic.iter().find(|t| t.name == question.model).unwrap().abandon_time;
        let deadline = self.fleet.record.now() + abandon;
        let (gateway, traffic) = (self.gateway.name.clone(), question.model.to_owned());
        self.fleet.record.write(Event::RequestSent { client, gateway, traffic, deadline });
        question.text.push_str(&format!(" #client {client} "));
        let observation = question.send(self.api, self.gateway.addresses, timeout).await;
        self.fleet.record.write(Event::ResponseReceived {
            client,
            outcome: observation.outcome,
            first_token: observation.first_token,
            tokens: observation.tokens,
        });
        observation
    }

    /// Sets the fault of all servers whose names begin so.
    pub fn set_fault(&self, names: &str, fault: Fault) {
        let named = self.fleet.servers().filter(|server| server.name().starts_with(names));
        named.for_each(|server| server.set_fault(fault));
    }

    /// How many requests for a step arrived at servers.
    pub fn arrivals(&self, step: Step) -> usize {
        let is_step =
            |event: &Event| matches!(event, Event::AttemptArrived { step: name, .. } if name == step.name());
        self.fleet.record.entries().iter().filter(|entry| is_step(&entry.event)).count()
    }

    /// Waits until nothing is left anywhere; the auditor then must find no violation.
    pub async fn assert_clean(&self) -> Verdict {
        let left = || {
            let in_servers = self.fleet.servers().map(|server| server.held_caches() + server.in_flight());
            self.gateway.gateway.tracked() + in_servers.sum::<usize>()
        };
        for _ in 0..200 {
            if left() == 0 {
                break;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        let servers: Vec<_> =
            self.fleet.servers().map(|server| (server.held_caches(), server.in_flight())).collect();
        assert_eq!(
            left(),
            0,
            "left behind: {} in the gateway, {servers:?} in servers",
            self.gateway.gateway.tracked()
        );
        let verdict = judge(&self.fleet.record.entries(), &bounds(self.gateway.gateway.settings()));
        assert_eq!(verdict.violations, [], "rules were broken");
        verdict
    }
}

/// A profile that generates tokens fast.
pub fn quick(profile: Profile) -> Profile {
    Profile { token_interval: 5_000_000, ..profile }
}

/// Runs a case by both APIs before a fleet of this shape.
pub fn case<F: Future<Output = ()>>(name: &str, shape: Shape, more: &str, run: impl Fn(Testbed) -> F) {
    case_with(name, shape, more, quick, run);
}

pub fn case_with<F: Future<Output = ()>>(
    name: &str,
    shape: Shape,
    more: &str,
    profile: impl Fn(Profile) -> Profile,
    run: impl Fn(Testbed) -> F,
) {
    for api in Api::ALL {
        case_of(api, name, &shape, more, &profile, &run);
    }
}

pub fn case_of<F: Future<Output = ()>>(
    api: Api,
    name: &str,
    shape: &Shape,
    more: &str,
    profile: impl Fn(Profile) -> Profile,
    run: impl Fn(Testbed) -> F,
) {
    let folder = std::env::temp_dir().join(format!("petrelshore-{name}-{api:?}-{}", std::process::id()));
    let executor: Executor = Rc::new(LocalExecutor::new());
    let work = async {
        let fleet =
            Fleet::start(executor.clone(), &folder, shape, |role| profile(Profile::default_for(role)))
                .await
                .unwrap();
        let text = settings_text("gw-1", 1, "127.0.0.1:0", more);
        let gateway = RunningGateway::start(&executor, &folder, &text).await.unwrap();
        let (executor, folder) = (executor.clone(), folder.clone());
        run(Testbed { api, executor, fleet, gateway, folder, clients: Default::default() }).await;
    };
    future::block_on(executor.run(work));
    let _ = std::fs::remove_dir_all(&folder);
}

/// One cell of a prefill server and two decode servers.
pub fn small() -> Shape {
    Shape { cells: 1, prefill: 1, decode: 2, combined: 0 }
}

impl Testbed {
    /// The same after a client has stalled for as long as it may.
    pub async fn assert_clean_after_stall(&self) {
        for _ in 0..300 {
            if self.gateway.gateway.unanswered() == 0 {
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        self.assert_clean().await;
    }
}
