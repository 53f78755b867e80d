//! Replayed answers: what a stored answer does to other requests while its client reads it and when the client leaves.

mod testbed;

use petrelshore::interface::TrafficTypeId;
use petrelshore_chat_gateway::{Answer, AnswerItem, FinalAnswer, Gateway, GenerationRequest, Request};
use petrelshore_e2e::client::Api;
use petrelshore_gateway_core::Relay;
use petrelshore_gateway_core::token_estimate::{Message, estimate_prompt};
use std::rc::Rc;
use testbed::{fast_decode, run_case_for_api, small_fleet};

const MODEL: &str = "workshop-chat";
const TOKENS: u32 = 60;

fn accept(gateway: &Gateway, key: Option<&str>) -> Answer {
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
        relay: Relay::Streamed,
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

/// Guards against a replayed answer that ends another client's request as its own client finishes or leaves.
#[test]
fn end_of_replayed_answer_ends_no_other_request() {
    run_case_for_api(Api::Chat, "replay-end", &small_fleet(), "", fast_decode, |testbed| async move {
        let gateway = testbed.gateway.gateway.clone();
        let (text, _) = read(&mut accept(&gateway, Some("trip-7"))).await;
        for read_to_its_end in [true, false] {
            let mut replayed = accept(&gateway, Some("trip-7"));
            let mut other = accept(&gateway, None);
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
