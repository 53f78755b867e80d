//! Every failure of a sequence is answered as soon as the request manager learns of it.

use crate::test_deployment::{MS, TestDeployment, endpoint, new_sequence};
use crate::world::World;
use petrelshore::interface::{
    Endpoint, EndpointState, LoadReport, Nanos, SequenceId, ServerId, SnapshotKind,
};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, RequestManager};

/// Takes a request manager up to the event that makes its sequence fail. Returns the time of that event.
type FailureCause = fn(&mut RequestManager, &mut Vec<Action>) -> Nanos;

/// Accepts a sequence whose client waits for four seconds, and ends its attempts 10 ms apart. Returns the time of the
/// last end.
fn accept_and_end_attempts(
    manager: &mut RequestManager,
    traffic: usize,
    ends: &[AttemptEnd],
    actions: &mut Vec<Action>,
) -> Nanos {
    manager.accept(0, new_sequence(SequenceId(1), traffic, 4_000 * MS), actions);
    let mut now = 0;
    for (attempt, end) in ends.iter().enumerate() {
        now += 10 * MS;
        manager.attempt_ended(now, SequenceId(1), attempt, *end, actions);
    }
    now
}

/// Lets timers expire up to the first timer at or after `until`, or until no timer is left. Returns the time of the
/// last expired timer, or `until` if no timer expired.
fn expire_timers(manager: &mut RequestManager, until: Nanos, actions: &mut Vec<Action>) -> Nanos {
    while let Some(deadline) = manager.next_timeout() {
        actions.clear();
        manager.on_timeout(deadline, actions);
        if deadline >= until || manager.next_timeout().is_none() {
            return deadline;
        }
    }
    until
}

#[test]
fn every_failure_is_answered_in_the_same_step() {
    let causes: [(&str, FailureCause); 8] = [
        ("attempts are exhausted", |manager, actions| {
            accept_and_end_attempts(
                manager,
                2,
                &[
                    AttemptEnd::AtCapacity,
                    AttemptEnd::NotConnected,
                    AttemptEnd::AtCapacity,
                    AttemptEnd::NotConnected,
                ],
                actions,
            )
        }),
        ("at-most-once work may have run", |manager, actions| {
            accept_and_end_attempts(
                manager,
                1,
                &[AttemptEnd::PrefillDone { cached_tokens: 0.0 }, AttemptEnd::Reset],
                actions,
            )
        }),
        ("the stream broke", |manager, actions| {
            accept_and_end_attempts(manager, 0, &[AttemptEnd::PrefillDone { cached_tokens: 0.0 }], actions);
            manager.first_token(20 * MS, SequenceId(1), 1);
            manager.attempt_ended(30 * MS, SequenceId(1), 1, AttemptEnd::Reset, actions);
            30 * MS
        }),
        ("no server is listed", |manager, actions| {
            manager.update_endpoints(0, SnapshotKind::Full, &[]);
            accept_and_end_attempts(manager, 0, &[], actions);
            expire_timers(manager, 4_000 * MS, actions)
        }),
        ("no decode server can fetch the KV cache in time", |manager, actions| {
            let decode_servers: Vec<Endpoint> = (2..6).map(|n| endpoint(n, EndpointState::Gone)).collect();
            manager.update_endpoints(0, SnapshotKind::Delta, &decode_servers);
            accept_and_end_attempts(manager, 0, &[AttemptEnd::PrefillDone { cached_tokens: 0.0 }], actions);
            expire_timers(manager, 4_000 * MS, actions)
        }),
        ("the client's deadline passes during an attempt", |manager, actions| {
            accept_and_end_attempts(manager, 1, &[AttemptEnd::PrefillDone { cached_tokens: 0.0 }], actions);
            expire_timers(manager, 4_000 * MS, actions)
        }),
        ("the gateway shuts down", |manager, actions| {
            accept_and_end_attempts(manager, 0, &[AttemptEnd::PrefillDone { cached_tokens: 0.0 }], actions);
            manager.terminate_all(20 * MS, actions);
            20 * MS
        }),
        ("all decode servers are full", |manager, actions| {
            let full = LoadReport { memory_share: Some(1.0), queued_prompt_tokens: None, in_flight: None };
            (2..6).for_each(|n| manager.load_reported(0, ServerId(n), full));
            accept_and_end_attempts(manager, 0, &[], actions)
        }),
    ];
    for (cause_name, cause) in causes {
        let mut manager = World::new(5, TestDeployment::usual()).manager;
        let mut actions = Vec::new();
        let now = cause(&mut manager, &mut actions);
        let is_final = |action: &&Action| {
            matches!(action, Action::Reject { .. } | Action::Abort { .. } | Action::Complete { .. })
        };
        assert_eq!(actions.iter().filter(is_final).count(), 1, "{cause_name}: {actions:?}");
        assert_eq!(
            (manager.next_timeout(), manager.unanswered()),
            (None, 0),
            "{cause_name}: a timer or an unanswered sequence is left"
        );
        assert!(now <= 4_000 * MS, "{cause_name}: answered at {now} ns");
        let has_retry_after =
            actions.iter().all(|action| !matches!(action, Action::Reject { retry_after: None, .. }));
        assert!(
            has_retry_after,
            "{cause_name}: a rejection lacks the Retry-After that the deployment allows"
        );
    }
}
