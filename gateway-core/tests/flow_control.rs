//! Sharing of an HTTP/2 connection's flow-control window between its streams.

use petrelshore_gateway_core::flow_control::FlowControl;

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;

#[test]
fn unread_stream_leaves_window_to_the_others() {
    let mut flow = FlowControl::default();
    (1..=9).step_by(2).for_each(|stream| flow.stream_opened(stream));
    // The client never reads stream 1, which sends as many bytes as it is allowed to.
    let sent = flow.sendable(1);
    flow.data_sent(0, 1, sent);
    assert_eq!((sent, flow.sendable(1)), (40_959, 0));
    // The client reads the other streams and acknowledges their bytes, so none of them is ever blocked.
    for round in 0..10_000 {
        let stream = 3 + 2 * (round % 4);
        assert!(flow.sendable(stream) >= 1000, "round {round}: stream {stream} is blocked");
        flow.data_sent(round as u64, stream, 1000);
        flow.window_update(round as u64, stream, 1000);
        flow.window_update(round as u64, 0, 1000);
    }
    assert_eq!((flow.next_timeout(), flow.stream_to_reset(100 * SECOND)), (None, None));
    // Once the client announces a larger window, each stream may send more.
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
    // The client acknowledges the bytes of the stream that was reset, which unblocks the connection.
    flow.window_update(5 * SECOND, 0, 40_000);
    assert_eq!((flow.next_timeout(), flow.stream_to_reset(60 * SECOND)), (None, None));
    // No stream is reset among many equal streams, since none of the streams is the cause. A single stream is not reset
    // either, since it blocks no other stream.
    let mut equal = FlowControl::default();
    (0..100).for_each(|stream| {
        equal.stream_opened(stream + 1);
        equal.data_sent(0, stream + 1, 656);
    });
    assert_eq!(equal.stream_to_reset(60 * SECOND), None);
    let mut single = FlowControl::default();
    single.stream_opened(1);
    single.data_sent(0, 1, 65_535);
    assert_eq!(single.stream_to_reset(60 * SECOND), None);
}
