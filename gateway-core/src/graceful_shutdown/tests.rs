use super::*;

#[test]
fn streams_move_before_the_kill_where_clients_ask_for_the_rest() {
    let times = |longest: Nanos, resume, alone| {
        let leaving = plan_shutdown(longest * MILLISECOND, resume, alone);
        let ms = |time: Nanos| time / MILLISECOND;
        let moved = leaving.migrate_streams.map(|(from, until)| (ms(from), ms(until)));
        (moved, ms(leaving.accept_until), leaving.terminate_at.map(ms))
    };
    assert_eq!(times(10_000, true, false), (Some((600, 2_600)), 2_800, Some(3_300)));
    assert_eq!(times(10_000, true, true), (Some((2_600, 3_100)), 2_800, Some(3_300)));
    assert_eq!(times(1_000, true, false), (Some((600, 600)), 800, Some(1_300)));
    assert_eq!(times(10, true, true), (Some((600, 600)), 600, Some(600)));
    assert_eq!(times(10_000, false, true), (None, 600, None));
}

#[test]
fn streams_are_moved_one_after_the_other_and_none_is_left() {
    let leaving = plan_shutdown(10_000 * MILLISECOND, true, false);
    let (mut running, mut moved) = (40, Vec::new());
    for at in (0..=2_600).step_by(100).map(|at| at * MILLISECOND) {
        let now = leaving.streams_to_migrate(at, at + 100 * MILLISECOND, running);
        running -= now;
        moved.push(now);
    }
    assert_eq!(
        (running, moved.iter().max(), moved[..6].iter().sum::<usize>()),
        (0, Some(&2), 0),
        "{moved:?}"
    );
}

#[test]
fn many_who_come_for_the_rest_of_a_stream_tell_that_another_gateway_has_left() {
    let mut arrivals = ResumeRate::default();
    (0..5).for_each(|_| arrivals.record(0));
    assert!(!arrivals.another_gateway_stopped(0, 60), "one server has broken");
    (0..30).for_each(|_| arrivals.record(0));
    assert!(arrivals.another_gateway_stopped(0, 60));
    assert!(!arrivals.another_gateway_stopped(5 * AWAY, 60), "it is back");
}
