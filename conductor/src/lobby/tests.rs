use super::*;

#[test]
fn a_request_that_begins_is_kept_on_a_used_connection_and_has_to_be_whole_on_a_new_one() {
    let mut lobby = Lobby::new(5);
    let (new, used) = (seated(&mut lobby, 0), seated(&mut lobby, 0));
    lobby.idles(0, used);
    [new, used].into_iter().for_each(|seat| lobby.begins(seat));
    assert_eq!(lobby.idle(SECOND), [new]);
    lobby.asks(new);
    assert_eq!(lobby.idle(SECOND), []);
}

const SECOND: Nanos = 1_000 * MILLISECOND;

fn seated(lobby: &mut Lobby, now: Nanos) -> SeatId {
    match lobby.enter(now, |_| true) {
        (Entry::Seated(seat), None) => seat,
        other => panic!("{other:?}"),
    }
}

#[test]
fn in_a_crowd_silent_ones_go_first_then_the_longest_idle_and_never_one_that_asks() {
    let mut lobby = Lobby::new(5);
    let seats: Vec<SeatId> = (0..4).map(|_| seated(&mut lobby, 0)).collect();
    lobby.asks(seats[0]);
    lobby.idles(2 * SECOND, seats[1]);
    lobby.idles(SECOND, seats[2]);
    assert_eq!(
        lobby.enter(3 * SECOND, |_| true),
        (Entry::Seated(SeatId(4)), Some(seats[3])),
        "the silent one"
    );
    lobby.asks(SeatId(4));
    assert_eq!(lobby.enter(3 * SECOND, |_| true).1, Some(seats[2]), "the longest idle");
    lobby.asks(SeatId(5));
    assert_eq!(
        lobby.enter(3 * SECOND, |_| true),
        (Entry::Seated(SeatId(6)), None),
        "idle for too short a time"
    );
    lobby.asks(SeatId(6));
    lobby.asks(seats[1]);
    assert_eq!(lobby.enter(9 * SECOND, |_| true), (Entry::Full, None), "all ask");
    lobby.leave(seats[1]);
    assert_eq!(lobby.enter(9 * SECOND, |_| true), (Entry::Seated(SeatId(7)), None));
    assert_eq!(lobby.enter(9 * SECOND, |_| true), (Entry::Soon, None), "the silent one has only come");
    let (entry, leaves) = lobby.enter(9 * SECOND + FULL_LEAST, |_| true);
    assert_eq!((entry, leaves), (Entry::Seated(SeatId(8)), Some(SeatId(7))));
    lobby.leave(SeatId(8));
    assert_eq!(lobby.enter(9 * SECOND, |_| true), (Entry::Seated(SeatId(9)), None));
    assert_eq!((lobby.len(), lobby.idle(9 * SECOND + SILENT_LEAST)), (5, vec![SeatId(9)]));
}
