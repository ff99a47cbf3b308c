//! Direct calls that were executed and answered arrive again, up to several worker leases later.

use super::checks::{assert_violation, check_runs_with};
use super::world::faults::PlannedFault;
use super::world::guards::DisabledGuard;
use super::world::size::{Size, BUSY, FLEET, MOVING};
use super::world::trace::DecisionTrace;
use super::world::World;
use PlannedFault::*;

/// Most direct calls arrive again, half of these more than once.
const COPIED: Size = Size {
    initial_jobs: 25,
    submit_probability: 0.03,
    limited_team_cpus: 60.0,
    call_copy_probability: 0.6,
    ..BUSY
};

/// What every run here must have met.
const COPIES: [(&str, u64); 2] =
    [("copy of a call rejected", 100), ("copy of a call without effect", 100)];

#[test]
fn a_copy_of_a_launch_starts_no_forgotten_attempt_on_a_second_machine() {
    let plan = [
        (10_000, FailTasksOnMachines(0.2)),
        (20_000, SubmitBrokenJobs(3)),
        (30_000, CrashNodes(1, 150)),
        (60_000, FailTasksOnMachines(0.2)),
        (80_000, CrashNodes(2, 900)),
        (110_000, CrashAllNodes),
    ];
    check_runs_with("failed attempts", COPIED, 0..12, &plan, &COPIES);
}

#[test]
fn a_copy_of_a_launch_starts_no_task_of_a_cancelled_job() {
    let plan = [
        (15_000, CancelRunning(10, 0)),
        (30_000, CancelRunning(10, 8_000)),
        (31_000, CrashNodes(1, 300)),
        (60_000, CancelAtCompletion(0.5, 60_000)),
        (75_000, PartitionMachines(0.4, 20_000)),
        (76_000, CancelRunning(10, 0)),
    ];
    check_runs_with("cancelled jobs", COPIED, 0..12, &plan, &COPIES);
}

#[test]
fn a_copy_of_a_launch_exceeds_no_team_limit() {
    let size = Size {
        initial_jobs: 15,
        submit_probability: 0.015,
        limited_team_cpus: 16.0,
        call_copy_probability: 0.95,
        ..COPIED
    };
    let plan = [
        (20_000, FailTasksOnMachines(0.2)),
        (40_000, CrashNodes(1, 150)),
        (60_000, CancelRunning(8, 0)),
        (70_000, FailTasksOnMachines(0.2)),
        (100_000, CancelRunning(8, 0)),
    ];
    check_runs_with("at the limit", size, 0..24, &plan, &COPIES);
}

#[test]
fn a_copy_of_a_launch_starts_no_moved_task() {
    let size = Size { call_copy_probability: 0.9, ..MOVING };
    let plan = [(40_000, CrashNodes(1, 150)), (80_000, HangMachines(0.3, 5_000))];
    check_runs_with("moves", size, 0..40, &plan, &COPIES);
}

#[test]
fn a_copy_of_a_launch_starts_no_task_of_an_ended_gang_attempt() {
    let size = Size { gang_probability: 0.8, ..COPIED };
    let plan = [
        (20_000, LoseZoneMachines(0.5)),
        (40_000, CrashNodes(1, 150)),
        (60_000, FailTasksOnMachines(0.2)),
        (90_000, LoseZoneMachines(0.5)),
    ];
    check_runs_with("gangs", size, 0..12, &plan, &COPIES);
}

#[test]
fn copies_of_an_earlier_leaders_calls_arrive_around_leader_changes() {
    let mut plan: Vec<_> = (0..10).map(|i| (10_000 + i * 12_000, CrashNodes(1, 150))).collect();
    plan.extend([
        (33_000, StateServiceOutage(6_000)),
        (60_000, PartitionMachines(0.3, 12_000)),
        (95_000, PauseLeader(4_000)),
        (118_000, StateServiceRefusesLeader(9_000)),
    ]);
    check_runs_with("leader changes", COPIED, 0..12, &plan, &COPIES);
}

#[test]
fn copies_arrive_in_a_fleet() {
    let size = Size { call_copy_probability: 0.6, ..FLEET };
    let plan = [(30_000, FailTasksOnMachines(0.2)), (50_000, CrashNodes(1, 150))];
    check_runs_with("fleet", size, 0..1, &plan, &COPIES);
}

#[test]
fn copies_of_calls_change_no_decision() {
    let digest = |seed, call_copy_probability| {
        let size = Size { call_copy_probability, ..COPIED };
        let plan = [(20_000, FailTasksOnMachines(0.2)), (40_000, CrashNodes(1, 150))];
        let mut world = World::sized(seed, DisabledGuard::None, size).with_planned_faults(&plan);
        world.trace = Some(DecisionTrace::default());
        world.run();
        let copies = world.occurrences.get("copy of a call without effect").copied();
        (world.trace.map(|trace| trace.digest()), copies.unwrap_or(0))
    };
    for seed in 0..6 {
        let ((with, copies), (without, _)) = (digest(seed, 0.9), digest(seed, 0.0));
        assert_eq!(with, without, "seed {seed}");
        assert!(copies > 10, "seed {seed}: {copies} copies");
    }
}

#[test]
fn executing_copies_of_forgotten_launches_is_caught() {
    let failing = [(10_000, FailTasksOnMachines(0.3)), (60_000, FailTasksOnMachines(0.3))];
    let cancelled = [
        (15_000, CancelRunning(10, 0)),
        (40_000, CancelRunning(10, 0)),
        (70_000, CancelRunning(10, 0)),
        (100_000, CancelRunning(10, 0)),
    ];
    let zone_lost = [
        (20_000, FailTasksOnMachines(0.5)),
        (40_000, LoseZoneMachines(0.5)),
        (60_000, FailTasksOnMachines(0.5)),
        (80_000, LoseZoneMachines(0.5)),
    ];
    let at_limit = Size { limited_team_cpus: 16.0, ..COPIED };
    let one_zone = Size { call_copy_probability: 0.9, ..COPIED };
    for (rule, size, plan) in [
        ("ran_twice", COPIED, failing.as_slice()),
        ("ran_cancelled", COPIED, cancelled.as_slice()),
        ("quota", at_limit, failing.as_slice()),
        ("wrong_place", one_zone, zone_lost.as_slice()),
    ] {
        assert_violation(DisabledGuard::RaisedTokens, rule, size, plan);
    }
}
