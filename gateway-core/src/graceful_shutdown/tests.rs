use super::*;

#[test]
fn streams_migrate_before_the_kill_if_clients_resume() {
    let (supported, unsupported) = (ClientResumption::Supported, ClientResumption::Unsupported);
    let (available, unavailable) = (PeerGateways::Available, PeerGateways::Unavailable);
    let times = |longest_ms: Nanos, resumption, peers| {
        let plan = plan_shutdown(longest_ms * MILLISECOND, resumption, peers);
        let ms = |time: Nanos| time / MILLISECOND;
        let window = plan.migrate_streams.map(|window| (ms(window.start), ms(window.end)));
        (window, ms(plan.accept_until), plan.terminate_at.map(ms))
    };
    assert_eq!(times(10_000, supported, available), (Some((600, 2_600)), 2_800, Some(3_300)));
    assert_eq!(times(10_000, supported, unavailable), (Some((2_600, 3_100)), 2_800, Some(3_300)));
    assert_eq!(times(1_000, supported, available), (Some((600, 600)), 800, Some(1_300)));
    assert_eq!(times(10, supported, unavailable), (Some((600, 600)), 600, Some(600)));
    assert_eq!(times(10_000, unsupported, unavailable), (None, 600, None));
}

#[test]
fn streams_migrate_gradually_until_none_is_left() {
    let plan = plan_shutdown(10_000 * MILLISECOND, ClientResumption::Supported, PeerGateways::Available);
    let (mut running, mut migrated) = (40, Vec::new());
    for elapsed in (0..=2_600).step_by(100).map(|ms| ms * MILLISECOND) {
        let count = plan.streams_to_migrate(elapsed, elapsed + 100 * MILLISECOND, running);
        running -= count;
        migrated.push(count);
    }
    assert_eq!(
        (running, migrated.iter().max(), migrated[..6].iter().sum::<usize>()),
        (0, Some(&2), 0),
        "{migrated:?}"
    );
}

#[test]
fn many_resumed_streams_show_that_another_gateway_stopped() {
    let mut resumed = ResumeRate::default();
    (0..5).for_each(|_| resumed.record(0));
    assert!(
        !resumed.another_gateway_stopped(0, 60),
        "after a single server failure, clients resume only a few streams"
    );
    (0..30).for_each(|_| resumed.record(0));
    assert!(resumed.another_gateway_stopped(0, 60));
    assert!(!resumed.another_gateway_stopped(5 * RESTART_TIME, 60), "the other gateway has restarted since");
}
