//! The buffered request table without sockets: idempotency keys, releases of KV caches, token usage of resumed streams,
//! and capacity.

use petrelshore::interface::{
    CellId, Delivery, Deployment, Discovery, Endpoint, EndpointState, Idempotency, KeyScope, Nanos, Role,
    SequenceId, ServerId, ServerKind, ServerKindId, SnapshotKind, StartTimeClock, Step, TrafficType,
    TrafficTypeId, Weights, ZoneId,
};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::buffered::{
    Admission, BufferedRequests, Command, FinalAnswer, OutgoingAttempt, OutputStart, Piece, Rejection,
    Request, Usage, request_id,
};
use petrelshore_gateway_core::cache_releases::ReleaseOutcome;
use petrelshore_gateway_core::idempotency::DEFAULT_WINDOW;
use petrelshore_gateway_core::token_estimate::{Message, estimate_prompt};
use petrelshore_gateway_core::{CancelReason, FailureReason, PolicyKind, Relay};
use std::rc::Rc;

const MS: Nanos = 1_000_000;
/// The window of the keyed traffic type, which is longer than the default window.
const KEY_WINDOW: Nanos = 90_000 * MS;

fn requests(max_requests: usize) -> BufferedRequests<u8> {
    let traffic = TrafficType {
        priority_weight: 1.0,
        latency_slo: 1_000 * MS,
        slo_per_prompt_token: 0,
        token_interval: 50 * MS,
        idempotency: Idempotency::Idempotent,
        delivery: Delivery::Streamed,
    };
    let at_most_once = TrafficType { idempotency: Idempotency::AtMostOnce, ..traffic.clone() };
    let keyed = Idempotency::Keyed { scope: KeyScope::Cell, window: KEY_WINDOW };
    let keyed = TrafficType { idempotency: keyed, ..traffic.clone() };
    let deployment = Deployment {
        gateways: 1,
        zone: ZoneId(0),
        types: vec![traffic, at_most_once, keyed],
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
    let mut requests = BufferedRequests::new(0, deployment, 5, max_requests, PolicyKind::Scheduler);
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

/// Returns the first attempt that the commands send.
fn sent_attempt(commands: &[Command<u8>]) -> &OutgoingAttempt<u8> {
    let sent_attempt = commands.iter().find_map(|command| match command {
        Command::Send(attempt) => Some(attempt.as_ref()),
        _ => None,
    });
    sent_attempt.unwrap_or_else(|| panic!("no attempt is sent: {commands:?}"))
}

/// Accepts a request and completes its prefill. Returns the id and the attempt that is sent to a decode server.
fn accept_and_prefill(
    requests: &mut BufferedRequests<u8>,
    request: Request,
) -> (SequenceId, OutgoingAttempt<u8>) {
    let mut commands = Vec::new();
    let Admission::Accepted(id) = requests.accept(0, request, &mut commands) else {
        panic!("the request is not accepted")
    };
    let prefill = sent_attempt(&commands).clone();
    commands.clear();
    requests.prefill_done(MS, &prefill.dispatch, 0.0, 7, &mut commands);
    (id, sent_attempt(&commands).clone())
}

/// A stream that breaks after some tokens is resumed: the text that the client already has is prefilled as part of the
/// prompt. The usage reported to the client must not count that text as prompt tokens as well.
#[test]
fn resumed_stream_prefills_delivered_text_and_counts_tokens_once() {
    let mut requests = requests(10);
    let (id, first) = accept_and_prefill(&mut requests, request(0, None));
    assert_eq!((first.transfer_params, &*first.prompt, first.max_tokens), (Some(7), "why", 10));
    assert_eq!(requests.first_token(2 * MS, &first.dispatch, &mut Vec::new()), OutputStart::Continues);
    requests.receive_piece(id, Piece::Text("a ".to_owned()));
    requests.token_received(3 * MS, id);
    requests.receive_piece(id, Piece::Text("b ".to_owned()));
    let mut commands = Vec::new();
    requests.attempt_ended(4 * MS, &first.dispatch, AttemptEnd::Reset, &mut commands);
    let retry = sent_attempt(&commands).clone();
    assert_eq!((retry.dispatch.step, &*retry.prompt, retry.max_tokens), (Step::Prefill, "whya b ", 8));
    commands.clear();
    requests.prefill_done(5 * MS, &retry.dispatch, 0.0, 8, &mut commands);
    let decode = sent_attempt(&commands).clone();
    assert_eq!(requests.first_token(6 * MS, &decode.dispatch, &mut Vec::new()), OutputStart::Continues);
    requests.receive_piece(id, Piece::Finish("stop".to_owned()));
    requests.receive_piece(id, Piece::Usage(Usage { prompt_tokens: 12, completion_tokens: 8 }));
    commands.clear();
    requests.attempt_ended(7 * MS, &decode.dispatch, AttemptEnd::Completed, &mut commands);
    let usage = Usage { prompt_tokens: 10, completion_tokens: 10 };
    assert_eq!(
        commands,
        [Command::Answer { id, last: FinalAnswer::Completed { finish_reason: "stop".to_owned(), usage } }]
    );
    requests.answer_consumed(8 * MS, id);
    assert_eq!((requests.tracked(), requests.unanswered(), requests.next_timeout()), (0, 0, None));
}

#[test]
fn second_prefill_releases_cache_of_the_first() {
    let mut requests = requests(10);
    let (id, first) = accept_and_prefill(&mut requests, request(0, None));
    let mut commands = Vec::new();
    // The decode server fails before it has fetched the KV cache.
    requests.attempt_ended(2 * MS, &first.dispatch, AttemptEnd::Reset, &mut commands);
    let retry = sent_attempt(&commands).clone();
    assert_eq!(retry.dispatch.step, Step::Prefill);
    commands.clear();
    requests.prefill_done(3 * MS, &retry.dispatch, 0.0, 8, &mut commands);
    let decode = sent_attempt(&commands).clone();
    assert_eq!(decode.transfer_params, Some(8));
    commands.clear();
    assert_eq!(requests.first_token(4 * MS, &decode.dispatch, &mut commands), OutputStart::Continues);
    let first_server = first.dispatch.prefill_server.unwrap();
    assert!(
        matches!(&commands[..], [Command::Release(release)] if release.server == first_server && release.request_id == request_id(id, 0)),
        "{commands:?}"
    );
}

#[test]
fn failed_connection_does_not_settle_pending_release() {
    let mut requests = requests(10);
    let (id, decode) = accept_and_prefill(&mut requests, request(0, None));
    let mut commands = Vec::new();
    requests.client_cancelled(2 * MS, id, &mut commands);
    requests.attempt_cancelled(2 * MS, id, decode.dispatch.attempt, &mut commands);
    assert_eq!(requests.pending_releases(), 1);
    for millisecond in 3..6 {
        commands.clear();
        assert!(matches!(
            requests.accept(millisecond * MS, request(0, None), &mut commands),
            Admission::Accepted(_)
        ));
        let prefill = sent_attempt(&commands).dispatch;
        requests.attempt_ended(millisecond * MS, &prefill, AttemptEnd::NotConnected, &mut commands);
    }
    assert_eq!(
        requests.pending_releases(),
        1,
        "failed connections do not prove that the prefill server has dropped the KV cache"
    );
}

#[test]
fn client_cancellation_releases_cache_until_acknowledged() {
    let mut requests = requests(10);
    let (id, decode) = accept_and_prefill(&mut requests, request(1, Some("k")));
    let mut commands = Vec::new();
    requests.client_cancelled(2 * MS, id, &mut commands);
    let (attempt, reason) = (decode.dispatch.attempt, CancelReason::ClientLeft);
    assert!(commands.contains(&Command::Cancel { id, attempt, reason }), "{commands:?}");
    requests.attempt_cancelled(2 * MS, id, decode.dispatch.attempt, &mut commands);
    let released = commands.iter().find_map(|command| match command {
        Command::Release(release) => Some(release.clone()),
        _ => None,
    });
    let release = released.unwrap_or_else(|| panic!("no KV cache is released: {commands:?}"));
    assert_eq!((requests.tracked(), requests.pending_releases()), (0, 1));
    requests.release_finished(3 * MS, &release, ReleaseOutcome::Acknowledged);
    assert_eq!(requests.pending_releases(), 0);
    // The decode server may have run the request, so a repeat with the same key must not run again.
    let last = FinalAnswer::Aborted { reason: FailureReason::AlreadyRan };
    assert!(
        matches!(requests.accept(3 * MS, request(1, Some("k")), &mut commands), Admission::Replayed { last: l, .. } if l == last)
    );
}

/// Completes the request that a decode attempt belongs to, with one text.
fn complete(requests: &mut BufferedRequests<u8>, id: SequenceId, decode: &OutgoingAttempt<u8>, text: &str) {
    let _ = requests.first_token(2 * MS, &decode.dispatch, &mut Vec::new());
    requests.receive_piece(id, Piece::Text(text.to_owned()));
    requests.receive_piece(id, Piece::Finish("stop".to_owned()));
    requests.attempt_ended(3 * MS, &decode.dispatch, AttemptEnd::Completed, &mut Vec::new());
}

/// Guards against an answer in one piece that holds the output of a broken attempt in front of the next one's, for the
/// first client and for repeats.
#[test]
fn buffered_answer_holds_only_the_output_of_its_last_attempt() {
    let mut requests = requests(10);
    let buffered = Request { relay: Relay::Buffered, ..request(0, Some("k")) };
    let (id, broken) = accept_and_prefill(&mut requests, buffered.clone());
    assert_eq!(requests.first_token(2 * MS, &broken.dispatch, &mut Vec::new()), OutputStart::Continues);
    requests.receive_piece(id, Piece::Text("a ".to_owned()));
    requests.receive_piece(id, Piece::Usage(Usage { prompt_tokens: 9, completion_tokens: 9 }));
    let mut commands = Vec::new();
    requests.attempt_ended(3 * MS, &broken.dispatch, AttemptEnd::Reset, &mut commands);
    let prefill = sent_attempt(&commands).clone();
    commands.clear();
    requests.prefill_done(4 * MS, &prefill.dispatch, 0.0, 8, &mut commands);
    let decode = sent_attempt(&commands).clone();
    assert_eq!((&*decode.prompt, decode.max_tokens), ("why", 10));
    assert_eq!(requests.first_token(5 * MS, &decode.dispatch, &mut commands), OutputStart::Restarts);
    requests.receive_piece(id, Piece::Text("b ".to_owned()));
    let usage = Usage { prompt_tokens: 3, completion_tokens: 1 };
    requests.receive_piece(id, Piece::Usage(usage));
    commands.clear();
    requests.attempt_ended(6 * MS, &decode.dispatch, AttemptEnd::Completed, &mut commands);
    let answer = FinalAnswer::Completed { finish_reason: "stop".to_owned(), usage };
    assert_eq!(commands, [Command::Answer { id, last: answer.clone() }]);
    requests.answer_consumed(7 * MS, id);
    let Admission::Replayed { text, last, .. } = requests.accept(8 * MS, buffered, &mut commands) else {
        panic!("the answer is not replayed")
    };
    assert_eq!((&*text, last), ("b ", answer));
}

/// Guards against a replayed answer whose id a later request gets as well: the end of the replay then ended that request
/// without a final answer.
#[test]
fn replayed_answer_shares_its_id_with_no_request() {
    let mut requests = requests(10);
    let (first, decode) = accept_and_prefill(&mut requests, request(1, Some("k")));
    complete(&mut requests, first, &decode, "a ");
    let mut commands = Vec::new();
    let Admission::Replayed { id: replayed, text, .. } =
        requests.accept(4 * MS, request(1, Some("k")), &mut commands)
    else {
        panic!("the answer is not replayed")
    };
    let (other, decode) = accept_and_prefill(&mut requests, request(1, None));
    assert!(&*text == "a " && replayed != first && replayed != other, "{first:?} {replayed:?} {other:?}");
    requests.client_cancelled(5 * MS, replayed, &mut commands);
    requests.answer_consumed(5 * MS, replayed);
    complete(&mut requests, other, &decode, "b ");
    assert_eq!((requests.counts().completed, requests.counts().cancelled), (2, 0));
}

/// Guards against a stream that is resumed although its finish reason has arrived: the next attempt generated text past
/// the end of the answer.
#[test]
fn stream_that_breaks_after_its_finish_reason_is_complete() {
    for (traffic, relay) in [(0, Relay::Streamed), (0, Relay::Buffered), (1, Relay::Streamed)] {
        for falls_silent in [true, false] {
            let mut requests = requests(10);
            let (id, decode) = accept_and_prefill(&mut requests, Request { relay, ..request(traffic, None) });
            let _ = requests.first_token(2 * MS, &decode.dispatch, &mut Vec::new());
            requests.receive_piece(id, Piece::Text("a ".to_owned()));
            requests.token_received(2 * MS, id);
            requests.receive_piece(id, Piece::Finish("stop".to_owned()));
            let mut commands = Vec::new();
            match falls_silent {
                true => {
                    let silence_ends = requests.next_timeout().expect("the stream has a deadline");
                    requests.on_timeout(silence_ends, &mut commands);
                    let attempt = decode.dispatch.attempt;
                    let cancel = Command::Cancel { id, attempt, reason: CancelReason::TimedOut };
                    assert_eq!(commands.remove(0), cancel);
                    requests.attempt_cancelled(silence_ends, id, attempt, &mut commands);
                }
                false => requests.attempt_ended(3 * MS, &decode.dispatch, AttemptEnd::Reset, &mut commands),
            }
            let prompt_tokens = request(traffic, None).estimate.prompt_tokens as u64;
            let usage = Usage { prompt_tokens, completion_tokens: 1 };
            let last = FinalAnswer::Completed { finish_reason: "stop".to_owned(), usage };
            assert_eq!(commands, [Command::Answer { id, last }], "{relay:?}, silent: {falls_silent}");
            requests.answer_consumed(4 * MS, id);
            assert_eq!((requests.tracked(), requests.next_timeout()), (0, None));
        }
    }
}

/// Guards against a key that is forgotten before its traffic type's window is over, because its client left: the work,
/// which may have run, ran again for the next repeat.
#[test]
fn key_of_a_cancelled_request_is_kept_for_its_window() {
    let mut requests = requests(10);
    let (id, decode) = accept_and_prefill(&mut requests, request(2, Some("k")));
    let mut commands = Vec::new();
    requests.client_cancelled(2 * MS, id, &mut commands);
    requests.attempt_cancelled(2 * MS, id, decode.dispatch.attempt, &mut commands);
    for (now, is_kept) in [(KEY_WINDOW, true), (KEY_WINDOW + 2 * MS, false)] {
        let repeat = Request { arrived_at: now, ..request(2, Some("k")) };
        let admission = requests.accept(now, repeat, &mut commands);
        assert_eq!(matches!(admission, Admission::Replayed { .. }), is_kept, "{admission:?}");
    }
}

/// Guards against a request whose client has read its answer late, and which then frees its key although a later request
/// has it in flight: the next repeat ran beside that one.
#[test]
fn late_end_of_a_request_leaves_its_key_to_the_next_one() {
    let mut requests = requests(10);
    let (first, decode) = accept_and_prefill(&mut requests, request(1, Some("k")));
    complete(&mut requests, first, &decode, "a ");
    let mut commands = Vec::new();
    let now = 3 * MS + DEFAULT_WINDOW;
    let repeat = || Request { arrived_at: now, ..request(1, Some("k")) };
    let Admission::Accepted(second) = requests.accept(now, repeat(), &mut commands) else {
        panic!("the window is over")
    };
    for id in [first, second] {
        let in_flight = requests.accept(now, repeat(), &mut commands);
        assert!(matches!(in_flight, Admission::Rejected(Rejection::KeyInFlight { .. })), "{in_flight:?}");
        requests.answer_consumed(now, id);
    }
    let attempts = commands.iter().filter(|command| matches!(command, Command::Send(_))).count();
    assert_eq!(attempts, 1, "{commands:?}");
}

#[test]
fn rejected_request_leaves_no_entry() {
    let mut requests = requests(1);
    let mut commands = Vec::new();
    assert!(matches!(requests.accept(0, request(0, Some("a")), &mut commands), Admission::Accepted(_)));
    assert!(matches!(
        requests.accept(0, request(0, Some("a")), &mut commands),
        Admission::Rejected(Rejection::KeyInFlight { .. })
    ));
    assert!(matches!(
        requests.accept(0, request(0, Some("b")), &mut commands),
        Admission::Rejected(Rejection::GatewayAtCapacity { .. })
    ));
    // A rejected request does not occupy its idempotency key.
    assert!(matches!(
        requests.accept(0, request(0, Some("b")), &mut commands),
        Admission::Rejected(Rejection::GatewayAtCapacity { .. })
    ));
    requests.drain();
    assert!(matches!(
        requests.accept(0, request(0, None), &mut commands),
        Admission::Rejected(Rejection::Draining { .. })
    ));
    commands.clear();
    requests.terminate_all(MS, &mut commands);
    assert!(
        commands
            .iter()
            .any(|command| matches!(command, Command::Answer { last: FinalAnswer::Rejected { .. }, .. })),
        "{commands:?}"
    );
    assert_eq!(requests.unanswered(), 0);
}
