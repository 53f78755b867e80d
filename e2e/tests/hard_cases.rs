//! Failure cases of streamed chat answers: faulty servers, client disconnects, overload and a gateway crash. Each case
//! runs the whole program on loopback, once for each API, and the auditor judges its record.

mod testbed;

use async_io::Timer;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_e2e::client::{Api, Observation, Question, chat_body, request};
use petrelshore_e2e::fleet::{RunningGateway, Shape, settings_text};
use petrelshore_e2e::grpc_client;
use petrelshore_emulator::model::Step;
use petrelshore_emulator::profile::{Fault, Profile};
use petrelshore_emulator::record::{Event, FinalOutcome};
use std::time::Duration;
use testbed::{CLIENT_TIMEOUT, Testbed, fast_decode, run_case, run_case_with_profile, small_fleet};

#[test]
fn answer_passes_prefill_and_decode_and_ends_once() {
    run_case("plain", small_fleet(), "", |testbed| async move {
        let observation = testbed.ask("rider-query", 5, CLIENT_TIMEOUT).await;
        assert_eq!(
            (observation.outcome, observation.tokens),
            (FinalOutcome::Completed, 5),
            "{observation:?}"
        );
        assert_eq!((testbed.arrivals(Step::Prefill), testbed.arrivals(Step::Decode)), (1, 1));
        let verdict = testbed.assert_clean().await;
        assert_eq!((verdict.requests, verdict.arrivals, verdict.reservations), (1, 2, 1));
    });
}

#[test]
fn silent_decode_server_aborts_the_stream() {
    run_case("decode-silent", small_fleet(), "", |testbed| async move {
        let set_silent = async {
            Timer::after(Duration::from_millis(150)).await;
            testbed.set_fault("writer", Fault::Silent);
        };
        let (observation, ()) =
            future::zip(testbed.ask("rider-query", 500, CLIENT_TIMEOUT), set_silent).await;
        assert_eq!(
            (observation.outcome, observation.retry_after),
            (FinalOutcome::Aborted, None),
            "{observation:?}"
        );
        assert!(observation.tokens > 0 && !observation.body.contains("[DONE]"));
        testbed.set_fault("writer", Fault::None);
        testbed.assert_clean().await;
    });
}

#[test]
fn disconnect_during_prefill_cancels_and_releases() {
    let slow = |profile: Profile| Profile { prefill_tokens_per_second: 300.0, ..fast_decode(profile) };
    run_case_with_profile("prefill-disconnect", small_fleet(), "", slow, |testbed| async move {
        let observation = testbed.ask("workshop-chat", 5, Duration::from_millis(100)).await;
        assert_eq!(observation.outcome, FinalOutcome::Disconnected);
        assert_eq!((testbed.arrivals(Step::Prefill), testbed.arrivals(Step::Decode)), (1, 0));
        testbed.assert_clean().await;
        assert_eq!(testbed.arrivals(Step::Decode), 0);
        assert_eq!(testbed.gateway.gateway.counts().cancelled, 1);
    });
}

#[test]
fn disconnect_during_stream_cancels_the_decode() {
    run_case("stream-disconnect", small_fleet(), "", |testbed| async move {
        let observation = testbed.ask("rider-query", 1000, Duration::from_millis(300)).await;
        assert_eq!(observation.outcome, FinalOutcome::Disconnected);
        assert!(observation.tokens > 0);
        testbed.assert_clean().await;
    });
}

#[test]
fn prefill_is_repeated_after_its_server_crashes() {
    let shape = Shape { cells: 1, prefill: 2, decode: 2, combined: 0 };
    run_case("prefill-crash", shape, "attempts = 8", |mut testbed| async move {
        // The decode servers hang, so the prefill server still holds the KV cache when it is killed.
        testbed.set_fault("writer", Fault::Hangs);
        let answer = {
            let (record, route) = (testbed.fleet.record.clone(), testbed.route());
            let deadline = record.now() + 10_000_000_000;
            let (gateway, traffic) = (testbed.gateway.name.clone(), "workshop-chat".to_owned());
            record.write(Event::RequestSent { client: 7, gateway, traffic, deadline });
            testbed.executor.spawn(async move {
                let observation = route.send(Question::new("workshop-chat", "why #client 7 ", 4)).await;
                let (outcome, first_token) = (observation.outcome, observation.first_token);
                record.write(Event::ResponseReceived {
                    client: 7,
                    outcome,
                    first_token,
                    tokens: observation.tokens,
                });
                observation
            })
        };
        let holder = loop {
            Timer::after(Duration::from_millis(10)).await;
            let holds_cache = |name: &str| testbed.fleet.server(name).is_some_and(|s| s.held_caches() > 0);
            if let Some(name) = ["reader-1-1", "reader-1-2"].into_iter().find(|name| holds_cache(name)) {
                break name;
            }
        };
        testbed.fleet.kill(holder);
        testbed.set_fault("writer", Fault::None);
        let observation = answer.await;
        assert_eq!(observation.outcome, FinalOutcome::Completed, "{observation:?}");
        assert!(testbed.arrivals(Step::Prefill) >= 2);
        testbed.assert_clean().await;
    });
}

#[test]
fn hanging_server_delays_idempotent_and_never_gets_at_most_once() {
    run_case("decode-hangs", small_fleet(), "", |testbed| async move {
        testbed.set_fault("writer-1-1", Fault::Hangs);
        for _ in 0..4 {
            let observation = testbed.ask("workshop-chat", 3, CLIENT_TIMEOUT).await;
            assert_eq!(observation.outcome, FinalOutcome::Completed, "{observation:?}");
        }
        testbed.set_fault("writer-1-2", Fault::Hangs);
        let arrivals_before = testbed.arrivals(Step::Decode);
        let observation = testbed.ask("unlock-once", 3, CLIENT_TIMEOUT).await;
        // Neither server answered the probe, so the request was sent to neither and the client may retry it.
        assert_eq!(observation.outcome, FinalOutcome::Rejected, "{observation:?}");
        assert_eq!(testbed.arrivals(Step::Decode), arrivals_before);
        testbed.assert_clean().await;
    });
}

#[test]
fn broken_streams_end_with_an_error_event() {
    for (name, fault) in
        [("cut", Fault::EndsBadly(2)), ("reset", Fault::ResetAfter(2)), ("garbage", Fault::Garbage(2))]
    {
        run_case(name, small_fleet(), "", |testbed| async move {
            testbed.set_fault("writer", fault);
            let observation = testbed.ask("rider-query", 10, CLIENT_TIMEOUT).await;
            assert_eq!(
                (observation.outcome, observation.retry_after),
                (FinalOutcome::Aborted, None),
                "{observation:?}"
            );
            assert!(
                (2..=6).contains(&observation.tokens) && !observation.body.contains("[DONE]"),
                "{observation:?}"
            );
            testbed.assert_clean().await;
        });
    }
}

#[test]
fn broken_idempotent_stream_resumes_at_its_last_token() {
    run_case("stream-resumes", small_fleet(), "attempts = 6", |testbed| async move {
        let answer = testbed.ask("workshop-chat", 30, CLIENT_TIMEOUT);
        let (observation, ()) = future::zip(answer, testbed.break_running_answer()).await;
        assert_eq!(
            (observation.outcome, observation.tokens),
            (FinalOutcome::Completed, 30),
            "{observation:?}"
        );
        assert_eq!(
            (testbed.arrivals(Step::Prefill), testbed.arrivals(Step::Decode)),
            (2, 2),
            "the stream has to break once and resume once"
        );
        testbed.assert_clean().await;
    });
}

#[test]
fn at_most_once_request_is_rejected_at_capacity() {
    run_case("at-capacity", small_fleet(), "", |testbed| async move {
        testbed.set_fault("writer", Fault::Full);
        let observation = testbed.ask("unlock-once", 3, CLIENT_TIMEOUT).await;
        assert!(
            observation.outcome == FinalOutcome::Rejected && observation.retry_after.is_some(),
            "{observation:?}"
        );
        testbed.assert_clean().await;
    });
}

#[test]
fn at_most_once_request_is_not_retried_after_a_reset() {
    run_case("once-reset", small_fleet(), "", |testbed| async move {
        testbed.set_fault("writer", Fault::ResetAfter(0));
        let observation = testbed.ask("unlock-once", 3, CLIENT_TIMEOUT).await;
        assert_eq!(observation.outcome, FinalOutcome::Aborted, "{observation:?}");
        assert_eq!(testbed.arrivals(Step::Decode), 1);
        testbed.assert_clean().await;
    });
}

#[test]
fn keyed_request_stays_in_its_cell_with_its_key() {
    let shape = Shape { cells: 2, prefill: 1, decode: 1, combined: 0 };
    run_case("keyed-cell", shape, "", |testbed| async move {
        testbed.set_fault("writer", Fault::ResetAfter(0));
        let observation = testbed
            .send(Question::new("dock-tokened", "why", 3).with("idempotency-key", "dock-7"), CLIENT_TIMEOUT)
            .await;
        assert_eq!(observation.outcome, FinalOutcome::Aborted, "{observation:?}");
        let entries = testbed.fleet.record.entries();
        let keys = entries.iter().filter_map(|entry| match &entry.event {
            Event::AttemptArrived { step, idempotency_key, .. } if step == Step::Decode.name() => {
                idempotency_key.clone()
            }
            _ => None,
        });
        assert!(keys.clone().count() >= 1 && keys.clone().all(|key| key == "dock-7"));
        testbed.assert_clean().await;
    });
}

#[test]
fn excess_requests_get_a_retry_after() {
    run_case("sequence-limit", small_fleet(), "limits.sequences = 3", |testbed| async move {
        let tasks: Vec<_> = (0..8)
            .map(|_| {
                let route = testbed.route();
                testbed.executor.spawn(route.send(Question::new("workshop-chat", "why", 60)))
            })
            .collect();
        let mut observations = Vec::new();
        for task in tasks {
            observations.push(task.await);
        }
        let overloaded = |observation: &&Observation| observation.code.as_deref() == Some("overloaded");
        let rejected: Vec<_> = observations.iter().filter(overloaded).collect();
        assert_eq!(
            (
                rejected.len(),
                observations
                    .iter()
                    .filter(|observation| observation.outcome == FinalOutcome::Completed)
                    .count()
            ),
            (5, 3)
        );
        assert!(rejected.iter().all(|observation| observation.retry_after.is_some()));
        testbed.assert_clean().await;
    });
}

#[test]
fn keyed_request_runs_once_and_its_retry_is_replayed() {
    run_case("key-replay", small_fleet(), "", |testbed| async move {
        let route = testbed.route();
        let keyed = |text| Question::new("dock-tokened", text, 60).with("idempotency-key", "same");
        let concurrent = async {
            Timer::after(Duration::from_millis(100)).await;
            let repeat = route.send(keyed("why")).await;
            (repeat, route.send(keyed("how")).await)
        };
        let (first, (repeat, reused)) = future::zip(route.send(keyed("why")), concurrent).await;
        assert_eq!((first.outcome, first.tokens), (FinalOutcome::Completed, 60), "{first:?}");
        assert!(repeat.retry_after.is_some() && reused.retry_after.is_none(), "{repeat:?} {reused:?}");
        let codes = (repeat.code.as_deref(), reused.code.as_deref());
        assert_eq!(codes, (Some("idempotency_key_in_use"), Some("idempotency_key_reused")));
        let retried = route.send(keyed("why")).await;
        assert!(retried.outcome == FinalOutcome::Completed && retried.body.contains("t60 "), "{retried:?}");
        assert_eq!((testbed.arrivals(Step::Prefill), testbed.arrivals(Step::Decode)), (1, 1));
        testbed.assert_clean().await;
    });
}

#[test]
fn retry_of_an_aborted_key_gets_the_same_abort() {
    run_case("key-abort", small_fleet(), "", |testbed| async move {
        testbed.set_fault("writer", Fault::ResetAfter(0));
        let keyed = || Question::new("unlock-once", "open", 3).with("idempotency-key", "door-1");
        let first = testbed.route().send(keyed()).await;
        testbed.set_fault("writer", Fault::None);
        let retried = testbed.route().send(keyed()).await;
        assert_eq!(
            (first.outcome, retried.outcome),
            (FinalOutcome::Aborted, FinalOutcome::Aborted),
            "{retried:?}"
        );
        assert_eq!(testbed.arrivals(Step::Decode), 1);
        testbed.assert_clean().await;
    });
}

#[test]
fn crashed_gateway_restarts_with_its_cached_endpoint_list() {
    // The prefill server keeps the KV caches of the killed gateway until its cache timeout, which is short here.
    let short_cache = |profile: Profile| Profile { cache_timeout: 2_000_000_000, ..fast_decode(profile) };
    run_case_with_profile("gateway-crash", small_fleet(), "", short_cache, |mut testbed| async move {
        let spare_settings = settings_text("gw-1", 1, "127.0.0.1:0", "");
        let spare = RunningGateway::start(&testbed.executor, &testbed.folder, &spare_settings).await.unwrap();
        let burst: Vec<_> = (0..20)
            .map(|_| {
                let route = testbed.route();
                testbed.executor.spawn(route.send(Question::new("rider-query", "why", 200)))
            })
            .collect();
        Timer::after(Duration::from_millis(200)).await;
        let Testbed { gateway, fleet, folder, executor, .. } = &mut testbed;
        let (address, grpc) = (gateway.addresses.chat.to_string(), gateway.addresses.grpc);
        let restart_settings = settings_text("gw-1", 1, &address, &format!("listen.grpc = \"{grpc}\""));
        std::mem::replace(gateway, spare).kill(&fleet.record).await;
        // While the gateway is down, a decode server is killed and the inventory file is removed, so only the
        // cached endpoint list is left.
        fleet.kill("writer-1-1");
        std::fs::remove_file(folder.join("boxes.csv")).unwrap();
        let without_list =
            RunningGateway::start(executor, folder, &settings_text("other", 1, "127.0.0.1:0", "")).await;
        assert!(without_list.is_err(), "a gateway without any endpoint list started");
        for answer in burst {
            assert_eq!(answer.await.outcome, FinalOutcome::NoResponse);
        }
        // The gateway's port was free while it was down, so an outgoing connection of another test may use it as its
        // local port. The start is retried until that connection closes.
        let mut restarted = RunningGateway::start(executor, folder, &restart_settings).await;
        for _ in 0..100 {
            if restarted.is_ok() {
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
            restarted = RunningGateway::start(executor, folder, &restart_settings).await;
        }
        *gateway = restarted.unwrap();
        assert_eq!((gateway.gateway.servers(), gateway.addresses.chat.to_string()), (3, address));
        for _ in 0..6 {
            let observation = testbed.ask("workshop-chat", 3, CLIENT_TIMEOUT).await;
            assert_eq!(observation.outcome, FinalOutcome::Completed, "{observation:?}");
        }
        testbed.assert_clean().await;
    });
}

#[test]
fn stalled_client_blocks_only_itself_and_is_released() {
    let fast_tokens = |profile: Profile| Profile { token_interval: 1_000, ..profile };
    let settings = r#"traffic."workshop-chat".max_tokens = 400000"#;
    run_case_with_profile("client-stalls", small_fleet(), settings, fast_tokens, |testbed| async move {
        let mut stalled = StalledClient::send(&testbed, Question::new("workshop-chat", "why", 400_000)).await;
        Timer::after(Duration::from_secs(2)).await;
        let observation = testbed.ask("rider-query", 5, CLIENT_TIMEOUT).await;
        assert_eq!(observation.outcome, FinalOutcome::Completed, "{observation:?}");
        // The client reads nothing for longer than the stall timeout, so the gateway aborts its request and the decode
        // server is free again.
        testbed.assert_clean_after_stall().await;
        let observation = stalled.read_response().await;
        assert_eq!(
            (observation.outcome, observation.retry_after),
            (stalled.expected_outcome(), None),
            "{observation:?}"
        );
    });
}

/// A client that sends a request and reads nothing of the response before `read_response`.
enum StalledClient {
    Chat(async_net::TcpStream),
    Grpc(
        Option<h2::client::ResponseFuture>,
        #[allow(dead_code, reason = "drives the connection for as long as it is kept")]
        async_executor::Task<()>,
    ),
}

impl StalledClient {
    async fn send(testbed: &Testbed, question: Question) -> StalledClient {
        match testbed.api {
            Api::Chat => {
                let mut stream = async_net::TcpStream::connect(testbed.gateway.addresses.chat).await.unwrap();
                let body = chat_body(&question.model, &question.text, question.max_tokens, true);
                let text = request("/v1/chat/completions", &[], &body);
                stream.write_all(text.as_bytes()).await.unwrap();
                StalledClient::Chat(stream)
            }
            Api::Grpc => {
                let (mut sender, driver) =
                    grpc_client::connect(testbed.gateway.addresses.grpc).await.unwrap();
                // The connection is still driven; only this stream is not read.
                let drive = testbed.executor.spawn(async move { driver.await.unwrap_or_default() });
                StalledClient::Grpc(grpc_client::call(&mut sender, &question).await, drive)
            }
        }
    }

    /// Reads the rest of the response after the stall.
    async fn read_response(&mut self) -> Observation {
        let mut observation = Observation::nothing();
        match self {
            StalledClient::Chat(stream) => {
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest).await;
                if String::from_utf8_lossy(&rest).contains("[DONE]") {
                    observation.outcome = FinalOutcome::Completed;
                }
            }
            StalledClient::Grpc(response, _) => {
                let response = response.take().expect("the call was sent and its response not yet read");
                grpc_client::read(response, std::time::Instant::now(), &mut observation).await;
            }
        }
        observation
    }

    /// Returns the outcome that the client observes after the stall. Each HTTP/2 stream has its own flow-control
    /// window, so the connection does not stall with the stream and the gateway can still send the final status. An
    /// HTTP/1.1 connection stalls as a whole and can only be closed.
    fn expected_outcome(&self) -> FinalOutcome {
        match self {
            StalledClient::Chat(_) => FinalOutcome::NoResponse,
            StalledClient::Grpc(..) => FinalOutcome::Aborted,
        }
    }
}
