//! The send gate of the passthrough request table: the last check before an attempt is written.

use crate::common::{MS, START, deployment};
use crate::fixtures::{accept_prefill, at, endpoint, pending_send, requests, sent_dispatch};
use petrelshore::interface::{
    Endpoint, EndpointState, Idempotency, KeyScope, Nanos, SequenceId, ServerId, SnapshotKind,
};
use petrelshore_gateway_core::Dispatch;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::passthrough::{Command, FinalAnswer, PassthroughRequests};
use petrelshore_gateway_core::send_gate::{PendingSend, SendDenial};

#[test]
fn send_is_denied_after_cancellation_final_answer_or_timeout() {
    let (mut requests, mut commands, id) = (requests(9), Vec::new(), SequenceId(5));
    let prefill = accept_prefill(&mut requests, id);
    let address = at(prefill.server.0 as u16);
    let ready = pending_send(&requests, &prefill, address);
    assert_eq!(requests.may_send(START + MS, &ready), Ok(()));
    let after_cancellation = PendingSend { client_left: true, ..ready };
    assert_eq!(requests.may_send(START + MS, &after_cancellation), Err(SendDenial::ClientLeft));
    assert_eq!(requests.may_send(START + prefill.timeout, &ready), Err(SendDenial::DeadlineExceeded));
    requests.attempt_ended(START + MS, &prefill, AttemptEnd::Reset, &mut commands);
    assert_eq!(
        requests.may_send(START + MS, &ready),
        Err(SendDenial::Superseded),
        "another attempt is in flight"
    );
    let retry = sent_dispatch(&commands);
    requests.terminate_all(START + 2 * MS, &mut commands);
    let answered = pending_send(&requests, &retry, address);
    assert_eq!(
        requests.may_send(START + 2 * MS, &answered),
        Err(SendDenial::Superseded),
        "the sequence has its final answer"
    );
    assert!(requests.violations().is_empty(), "{:?}", requests.violations());
}

#[test]
fn send_is_denied_once_its_server_has_changed() {
    let port = |dispatch: &Dispatch| at(dispatch.server.0 as u16);
    let ready = endpoint(1, 0);
    let changes = [
        (Some(ready.clone()), at(1), Ok(())),
        (
            Some(Endpoint { state: EndpointState::Draining, ..ready.clone() }),
            at(1),
            Err(SendDenial::Draining),
        ),
        (Some(Endpoint { state: EndpointState::Gone, ..ready.clone() }), at(1), Err(SendDenial::Gone)),
        (Some(Endpoint { started_at: START, ..ready.clone() }), at(1), Err(SendDenial::Restarted)),
        (Some(ready.clone()), at(9), Err(SendDenial::AddressChanged)),
        (None, at(1), Err(SendDenial::Gone)),
    ];
    for (change, address, expected) in changes {
        let mut requests = requests(9);
        let prefill = (0..9)
            .map(|id| accept_prefill(&mut requests, SequenceId(id)))
            .find(|prefill| prefill.server == ServerId(1))
            .unwrap();
        let pending_send = pending_send(&requests, &prefill, port(&prefill));
        assert_eq!(requests.may_send(START + MS, &pending_send), Ok(()));
        let kind = if change.is_some() { SnapshotKind::Delta } else { SnapshotKind::Full };
        let entries: Vec<_> = change.iter().map(|endpoint| (endpoint.clone(), address)).collect();
        requests.update_endpoints(START + 2 * MS, kind, &entries);
        assert_eq!(requests.may_send(START + 3 * MS, &pending_send), expected, "{change:?}");
    }
}

#[test]
fn send_is_denied_after_idempotency_window() {
    let mut deployment = deployment();
    let window = 300 * MS;
    deployment.types[0].idempotency = Idempotency::Keyed { scope: KeyScope::Fleet, window };
    let mut requests = PassthroughRequests::new(START, deployment, 7, 9);
    requests.update_endpoints(
        START,
        SnapshotKind::Full,
        &[(endpoint(1, 0), at(1)), (endpoint(2, 0), at(2)), (endpoint(3, 1), at(3)), (endpoint(4, 1), at(4))],
    );
    let prefill = accept_prefill(&mut requests, SequenceId(5));
    let mut commands = Vec::new();
    assert_eq!(prefill.send_deadline, Nanos::MAX, "no attempt has run yet");
    requests.attempt_ended(
        START + 10 * MS,
        &prefill,
        AttemptEnd::PrefillDone { cached_tokens: 0.0 },
        &mut commands,
    );
    let first = sent_dispatch(&commands);
    requests.attempt_ended(START + 100 * MS, &first, AttemptEnd::Reset, &mut commands);
    let retry = sent_dispatch(&commands);
    assert!(retry.attempt > first.attempt && retry.send_deadline == START + 10 * MS + window, "{retry:?}");
    let address = at(retry.server.0 as u16);
    let (expired, last) = (retry.send_deadline, retry.send_deadline - 1);
    assert_eq!(requests.may_send(last, &pending_send(&requests, &retry, address)), Ok(()));
    let denied = Err(SendDenial::KeyExpired);
    assert_eq!(
        requests.may_send(expired, &pending_send(&requests, &retry, address)),
        denied,
        "the connection was established after the idempotency window"
    );
    // The attempt ends as not sent. No attempt follows after the window, and the sequence is aborted: a rejection would
    // tell the client that a retry is harmless, but the first attempt may have run.
    commands.clear();
    requests.attempt_ended(retry.send_deadline, &retry, AttemptEnd::NotSent, &mut commands);
    let answers = commands
        .iter()
        .filter(|command| matches!(command, Command::Answer { last: FinalAnswer::Aborted { .. }, .. }));
    assert_eq!(
        (answers.count(), commands.iter().any(|command| matches!(command, Command::Send { .. }))),
        (1, false),
        "{commands:?}"
    );
}
