use super::*;

#[test]
fn a_request_that_begins_is_kept_on_a_used_connection_and_has_to_be_whole_on_a_new_one() {
    for whole in [false, true] {
        let mut table = ConnectionTable::new(2);
        let (new, used) = (admitted(&mut table, 0), admitted(&mut table, 0));
        table.idle(0, used);
        [new, used].into_iter().for_each(|id| table.request_started(id));
        if whole {
            table.request_received(new);
        }
        assert_eq!(table.accept(9 * SECOND, |_| true).1, (!whole).then_some(new), "{whole}");
    }
}

#[test]
fn a_gateway_that_leaves_may_end_what_rests_at_once_and_what_has_just_come_after_a_moment() {
    let mut table = ConnectionTable::new(2);
    let (new, used) = (admitted(&mut table, SECOND), admitted(&mut table, SECOND));
    table.idle(SECOND, used);
    assert_eq!((table.keep_open_until(new), table.keep_open_until(used)), (SECOND + SILENT_LEAST, 0));
}

const SECOND: Nanos = 1_000 * MILLISECOND;

fn admitted(table: &mut ConnectionTable, now: Nanos) -> ConnectionId {
    match table.accept(now, |_| true) {
        (Entry::Admitted(id), None) => id,
        other => panic!("{other:?}"),
    }
}

#[test]
fn in_a_crowd_silent_ones_go_first_then_the_longest_idle_and_never_one_that_asks() {
    let mut table = ConnectionTable::new(5);
    let ids: Vec<ConnectionId> = (0..4).map(|_| admitted(&mut table, 0)).collect();
    table.request_received(ids[0]);
    table.idle(2 * SECOND, ids[1]);
    table.idle(SECOND, ids[2]);
    assert_eq!(
        table.accept(3 * SECOND, |_| true),
        (Entry::Admitted(ConnectionId(4)), Some(ids[3])),
        "the silent one"
    );
    table.request_received(ConnectionId(4));
    assert_eq!(table.accept(3 * SECOND, |_| true).1, Some(ids[2]), "the longest idle");
    table.request_received(ConnectionId(5));
    assert_eq!(
        table.accept(3 * SECOND, |_| true),
        (Entry::Admitted(ConnectionId(6)), None),
        "idle for too short a time"
    );
    table.request_received(ConnectionId(6));
    table.request_received(ids[1]);
    assert_eq!(table.accept(9 * SECOND, |_| true), (Entry::Full, None), "all ask");
    table.closed(ids[1]);
    assert_eq!(table.accept(9 * SECOND, |_| true), (Entry::Admitted(ConnectionId(7)), None));
    assert_eq!(table.accept(9 * SECOND, |_| true), (Entry::Soon, None), "the silent one has only come");
    let (entry, leaves) = table.accept(9 * SECOND + FULL_LEAST, |_| true);
    assert_eq!((entry, leaves), (Entry::Admitted(ConnectionId(8)), Some(ConnectionId(7))));
    table.closed(ConnectionId(8));
    assert_eq!(table.accept(9 * SECOND, |_| true), (Entry::Admitted(ConnectionId(9)), None));
    assert_eq!((table.len(), table.keep_open_until(ConnectionId(9))), (5, 9 * SECOND + SILENT_LEAST));
}
