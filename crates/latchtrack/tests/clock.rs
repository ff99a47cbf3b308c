//! Conversion from the wall clock to the steady clock.

use latchtrack::clock::steady_from_wall_at;

#[test]
fn events_before_the_process_started_keep_their_age() {
    let (now, wall) = (864_000_005, 1_700_000_000_000);
    assert_eq!(now - steady_from_wall_at(now, wall, wall - 60_000), 60_000);
    assert_eq!(steady_from_wall_at(now, wall, wall + 900), now, "a wall clock ahead of ours");
    assert_eq!(steady_from_wall_at(now, wall, 0), 0, "older than the steady clock's origin");
}
