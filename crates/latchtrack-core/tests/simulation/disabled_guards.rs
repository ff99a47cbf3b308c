//! Each guard is disabled once, from outside the core, to show that the rule checks detect it.

use super::world::guards::DisabledGuard;
use super::world::size::{Size, SMALL};
use super::world::World;

/// Runs seeds until `rule` is reported as broken. Panics if it never is.
fn assert_violation(guard: DisabledGuard, rule: &str) {
    for seed in 0..300 {
        let mut world = World::new(seed, guard);
        world.run();
        if world.violations.iter().any(|v| v.starts_with(rule)) {
            return;
        }
    }
    panic!("{guard:?} was never caught as {rule}");
}

#[test]
fn launching_before_the_machines_are_reconciled_is_caught() {
    assert_violation(DisabledGuard::Reconciliation, "ran_twice");
}

#[test]
fn treating_unconfirmed_terminations_as_done_is_caught() {
    assert_violation(DisabledGuard::ConfirmedTermination, "ran_twice");
}

#[test]
fn acting_without_a_valid_lease_is_caught() {
    // Once a successor has contacted the machines, its higher token protects them. Without a
    // successor only the lease does.
    let without_successors = |seed, guard| {
        let mut world = World::new(seed, guard).without_successors();
        world.run();
        world.violations
    };
    for seed in 0..30 {
        assert_eq!(
            without_successors(seed, DisabledGuard::None),
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
    let caught = |seed| {
        without_successors(seed, DisabledGuard::LeaderLease)
            .iter()
            .any(|v| v.starts_with("ran_cancelled"))
    };
    assert!((0..300).any(caught), "never caught");
}

#[test]
fn launching_before_the_machine_is_stored_is_caught() {
    assert_violation(DisabledGuard::MachineRecords, "ran_twice");
}

#[test]
fn forgetting_a_run_with_an_open_call_is_caught() {
    assert_violation(DisabledGuard::ForgetAfterCalls, "ran_twice");
}

#[test]
fn writing_without_a_fencing_token_is_caught() {
    assert_violation(DisabledGuard::WriteFence, "went_back");
}

#[test]
fn ignoring_cancellations_is_caught() {
    assert_violation(DisabledGuard::Cancellation, "ran_cancelled");
}

#[test]
fn replacing_tasks_before_the_worker_lease_ends_is_caught() {
    assert_violation(DisabledGuard::WorkerLease, "ran_twice");
}

#[test]
fn ignoring_a_team_limit_is_caught() {
    assert_violation(DisabledGuard::TeamLimit, "quota");
}

#[test]
fn ignoring_placement_constraints_is_caught() {
    assert_violation(DisabledGuard::PlacementConstraints, "wrong_place");
}

#[test]
fn starting_a_gang_beside_its_previous_attempt_is_caught() {
    assert_violation(DisabledGuard::WaitingTaskStatus, "two_attempts");
}

/// Tasks of a gang that are launched in different attempts never find each other.
#[test]
fn running_gang_tasks_independently_is_caught() {
    assert_violation(DisabledGuard::GangAtomicity, "two_attempts");
}

#[test]
fn marking_a_job_done_too_early_is_caught() {
    assert_violation(DisabledGuard::TaskCompletion, "not_done");
}

#[test]
fn accepting_late_heartbeat_copies_is_caught() {
    // Only a copy between a failover and the response to the first probe does harm, so many are
    // sent.
    let size = Size { duplicate_probability: 0.5, ..SMALL };
    let caught = (0..300).any(|seed| {
        let mut world = World::sized(seed, DisabledGuard::HeartbeatFreshness, size);
        world.run();
        world.violations.iter().any(|v| v.starts_with("ran_twice"))
    });
    assert!(caught, "never caught");
}

#[test]
fn writing_shards_without_a_revision_check_is_caught() {
    // Also rare: a machine that is missing in the stored set must also be unreachable. No gangs,
    // as in the run that first showed the fault.
    let size = Size {
        fault_probability: 0.09,
        submit_probability: 0.04,
        machines_per_offer: 8,
        limited_team_cpus: 100.0,
        gang_probability: 0.0,
        ..SMALL
    };
    let caught = (0..300).any(|seed| {
        let mut world = World::sized(seed, DisabledGuard::ShardRevision, size);
        world.run();
        world.violations.iter().any(|v| v.starts_with("ran_twice"))
    });
    assert!(caught, "never caught");
}

#[test]
fn assuming_jobs_were_never_launched_is_caught() {
    assert_violation(DisabledGuard::LeaderlessSince, "ran_twice");
}
