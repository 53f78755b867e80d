//! Answers as an ingress reads them: answers in one piece whose first attempt broke, and replays of stored answers.

mod testbed;

use futures_lite::future;
use petrelshore::interface::TrafficTypeId;
use petrelshore_chat_gateway::{Answer, AnswerItem, FinalAnswer, Gateway, GenerationRequest, Request};
use petrelshore_e2e::client::{Api, chat_body, exchange, request};
use petrelshore_emulator::model::Step;
use petrelshore_gateway_core::Relay;
use petrelshore_gateway_core::token_estimate::{Message, estimate_prompt};
use std::rc::Rc;
use testbed::{CLIENT_TIMEOUT, fast_decode, run_case_for_api, small_fleet};

const MODEL: &str = "workshop-chat";
const TOKENS: u32 = 60;

fn accept(gateway: &Gateway, relay: Relay, key: Option<&str>) -> Answer {
    let settings = gateway.settings();
    let traffic = settings.traffic.iter().position(|traffic| traffic.name == MODEL).unwrap();
    let request = Request {
        traffic: TrafficTypeId(traffic),
        tenant: None,
        session: None,
        estimate: estimate_prompt(&[Message { role: "user", text: "why" }]),
        model: Rc::from(MODEL),
        prompt: Rc::from("why"),
        max_tokens: TOKENS,
        idempotency_key: key.map(Rc::from),
        relay,
        client: 1,
        first_token_budget: settings.traffic[traffic].abandon_time,
        completion_budget: None,
        arrived_at: gateway.clock().now(),
    };
    let request = GenerationRequest { request, stop: Rc::new([]), sampling: Rc::default() };
    gateway.accept(request).unwrap_or_else(|rejection| panic!("not accepted: {rejection:?}"))
}

/// Reads an answer to its end. Returns the text and the final answer.
async fn read(answer: &mut Answer) -> (String, Option<FinalAnswer>) {
    let mut text = String::new();
    while let Some(item) = answer.next().await {
        match item {
            AnswerItem::Text(part) => text.push_str(&part),
            AnswerItem::FinalAnswer(final_answer) => return (text, Some(final_answer)),
        }
    }
    (text, None)
}

/// The text that an emulated server generates in one piece.
fn generated_text() -> String {
    (1..=TOKENS).map(|number| format!("t{number} ")).collect()
}

/// Guards against an answer in one piece that holds the text of a broken attempt too, when it is first read and when it
/// is replayed.
#[test]
fn text_of_a_broken_attempt_is_no_part_of_a_buffered_answer() {
    run_case_for_api(Api::Chat, "buffered", &small_fleet(), "", fast_decode, |testbed| async move {
        let gateway = testbed.gateway.gateway.clone();
        let ask = || accept(&gateway, Relay::Buffered, Some("trip-7")).complete();
        let (first, ()) = future::zip(ask(), testbed.break_running_answer()).await;
        let (first, replayed) = (first.unwrap(), ask().await.unwrap());
        assert_eq!((&first.text, &replayed), (&generated_text(), &first));
        assert_eq!(testbed.arrivals(Step::Decode), 2, "the answer has to break once");
        testbed.assert_clean().await;
    });
}

/// Guards against a response in one piece that holds the text of a broken attempt too.
#[test]
fn text_of_a_broken_attempt_is_no_part_of_a_buffered_response() {
    run_case_for_api(Api::Chat, "buffered-http", &small_fleet(), "", fast_decode, |testbed| async move {
        let request = request("/v1/chat/completions", &[], &chat_body(MODEL, "why", TOKENS.into(), false));
        let answer = exchange(testbed.gateway.addresses.chat, &request, CLIENT_TIMEOUT);
        let (observation, ()) = future::zip(answer, testbed.break_running_answer()).await;
        let content = format!("\"content\":\"{}\"", generated_text());
        assert!(observation.body.contains(&content), "{observation:?}");
        assert_eq!(testbed.arrivals(Step::Decode), 2, "the answer has to break once");
        testbed.assert_clean().await;
    });
}

/// Guards against a replayed answer that ends another client's request as its own client finishes or leaves.
#[test]
fn end_of_replayed_answer_ends_no_other_request() {
    run_case_for_api(Api::Chat, "replay-end", &small_fleet(), "", fast_decode, |testbed| async move {
        let gateway = testbed.gateway.gateway.clone();
        let (text, _) = read(&mut accept(&gateway, Relay::Streamed, Some("trip-7"))).await;
        for read_to_its_end in [true, false] {
            let mut replayed = accept(&gateway, Relay::Streamed, Some("trip-7"));
            let mut other = accept(&gateway, Relay::Streamed, None);
            let Some(AnswerItem::Text(first_text)) = other.next().await else { panic!("no text") };
            if read_to_its_end {
                assert_eq!(read(&mut replayed).await.0, text);
            }
            drop(replayed);
            let (rest, final_answer) = read(&mut other).await;
            assert!(matches!(final_answer, Some(FinalAnswer::Completed { .. })), "{final_answer:?}");
            assert_eq!(first_text + &rest, text);
        }
        assert_eq!((gateway.counts().completed, gateway.counts().cancelled), (3, 0));
        testbed.assert_clean().await;
    });
}
