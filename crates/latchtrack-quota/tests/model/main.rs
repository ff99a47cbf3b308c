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
fn overshoot(start: World) -> Option<Vec<String>> {
    let path = bfs(&start, World::successors, World::exceeds_limit)?;
    Some(path.iter().map(|world| world.last.to_string()).collect())
}

fn assert_limit_holds(name: &str, start: World) {
    let mut states = 0;
    for world in bfs_reach(start.clone(), World::successors) {
        states += 1;
        assert!(states < MAX_STATES, "{name}: not searched to the end");
        if world.exceeds_limit() {
            panic!("{name}: {:#?}", overshoot(start));
        }
    }
    assert!(states > MIN_STATES, "{name}: only {states} states");
    println!("{name}: {states} states");
}

fn assert_overshoot_found(name: &str, start: World) {
    assert!(overshoot(start).is_some(), "{name}: the search finds nothing");
}

const NOTHING: Budget =
    Budget { steps: 0, snapshots: 0, crashes: 0, waits: 0, pauses: 0, arrivals: 0, unanswered: 0 };

/// One cell holds all and the other asks: giving back and taking, with answers lost and writes
/// late.
fn handover() -> Budget {
    Budget { steps: 3, snapshots: 3, unanswered: 1, ..NOTHING }
}

/// Both cells take at the same time.
fn taking() -> Budget {
    Budget { steps: 3, snapshots: 3, unanswered: 1, ..NOTHING }
}

/// The holder's leader changes while it gives back.
fn failover() -> Budget {
    Budget { steps: 3, snapshots: 3, crashes: 1, ..NOTHING }
}

/// The holder dies and may come back at any time.
fn death() -> Budget {
    Budget { steps: 2, snapshots: 4, crashes: 1, waits: 1, ..NOTHING }
}

/// The same before the leases are over.
fn early_death() -> Budget {
    Budget { steps: 2, snapshots: 4, crashes: 1, pauses: 1, ..NOTHING }
}

/// What lies idle is given back while work arrives.
fn idle_return() -> Budget {
    Budget { steps: 3, snapshots: 2, waits: 1, arrivals: 1, unanswered: 1, ..NOTHING }
}

/// The same with a change of leader.
fn idle_failover() -> Budget {
    Budget { steps: 3, snapshots: 3, waits: 1, crashes: 1, arrivals: 1, ..NOTHING }
}

#[test]
fn no_interleaving_of_giving_back_and_taking_passes_the_limit() {
    assert_limit_holds("handing over", World::east_holds_the_limit(handover(), None));
}

#[test]
fn no_failover_passes_the_limit() {
    assert_limit_holds("change of leader", World::east_holds_the_limit(failover(), None));
}

#[test]
fn no_death_and_return_passes_the_limit() {
    assert_limit_holds("death", World::east_holds_the_limit(death(), None));
}

#[test]
fn no_early_reclaim_passes_the_limit() {
    assert_limit_holds("early death", World::east_holds_the_limit(early_death(), None));
}

#[test]
fn two_cells_that_take_at_once_do_not_pass_the_limit() {
    assert_limit_holds("taking", World::nothing_is_allotted(taking(), None));
}

#[test]
fn giving_back_what_lies_idle_while_work_arrives_does_not_pass_the_limit() {
    assert_limit_holds("idling", World::east_is_idle(idle_return(), None));
    assert_limit_holds("idling leader", World::east_is_idle(idle_failover(), None));
}

#[test]
fn no_lost_ledger_passes_the_limit() {
    assert_limit_holds("lost value", World::ledger_lost(handover(), None));
}

#[test]
fn writing_without_the_expected_revision_is_caught() {
    assert_overshoot_found("revision", World::nothing_is_allotted(taking(), Some(Guard::Revision)));
}

#[test]
fn taking_an_unknown_outcome_for_not_stored_is_caught() {
    assert_overshoot_found(
        "unknown",
        World::east_is_idle(idle_return(), Some(Guard::UnknownOutcome)),
    );
}

#[test]
fn giving_back_what_is_used_is_caught() {
    assert_overshoot_found(
        "used",
        World::east_holds_the_limit(handover(), Some(Guard::UsedIsKept)),
    );
}

#[test]
fn launching_by_the_launch_limit_from_before_a_step_is_caught() {
    assert_overshoot_found(
        "lowered first",
        World::east_is_idle(idle_return(), Some(Guard::LoweredBeforeSend)),
    );
}

#[test]
fn giving_back_before_the_machines_are_reconciled_is_caught() {
    assert_overshoot_found(
        "settled",
        World::east_holds_the_limit(failover(), Some(Guard::Reconciled)),
    );
}

#[test]
fn writing_without_the_leader_key_is_caught() {
    assert_overshoot_found("fence", World::east_is_idle(idle_failover(), Some(Guard::Fence)));
}

#[test]
fn reclaiming_before_the_leases_expire_is_caught() {
    assert_overshoot_found(
        "leases",
        World::east_holds_the_limit(early_death(), Some(Guard::Leases)),
    );
}

#[test]
fn reclaiming_from_a_cell_with_a_new_leader_is_caught() {
    assert_overshoot_found(
        "dead still",
        World::east_holds_the_limit(death(), Some(Guard::StillDead)),
    );
}

#[test]
fn taking_before_every_cell_has_recorded_its_usage_is_caught() {
    assert_overshoot_found("complete", World::ledger_lost(handover(), Some(Guard::Complete)));
}
