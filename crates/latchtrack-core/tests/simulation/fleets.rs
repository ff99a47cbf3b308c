//! Fleets of a thousand machines and more.

use super::checks::check_runs;
use super::world::faults::PlannedFault;
use super::world::guards::DisabledGuard;
use super::world::size::{Size, FLEET, HUGE, HUGEST, LARGE};
use super::world::stats::JobCounts;
use super::world::World;

/// Over a thousand machines, and the write rate of one leader among five nodes: the rules hold, all
/// jobs finish, and the numbers of puts, direct calls and scheduling cycles are bounded.
#[test]
fn a_fleet_takes_a_bounded_number_of_operations() {
    let mut terms = 0;
    for (seed, size, min_machines) in [(0, FLEET, 1_000), (1, LARGE, 2_000)] {
        let mut world = World::sized(seed, DisabledGuard::None, size);
        world.run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.unfinished(), Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.poorly_served(), Vec::<String>::new(), "seed {seed}");
        let (done, tasks) = (world.jobs_done() as u64, world.tasks_done() as u64);
        assert!(
            world.stats.max_machines_up > min_machines,
            "{} machines up",
            world.stats.max_machines_up
        );
        terms += world.stats.terms;
        assert!(done > 200 && tasks > 5_000, "{done} jobs, {tasks} tasks");
        // One put for a job's end and a few for its results and the machine sets. A leader that put
        // each machine by itself would need over a thousand more whenever this fleet boots.
        assert!(world.stats.puts < 5 * done, "{} puts", world.stats.puts);
        // At most one call per task, to start it on an idle machine, and one probe per machine and
        // term.
        let max_calls = tasks + world.stats.terms * world.stats.max_machines_up as u64;
        assert!(world.stats.calls < max_calls, "{} calls, {max_calls} at most", world.stats.calls);
        // At most one cycle per step, however many heartbeats arrive in it; twice that, as a
        // deposed leader may not know yet that it no longer leads.
        let max_cycles = 2 * size.end_ms / size.step_ms;
        assert!(
            world.stats.cycles < max_cycles,
            "{} cycles, {max_cycles} at most",
            world.stats.cycles
        );
        // The leader keeps only what exists: the runs on machines of at most eight CPUs, a few that
        // have ended, and the open jobs.
        let max_runs = 12 * world.stats.max_machines_up;
        assert!(
            world.stats.max_task_runs < max_runs,
            "{} runs, {max_runs} at most",
            world.stats.max_task_runs
        );
        let JobCounts { known, open } = world.stats.max_jobs;
        assert!(known <= open + 50, "{known} jobs known to the leader, {open} open");
    }
    assert!(terms > 5, "{terms} terms");
}

/// Failovers, a zone partition and an outage, with at least `min_machines` machines up.
fn check_huge_fleet(size: Size, min_machines: usize) {
    use PlannedFault::*;
    let plan = [
        (30_000, CrashAllNodes),
        (40_000, PartitionOtherZone(25_000)),
        (50_000, CrashNodes(1, 5_000)),
        (75_000, StateServiceOutage(20_000)),
    ];
    let mut world = World::sized(1, DisabledGuard::None, size).with_planned_faults(&plan);
    world.run();
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.unfinished(), Vec::<String>::new());
    assert_eq!(world.poorly_served(), Vec::<String>::new());
    assert!(
        world.stats.max_machines_up > min_machines,
        "{} machines up",
        world.stats.max_machines_up
    );
    // At least the machines of one of the three zones.
    assert!(
        world.stats.max_machines_overdue * 3 > min_machines,
        "{} overdue at once",
        world.stats.max_machines_overdue
    );
}

#[test]
fn faults_in_a_fleet_of_four_thousand_machines() {
    check_huge_fleet(HUGE, 4_000);
}

/// Takes minutes: cargo test -p latchtrack-core --release --test simulation -- --ignored
#[test]
#[ignore = "a long run, not for CI"]
fn faults_in_a_fleet_of_nearly_six_thousand_machines() {
    check_huge_fleet(HUGEST, 5_800);
}

/// Planned and random faults in a fleet.
#[test]
fn a_fleet_survives_a_partition_a_pause_and_an_outage() {
    use PlannedFault::*;
    let plan = [
        (30_000, PartitionLeaderZone(30_000)),
        (45_000, CrashAllNodes),
        (65_000, PauseLeader(20_000)),
        (80_000, StateServiceOutage(20_000)),
        (85_000, HangMachines(0.1, 20_000)),
    ];
    check_runs("fleet", FLEET, 0..1, &plan);
}
