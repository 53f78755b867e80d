//! Limits on what peers of HTTP/2 connections send, and their keepalive.

use petrelshore_gateway_core::http2_abuse::{Abuse, AbuseDetector, KeepaliveAction, PeerFrame};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

#[test]
fn pings_for_nothing_are_bad_manners_and_those_that_measure_a_path_are_not() {
    let mut abuse = AbuseDetector::new(0, 100);
    // A client that measures its path: a ping for each burst that it gets, forty a second.
    for event in 1..10_000 {
        abuse.frame_sent();
        abuse.frame_received(event * 25 * MS, PeerFrame::Ping);
    }
    assert_eq!(abuse.detected(), None);
    // One that keeps an idle connection alive every ten seconds.
    (1..100).for_each(|event| abuse.frame_received(300 * S + event * 10 * S, PeerFrame::Ping));
    assert_eq!(abuse.detected(), None);
    let mut flood = AbuseDetector::new(0, 100);
    let first = (1..1000).find(|event| {
        flood.frame_received(event * MS, PeerFrame::Ping);
        flood.detected().is_some()
    });
    assert_eq!((first, flood.detected()), (Some(10), Some(Abuse::Pings)));
    // On a stream that runs, a flood of pings is one all the same.
    let mut flood = AbuseDetector::new(0, 100);
    (0..1000).for_each(|event| {
        flood.frame_sent();
        flood.frame_received(event * MS, PeerFrame::Ping);
    });
    assert_eq!(flood.detected(), Some(Abuse::Pings));
}

#[test]
fn all_calls_may_be_reset_at_once_and_resets_without_end_may_not() {
    let mut abuse = AbuseDetector::new(0, 1000);
    for round in 1..20 {
        (0..1000).for_each(|_| abuse.frame_received(round * 10 * S, PeerFrame::Reset));
    }
    assert_eq!(abuse.detected(), None);
    let mut flood = AbuseDetector::new(0, 1000);
    (0..5000).for_each(|event| flood.frame_received(event * MS, PeerFrame::Reset));
    assert_eq!(flood.detected(), Some(Abuse::Resets));
    for (what, bad) in [(PeerFrame::Settings, Abuse::Settings), (PeerFrame::Small, Abuse::SmallFrames)] {
        let mut flood = AbuseDetector::new(0, 1000);
        (0..50_000).for_each(|event| flood.frame_received(event * MS / 100, what));
        assert_eq!(flood.detected(), Some(bad));
    }
}

#[test]
fn a_peer_with_calls_that_says_nothing_is_asked_and_then_gone() {
    let mut abuse = AbuseDetector::new(0, 10);
    abuse.call_started();
    abuse.frame_received(S, PeerFrame::Call);
    assert_eq!((abuse.next_timeout(), abuse.on_timeout(15 * S)), (16 * S, None));
    assert_eq!((abuse.on_timeout(16 * S), abuse.on_timeout(17 * S)), (Some(KeepaliveAction::Ping), None));
    // Any word of it is an answer.
    abuse.frame_received(18 * S, PeerFrame::Small);
    assert_eq!((abuse.next_timeout(), abuse.on_timeout(33 * S)), (33 * S, Some(KeepaliveAction::Ping)));
    assert_eq!((abuse.on_timeout(42 * S), abuse.on_timeout(43 * S)), (None, Some(KeepaliveAction::PeerGone)));
    // Without calls nobody asks; the connection is closed when it is idle for long.
    let mut idle = AbuseDetector::new(0, 10);
    idle.call_started();
    idle.call_ended(S);
    assert_eq!(
        (idle.on_timeout(299 * S), idle.on_timeout(301 * S)),
        (None, Some(KeepaliveAction::CloseIdle))
    );
}
