//! The desk without sockets: keys, states, usage over a break, room.

use petrelshore::interface::*;
use petrelshore_gateway_core::attempt_outcome::Ending;
use petrelshore_gateway_core::buffered::{
    Desk, Final, Order, Piece, Refusal, Request, Sending, Taken, Usage, request_id,
};
use petrelshore_gateway_core::cache_releases::Word;
use petrelshore_gateway_core::token_estimate::{Message, estimate_prompt};
use petrelshore_gateway_core::{Chooser, Reason, Relay};
use std::rc::Rc;

const MS: Nanos = 1_000_000;

fn desk(most: usize) -> Desk<u8> {
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
    let mut desk = Desk::new(0, deployment, 5, most, Chooser::Decisions);
    desk.listed(0, SnapshotKind::Full, &(0..4).map(endpoint).collect::<Vec<_>>());
    desk
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
        budget: 5_000 * MS,
        whole_within: None,
        arrived: 0,
    }
}

fn sending(orders: &[Order<u8>]) -> &Sending<u8> {
    let found = orders.iter().find_map(|order| match order {
        Order::Send(sending) => Some(sending.as_ref()),
        _ => None,
    });
    found.unwrap_or_else(|| panic!("nothing is sent: {orders:?}"))
}

/// Takes a request and has its prompt read; what is sent to the writer.
fn read(desk: &mut Desk<u8>, request: Request) -> (SequenceId, Sending<u8>) {
    let mut out = Vec::new();
    let Taken::Accepted(id) = desk.take(0, request, &mut out) else { panic!("not taken") };
    let reads = sending(&out).clone();
    out.clear();
    desk.read_done(MS, &reads.dispatch, 0.0, 7, &mut out);
    (id, sending(&out).clone())
}

#[test]
fn a_stream_that_goes_on_has_its_text_read_and_its_tokens_counted_once() {
    let mut desk = desk(10);
    let (id, first) = read(&mut desk, request(0, None));
    assert_eq!((first.state, &*first.prompt, first.max_tokens), (Some(7), "why", 10));
    desk.began(2 * MS, &first.dispatch, &mut Vec::new());
    desk.piece(id, Piece::Text("a ".to_owned()));
    desk.progressed(3 * MS, id);
    desk.piece(id, Piece::Text("b ".to_owned()));
    let mut out = Vec::new();
    desk.ended(4 * MS, &first.dispatch, Ending::Reset, &mut out);
    let again = sending(&out).clone();
    assert_eq!((again.dispatch.step, &*again.prompt, again.max_tokens), (Step::Prefill, "whya b ", 8));
    out.clear();
    desk.read_done(5 * MS, &again.dispatch, 0.0, 8, &mut out);
    let writes = sending(&out).clone();
    desk.began(6 * MS, &writes.dispatch, &mut Vec::new());
    desk.piece(id, Piece::Finish("stop".to_owned()));
    desk.piece(id, Piece::Usage(Usage { prompt_tokens: 12, completion_tokens: 8 }));
    out.clear();
    desk.ended(7 * MS, &writes.dispatch, Ending::Generated, &mut out);
    let usage = Usage { prompt_tokens: 10, completion_tokens: 10 };
    assert_eq!(out, [Order::Answer { id, last: Final::Generated { finish: "stop".to_owned(), usage } }]);
    desk.left(8 * MS, id, true, &mut out);
    assert_eq!((desk.held(), desk.in_hand(), desk.next_due()), (0, 0, None));
}

#[test]
fn a_prompt_that_is_read_anew_leaves_no_state_behind_at_its_first_reader() {
    let mut desk = desk(10);
    let (id, first) = read(&mut desk, request(0, None));
    let mut out = Vec::new();
    // Its writer breaks before it has fetched the state.
    desk.ended(2 * MS, &first.dispatch, Ending::Reset, &mut out);
    let again = sending(&out).clone();
    assert_eq!(again.dispatch.step, Step::Prefill);
    out.clear();
    desk.read_done(3 * MS, &again.dispatch, 0.0, 8, &mut out);
    let writes = sending(&out).clone();
    assert_eq!(writes.state, Some(8));
    out.clear();
    desk.began(4 * MS, &writes.dispatch, &mut out);
    let at = first.dispatch.reader.unwrap();
    assert!(
        matches!(&out[..], [Order::LetGo(release)] if release.server == at && release.request == request_id(id, 0)),
        "{out:?}"
    );
}

#[test]
fn a_reader_that_could_not_be_connected_to_in_time_may_still_hold_what_it_was_told_to_let_go() {
    let mut desk = desk(10);
    let (id, writes) = read(&mut desk, request(0, None));
    let mut out = Vec::new();
    desk.left(2 * MS, id, false, &mut out);
    desk.cancelled(2 * MS, id, writes.dispatch.attempt, &mut out);
    assert_eq!(desk.releases_owed(), 1);
    for tried in 3..6 {
        out.clear();
        assert!(matches!(desk.take(tried * MS, request(0, None), &mut out), Taken::Accepted(_)));
        let reads = sending(&out).dispatch;
        desk.ended(tried * MS, &reads, Ending::NotConnected, &mut out);
    }
    assert_eq!(desk.releases_owed(), 1, "a connection that does not come up proves nothing");
}

#[test]
fn a_client_that_leaves_has_its_state_let_go_until_the_reader_has_answered() {
    let mut desk = desk(10);
    let (id, writes) = read(&mut desk, request(1, Some("k")));
    let mut out = Vec::new();
    desk.left(2 * MS, id, false, &mut out);
    assert!(out.contains(&Order::Cancel { id, attempt: writes.dispatch.attempt }), "{out:?}");
    desk.cancelled(2 * MS, id, writes.dispatch.attempt, &mut out);
    let told = out.iter().find_map(|order| match order {
        Order::LetGo(release) => Some(release.clone()),
        _ => None,
    });
    let release = told.unwrap_or_else(|| panic!("nothing is let go: {out:?}"));
    assert_eq!((desk.held(), desk.releases_owed()), (0, 1));
    desk.let_go(3 * MS, &release, Word::Answered);
    assert_eq!(desk.releases_owed(), 0);
    // Its writer may have run: the key must not run it again.
    let last = Final::Aborted { reason: Reason::Repeated };
    assert!(
        matches!(desk.take(3 * MS, request(1, Some("k")), &mut out), Taken::Replayed { last: l, .. } if l == last)
    );
}

#[test]
fn what_is_refused_leaves_nothing_behind() {
    let mut desk = desk(1);
    let mut out = Vec::new();
    assert!(matches!(desk.take(0, request(0, Some("a")), &mut out), Taken::Accepted(_)));
    assert!(matches!(
        desk.take(0, request(0, Some("a")), &mut out),
        Taken::Refused(Refusal::KeyInHand { .. })
    ));
    assert!(matches!(
        desk.take(0, request(0, Some("b")), &mut out),
        Taken::Refused(Refusal::GatewayFull { .. })
    ));
    // A refusal frees the key that it looked at.
    assert!(matches!(
        desk.take(0, request(0, Some("b")), &mut out),
        Taken::Refused(Refusal::GatewayFull { .. })
    ));
    desk.drain();
    assert!(matches!(desk.take(0, request(0, None), &mut out), Taken::Refused(Refusal::Draining { .. })));
    out.clear();
    desk.finish_all(MS, &mut out);
    assert!(
        out.iter().any(|order| matches!(order, Order::Answer { last: Final::Rejected { .. }, .. })),
        "{out:?}"
    );
    assert_eq!(desk.in_hand(), 0);
}
