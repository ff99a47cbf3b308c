//! Model check: all interleavings of two cells within bounds, by breadth-first search over the crate's own
//! transition functions. A counter-example is the path to it. Each guard is removed once, from outside the
//! crate, to show that the search would find what it prevents.

mod world;

use pathfinding::prelude::{bfs, bfs_reach};
use world::{Budget, Guard, World};

/// States that a search must have seen to mean something.
const STATES_LEAST: usize = 2_000;
/// States at which a search is taken to be too large to end: the bounds are to be lowered then.
const STATES_MOST: usize = 400_000;

/// The actions of the shortest way to an overshoot.
fn overshoot(start: World) -> Option<Vec<String>> {
    let path = bfs(&start, World::successors, World::is_overshot)?;
    Some(path.iter().map(|world| world.last.to_string()).collect())
}

fn holds(name: &str, start: World) {
    let mut states = 0;
    for world in bfs_reach(start.clone(), World::successors) {
        states += 1;
        assert!(states < STATES_MOST, "{name}: not searched to the end");
        if world.is_overshot() {
            panic!("{name}: {:#?}", overshoot(start));
        }
    }
    assert!(states > STATES_LEAST, "{name}: only {states} states");
    println!("{name}: {states} states");
}

fn caught(name: &str, start: World) {
    assert!(overshoot(start).is_some(), "{name}: the search finds nothing");
}

const NOTHING: Budget =
    Budget { steps: 0, looks: 0, crashes: 0, waits: 0, pauses: 0, arrivals: 0, late: 0 };

/// One cell holds all and the other asks: giving back and taking, with answers lost and writes late.
fn handing_over() -> Budget {
    Budget { steps: 3, looks: 3, late: 1, ..NOTHING }
}

/// Both cells take at the same time.
fn taking() -> Budget {
    Budget { steps: 3, looks: 3, late: 1, ..NOTHING }
}

/// The holder's leader changes while it gives back.
fn change_of_leader() -> Budget {
    Budget { steps: 3, looks: 3, crashes: 1, ..NOTHING }
}

/// The holder dies and may come back at any time.
fn death() -> Budget {
    Budget { steps: 2, looks: 4, crashes: 1, waits: 1, ..NOTHING }
}

/// The same before the leases are over.
fn early_death() -> Budget {
    Budget { steps: 2, looks: 4, crashes: 1, pauses: 1, ..NOTHING }
}

/// What lies idle is given back while work arrives.
fn idling() -> Budget {
    Budget { steps: 3, looks: 2, waits: 1, arrivals: 1, late: 1, ..NOTHING }
}

/// The same with a change of leader.
fn idling_leader() -> Budget {
    Budget { steps: 3, looks: 3, waits: 1, crashes: 1, arrivals: 1, ..NOTHING }
}

#[test]
fn no_interleaving_of_giving_back_and_taking_passes_the_limit() {
    holds("handing over", World::east_holds_all(handing_over(), None));
}

#[test]
fn no_change_of_leader_passes_the_limit() {
    holds("change of leader", World::east_holds_all(change_of_leader(), None));
}

#[test]
fn no_death_and_return_passes_the_limit() {
    holds("death", World::east_holds_all(death(), None));
}

#[test]
fn no_early_reclaim_passes_the_limit() {
    holds("early death", World::east_holds_all(early_death(), None));
}

#[test]
fn two_cells_that_take_at_once_do_not_pass_the_limit() {
    holds("taking", World::all_is_free(taking(), None));
}

#[test]
fn giving_back_what_lies_idle_while_work_arrives_does_not_pass_the_limit() {
    holds("idling", World::east_is_idle(idling(), None));
    holds("idling leader", World::east_is_idle(idling_leader(), None));
}

#[test]
fn no_lost_ledger_passes_the_limit() {
    holds("lost value", World::value_lost(handing_over(), None));
}

#[test]
fn writing_without_the_expected_revision_is_caught() {
    caught("revision", World::all_is_free(taking(), Some(Guard::Revision)));
}

#[test]
fn taking_an_unknown_outcome_for_not_stored_is_caught() {
    caught("unknown", World::east_is_idle(idling(), Some(Guard::UnknownOutcome)));
}

#[test]
fn giving_back_what_is_used_is_caught() {
    caught("used", World::east_holds_all(handing_over(), Some(Guard::Used)));
}

#[test]
fn launching_by_the_launch_limit_from_before_a_step_is_caught() {
    caught("lowered first", World::east_is_idle(idling(), Some(Guard::LoweredFirst)));
}

#[test]
fn giving_back_before_the_machines_are_reconciled_is_caught() {
    caught("settled", World::east_holds_all(change_of_leader(), Some(Guard::Settled)));
}

#[test]
fn writing_without_the_leader_key_is_caught() {
    caught("fence", World::east_is_idle(idling_leader(), Some(Guard::Fence)));
}

#[test]
fn reclaiming_before_the_leases_expire_is_caught() {
    caught("leases", World::east_holds_all(early_death(), Some(Guard::Leases)));
}

#[test]
fn reclaiming_from_a_cell_with_a_new_leader_is_caught() {
    caught("dead still", World::east_holds_all(death(), Some(Guard::DeadStill)));
}

#[test]
fn taking_before_every_cell_has_recorded_its_usage_is_caught() {
    caught("complete", World::value_lost(handing_over(), Some(Guard::Complete)));
}
