use super::*;

const SECOND: Nanos = 1_000 * MILLISECOND;

fn admit(table: &mut ConnectionTable, now: Nanos) -> ConnectionId {
    match table.accept(now, |_| true) {
        Accepted { admission: Admission::Admitted(id), evicted: None } => id,
        other => panic!("{other:?}"),
    }
}

fn accepted(admission: Admission, evicted: Option<ConnectionId>) -> Accepted {
    Accepted { admission, evicted }
}

#[test]
fn started_request_protects_used_connection_but_not_new_one() {
    for complete in [false, true] {
        let mut table = ConnectionTable::new(2);
        let (new, used) = (admit(&mut table, 0), admit(&mut table, 0));
        table.idle(0, used);
        [new, used].into_iter().for_each(|id| table.request_started(id));
        if complete {
            table.request_received(new);
        }
        assert_eq!(
            table.accept(9 * SECOND, |_| true).evicted,
            (!complete).then_some(new),
            "complete: {complete}"
        );
    }
}

#[test]
fn shutdown_closes_idle_connections_at_once_and_new_ones_later() {
    let mut table = ConnectionTable::new(2);
    let (new, used) = (admit(&mut table, SECOND), admit(&mut table, SECOND));
    table.idle(SECOND, used);
    assert_eq!((table.keep_open_until(new), table.keep_open_until(used)), (SECOND + CROWDED_MIN_SILENCE, 0));
}

#[test]
fn crowded_table_evicts_silent_then_longest_idle_but_never_active() {
    let mut table = ConnectionTable::new(5);
    let ids: Vec<ConnectionId> = (0..4).map(|_| admit(&mut table, 0)).collect();
    table.request_received(ids[0]);
    table.idle(2 * SECOND, ids[1]);
    table.idle(SECOND, ids[2]);
    assert_eq!(
        table.accept(3 * SECOND, |_| true),
        accepted(Admission::Admitted(ConnectionId(4)), Some(ids[3])),
        "the new connection that sent nothing is evicted first"
    );
    table.request_received(ConnectionId(4));
    assert_eq!(
        table.accept(3 * SECOND, |_| true).evicted,
        Some(ids[2]),
        "then the connection that was idle for longest"
    );
    table.request_received(ConnectionId(5));
    assert_eq!(
        table.accept(3 * SECOND, |_| true),
        accepted(Admission::Admitted(ConnectionId(6)), None),
        "the other idle connection was used too recently"
    );
    table.request_received(ConnectionId(6));
    table.request_received(ids[1]);
    assert_eq!(
        table.accept(9 * SECOND, |_| true),
        accepted(Admission::Full, None),
        "no active connection is evicted"
    );
    table.closed(ids[1]);
    assert_eq!(table.accept(9 * SECOND, |_| true), accepted(Admission::Admitted(ConnectionId(7)), None));
    assert_eq!(
        table.accept(9 * SECOND, |_| true),
        accepted(Admission::RetrySoon, None),
        "the silent connection was accepted too recently"
    );
    let later = 9 * SECOND + FULL_MIN_SILENCE;
    assert_eq!(
        table.accept(later, |_| true),
        accepted(Admission::Admitted(ConnectionId(8)), Some(ConnectionId(7)))
    );
    table.closed(ConnectionId(8));
    assert_eq!(table.accept(9 * SECOND, |_| true), accepted(Admission::Admitted(ConnectionId(9)), None));
    assert_eq!((table.len(), table.keep_open_until(ConnectionId(9))), (5, 9 * SECOND + CROWDED_MIN_SILENCE));
}
