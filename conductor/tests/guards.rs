//! Room, doors, connections, releases and replays: each decision by itself.

use petrelshore_conductor::connections::Connections;
use petrelshore_conductor::doors::{Doors, Shut};
use petrelshore_conductor::limits::{NoRoom, Room};
use petrelshore_conductor::releases::{Release, Releases};
use petrelshore_conductor::replays::{Ended, Known, Replays};
use petrelshore_conductor::withdrawals::Withdrawals;
use petrelshore_conductor::{intake, pace};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

#[test]
fn the_last_of_the_room_is_for_what_is_worth_most_and_one_client_has_its_part() {
    let mut room = Room::new(0, 1000);
    let taken = (0..1000).filter(|client| room.take(0, *client, 0.0).is_ok()).count();
    assert_eq!(taken, 900);
    assert_eq!((room.take(0, 7000, 0.0), room.take(0, 7000, 1.0)), (Err(NoRoom::Gateway), Ok(())));
    let mut room = Room::new(0, 1000);
    let own = (0..1000).filter(|_| room.take(0, 1, 1.0).is_ok()).count();
    assert_eq!((own, room.take(0, 1, 1.0), room.take(0, 2, 1.0)), (250, Err(NoRoom::Client), Ok(())));
    room.leave(0, 1);
    assert_eq!(room.take(0, 1, 1.0), Ok(()));
}

#[test]
fn the_time_to_come_back_grows_with_the_crowd_and_stays_within_its_bounds() {
    let mut room = Room::new(0, 10);
    let crowd = |room: &mut Room, now| (0..200).filter(|c| room.take(now, *c, 1.0).is_err()).count();
    crowd(&mut room, S);
    let jammed = room.come_back(S, Some(8 * S));
    (0..10).for_each(|client| room.leave(S, client));
    assert_eq!(jammed, 8 * S);
    let moving = room.come_back(20 * S, Some(8 * S));
    assert!((100 * MS..jammed).contains(&moving), "{moving}");
}

#[test]
fn connections_and_unread_bytes_are_bounded_in_all_and_for_each_address() {
    let mut doors = Doors::new(200, 1000);
    let first = (0..200).filter(|_| doors.connect(1).is_ok()).count();
    assert_eq!((first, doors.connect(1), doors.connect(2)), (100, Err(Shut::AddressFull), Ok(())));
    doors.leave(1);
    assert_eq!((doors.connect(1), doors.connections()), (Ok(()), 101));
    assert_eq!(doors.more(1, 600, 500), Err(Shut::TooLarge));
    let bodies = (0..64).filter(|_| doors.more(1, 0, 1000).is_ok()).count();
    assert_eq!((bodies, doors.more(1, 0, 1), doors.more(2, 0, 1000)), (32, Err(Shut::AddressFull), Ok(())));
    (0..32).for_each(|_| doors.less(1, 1000));
    doors.less(2, 1000);
    assert_eq!(doors.bytes(), 0);
}

#[test]
fn the_connection_used_last_goes_first_and_old_and_closed_ones_are_dropped() {
    let mut idle: Connections<u8, u32> = Connections::default();
    (1..=4).for_each(|c| idle.keep(c * S, 9, c as u32));
    assert_eq!(idle.take(5 * S, 9, |c| *c != 4), Some((3, 2 * S)));
    assert_eq!((idle.idle(), idle.take(60 * S, 9, |_| true), idle.idle()), (2, None, 0));
    assert_eq!(idle.take(0, 8, |_| true), None);
}

#[test]
fn a_connection_that_breaks_under_its_request_makes_the_idle_ones_less_trusted_for_a_while() {
    let mut idle: Connections<u8, u32> = Connections::default();
    (1..=3).for_each(|c| idle.keep(c * S, 9, c as u32));
    assert_eq!(idle.take(10 * S, 9, |_| true), Some((3, 7 * S)));
    idle.broke(10 * S, 9, 7 * S);
    assert_eq!(idle.idle(), 0, "those that were idle for longer than half of that went too");
    idle.keep(10 * S, 9, 5);
    assert_eq!(idle.take(14 * S, 9, |_| true), None);
    (0..100).for_each(|_| idle.keep(20 * S, 9, 6));
    assert!(idle.take(30 * S, 9, |_| true).is_some(), "good exchanges bring the trust back");
    idle.forget(|server| *server == 9);
    assert_eq!(idle.idle(), 0);
}

#[test]
fn a_release_is_told_again_until_it_is_answered_and_not_for_ever() {
    let release = Release { server: petrelshore::interface::ServerId(1), request: "a-0".to_owned() };
    let mut releases = Releases::new(400 * MS);
    assert!(releases.owe(0, &release) && !releases.owe(0, &release));
    let mut told = Vec::new();
    while let Some(due) = releases.next_due() {
        told.extend(releases.due(due).iter().map(|_| due));
    }
    assert_eq!(&told[..3], &[100 * MS, 300 * MS, 700 * MS]);
    assert!(told.len() < 30 && told.last().is_some_and(|at| *at < 61 * S));
    assert_eq!((releases.owed(), releases.lost()), (0, 1));
    releases.owe(0, &release);
    releases.settled(&release);
    assert_eq!((releases.owed(), releases.next_due(), releases.lost()), (0, None, 1));
    releases.owe(0, &release);
    releases.started_anew(release.server);
    assert_eq!((releases.owed(), releases.next_due()), (0, None));
}

#[test]
fn a_repeat_gets_the_end_that_its_first_one_got_and_nothing_runs_twice() {
    let key = ("riders".to_owned(), "k".to_owned());
    let mut replays: Replays<&str> = Replays::default();
    assert_eq!(replays.come(0, &key, 1), Known::New);
    assert_eq!((replays.come(0, &key, 1), replays.come(0, &key, 2)), (Known::InHand, Known::OtherRequest));
    replays.ended(S, &key, "text", "generated", 10 * S);
    let again = Known::Ended(Ended::Answered { text: "text".into(), end: "generated" });
    assert_eq!((replays.come(10 * S, &key, 1), replays.come(10 * S, &key, 2)), (again, Known::OtherRequest));
    assert_eq!((replays.come(12 * S, &key, 1), replays.bytes()), (Known::New, 0));
    replays.free(&key);
    assert_eq!((replays.come(12 * S, &key, 3), replays.keys()), (Known::New, 1));
    let other = ("workshops".to_owned(), "k".to_owned());
    assert_eq!(replays.come(12 * S, &other, 9), Known::New, "tenants can't meet in a key");
}

#[test]
fn kept_texts_are_bounded_and_a_key_is_remembered_longer_than_its_text() {
    let mut replays: Replays<u8> = Replays::default();
    let text = "x".repeat(1 << 20);
    let key = |number: u64| ("t".to_owned(), number.to_string());
    for number in 0..100 {
        assert_eq!(replays.come(number, &key(number), 1), Known::New);
        replays.ended(number, &key(number), &text, 7, 100 * S);
        assert!(replays.bytes() <= 32 << 20);
    }
    assert_eq!(replays.come(S, &key(0), 1), Known::Ended(Ended::TooLarge));
    assert!(matches!(replays.come(S, &key(99), 1), Known::Ended(Ended::Answered { end: 7, .. })));
    replays.come(S, &key(500), 1);
    replays.ended(S, &key(500), &"y".repeat((1 << 20) + 1), 7, S);
    assert_eq!(replays.come(S, &key(500), 1), Known::Ended(Ended::TooLarge));
}

#[test]
fn a_longer_conversation_keeps_its_shared_text_and_times_leave_room_for_the_way() {
    let system = intake::Message { role: "system", text: "You explain faults." };
    let user = intake::Message { role: "user", text: "why" };
    let (one, two) = (intake::weigh(&[system, user]), {
        let system = intake::Message { role: "system", text: "You explain faults." };
        let other = intake::Message { role: "user", text: "and now something else" };
        intake::weigh(&[system, other])
    });
    assert!(one.prefix == two.prefix && one.prefix.is_some() && one.prompt_tokens < two.prompt_tokens);
    assert_ne!(intake::session("a", "bc"), intake::session("ab", "c"));
    assert_ne!(intake::fingerprint("m", "p", 1), intake::fingerprint("m", "p", 2));
    assert_eq!(pace::give_up_at(0, 4 * S), 3_950 * MS);
    assert_eq!(pace::give_up_at(0, 40 * MS), 30 * MS);
    assert!(pace::connect_within(10 * MS) <= 10 * MS && pace::connect_within(60 * S) == S);
}

#[test]
fn a_client_that_asks_and_withdraws_runs_out_of_credit_and_gets_it_back() {
    let mut withdrawals = Withdrawals::default();
    let (flood, other) = ((1, None), (1, Some(petrelshore::interface::TenantId(0))));
    let mut taken = 0;
    // A thousand streams a second, each opened and cancelled, for ten seconds.
    for event in 0..10_000 {
        let now = S + event * MS;
        if withdrawals.may_ask(now, flood).is_ok() {
            taken += 1;
            withdrawals.withdrew(now, flood, MS / 2);
        }
        assert_eq!(withdrawals.may_ask(now, other), Ok(()), "another tenant of that address pays for it");
    }
    // 32 at once, and what fades of them in ten seconds.
    assert!((32..=32 + 10 * 5).contains(&taken), "{taken}");
    let now = 11 * S;
    let wait = withdrawals.may_ask(now, flood).expect_err("the credit is used up");
    assert!(wait > 0 && withdrawals.may_ask(now + wait, flood).is_ok(), "the time told is not true: {wait}");
    assert!(withdrawals.may_ask(now + wait / 2, flood).is_err() || wait < 2);
}

#[test]
fn clients_that_leave_now_and_then_or_after_long_are_never_refused() {
    let mut withdrawals = Withdrawals::default();
    let (some, slow) = ((1, None), (2, None));
    for event in 0..20_000 {
        let now = S + event * MS;
        assert_eq!((withdrawals.may_ask(now, some), withdrawals.may_ask(now, slow)), (Ok(()), Ok(())));
        // A third of one's leave at once; all of the other's wait two seconds in vain.
        match event % 3 {
            0 => withdrawals.withdrew(now, some, 50 * MS),
            _ => withdrawals.stayed(now, some),
        }
        withdrawals.withdrew(now, slow, 2 * S);
    }
}

#[test]
fn withdrawals_remember_a_bounded_number_of_clients_and_the_worst_of_them() {
    let mut withdrawals = Withdrawals::default();
    (0..100).for_each(|_| withdrawals.withdrew(S, (7, None), MS));
    (100..20_000).for_each(|client| withdrawals.withdrew(S, (client, None), MS));
    assert!(withdrawals.remembered() <= 4_096, "{}", withdrawals.remembered());
    assert!(withdrawals.may_ask(S, (7, None)).is_err(), "the worst was forgotten");
}
