//! A fleet of emulated servers behind one gateway, for the test cases of both APIs.

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

/// Timeout of a client, longer than any rule allows a response to take.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

/// The time within which a server that decodes fast has sent the first tokens of an answer, but not an answer of 30.
const TIME_TO_FIRST_TOKENS: Duration = Duration::from_millis(60);

/// The API and the addresses by which a client reaches the gateway under test.
#[derive(Clone, Copy)]
pub struct Route {
    pub api: Api,
    pub addresses: Addresses,
}

impl Route {
    pub async fn send(self, question: Question) -> Observation {
        question.send(self.api, self.addresses, CLIENT_TIMEOUT).await
    }
}

/// A running fleet and gateway. Each request and its response are recorded for the auditor.
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

    /// Sends a question for this model with the text "why"; see `send`.
    pub async fn ask(&self, model: &'static str, max_tokens: u64, timeout: Duration) -> Observation {
        self.send(Question::new(model, "why", max_tokens), timeout).await
    }

    /// Sends a question and records the request and the observed response for the auditor. Appends the client's number
    /// to the text, from which the emulated servers read the client of an attempt.
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

    /// Sets the fault of all servers whose names begin with `prefix`.
    pub fn set_fault(&self, prefix: &str, fault: Fault) {
        let servers = self.fleet.servers().filter(|server| server.name().starts_with(prefix));
        servers.for_each(|server| server.set_fault(fault));
    }

    /// Waits until a decode server of the first cell has sent some tokens of the request in flight, and then has it reset
    /// the connections of its answers.
    pub async fn break_running_answer(&self) {
        Timer::after(TIME_TO_FIRST_TOKENS).await;
        let busy = |name: &&str| self.fleet.server(name).is_some_and(|server| server.in_flight() > 0);
        let name = ["writer-1-1", "writer-1-2"].into_iter().find(busy);
        self.set_fault(name.expect("a decode server has the request in flight"), Fault::ResetAfter(0));
    }

    /// Returns the number of requests for a step that arrived at servers.
    pub fn arrivals(&self, step: Step) -> usize {
        let is_step =
            |event: &Event| matches!(event, Event::AttemptArrived { step: name, .. } if name == step.name());
        self.fleet.record.entries().iter().filter(|entry| is_step(&entry.event)).count()
    }

    /// Waits until the gateway tracks no request, and the servers hold no KV cache and have no request in flight. Then
    /// asserts that the auditor finds no violation, and returns its verdict.
    pub async fn assert_clean(&self) -> Verdict {
        let remaining = || {
            let in_servers = self.fleet.servers().map(|server| server.held_caches() + server.in_flight());
            self.gateway.gateway.tracked() + in_servers.sum::<usize>()
        };
        for _ in 0..200 {
            if remaining() == 0 {
                break;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        let servers: Vec<_> =
            self.fleet.servers().map(|server| (server.held_caches(), server.in_flight())).collect();
        assert_eq!(
            remaining(),
            0,
            "left behind: {} in the gateway, {servers:?} in servers",
            self.gateway.gateway.tracked()
        );
        let verdict = judge(&self.fleet.record.entries(), &bounds(self.gateway.gateway.settings()));
        assert_eq!(verdict.violations, [], "the auditor found violations");
        verdict
    }
}

/// Sets a token interval of 5 ms.
pub fn fast_decode(profile: Profile) -> Profile {
    Profile { token_interval: 5_000_000, ..profile }
}

/// Runs a test case once for each API, with a fleet of this shape whose servers decode fast.
pub fn run_case<F: Future<Output = ()>>(
    name: &str,
    shape: Shape,
    settings: &str,
    run: impl Fn(Testbed) -> F,
) {
    run_case_with_profile(name, shape, settings, fast_decode, run);
}

/// Runs a test case once for each API, with a fleet of this shape and these profiles.
pub fn run_case_with_profile<F: Future<Output = ()>>(
    name: &str,
    shape: Shape,
    settings: &str,
    profile: impl Fn(Profile) -> Profile,
    run: impl Fn(Testbed) -> F,
) {
    for api in Api::ALL {
        run_case_for_api(api, name, &shape, settings, &profile, &run);
    }
}

/// Runs a test case with one API. The gateway gets `settings` in addition to its default ones.
pub fn run_case_for_api<F: Future<Output = ()>>(
    api: Api,
    name: &str,
    shape: &Shape,
    settings: &str,
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
        let text = settings_text("gw-1", 1, "127.0.0.1:0", settings);
        let gateway = RunningGateway::start(&executor, &folder, &text).await.unwrap();
        let (executor, folder) = (executor.clone(), folder.clone());
        run(Testbed { api, executor, fleet, gateway, folder, clients: Default::default() }).await;
    };
    future::block_on(executor.run(work));
    let _ = std::fs::remove_dir_all(&folder);
}

/// One cell with a prefill server and two decode servers.
pub fn small_fleet() -> Shape {
    Shape { cells: 1, prefill: 1, decode: 2, combined: 0 }
}

impl Testbed {
    /// Waits for the final answer of each request, so that a stalled client reaches the stall limit, and then does the
    /// same as `assert_clean`.
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
