//! Gangs under each fault that can hit them while they start, wait, run or stop.

use super::checks::check_runs_with;
use super::world::faults::PlannedFault;
use super::world::guards::DisabledGuard;
use super::world::size::{Size, BUSY};
use super::world::World;
use PlannedFault::*;

/// Most jobs are gangs, half of them of a team whose limit a few of them reach.
const GANGS: Size = Size {
    gang_probability: 0.8,
    initial_jobs: 15,
    submit_probability: 0.02,
    limited_team_cpus: 48.0,
    ..BUSY
};

/// A fault at regular intervals, in ms, so that it hits attempts at every stage.
fn repeat_fault(
    first: u64,
    every: u64,
    times: u64,
    fault: PlannedFault,
) -> Vec<(u64, PlannedFault)> {
    (0..times).map(|n| (first + n * every, fault)).collect()
}

#[test]
fn leaders_change_at_every_stage_of_a_gang() {
    let mut plan = repeat_fault(10_000, 1_700, 30, CrashNodes(1, 150));
    plan.extend(repeat_fault(70_000, 4_100, 12, PauseLeader(5_000)));
    plan.extend(repeat_fault(125_000, 5_300, 4, CrashAllNodes));
    let min_occurrences = [("gang done", 150), ("gang started", 200)];
    let terms = check_runs_with("leaders change", GANGS, 0..8, &plan, &min_occurrences);
    assert!(terms > 8 * 20, "{terms} terms");
}

#[test]
fn gang_machines_die_hang_or_are_partitioned_at_every_stage() {
    for (what, fault) in [
        ("hang within the lease", HangMachines(0.2, 6_000)),
        ("hang beyond it", HangMachines(0.15, 20_000)),
        ("partitioned", PartitionMachines(0.2, 12_000)),
        ("die", LoseZoneMachines(0.3)),
    ] {
        let plan = repeat_fault(15_000, 9_000, 14, fault);
        let min_occurrences = [("gang done", 50), ("gang lost a task", 10)];
        check_runs_with(what, GANGS, 0..4, &plan, &min_occurrences);
    }
}

#[test]
fn gang_machines_lose_messages_or_fail_tasks_at_every_stage() {
    for (what, fault) in [
        ("inbound lost", LoseInbound(0.2, 10_000)),
        ("outbound lost", LoseOutbound(0.25, 12_000)),
        ("failing tasks", FailTasksOnMachines(0.05)),
    ] {
        let plan = repeat_fault(15_000, 11_000, 12, fault);
        check_runs_with(what, GANGS, 0..4, &plan, &[("gang done", 50)]);
    }
}

#[test]
fn gangs_are_cancelled_with_hung_machines_and_leader_changes() {
    let mut plan = repeat_fault(15_000, 6_000, 20, CancelRunning(4, 9_000));
    plan.extend(repeat_fault(17_000, 13_000, 9, CrashNodes(1, 200)));
    plan.push((40_000, CancelAtCompletion(0.8, 130_000)));
    let min_occurrences =
        [("gang done", 40), ("cancelled while running", 100), ("cancelled at completion", 10)];
    check_runs_with("cancelled", GANGS, 0..8, &plan, &min_occurrences);
}

/// A zone is partitioned for longer than the worker lease. A gang that fits only that zone waits
/// for it, and keeps the machines that it may still use.
#[test]
fn a_gangs_zone_is_partitioned_beyond_a_lease() {
    let plan = [
        (20_000, PartitionOtherZone(25_000)),
        (60_000, PartitionLeaderZone(30_000)),
        (62_000, CancelRunning(5, 0)),
        (110_000, PartitionOtherZone(20_000)),
        (112_000, CrashAllNodes),
    ];
    check_runs_with(
        "zone cut",
        GANGS,
        0..10,
        &plan,
        &[("gang done", 100), ("gang lost a task", 5)],
    );
}

#[test]
fn messages_of_an_earlier_gang_attempt_arrive_late() {
    let plan = [
        (5_000, LateWrites(0.3, 130_000)),
        (10_000, ReplayToNextLeader(0.5, 130_000)),
        (30_000, CrashNodes(1, 1_000)),
        (50_000, CrashAllNodes),
        (70_000, PauseLeader(12_000)),
        (90_000, RollingRestart(3_000)),
        (120_000, StateServiceOutage(26_000)),
    ];
    let size = Size { duplicate_probability: 0.2, ..GANGS };
    let min_occurrences = [("gang done", 100), ("heartbeat replayed", 100), ("late write", 100)];
    check_runs_with("late", size, 0..8, &plan, &min_occurrences);
}

/// Nearly all gangs are as large as their team's limit.
#[test]
fn gangs_as_large_as_their_teams_limit_take_turns() {
    // Few enough to run one after the other within the limit.
    let size = Size { limited_team_cpus: 8.0, initial_jobs: 8, submit_probability: 0.005, ..GANGS };
    let plan = [
        (30_000, CrashAllNodes),
        (60_000, HangMachines(0.3, 20_000)),
        (90_000, CancelRunning(5, 20_000)),
    ];
    check_runs_with("at the limit", size, 0..8, &plan, &[("gang done", 60)]);
}

/// The state service's limits are lowered during the run. Leaders whose own limits were lowered
/// before are refused nothing, and split the larger values of earlier leaders.
#[test]
fn write_limits_are_lowered_while_leaders_change() {
    let size = Size {
        gang_probability: 0.2,
        machines_per_offer: 8,
        initial_jobs: 30,
        submit_probability: 0.04,
        limited_team_cpus: 60.0,
        ..BUSY
    };
    let lowered_for_leaders = [
        (0, LeaderWriteLimits(900, 8)),
        (15_000, LateWrites(0.3, 100_000)),
        (30_000, LeaderWriteLimits(300, 4)),
        (30_000, RollingRestart(2_000)),
        (45_000, StoreWriteLimits(300, 4)),
        (45_100, CrashNodes(1, 200)),
        (60_000, LostWriteResponses(0.3, 60_000)),
        (75_000, CrashAllNodes),
    ];
    let mut refused = 0;
    for seed in 0..8 {
        let mut world =
            World::sized(seed, DisabledGuard::None, size).with_planned_faults(&lowered_for_leaders);
        world.run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.unfinished(), Vec::<String>::new(), "seed {seed}");
        // Only late copies of an earlier leader's writes are refused.
        refused += world.occurrences.get("write refused").copied().unwrap_or(0);
    }
    assert!(refused < 8 * 5, "{refused} refused");
    // The leaders' limits stay: they split what is refused, and all jobs finish.
    let lowered_for_store_only = [
        (0, LeaderWriteLimits(900, 8)),
        (40_000, StoreWriteLimits(300, 2)),
        (80_000, CrashAllNodes),
    ];
    check_runs_with(
        "lowered for the store only",
        size,
        0..4,
        &lowered_for_store_only,
        &[("write refused", 10)],
    );
}
