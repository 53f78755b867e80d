//! The request table without sockets: keys, states, usage over a break, room.

use petrelshore::interface::*;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::buffered::{
    Admission, BufferedRequests, Command, FinalAnswer, OutgoingAttempt, Piece, Rejection, Request, Usage,
    request_id,
};
use petrelshore_gateway_core::cache_releases::ReleaseOutcome;
use petrelshore_gateway_core::token_estimate::{Message, estimate_prompt};
use petrelshore_gateway_core::{Chooser, FailureReason, Relay};
use std::rc::Rc;

const MS: Nanos = 1_000_000;

fn requests(most: usize) -> BufferedRequests<u8> {
    let traffic = TrafficType {
        priority_weight: 1.0,
        latency_slo: 1_000 * MS,
        slo_per_prompt_token: 0,
        token_interval: 50 * MS,
        idempotency: Idempotency::Idempotent,
        delivery: Delivery::Streamed,
    };
    let once = TrafficType { idempotency: Idempotency::AtMostOnce, ..traffic.clone() };
    let deployment = Deployment {
        gateways: 1,
        zone: ZoneId(0),
        types: vec![traffic, once],
        kinds: [Role::Prefill, Role::Decode].map(|role| ServerKind { role, memory_tokens: 10_000.0 }).into(),
        tenants: vec![],
        over_quota_factor: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        max_poll_interval: 1_000 * MS,
        max_attempts: 6,
        max_retry_after: Some(1_000 * MS),
        decode_servers_prefill: false,
        release_timeout: 500 * MS,
        slow_start_duration: 0,
        slow_start_initial_share: 1.0,
        slow_start_overload_factor: 2.0,
        slow_start_window: MS,
        timer_resolution: 0,
        start_time_clock: StartTimeClock::Local,
    };
    let endpoint = |number: u64| Endpoint {
        server: ServerId(number),
        kind: ServerKindId((number / 2) as usize),
        cell: CellId(0),
        zone: ZoneId(0),
        weight: 1.0,
        started_at: 0,
        state: EndpointState::Ready,
    };
    let mut requests = BufferedRequests::new(0, deployment, 5, most, Chooser::Decisions);
    requests.update_endpoints(0, SnapshotKind::Full, &(0..4).map(endpoint).collect::<Vec<_>>());
    requests
}

fn request(traffic: usize, key: Option<&str>) -> Request {
    Request {
        traffic: TrafficTypeId(traffic),
        tenant: None,
        session: None,
        estimate: estimate_prompt(&[Message { role: "user", text: "why" }]),
        model: Rc::from("m"),
        prompt: Rc::from("why"),
        max_tokens: 10,
        idempotency_key: key.map(Rc::from),
        relay: Relay::Streamed,
        client: 1,
        first_token_budget: 5_000 * MS,
        completion_budget: None,
        arrived_at: 0,
    }
}

fn sending(orders: &[Command<u8>]) -> &OutgoingAttempt<u8> {
    let found = orders.iter().find_map(|order| match order {
        Command::Send(sending) => Some(sending.as_ref()),
        _ => None,
    });
    found.unwrap_or_else(|| panic!("nothing is sent: {orders:?}"))
}

/// Takes a request and has its prompt read; what is sent to the writer.
fn read(requests: &mut BufferedRequests<u8>, request: Request) -> (SequenceId, OutgoingAttempt<u8>) {
    let mut out = Vec::new();
    let Admission::Accepted(id) = requests.accept(0, request, &mut out) else { panic!("not taken") };
    let reads = sending(&out).clone();
    out.clear();
    requests.prefill_done(MS, &reads.dispatch, 0.0, 7, &mut out);
    (id, sending(&out).clone())
}

#[test]
fn a_stream_that_goes_on_has_its_text_read_and_its_tokens_counted_once() {
    let mut requests = requests(10);
    let (id, first) = read(&mut requests, request(0, None));
    assert_eq!((first.transfer_params, &*first.prompt, first.max_tokens), (Some(7), "why", 10));
    requests.first_token(2 * MS, &first.dispatch, &mut Vec::new());
    requests.receive_piece(id, Piece::Text("a ".to_owned()));
    requests.token_received(3 * MS, id);
    requests.receive_piece(id, Piece::Text("b ".to_owned()));
    let mut out = Vec::new();
    requests.attempt_ended(4 * MS, &first.dispatch, AttemptEnd::Reset, &mut out);
    let again = sending(&out).clone();
    assert_eq!((again.dispatch.step, &*again.prompt, again.max_tokens), (Step::Prefill, "whya b ", 8));
    out.clear();
    requests.prefill_done(5 * MS, &again.dispatch, 0.0, 8, &mut out);
    let writes = sending(&out).clone();
    requests.first_token(6 * MS, &writes.dispatch, &mut Vec::new());
    requests.receive_piece(id, Piece::Finish("stop".to_owned()));
    requests.receive_piece(id, Piece::Usage(Usage { prompt_tokens: 12, completion_tokens: 8 }));
    out.clear();
    requests.attempt_ended(7 * MS, &writes.dispatch, AttemptEnd::Completed, &mut out);
    let usage = Usage { prompt_tokens: 10, completion_tokens: 10 };
    assert_eq!(
        out,
        [Command::Answer { id, last: FinalAnswer::Completed { finish_reason: "stop".to_owned(), usage } }]
    );
    requests.answer_consumed(8 * MS, id);
    assert_eq!((requests.tracked(), requests.unanswered(), requests.next_timeout()), (0, 0, None));
}

#[test]
fn a_prompt_that_is_read_anew_leaves_no_state_behind_at_its_first_reader() {
    let mut requests = requests(10);
    let (id, first) = read(&mut requests, request(0, None));
    let mut out = Vec::new();
    // Its writer breaks before it has fetched the state.
    requests.attempt_ended(2 * MS, &first.dispatch, AttemptEnd::Reset, &mut out);
    let again = sending(&out).clone();
    assert_eq!(again.dispatch.step, Step::Prefill);
    out.clear();
    requests.prefill_done(3 * MS, &again.dispatch, 0.0, 8, &mut out);
    let writes = sending(&out).clone();
    assert_eq!(writes.transfer_params, Some(8));
    out.clear();
    requests.first_token(4 * MS, &writes.dispatch, &mut out);
    let at = first.dispatch.prefill_server.unwrap();
    assert!(
        matches!(&out[..], [Command::Release(release)] if release.server == at && release.request_id == request_id(id, 0)),
        "{out:?}"
    );
}

#[test]
fn a_reader_that_could_not_be_connected_to_in_time_may_still_hold_what_it_was_told_to_let_go() {
    let mut requests = requests(10);
    let (id, writes) = read(&mut requests, request(0, None));
    let mut out = Vec::new();
    requests.client_cancelled(2 * MS, id, &mut out);
    requests.attempt_cancelled(2 * MS, id, writes.dispatch.attempt, &mut out);
    assert_eq!(requests.pending_releases(), 1);
    for tried in 3..6 {
        out.clear();
        assert!(matches!(requests.accept(tried * MS, request(0, None), &mut out), Admission::Accepted(_)));
        let reads = sending(&out).dispatch;
        requests.attempt_ended(tried * MS, &reads, AttemptEnd::NotConnected, &mut out);
    }
    assert_eq!(requests.pending_releases(), 1, "a connection that does not come up proves nothing");
}

#[test]
fn a_client_that_leaves_has_its_state_let_go_until_the_reader_has_answered() {
    let mut requests = requests(10);
    let (id, writes) = read(&mut requests, request(1, Some("k")));
    let mut out = Vec::new();
    requests.client_cancelled(2 * MS, id, &mut out);
    assert!(out.contains(&Command::Cancel { id, attempt: writes.dispatch.attempt }), "{out:?}");
    requests.attempt_cancelled(2 * MS, id, writes.dispatch.attempt, &mut out);
    let told = out.iter().find_map(|order| match order {
        Command::Release(release) => Some(release.clone()),
        _ => None,
    });
    let release = told.unwrap_or_else(|| panic!("nothing is let go: {out:?}"));
    assert_eq!((requests.tracked(), requests.pending_releases()), (0, 1));
    requests.release_finished(3 * MS, &release, ReleaseOutcome::Acknowledged);
    assert_eq!(requests.pending_releases(), 0);
    // Its writer may have run: the key must not run it again.
    let last = FinalAnswer::Aborted { reason: FailureReason::AlreadyRan };
    assert!(
        matches!(requests.accept(3 * MS, request(1, Some("k")), &mut out), Admission::Replayed { last: l, .. } if l == last)
    );
}

#[test]
fn what_is_refused_leaves_nothing_behind() {
    let mut requests = requests(1);
    let mut out = Vec::new();
    assert!(matches!(requests.accept(0, request(0, Some("a")), &mut out), Admission::Accepted(_)));
    assert!(matches!(
        requests.accept(0, request(0, Some("a")), &mut out),
        Admission::Rejected(Rejection::KeyInFlight { .. })
    ));
    assert!(matches!(
        requests.accept(0, request(0, Some("b")), &mut out),
        Admission::Rejected(Rejection::GatewayAtCapacity { .. })
    ));
    // A refusal frees the key that it looked at.
    assert!(matches!(
        requests.accept(0, request(0, Some("b")), &mut out),
        Admission::Rejected(Rejection::GatewayAtCapacity { .. })
    ));
    requests.drain();
    assert!(matches!(
        requests.accept(0, request(0, None), &mut out),
        Admission::Rejected(Rejection::Draining { .. })
    ));
    out.clear();
    requests.terminate_all(MS, &mut out);
    assert!(
        out.iter().any(|order| matches!(order, Command::Answer { last: FinalAnswer::Rejected { .. }, .. })),
        "{out:?}"
    );
    assert_eq!(requests.unanswered(), 0);
}
