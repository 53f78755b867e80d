//! Sharing of a connection's flow-control window between its streams.

use petrelshore_gateway_core::flow_control::FlowControl;

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;

#[test]
fn unread_stream_leaves_window_to_the_others() {
    let mut flow = FlowControl::default();
    (1..=9).step_by(2).for_each(|stream| flow.stream_opened(stream));
    // Stream 1 is never read, and sends whatever it may.
    let all = flow.sendable(1);
    flow.data_sent(0, 1, all);
    assert_eq!((all, flow.sendable(1)), (40_959, 0));
    // The others are read: each has its bytes acknowledged, and none of them is ever blocked.
    for turn in 0..10_000 {
        let stream = 3 + 2 * (turn % 4);
        assert!(flow.sendable(stream) >= 1000, "turn {turn}");
        flow.data_sent(turn as u64, stream, 1000);
        flow.window_update(turn as u64, stream, 1000);
        flow.window_update(turn as u64, 0, 1000);
    }
    assert_eq!((flow.next_timeout(), flow.stream_to_reset(100 * SECOND)), (None, None));
    // A client that announces a larger window gives each stream more of it.
    flow.window_update(0, 0, 1_000_000);
    assert!(flow.sendable(1) > 500_000);
}

#[test]
fn blocked_connection_resets_only_the_stream_that_holds_most() {
    let mut flow = FlowControl::default();
    (1..=7).step_by(2).for_each(|stream| flow.stream_opened(stream));
    flow.data_sent(SECOND, 1, 40_000);
    flow.data_sent(SECOND, 3, 25_000);
    flow.data_sent(SECOND, 5, 535);
    assert_eq!((flow.stream_to_reset(3 * SECOND), flow.next_timeout()), (None, Some(4 * SECOND)));
    assert_eq!((flow.stream_to_reset(4 * SECOND), flow.stream_to_reset(5 * SECOND)), (Some(1), None));
    flow.stream_closed(1);
    // It helped: its bytes are acknowledged.
    flow.window_update(5 * SECOND, 0, 40_000);
    assert_eq!((flow.next_timeout(), flow.stream_to_reset(60 * SECOND)), (None, None));
    // None of many equal streams is the cause, nor is a stream that is alone.
    let mut equals = FlowControl::default();
    (0..100).for_each(|stream| {
        equals.stream_opened(stream + 1);
        equals.data_sent(0, stream + 1, 656);
    });
    assert_eq!(equals.stream_to_reset(60 * SECOND), None);
    let mut alone = FlowControl::default();
    alone.stream_opened(1);
    alone.data_sent(0, 1, 65_535);
    assert_eq!(alone.stream_to_reset(60 * SECOND), None);
}
