//! Load balancing by the scheduler: the hard cases of moves, placement between locality and
//! balance, and the order among teams.

#[path = "../common/mod.rs"]
mod common;
mod faults;
mod fixtures;
mod gangs;
mod hot_teams;
mod launch_checks;
mod placement;
mod reservations;
mod selection;
