//! The limit on log lines for single events: every event is counted, but only some of each kind are logged.

use petrelshore_gateway_core::event_budget::{EventBudget, EventKind};

const SECOND: u64 = 1_000_000_000;

#[test]
fn events_past_the_budget_are_counted_and_not_logged() {
    let mut budget = EventBudget::default();
    let logged = (0..10_000).filter(|_| budget.admit(SECOND, EventKind::AttemptFailed)).count();
    assert!((10..=100).contains(&logged), "{logged} lines");
    assert_eq!(budget.counts()[&EventKind::AttemptFailed], 10_000);
    assert_eq!(budget.unlogged(), 10_000 - logged as u64);
}

#[test]
fn a_flood_of_one_kind_hides_no_other_and_ends_with_its_interval() {
    let mut budget = EventBudget::default();
    while budget.admit(SECOND, EventKind::RequestFailed) {}
    assert!(budget.admit(SECOND, EventKind::ReleaseDelayed));
    assert!(!budget.admit(4 * SECOND, EventKind::RequestFailed));
    assert!(budget.admit(7 * SECOND, EventKind::RequestFailed));
}
