//! Tests of load balancing by the scheduler: moves and their faults, balanced placement, and the
//! scheduling order of teams.

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
