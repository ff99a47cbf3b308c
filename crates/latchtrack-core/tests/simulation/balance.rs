//! Moves of running tasks under all faults. Two of three leaders balance the load, so that versions
//! with and without balancing alternate, and each inherits moves that another leader began.

use super::checks::check_runs;
use super::world::faults::PlannedFault;
use super::world::guards::DisabledGuard;
use super::world::size::{Size, BUSY, FLEET, MOVING};
use super::world::World;
use PlannedFault::*;

const BUSY_MOVING: Size = Size {
    machines_per_offer: 6,
    max_task_cpus: 2,
    checkpoint_probability: 0.9,
    balance: true,
    ..BUSY
};

/// Settled and abandoned moves, summed over a set of runs.
#[derive(Default)]
struct MoveTotals {
    settled: u64,
    abandoned: u64,
}

impl MoveTotals {
    #[track_caller]
    fn run(&mut self, what: &str, mut world: World, seed: u64) {
        world.run();
        assert_eq!(world.violations, Vec::<String>::new(), "{what}, seed {seed}");
        assert_eq!(world.unfinished(), Vec::<String>::new(), "{what}, seed {seed}");
        let begun = world.stats.moves.settled + world.stats.moves.abandoned;
        assert!(begun <= world.stats.moves.begun, "{:?}", world.stats.moves);
        self.settled += world.stats.moves.settled;
        self.abandoned += world.stats.moves.abandoned;
    }
}

#[test]
fn rules_hold_and_all_jobs_finish_while_tasks_move() {
    let mut moves = MoveTotals::default();
    // Machines that a team's limit would leave idle are not provisioned, so each run has few
    // targets and many runs are needed.
    for seed in 1_000..1_080 {
        moves.run("random faults", World::sized(seed, DisabledGuard::None, MOVING), seed);
    }
    assert!(moves.settled > 100, "{} settled", moves.settled);
    assert!(moves.abandoned > 30, "{} abandoned", moves.abandoned);
}

#[test]
fn moves_survive_each_planned_fault() {
    let plans: [(&str, &[(u64, PlannedFault)]); 6] = [
        (
            "machines hang",
            &[(15_000, HangMachines(0.3, 10_000)), (40_000, HangMachines(0.3, 25_000))],
        ),
        ("inbound lost", &[(15_000, LoseInbound(0.3, 12_000)), (45_000, LoseInbound(0.4, 20_000))]),
        (
            "outbound lost",
            &[(15_000, LoseOutbound(0.3, 12_000)), (45_000, LoseOutbound(0.4, 30_000))],
        ),
        (
            "machines are partitioned",
            &[(15_000, PartitionMachines(0.3, 12_000)), (45_000, PartitionMachines(0.5, 30_000))],
        ),
        (
            "leaders change",
            &[
                (15_000, RollingRestart(4_000)),
                (40_000, CrashAllNodes),
                (60_000, RollingRestart(6_000)),
            ],
        ),
        (
            "jobs are cancelled",
            &[(15_000, CancelRunning(4, 5_000)), (30_000, CancelAtCompletion(0.3, 30_000))],
        ),
    ];
    for (what, plan) in plans {
        let mut moves = MoveTotals::default();
        for seed in 0..16 {
            let world = World::sized(seed, DisabledGuard::None, MOVING).with_planned_faults(plan);
            moves.run(what, world, seed);
        }
        assert!(moves.settled > 10, "{what}: {} settled", moves.settled);
    }
}

#[test]
fn moves_survive_a_partition_a_failover_and_an_outage() {
    let plan = [
        (20_000, PartitionOtherZone(25_000)),
        (24_000, CrashAllNodes),
        (40_000, StateServiceOutage(10_000)),
        (60_000, PartitionLeaderZone(20_000)),
        (70_000, HangMachines(0.3, 20_000)),
        (72_000, LateWrites(0.4, 20_000)),
        (80_000, ReplayToNextLeader(0.5, 20_000)),
        (95_000, CrashAllNodes),
    ];
    check_runs("several at once", BUSY_MOVING, 0..10, &plan);
}

/// Runs seeds until `rule` is reported as broken. Panics if it never is.
fn assert_violation(guard: DisabledGuard, rule: &str) {
    let caught = (0..300).any(|seed| {
        let mut world = World::sized(seed, guard, MOVING);
        world.run();
        world.violations.iter().any(|v| v.starts_with(rule))
    });
    assert!(caught, "{guard:?} was never caught as {rule}");
}

/// A task that writes a checkpoint occupies its machine until it has ended.
#[test]
fn treating_a_checkpointing_task_as_gone_is_caught() {
    assert_violation(DisabledGuard::CheckpointingTaskStatus, "ran_twice");
}

#[test]
fn ignoring_a_team_limit_while_tasks_move_is_caught() {
    assert_violation(DisabledGuard::TeamLimit, "quota");
}

/// Over a thousand machines: the rules hold, and the number of direct calls is bounded.
#[test]
fn a_fleet_with_moves_takes_a_bounded_number_of_operations() {
    let size = Size {
        max_task_cpus: 2,
        checkpoint_probability: 0.8,
        fault_probability: 0.005,
        balance: true,
        ..FLEET
    };
    let plan = [
        (50_000, PartitionOtherZone(20_000)),
        (60_000, CrashAllNodes),
        (80_000, StateServiceOutage(10_000)),
    ];
    let mut world = World::sized(5, DisabledGuard::None, size).with_planned_faults(&plan);
    world.run();
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.unfinished(), Vec::<String>::new());
    assert!(world.stats.moves.settled > 50, "{:?}", world.stats.moves);
    // At most one call per task, two more per move, and one probe per machine and term.
    let tasks = world.tasks_done() as u64 + 2 * world.stats.moves.begun;
    let max_calls = tasks + world.stats.terms * world.stats.max_machines_up as u64;
    assert!(world.stats.calls < max_calls, "{} calls, {max_calls} at most", world.stats.calls);
}
