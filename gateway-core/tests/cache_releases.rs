//! Releases of KV caches: retries, their end, and relays.

use petrelshore::interface::ServerId;
use petrelshore_gateway_core::cache_releases::{CacheRelease, CacheReleases, CacheState, ReleaseOutcome};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

#[test]
fn a_release_is_told_again_until_it_is_answered_and_not_for_ever() {
    let release = CacheRelease { server: petrelshore::interface::ServerId(1), request_id: "a-0".to_owned() };
    let mut releases = CacheReleases::new(400 * MS);
    releases.add(0, &release, CacheState::Held);
    let mut told = Vec::new();
    while let Some(due) = releases.next_timeout() {
        told.extend(releases.on_timeout(due).iter().map(|_| due));
    }
    assert_eq!(&told[..3], &[100 * MS, 300 * MS, 700 * MS]);
    assert!(told.len() < 30 && told.last().is_some_and(|at| *at < 61 * S));
    assert_eq!((releases.pending(), releases.abandoned()), (0, 1));
    releases.add(0, &release, CacheState::Held);
    releases.finished(0, &release, ReleaseOutcome::Acknowledged);
    assert_eq!((releases.pending(), releases.next_timeout(), releases.abandoned()), (0, None, 1));
}

#[test]
fn the_state_of_a_read_that_was_cut_off_is_asked_for_until_the_read_can_no_longer_come() {
    let release = CacheRelease { server: petrelshore::interface::ServerId(1), request_id: "a-0".to_owned() };
    let mut releases = CacheReleases::new(400 * MS);
    releases.add(0, &release, CacheState::Uncertain);
    // Its reader holds nothing yet, and says so; the read is still on its way.
    releases.finished(MS, &release, ReleaseOutcome::Acknowledged);
    let mut told = Vec::new();
    while let Some(due) = releases.next_timeout().filter(|due| *due < 10 * S) {
        if !releases.on_timeout(due).is_empty() {
            told.push(due);
            releases.finished(due + MS, &release, ReleaseOutcome::Acknowledged);
        }
    }
    assert!(told[0] <= 100 * MS && told.iter().any(|at| *at >= 2 * S), "{told:?}");
    assert!(told.windows(2).all(|two| two[1] - two[0] <= 200 * MS), "it may come at any time: {told:?}");
    assert!(told.len() <= 12 && releases.pending() == 0, "{told:?}");
    // A reader that provably does not run holds nothing, and nothing is on its way to it.
    releases.add(0, &release, CacheState::Uncertain);
    releases.finished(MS, &release, ReleaseOutcome::ServerGone);
    assert_eq!(releases.pending(), 0);
}

#[test]
fn a_reader_that_cannot_be_had_is_told_by_way_of_those_heard_last_and_then_of_others() {
    let mut owed = CacheReleases::new(500 * MS);
    let release = CacheRelease { server: ServerId(2), request_id: "a".to_owned() };
    let ready: Vec<(u64, ServerId)> = (1..=7).map(|n| (n * MS, ServerId(n))).collect();
    owed.add(0, &release, CacheState::Held);
    let by = |owed: &CacheReleases| owed.relays(&release, &ready).iter().map(|id| id.0).collect::<Vec<u64>>();
    assert_eq!(by(&owed), [7, 6, 5], "the others were cut off for longer");
    assert_eq!(owed.on_timeout(150 * MS).len(), 1);
    assert_eq!(by(&owed), [4, 3, 1], "not the reader itself");
    assert_eq!(owed.on_timeout(400 * MS).len(), 1);
    assert_eq!(by(&owed), [7, 6, 5]);
    assert_eq!(owed.relays(&release, &[(0, ServerId(2))]), []);
}
