//! Pending releases of KV caches: the retries, the end of the retries, and the relays of a release.

use petrelshore::interface::ServerId;
use petrelshore_gateway_core::cache_releases::{CacheRelease, CacheReleases, CacheState, ReleaseOutcome};

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;

#[test]
fn release_is_retried_until_acknowledged_or_abandoned() {
    let release = CacheRelease { server: ServerId(1), request_id: "a-0".to_owned() };
    let mut releases = CacheReleases::new(400 * MILLISECOND);
    releases.add(0, &release, CacheState::Held);
    let mut sent = Vec::new();
    while let Some(timeout) = releases.next_timeout() {
        sent.extend(releases.on_timeout(timeout).iter().map(|_| timeout));
    }
    assert_eq!(&sent[..3], &[100 * MILLISECOND, 300 * MILLISECOND, 700 * MILLISECOND]);
    assert!(sent.len() < 30 && sent.last().is_some_and(|time| *time < 61 * SECOND));
    assert_eq!((releases.pending(), releases.abandoned()), (0, 1));
    releases.add(0, &release, CacheState::Held);
    releases.finished(0, &release, ReleaseOutcome::Acknowledged);
    assert_eq!((releases.pending(), releases.next_timeout(), releases.abandoned()), (0, None, 1));
}

#[test]
fn uncertain_cache_is_released_until_its_prefill_can_not_run() {
    let release = CacheRelease { server: ServerId(1), request_id: "a-0".to_owned() };
    let mut releases = CacheReleases::new(400 * MILLISECOND);
    releases.add(0, &release, CacheState::Uncertain);
    // The prefill server acknowledges the release since it holds no KV cache yet, but the prefill may still reach it.
    releases.finished(MILLISECOND, &release, ReleaseOutcome::Acknowledged);
    let mut sent = Vec::new();
    while let Some(timeout) = releases.next_timeout().filter(|timeout| *timeout < 10 * SECOND) {
        if !releases.on_timeout(timeout).is_empty() {
            sent.push(timeout);
            releases.finished(timeout + MILLISECOND, &release, ReleaseOutcome::Acknowledged);
        }
    }
    assert!(sent[0] <= 100 * MILLISECOND && sent.iter().any(|time| *time >= 2 * SECOND), "{sent:?}");
    assert!(
        sent.windows(2).all(|pair| pair[1] - pair[0] <= 200 * MILLISECOND),
        "too long between two release requests while the prefill may still arrive: {sent:?}"
    );
    assert!(sent.len() <= 12 && releases.pending() == 0, "{sent:?}");
    // A server that is known to be gone holds no KV cache, and no prefill can reach it.
    releases.add(0, &release, CacheState::Uncertain);
    releases.finished(MILLISECOND, &release, ReleaseOutcome::ServerGone);
    assert_eq!(releases.pending(), 0);
}

#[test]
fn unreachable_server_is_released_through_recent_relays_then_others() {
    let mut releases = CacheReleases::new(500 * MILLISECOND);
    let release = CacheRelease { server: ServerId(2), request_id: "a".to_owned() };
    let ready: Vec<(u64, ServerId)> = (1..=7).map(|n| (n * MILLISECOND, ServerId(n))).collect();
    releases.add(0, &release, CacheState::Held);
    let relays = |releases: &CacheReleases| {
        releases.relays(&release, &ready).iter().map(|id| id.0).collect::<Vec<u64>>()
    };
    assert_eq!(relays(&releases), [7, 6, 5], "the most recently heard servers come first");
    assert_eq!(releases.on_timeout(150 * MILLISECOND).len(), 1);
    assert_eq!(relays(&releases), [4, 3, 1], "a retry uses other relays, never the prefill server itself");
    assert_eq!(releases.on_timeout(400 * MILLISECOND).len(), 1);
    assert_eq!(relays(&releases), [7, 6, 5]);
    assert_eq!(releases.relays(&release, &[(0, ServerId(2))]), []);
}
