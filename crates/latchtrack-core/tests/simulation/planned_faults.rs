//! Planned faults in a small world, one kind per test.

use super::checks::check_runs;
use super::world::faults::PlannedFault;
use super::world::guards::DisabledGuard;
use super::world::size::{Size, BUSY, FLEET};
use super::world::World;

#[test]
fn pauses_beyond_a_lease_do_no_harm() {
    use PlannedFault::*;
    let plan = [
        (20_000, PauseLeader(30_000)),
        (60_000, PauseFollower(30_000)),
        (65_000, PauseLeader(20_000)),
        // Paused through an outage, after which its lease has its full duration again.
        (100_000, PauseLeader(25_000)),
        (101_000, StateServiceOutage(26_000)),
    ];
    let terms = check_runs("pauses", BUSY, 0..12, &plan);
    assert!(terms >= 12 * 3, "{terms} terms");
}

#[test]
fn zone_partitions_beyond_a_lease_do_no_harm() {
    use PlannedFault::*;
    let plan = [
        (20_000, PartitionLeaderZone(40_000)),
        (75_000, PartitionOtherZone(40_000)),
        (85_000, CrashAllNodes),
        (125_000, PartitionOtherZone(8_000)),
        (128_000, PauseLeader(16_000)),
    ];
    let terms = check_runs("zone partition", BUSY, 0..12, &plan);
    assert!(terms >= 12 * 3, "{terms} terms");
}

#[test]
fn crashes_in_an_outage_and_a_rolling_restart_lose_nothing() {
    use PlannedFault::*;
    let plan = [
        (20_000, StateServiceOutage(12_000)),
        (30_000, CrashAllNodes),
        (40_000, RollingRestart(5_000)),
        (48_000, CrashAllNodes),
        (48_100, CrashAllNodes),
        (80_000, StateServiceOutage(40_000)),
        (110_000, CrashAllNodes),
    ];
    let terms = check_runs("crashes and outages", BUSY, 0..12, &plan);
    assert!(terms >= 12 * 5, "{terms} terms");
}

#[test]
fn machines_that_hang_beyond_their_lease_run_nothing_twice() {
    use PlannedFault::*;
    let plan = [
        (20_000, HangMachines(0.4, 18_000)),
        (45_000, HangMachines(0.5, 25_000)),
        (50_000, CrashAllNodes),
        (80_000, HangMachines(1.0, 22_000)),
        (120_000, HangMachines(0.3, 60_000)),
    ];
    check_runs("hung machines", BUSY, 0..12, &plan);
}

/// All nodes, and later all but one, are down for twice the worker lease while machines boot late
/// or never. All tasks are lost as the leases expire, and start again on the machines that are up.
#[test]
fn nodes_down_beyond_a_lease_during_slow_boots_lose_no_job() {
    use PlannedFault::*;
    let plan = [
        (2_000, SlowBoots(5.0, 0.2, 40_000)),
        (30_000, CrashNodes(5, 30_000)),
        (75_000, CrashNodes(4, 35_000)),
        (80_000, SlowBoots(0.01, 0.0, 30_000)),
        (112_000, CrashNodes(1, 25_000)),
    ];
    let terms = check_runs("nodes down", BUSY, 0..8, &plan);
    assert!(terms >= 8 * 3, "{terms} terms");
    let plan = [
        (1_500, SlowBoots(5.0, 0.2, 30_000)),
        (15_000, CrashNodes(5, 30_000)),
        (60_000, PauseLeader(12_000)),
    ];
    check_runs("fleet, nodes down", FLEET, 1..2, &plan);
}

/// Jobs that fail on every machine, and later machines that fail every task: all other jobs finish,
/// and the number of failures is bounded, also across leader changes.
#[test]
fn broken_jobs_cost_little_and_delay_no_other_job() {
    use PlannedFault::*;
    let plan = [
        (10_000, SubmitBrokenJobs(12)),
        (30_000, FailTasksOnMachines(0.3)),
        (60_000, CrashAllNodes),
        (61_000, SubmitBrokenJobs(6)),
        (90_000, CrashNodes(1, 20_000)),
    ];
    for seed in 0..6 {
        let mut world = World::sized(seed, DisabledGuard::None, BUSY).with_planned_faults(&plan);
        world.run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.unfinished(), Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.poorly_served(), Vec::<String>::new(), "seed {seed}");
        // 18 broken jobs of up to six tasks. In each term every task starts at most once; after
        // that, one is retried per minute.
        let max_failures = (18 + 30) * u64::from(BUSY.max_tasks) + 200;
        assert!(
            world.stats.failures < max_failures,
            "{} failures, {max_failures} at most",
            world.stats.failures
        );
    }
}

/// Best-effort jobs of three kinds keep all machines busy for minutes. They neither displace other
/// jobs for long nor starve.
#[test]
fn best_effort_jobs_run_without_displacing_others() {
    use PlannedFault::*;
    let size = Size { fault_probability: 0.004, limited_team_cpus: 1e6, ..BUSY };
    let plan =
        [(20_000, SubmitBestEffortJobs), (60_000, CrashAllNodes), (90_000, SubmitBestEffortJobs)];
    check_runs("best effort", size, 0..6, &plan);
}
