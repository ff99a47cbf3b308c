//! Model check: a breadth-first search through all interleavings of two cells within a budget,
//! using the crate's own transition functions. A failure prints the path to the violation. Each
//! guard is also disabled once, from outside the crate, to show that the search detects its
//! absence.

#[path = "../common/mod.rs"]
mod common;
mod world;

use pathfinding::prelude::{bfs, bfs_reach};
use world::{Budget, Guard, World};

/// Number of states that a search must exceed to be meaningful.
const MIN_STATES: usize = 2_000;
/// Number of states at which a search is aborted as too large; its budget must then be lowered.
const MAX_STATES: usize = 400_000;

/// Returns the actions of a shortest path to a state that exceeds the limit, if there is one.
fn find_overshoot(start: World) -> Option<Vec<String>> {
    let path = bfs(&start, World::successors, World::exceeds_limit)?;
    Some(path.iter().map(|world| world.last_action.to_string()).collect())
}

fn assert_limit_holds(name: &str, start: World) {
    let mut states = 0;
    for world in bfs_reach(start.clone(), World::successors) {
        states += 1;
        assert!(states < MAX_STATES, "{name}: search space too large");
        if world.exceeds_limit() {
            panic!("{name}: {:#?}", find_overshoot(start));
        }
    }
    assert!(states > MIN_STATES, "{name}: only {states} states");
    println!("{name}: {states} states");
}

fn assert_overshoot_found(name: &str, start: World) {
    assert!(find_overshoot(start).is_some(), "{name}: the search finds no violation");
}

const EMPTY_BUDGET: Budget = Budget {
    steps: 0,
    snapshots: 0,
    leader_losses: 0,
    waits: 0,
    pauses: 0,
    arrivals: 0,
    lost_responses: 0,
};

/// One cell returns resources and the other raises its allotment, with a lost response and a
/// delayed write.
fn handover() -> Budget {
    Budget { steps: 3, snapshots: 3, lost_responses: 1, ..EMPTY_BUDGET }
}

/// Both cells raise their allotments concurrently.
fn concurrent_growth() -> Budget {
    Budget { steps: 3, snapshots: 3, lost_responses: 1, ..EMPTY_BUDGET }
}

/// The leader of the cell that holds the allotment changes while the cell returns resources.
fn failover() -> Budget {
    Budget { steps: 3, snapshots: 3, leader_losses: 1, ..EMPTY_BUDGET }
}

/// The cell that holds the allotment loses its leader, and may get a new one at any time.
fn cell_death() -> Budget {
    Budget { steps: 2, snapshots: 4, leader_losses: 1, waits: 1, ..EMPTY_BUDGET }
}

/// Like [`cell_death`], but before the leases have expired.
fn early_cell_death() -> Budget {
    Budget { steps: 2, snapshots: 4, leader_losses: 1, pauses: 1, ..EMPTY_BUDGET }
}

/// An idle allotment is returned while work arrives.
fn idle_return() -> Budget {
    Budget { steps: 3, snapshots: 2, waits: 1, arrivals: 1, lost_responses: 1, ..EMPTY_BUDGET }
}

/// Like [`idle_return`], with a change of leader.
fn idle_failover() -> Budget {
    Budget { steps: 3, snapshots: 3, waits: 1, leader_losses: 1, arrivals: 1, ..EMPTY_BUDGET }
}

#[test]
fn handing_over_an_allotment_stays_within_the_limit() {
    assert_limit_holds("handover", World::east_holds_the_limit(handover(), None));
}

#[test]
fn failing_over_during_a_handover_stays_within_the_limit() {
    assert_limit_holds("failover", World::east_holds_the_limit(failover(), None));
}

#[test]
fn losing_and_regaining_a_cell_stays_within_the_limit() {
    assert_limit_holds("cell death", World::east_holds_the_limit(cell_death(), None));
}

#[test]
fn losing_a_leader_briefly_stays_within_the_limit() {
    assert_limit_holds("early cell death", World::east_holds_the_limit(early_cell_death(), None));
}

#[test]
fn growing_both_cells_concurrently_stays_within_the_limit() {
    assert_limit_holds("concurrent growth", World::nothing_is_allotted(concurrent_growth(), None));
}

#[test]
fn returning_an_idle_allotment_stays_within_the_limit() {
    assert_limit_holds("idle return", World::east_is_idle(idle_return(), None));
    assert_limit_holds("idle failover", World::east_is_idle(idle_failover(), None));
}

#[test]
fn rebuilding_a_lost_ledger_stays_within_the_limit() {
    assert_limit_holds("lost ledger", World::ledger_lost(handover(), None));
}

#[test]
fn ignoring_the_expected_revision_is_detected() {
    assert_overshoot_found(
        "expected revision",
        World::nothing_is_allotted(concurrent_growth(), Some(Guard::Revision)),
    );
}

#[test]
fn treating_an_unknown_outcome_as_not_stored_is_detected() {
    assert_overshoot_found(
        "unknown outcome",
        World::east_is_idle(idle_return(), Some(Guard::UnknownOutcome)),
    );
}

#[test]
fn returning_resources_in_use_is_detected() {
    assert_overshoot_found(
        "resources in use",
        World::east_holds_the_limit(handover(), Some(Guard::KeepUsed)),
    );
}

#[test]
fn launching_by_an_outdated_launch_limit_is_detected() {
    assert_overshoot_found(
        "lowered before send",
        World::east_is_idle(idle_return(), Some(Guard::LoweredBeforeSend)),
    );
}

#[test]
fn returning_resources_before_reconciliation_is_detected() {
    assert_overshoot_found(
        "reconciled",
        World::east_holds_the_limit(failover(), Some(Guard::Reconciled)),
    );
}

#[test]
fn writing_without_fencing_is_detected() {
    assert_overshoot_found("fencing", World::east_is_idle(idle_failover(), Some(Guard::Fence)));
}

#[test]
fn reclaiming_before_the_leases_expire_is_detected() {
    assert_overshoot_found(
        "leases",
        World::east_holds_the_limit(early_cell_death(), Some(Guard::Leases)),
    );
}

#[test]
fn reclaiming_from_a_cell_with_a_new_leader_is_detected() {
    assert_overshoot_found(
        "still dead",
        World::east_holds_the_limit(cell_death(), Some(Guard::StillDead)),
    );
}

#[test]
fn growing_before_the_ledger_is_complete_is_detected() {
    assert_overshoot_found(
        "complete ledger",
        World::ledger_lost(handover(), Some(Guard::Complete)),
    );
}
