//! Limits on the frames that the peer of an HTTP/2 connection may send, and the keepalive of the connection.

use petrelshore_gateway_core::http2_abuse::{Abuse, AbuseDetector, KeepaliveAction, PeerFrame};

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;

#[test]
fn unprompted_pings_are_abuse_but_path_measurements_are_not() {
    let mut detector = AbuseDetector::new(0, 100);
    // A client that measures the network path sends a ping for each burst of data that it receives, here 40 per second.
    for event in 1..10_000 {
        detector.frame_sent();
        detector.frame_received(event * 25 * MILLISECOND, PeerFrame::Ping);
    }
    assert_eq!(detector.detected(), None);
    // A client may send a ping every ten seconds to keep an idle connection open.
    (1..100).for_each(|event| detector.frame_received(300 * SECOND + event * 10 * SECOND, PeerFrame::Ping));
    assert_eq!(detector.detected(), None);
    let mut flood = AbuseDetector::new(0, 100);
    let detected_at = (1..1000).find(|event| {
        flood.frame_received(event * MILLISECOND, PeerFrame::Ping);
        flood.detected().is_some()
    });
    assert_eq!((detected_at, flood.detected()), (Some(10), Some(Abuse::Pings)));
    // The limit on all pings also holds while data is sent to the client.
    let mut flood = AbuseDetector::new(0, 100);
    (0..1000).for_each(|event| {
        flood.frame_sent();
        flood.frame_received(event * MILLISECOND, PeerFrame::Ping);
    });
    assert_eq!(flood.detected(), Some(Abuse::Pings));
}

#[test]
fn bursts_of_resets_are_allowed_but_endless_floods_are_abuse() {
    let mut detector = AbuseDetector::new(0, 1000);
    for round in 1..20 {
        (0..1000).for_each(|_| detector.frame_received(round * 10 * SECOND, PeerFrame::Reset));
    }
    assert_eq!(detector.detected(), None);
    let mut flood = AbuseDetector::new(0, 1000);
    (0..5000).for_each(|event| flood.frame_received(event * MILLISECOND, PeerFrame::Reset));
    assert_eq!(flood.detected(), Some(Abuse::Resets));
    for (frame, abuse) in [(PeerFrame::Settings, Abuse::Settings), (PeerFrame::Small, Abuse::SmallFrames)] {
        let mut flood = AbuseDetector::new(0, 1000);
        (0..50_000).for_each(|event| flood.frame_received(event * MILLISECOND / 100, frame));
        assert_eq!(flood.detected(), Some(abuse));
    }
}

#[test]
fn silent_peer_with_calls_is_pinged_and_then_gone() {
    let mut detector = AbuseDetector::new(0, 10);
    detector.call_started();
    detector.frame_received(SECOND, PeerFrame::Call);
    assert_eq!((detector.next_timeout(), detector.on_timeout(15 * SECOND)), (16 * SECOND, None));
    assert_eq!(
        (detector.on_timeout(16 * SECOND), detector.on_timeout(17 * SECOND)),
        (Some(KeepaliveAction::Ping), None)
    );
    // Any frame counts as an answer to the ping.
    detector.frame_received(18 * SECOND, PeerFrame::Small);
    assert_eq!(
        (detector.next_timeout(), detector.on_timeout(33 * SECOND)),
        (33 * SECOND, Some(KeepaliveAction::Ping))
    );
    assert_eq!(
        (detector.on_timeout(42 * SECOND), detector.on_timeout(43 * SECOND)),
        (None, Some(KeepaliveAction::PeerGone))
    );
    // A connection without calls is not pinged, but closed after the idle timeout.
    let mut idle = AbuseDetector::new(0, 10);
    idle.call_started();
    idle.call_ended(SECOND);
    assert_eq!(
        (idle.on_timeout(299 * SECOND), idle.on_timeout(301 * SECOND)),
        (None, Some(KeepaliveAction::CloseIdle))
    );
}
