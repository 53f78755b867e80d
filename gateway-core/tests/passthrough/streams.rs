//! Passthrough streams in the request manager: broken connections, silent servers and graceful shutdown.

use crate::common::{MS, S, START};
use crate::fixtures::{manager, new_sequence};
use petrelshore::interface::{Outcome, SequenceId};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, Dispatch, FailureReason, NewSequence, Relay, RequestManager};

/// Accepts a sequence, completes its prefill and delivers its first token.
fn streaming(manager: &mut RequestManager, relay: Relay) -> SequenceId {
    let (id, mut actions) = (SequenceId(5), Vec::new());
    manager.accept(START, new_sequence(id, relay), &mut actions);
    manager.attempt_ended(
        START + 10 * MS,
        id,
        0,
        AttemptEnd::PrefillDone { cached_tokens: 0.0 },
        &mut actions,
    );
    assert!(matches!(actions[..], [Action::Send(_), Action::Send(_)]), "{actions:?}");
    manager.first_token(START + 20 * MS, id, 1);
    id
}

#[test]
fn broken_passthrough_stream_is_not_resumed() {
    for (relay, resumes) in [(Relay::Passthrough, false), (Relay::Streamed, true)] {
        let (mut manager, mut actions) = (manager(), Vec::new());
        let id = streaming(&mut manager, relay);
        manager.token_received(START + 30 * MS, id);
        manager.attempt_ended(START + 40 * MS, id, 1, AttemptEnd::Reset, &mut actions);
        let completion =
            Action::Complete { id, outcome: Outcome::Reset, reason: Some(FailureReason::StreamBroken) };
        let sent_with_cache = actions
            .iter()
            .any(|action| matches!(action, Action::Send(Dispatch { holds_cache: true, attempt: 2, .. })));
        assert!(!sent_with_cache, "the failed decode server had fetched the KV cache: {actions:?}");
        assert_eq!(
            (actions.contains(&completion), manager.contains(id)),
            (!resumes, resumes),
            "{relay:?}: {actions:?}"
        );
    }
}

#[test]
fn silent_passthrough_stream_ends_within_five_seconds() {
    let (mut manager, mut actions) = (manager(), Vec::new());
    let id = streaming(&mut manager, Relay::Passthrough);
    // The stream is slow: it lasts far longer than the token interval of its traffic type allows for a complete answer.
    let mut now = START;
    for _ in 0..20 {
        now += 4_500 * MS;
        manager.on_timeout(now, &mut actions);
        manager.token_received(now, id);
    }
    assert_eq!(actions, []);
    manager.on_timeout(now + 4_500 * MS, &mut actions);
    assert_eq!(actions, []);
    manager.on_timeout(now + 4_700 * MS, &mut actions);
    assert!(
        matches!(
            actions[..],
            [Action::Cancel { .. }, Action::Complete { reason: Some(FailureReason::StreamBroken), .. }, ..]
        ),
        "{actions:?}"
    );
}

#[test]
fn terminate_all_completes_running_passthrough_stream() {
    let (mut manager, mut actions) = (manager(), Vec::new());
    let id = streaming(&mut manager, Relay::Passthrough);
    manager.terminate_all(START + S, &mut actions);
    let completion =
        Action::Complete { id, outcome: Outcome::Cancelled, reason: Some(FailureReason::ShuttingDown) };
    assert_eq!((actions.contains(&completion), manager.unanswered()), (true, 0));
}

#[test]
fn terminate_streams_keeps_sequences_without_tokens() {
    let (mut manager, mut actions) = (manager(), Vec::new());
    let id = streaming(&mut manager, Relay::Passthrough);
    let waiting = SequenceId(6);
    manager.accept(START + 30 * MS, new_sequence(waiting, Relay::Passthrough), &mut actions);
    actions.clear();
    manager.terminate_streams(START + S, manager.running_streams(), &mut actions);
    let completion =
        Action::Complete { id, outcome: Outcome::Cancelled, reason: Some(FailureReason::ShuttingDown) };
    assert_eq!(
        (actions.contains(&completion), manager.unanswered(), manager.contains(waiting)),
        (true, 1, true)
    );
}

#[test]
fn newest_stream_is_terminated_first_and_resumed_ones_last() {
    let (mut manager, mut actions) = (manager(), Vec::new());
    for (id, after, resumed) in [(1, 0, false), (2, S, false), (3, 2 * S, true)] {
        let now = START + after;
        let new = NewSequence {
            resumed,
            first_token_deadline: now + 5 * S,
            ..new_sequence(SequenceId(id), Relay::Passthrough)
        };
        manager.accept(now, new, &mut actions);
        manager.attempt_ended(
            now + MS,
            SequenceId(id),
            0,
            AttemptEnd::PrefillDone { cached_tokens: 0.0 },
            &mut actions,
        );
        manager.first_token(now + 2 * MS, SequenceId(id), 1);
    }
    let terminated = [1, 1, 1].map(|max_streams| {
        actions.clear();
        manager.terminate_streams(START + 3 * S, max_streams, &mut actions);
        actions
            .iter()
            .find_map(|action| if let Action::Complete { id, .. } = action { Some(id.0) } else { None })
    });
    assert_eq!((terminated, manager.running_streams()), ([Some(2), Some(1), Some(3)], 0));
}
