//! The steady clock and the time of day.

use latchtrack::clock::steady_from_wall_at;

#[test]
fn what_happened_before_the_process_began_keeps_its_age() {
    let (now, wall) = (864_000_005, 1_700_000_000_000);
    assert_eq!(now - steady_from_wall_at(now, wall, wall - 60_000), 60_000);
    assert_eq!(steady_from_wall_at(now, wall, wall + 900), now, "a clock ahead of ours");
    assert_eq!(steady_from_wall_at(now, wall, 0), 0, "long ago");
}
