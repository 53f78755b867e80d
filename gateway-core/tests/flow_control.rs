//! Sharing of a connection's flow-control window between its streams.

use petrelshore_gateway_core::flow_control::FlowControl;

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

#[test]
fn a_stream_that_is_not_read_leaves_the_others_room() {
    let mut windows = FlowControl::default();
    (1..=9).step_by(2).for_each(|stream| windows.stream_opened(stream));
    // Stream 1 is never read, and sends whatever it may.
    let all = windows.sendable(1);
    windows.data_sent(0, 1, all);
    assert_eq!((all, windows.sendable(1)), (40_959, 0));
    // The others are read: each gives back what it was sent, and none of them ever lacks room.
    for turn in 0..10_000 {
        let stream = 3 + 2 * (turn % 4);
        assert!(windows.sendable(stream) >= 1000, "turn {turn}");
        windows.data_sent(turn as u64, stream, 1000);
        windows.window_update(turn as u64, stream, 1000);
        windows.window_update(turn as u64, 0, 1000);
    }
    assert_eq!((windows.next_timeout(), windows.stream_to_reset(100 * S)), (None, None));
    // A client that tells a larger window gives each more of it.
    windows.window_update(0, 0, 1_000_000);
    assert!(windows.sendable(1) > 500_000);
}

#[test]
fn of_a_connection_that_stands_still_the_stream_that_holds_most_is_ended_and_no_other_at_once() {
    let mut windows = FlowControl::default();
    (1..=7).step_by(2).for_each(|stream| windows.stream_opened(stream));
    windows.data_sent(S, 1, 40_000);
    windows.data_sent(S, 3, 25_000);
    windows.data_sent(S, 5, 535);
    assert_eq!((windows.stream_to_reset(3 * S), windows.next_timeout()), (None, Some(4 * S)));
    assert_eq!((windows.stream_to_reset(4 * S), windows.stream_to_reset(5 * S)), (Some(1), None));
    windows.stream_closed(1);
    // It helped: its bytes are given back.
    windows.window_update(5 * S, 0, 40_000);
    assert_eq!((windows.next_timeout(), windows.stream_to_reset(60 * S)), (None, None));
    // A crowd of equals is not at fault one by one, and nor is a stream that is alone.
    let mut crowd = FlowControl::default();
    (0..100).for_each(|stream| {
        crowd.stream_opened(stream + 1);
        crowd.data_sent(0, stream + 1, 656);
    });
    assert_eq!(crowd.stream_to_reset(60 * S), None);
    let mut alone = FlowControl::default();
    alone.stream_opened(1);
    alone.data_sent(0, 1, 65_535);
    assert_eq!(alone.stream_to_reset(60 * S), None);
}
