//! The hard cases of a streamed chat path, each on loopback through the whole program and by either front, judged by
//! the auditor.

mod world;

use async_io::Timer;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_e2e::client::{Front, Question, Seen, chat_body, request};
use petrelshore_e2e::fleet::{Running, Shape, settings_text};
use petrelshore_e2e::grpc_client;
use petrelshore_emulator::profile::{Fault, Profile};
use petrelshore_emulator::record::{Event, FinalOutcome};
use std::time::Duration;
use world::{LONG, World, case, case_with, quick, small};

#[test]
fn an_answer_goes_through_reader_and_writer_and_ends_once() {
    case("plain", small(), "", |world| async move {
        let seen = world.ask("rider-query", 5, LONG).await;
        assert_eq!((seen.finished, seen.tokens), (FinalOutcome::Completed, 5), "{seen:?}");
        assert_eq!((world.arrivals("read"), world.arrivals("write")), (1, 1));
        let verdict = world.clean().await;
        assert_eq!((verdict.asked, verdict.arrivals, verdict.states), (1, 2, 1));
    });
}

#[test]
fn a_writer_silent_in_the_middle_of_a_stream_ends_it_as_aborted() {
    case("silent", small(), "", |world| async move {
        let silence = async {
            Timer::after(Duration::from_millis(150)).await;
            world.fault("writer", Fault::Silent);
        };
        let (seen, ()) = future::zip(world.ask("rider-query", 500, LONG), silence).await;
        assert_eq!((seen.finished, seen.retry_after), (FinalOutcome::Aborted, None), "{seen:?}");
        assert!(seen.tokens > 0 && !seen.body.contains("[DONE]"));
        world.fault("writer", Fault::None);
        world.clean().await;
    });
}

#[test]
fn a_client_that_leaves_while_the_reader_works_has_its_read_cancelled_and_its_state_let_go() {
    let slow = |build: Profile| Profile { prefill_tokens_per_second: 300.0, ..quick(build) };
    case_with("leaves", small(), "", slow, |world| async move {
        let seen = world.ask("workshop-chat", 5, Duration::from_millis(100)).await;
        assert_eq!(seen.finished, FinalOutcome::Disconnected);
        assert_eq!((world.arrivals("read"), world.arrivals("write")), (1, 0));
        world.clean().await;
        assert_eq!(world.arrivals("write"), 0);
        assert_eq!(world.gateway.gateway.counts().cancelled, 1);
    });
}

#[test]
fn a_client_that_leaves_in_the_middle_of_its_stream_ends_the_writing() {
    case("leaves-late", small(), "", |world| async move {
        let seen = world.ask("rider-query", 1000, Duration::from_millis(300)).await;
        assert_eq!(seen.finished, FinalOutcome::Disconnected);
        assert!(seen.tokens > 0);
        world.clean().await;
    });
}

#[test]
fn a_reader_that_dies_holding_a_state_has_the_prompt_read_anew() {
    let shape = Shape { cells: 1, readers: 2, writers: 2, mixed: 0 };
    case("reader-dies", shape, "attempts = 8", |mut world| async move {
        // The writers hang, so that the state waits at its reader while that dies.
        world.fault("writer", Fault::Hangs);
        let asking = {
            let (record, way) = (world.fleet.record.clone(), world.way());
            let until = record.now() + 10_000_000_000;
            let (gateway, traffic) = (world.gateway.name.clone(), "workshop-chat".to_owned());
            record.write(Event::RequestSent { client: 7, gateway, traffic, deadline: until });
            world.executor.spawn(async move {
                let seen = way.put(Question::new("workshop-chat", "why #client 7 ", 4)).await;
                let (answer, first_token) = (seen.finished, seen.first_token);
                record.write(Event::ResponseReceived {
                    client: 7,
                    outcome: answer,
                    first_token,
                    tokens: seen.tokens,
                });
                seen
            })
        };
        let holder = loop {
            Timer::after(Duration::from_millis(10)).await;
            let holds = |name: &str| world.fleet.stand_in(name).is_some_and(|s| s.held_caches() > 0);
            if let Some(name) = ["reader-1-1", "reader-1-2"].into_iter().find(|name| holds(name)) {
                break name;
            }
        };
        world.fleet.kill(holder);
        world.fault("writer", Fault::None);
        let seen = asking.await;
        assert_eq!(seen.finished, FinalOutcome::Completed, "{seen:?}");
        assert!(world.arrivals("read") >= 2);
        world.clean().await;
    });
}

#[test]
fn a_writer_that_accepts_and_hangs_costs_a_repeatable_one_time_and_a_once_only_one_its_answer() {
    case("hangs", small(), "", |world| async move {
        world.fault("writer-1-1", Fault::Hangs);
        for _ in 0..4 {
            let seen = world.ask("workshop-chat", 3, LONG).await;
            assert_eq!(seen.finished, FinalOutcome::Completed, "{seen:?}");
        }
        world.fault("writer-1-2", Fault::Hangs);
        let seen = world.ask("unlock-once", 3, LONG).await;
        assert_eq!(seen.finished, FinalOutcome::Aborted, "{seen:?}");
        assert_eq!(seen.retry_after, None);
        world.clean().await;
    });
}

#[test]
fn a_stream_that_is_cut_or_garbage_everywhere_ends_as_aborted_with_an_error_event() {
    for (name, fault) in
        [("cut", Fault::EndsBadly(2)), ("reset", Fault::ResetAfter(2)), ("garbage", Fault::Garbage(2))]
    {
        case(name, small(), "", |world| async move {
            world.fault("writer", fault);
            let seen = world.ask("rider-query", 10, LONG).await;
            assert_eq!((seen.finished, seen.retry_after), (FinalOutcome::Aborted, None), "{seen:?}");
            assert!((2..=6).contains(&seen.tokens) && !seen.body.contains("[DONE]"), "{seen:?}");
            world.clean().await;
        });
    }
}

#[test]
fn a_stream_that_breaks_goes_on_from_its_last_token_where_it_may_run_again() {
    case("goes-on", small(), "attempts = 6", |world| async move {
        let mend = async {
            Timer::after(Duration::from_millis(60)).await;
            let busy = |name: &&str| world.fleet.stand_in(name).is_some_and(|s| s.in_flight() > 0);
            let name = ["writer-1-1", "writer-1-2"].into_iter().find(busy).expect("one of them writes");
            world.fault(name, Fault::ResetAfter(0));
        };
        let (seen, ()) = future::zip(world.ask("workshop-chat", 30, LONG), mend).await;
        assert_eq!((seen.finished, seen.tokens), (FinalOutcome::Completed, 30), "{seen:?}");
        assert_eq!((world.arrivals("read"), world.arrivals("write")), (2, 2), "it was never broken");
        world.clean().await;
    });
}

#[test]
fn full_writers_prove_that_nothing_ran_so_a_once_only_one_is_rejected_in_time() {
    case("full", small(), "", |world| async move {
        world.fault("writer", Fault::Full);
        let seen = world.ask("unlock-once", 3, LONG).await;
        assert!(seen.finished == FinalOutcome::Rejected && seen.retry_after.is_some(), "{seen:?}");
        world.clean().await;
    });
}

#[test]
fn a_once_only_one_whose_writer_resets_is_aborted_and_never_sent_again() {
    case("once-reset", small(), "", |world| async move {
        world.fault("writer", Fault::ResetAfter(0));
        let seen = world.ask("unlock-once", 3, LONG).await;
        assert_eq!(seen.finished, FinalOutcome::Aborted, "{seen:?}");
        assert_eq!(world.arrivals("write"), 1);
        world.clean().await;
    });
}

#[test]
fn a_tokened_one_stays_in_its_cell_and_carries_its_mark() {
    let shape = Shape { cells: 2, readers: 1, writers: 1, mixed: 0 };
    case("tokened", shape, "", |world| async move {
        world.fault("writer", Fault::ResetAfter(0));
        let seen = world
            .ask_this(Question::new("dock-tokened", "why", 3).with("idempotency-key", "dock-7"), LONG)
            .await;
        assert_eq!(seen.finished, FinalOutcome::Aborted, "{seen:?}");
        let entries = world.fleet.record.entries();
        let marks = entries.iter().filter_map(|entry| match &entry.event {
            Event::AttemptArrived { step, idempotency_key, .. } if step == "write" => idempotency_key.clone(),
            _ => None,
        });
        assert!(marks.clone().count() >= 1 && marks.clone().all(|mark| mark == "dock-7"));
        world.clean().await;
    });
}

#[test]
fn more_clients_than_may_be_held_are_told_when_to_come_back() {
    case("held", small(), "limits.sequences = 3", |world| async move {
        let asked: Vec<_> = (0..8)
            .map(|_| {
                let way = world.way();
                world.executor.spawn(way.put(Question::new("workshop-chat", "why", 60)))
            })
            .collect();
        let mut seen = Vec::new();
        for task in asked {
            seen.push(task.await);
        }
        let overloaded = |seen: &&Seen| seen.code.as_deref() == Some("overloaded");
        let refused: Vec<_> = seen.iter().filter(overloaded).collect();
        assert_eq!(
            (refused.len(), seen.iter().filter(|s| s.finished == FinalOutcome::Completed).count()),
            (5, 3)
        );
        assert!(refused.iter().all(|seen| seen.retry_after.is_some()));
        world.clean().await;
    });
}

#[test]
fn a_request_with_a_key_runs_once_and_a_repeat_gets_the_same_end() {
    case("key", small(), "", |world| async move {
        let way = world.way();
        let keyed = |text| Question::new("dock-tokened", text, 60).with("idempotency-key", "same");
        let meanwhile = async {
            Timer::after(Duration::from_millis(100)).await;
            let repeat = way.put(keyed("why")).await;
            (repeat, way.put(keyed("how")).await)
        };
        let (first, (repeat, reused)) = future::zip(way.put(keyed("why")), meanwhile).await;
        assert_eq!((first.finished, first.tokens), (FinalOutcome::Completed, 60), "{first:?}");
        assert!(repeat.retry_after.is_some() && reused.retry_after.is_none(), "{repeat:?} {reused:?}");
        let codes = (repeat.code.as_deref(), reused.code.as_deref());
        assert_eq!(codes, (Some("idempotency_key_in_use"), Some("idempotency_key_reused")));
        let later = way.put(keyed("why")).await;
        assert!(later.finished == FinalOutcome::Completed && later.body.contains("t60 "), "{later:?}");
        assert_eq!((world.arrivals("read"), world.arrivals("write")), (1, 1));
        world.clean().await;
    });
}

#[test]
fn a_key_whose_work_may_have_run_is_told_its_abort_again_and_runs_no_second_time() {
    case("key-abort", small(), "", |world| async move {
        world.fault("writer", Fault::ResetAfter(0));
        let opens = || Question::new("unlock-once", "open", 3).with("idempotency-key", "door-1");
        let first = world.way().put(opens()).await;
        world.fault("writer", Fault::None);
        let again = world.way().put(opens()).await;
        assert_eq!(
            (first.finished, again.finished),
            (FinalOutcome::Aborted, FinalOutcome::Aborted),
            "{again:?}"
        );
        assert_eq!(world.arrivals("write"), 1);
        world.clean().await;
    });
}

#[test]
fn a_gateway_killed_in_a_burst_is_back_with_its_last_list_though_that_is_wrong() {
    // What the killed gateway had read stays at its reader until that drops it.
    let forgetful = |build: Profile| Profile { cache_timeout: 2_000_000_000, ..quick(build) };
    case_with("killed", small(), "", forgetful, |mut world| async move {
        let elsewhere = settings_text("gw-1", 1, "127.0.0.1:0", "");
        let spare = Running::start(&world.executor, &world.folder, &elsewhere).await.unwrap();
        let burst: Vec<_> = (0..20)
            .map(|_| {
                let way = world.way();
                world.executor.spawn(way.put(Question::new("rider-query", "why", 200)))
            })
            .collect();
        Timer::after(Duration::from_millis(200)).await;
        let World { gateway, fleet, folder, executor, .. } = &mut world;
        let (address, grpc) = (gateway.at.chat.to_string(), gateway.at.grpc);
        let text = settings_text("gw-1", 1, &address, &format!("listen.grpc = \"{grpc}\""));
        std::mem::replace(gateway, spare).kill(&fleet.record).await;
        // While it is down one writer goes, and the inventory with it: the last list is all there is.
        fleet.kill("writer-1-1");
        std::fs::remove_file(folder.join("boxes.csv")).unwrap();
        let fresh = Running::start(executor, folder, &settings_text("other", 1, "127.0.0.1:0", "")).await;
        assert!(fresh.is_err(), "a gateway without any list must not start");
        for seen in burst {
            assert_eq!(seen.await.finished, FinalOutcome::NoResponse);
        }
        // Its port was free meanwhile: another test's connection may have gone out by it, and closes again.
        let mut back = Running::start(executor, folder, &text).await;
        for _ in 0..100 {
            if back.is_ok() {
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
            back = Running::start(executor, folder, &text).await;
        }
        *gateway = back.unwrap();
        assert_eq!((gateway.gateway.servers(), gateway.at.chat.to_string()), (3, address));
        for _ in 0..6 {
            let seen = world.ask("workshop-chat", 3, LONG).await;
            assert_eq!(seen.finished, FinalOutcome::Completed, "{seen:?}");
        }
        world.clean().await;
    });
}

#[test]
fn a_client_that_reads_nothing_stalls_only_itself_and_is_let_go() {
    let flood = |build: Profile| Profile { token_interval: 1_000, ..build };
    let more = r#"traffic."workshop-chat".max_tokens = 400000"#;
    case_with("stalls", small(), more, flood, |world| async move {
        let mut idle = Idle::begin(&world, Question::new("workshop-chat", "why", 400_000)).await;
        Timer::after(Duration::from_secs(2)).await;
        let seen = world.ask("rider-query", 5, LONG).await;
        assert_eq!(seen.finished, FinalOutcome::Completed, "{seen:?}");
        // Nothing is taken of its stream for longer than any client may: its writer is let go all the same.
        world.clean_after_stall().await;
        let seen = idle.rest().await;
        assert_eq!((seen.finished, seen.retry_after), (idle.told(), None), "{seen:?}");
    });
}

/// A client that asks and then reads nothing for long.
enum Idle {
    Chat(async_net::TcpStream),
    Grpc(Option<h2::client::ResponseFuture>, #[allow(dead_code)] async_executor::Task<()>),
}

impl Idle {
    async fn begin(world: &World, question: Question) -> Idle {
        match world.front {
            Front::Chat => {
                let mut stream = async_net::TcpStream::connect(world.gateway.at.chat).await.unwrap();
                let body = chat_body(&question.model, &question.text, question.max_tokens, true);
                let text = request("/v1/chat/completions", &[], &body);
                stream.write_all(text.as_bytes()).await.unwrap();
                Idle::Chat(stream)
            }
            Front::Grpc => {
                let (mut sender, driver) = grpc_client::connect(world.gateway.at.grpc).await.unwrap();
                // Its connection goes on: only this stream is not read.
                let drive = world.executor.spawn(async move { driver.await.unwrap_or_default() });
                Idle::Grpc(grpc_client::call(&mut sender, &question).await, drive)
            }
        }
    }

    /// What it gets when it reads after all.
    async fn rest(&mut self) -> Seen {
        let mut seen = Seen::nothing();
        match self {
            Idle::Chat(stream) => {
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest).await;
                if String::from_utf8_lossy(&rest).contains("[DONE]") {
                    seen.finished = FinalOutcome::Completed;
                }
            }
            Idle::Grpc(response, _) => {
                let response = response.take().expect("it asked");
                grpc_client::read(response, std::time::Instant::now(), &mut seen).await;
            }
        }
        seen
    }

    /// Only a protocol with its own windows can still tell such a client its end.
    fn told(&self) -> FinalOutcome {
        match self {
            Idle::Chat(_) => FinalOutcome::NoResponse,
            Idle::Grpc(..) => FinalOutcome::Aborted,
        }
    }
}
