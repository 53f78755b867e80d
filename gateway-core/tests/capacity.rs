//! How much a gateway holds at once, and when a rejected client should come back.

use petrelshore_gateway_core::capacity::{CapacityError, CapacityLimit};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

#[test]
fn the_last_of_the_room_is_for_what_is_worth_most_and_one_client_has_its_part() {
    let mut room = CapacityLimit::new(0, 1000);
    let taken = (0..1000).filter(|client| room.acquire(0, *client, 0.0).is_ok()).count();
    assert_eq!(taken, 900);
    assert_eq!(
        (room.acquire(0, 7000, 0.0), room.acquire(0, 7000, 1.0)),
        (Err(CapacityError::Gateway), Ok(()))
    );
    let mut room = CapacityLimit::new(0, 1000);
    let own = (0..1000).filter(|_| room.acquire(0, 1, 1.0).is_ok()).count();
    assert_eq!(
        (own, room.acquire(0, 1, 1.0), room.acquire(0, 2, 1.0)),
        (250, Err(CapacityError::Client), Ok(()))
    );
    room.release(0, 1);
    assert_eq!(room.acquire(0, 1, 1.0), Ok(()));
}

#[test]
fn the_time_to_come_back_grows_with_the_crowd_and_stays_within_its_bounds() {
    let mut room = CapacityLimit::new(0, 10);
    let crowd =
        |room: &mut CapacityLimit, now| (0..200).filter(|c| room.acquire(now, *c, 1.0).is_err()).count();
    crowd(&mut room, S);
    let jammed = room.retry_after(S, Some(8 * S));
    (0..10).for_each(|client| room.release(S, client));
    assert_eq!(jammed, 8 * S);
    let moving = room.retry_after(20 * S, Some(8 * S));
    assert!((100 * MS..jammed).contains(&moving), "{moving}");
}
