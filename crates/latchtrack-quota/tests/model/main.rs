//! Model check: all interleavings of two cells within bounds, by breadth-first search over the
//! crate's own transition functions. A counter-example is the path to it. Each guard is removed
//! once, from outside the crate, to show that the search would find what it prevents.

#[path = "../common/mod.rs"]
mod common;
mod world;

use pathfinding::prelude::{bfs, bfs_reach};
use world::{Budget, Guard, World};

/// States that a search must have seen to mean something.
const MIN_STATES: usize = 2_000;
/// States at which a search is taken to be too large to end: the budgets are to be lowered then.
const MAX_STATES: usize = 400_000;

/// The actions of the shortest way to an overshoot.
fn find_overshoot(start: World) -> Option<Vec<String>> {
    let path = bfs(&start, World::successors, World::exceeds_limit)?;
    Some(path.iter().map(|world| world.last_action.to_string()).collect())
}

fn assert_limit_holds(name: &str, start: World) {
    let mut states = 0;
    for world in bfs_reach(start.clone(), World::successors) {
        states += 1;
        assert!(states < MAX_STATES, "{name}: not searched to the end");
        if world.exceeds_limit() {
            panic!("{name}: {:#?}", find_overshoot(start));
        }
    }
    assert!(states > MIN_STATES, "{name}: only {states} states");
    println!("{name}: {states} states");
}

fn assert_overshoot_found(name: &str, start: World) {
    assert!(find_overshoot(start).is_some(), "{name}: the search finds nothing");
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

/// One cell holds all and the other asks: giving back and taking, with answers lost and writes
/// late.
fn handover() -> Budget {
    Budget { steps: 3, snapshots: 3, lost_responses: 1, ..EMPTY_BUDGET }
}

/// Both cells take at the same time.
fn concurrent_growth() -> Budget {
    Budget { steps: 3, snapshots: 3, lost_responses: 1, ..EMPTY_BUDGET }
}

/// The holder's leader changes while it gives back.
fn failover() -> Budget {
    Budget { steps: 3, snapshots: 3, leader_losses: 1, ..EMPTY_BUDGET }
}

/// The holder dies and may come back at any time.
fn cell_death() -> Budget {
    Budget { steps: 2, snapshots: 4, leader_losses: 1, waits: 1, ..EMPTY_BUDGET }
}

/// The same before the leases are over.
fn early_cell_death() -> Budget {
    Budget { steps: 2, snapshots: 4, leader_losses: 1, pauses: 1, ..EMPTY_BUDGET }
}

/// What lies idle is given back while work arrives.
fn idle_return() -> Budget {
    Budget { steps: 3, snapshots: 2, waits: 1, arrivals: 1, lost_responses: 1, ..EMPTY_BUDGET }
}

/// The same with a change of leader.
fn idle_failover() -> Budget {
    Budget { steps: 3, snapshots: 3, waits: 1, leader_losses: 1, arrivals: 1, ..EMPTY_BUDGET }
}

#[test]
fn handing_over_an_allotment_stays_within_the_limit() {
    assert_limit_holds("handing over", World::east_holds_the_limit(handover(), None));
}

#[test]
fn failing_over_during_a_handover_stays_within_the_limit() {
    assert_limit_holds("change of leader", World::east_holds_the_limit(failover(), None));
}

#[test]
fn losing_a_cell_and_its_return_stay_within_the_limit() {
    assert_limit_holds("death", World::east_holds_the_limit(cell_death(), None));
}

#[test]
fn losing_a_leader_briefly_stays_within_the_limit() {
    assert_limit_holds("early death", World::east_holds_the_limit(early_cell_death(), None));
}

#[test]
fn growing_both_cells_concurrently_stays_within_the_limit() {
    assert_limit_holds("taking", World::nothing_is_allotted(concurrent_growth(), None));
}

#[test]
fn returning_an_idle_allotment_stays_within_the_limit() {
    assert_limit_holds("idling", World::east_is_idle(idle_return(), None));
    assert_limit_holds("idling leader", World::east_is_idle(idle_failover(), None));
}

#[test]
fn rebuilding_a_lost_ledger_stays_within_the_limit() {
    assert_limit_holds("lost value", World::ledger_lost(handover(), None));
}

#[test]
fn ignoring_the_expected_revision_is_detected() {
    assert_overshoot_found(
        "revision",
        World::nothing_is_allotted(concurrent_growth(), Some(Guard::Revision)),
    );
}

#[test]
fn treating_an_unknown_outcome_as_not_stored_is_detected() {
    assert_overshoot_found(
        "unknown",
        World::east_is_idle(idle_return(), Some(Guard::UnknownOutcome)),
    );
}

#[test]
fn returning_resources_in_use_is_detected() {
    assert_overshoot_found("used", World::east_holds_the_limit(handover(), Some(Guard::KeepUsed)));
}

#[test]
fn launching_by_an_outdated_launch_limit_is_detected() {
    assert_overshoot_found(
        "lowered first",
        World::east_is_idle(idle_return(), Some(Guard::LoweredBeforeSend)),
    );
}

#[test]
fn returning_resources_before_reconciliation_is_detected() {
    assert_overshoot_found(
        "settled",
        World::east_holds_the_limit(failover(), Some(Guard::Reconciled)),
    );
}

#[test]
fn writing_without_fencing_is_detected() {
    assert_overshoot_found("fence", World::east_is_idle(idle_failover(), Some(Guard::Fence)));
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
        "dead still",
        World::east_holds_the_limit(cell_death(), Some(Guard::StillDead)),
    );
}

#[test]
fn growing_before_the_ledger_is_complete_is_detected() {
    assert_overshoot_found("complete", World::ledger_lost(handover(), Some(Guard::Complete)));
}
