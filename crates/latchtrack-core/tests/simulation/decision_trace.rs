//! Prints one line for each of some fifty seeded runs: a digest of all that their leaders decided. Two versions
//! of the sources that decide alike print the same.
//!
//!     cargo run --release -p latchtrack-core --example decision_trace

#[allow(dead_code, reason = "the simulation's tests use the rest")]
mod world;

use std::ops::Range;

use world::faults::PlannedFault;
use world::federation::{Federation, IgnoredCondition};
use world::guards::DisabledGuard;
use world::size::{Size, BUSY, CELL, FLEET, MOVING, SMALL};
use world::trace::DecisionTrace;
use world::World;
use PlannedFault::*;

/// Cells that share a limit.
const CELLS: usize = 3;

/// A set of runs: its name, size, seeds and the troubles at set times.
type Scenario = (&'static str, Size, Range<u64>, Vec<(u64, PlannedFault)>);

fn scenarios() -> Vec<Scenario> {
    let overload = Size {
        initial_jobs: 40,
        submit_probability: 0.02,
        max_tasks: 30,
        limited_team_cpus: 1e6,
        end_ms: 900_000,
        ..SMALL
    };
    let gangs = Size {
        gang_probability: 0.8,
        initial_jobs: 15,
        submit_probability: 0.02,
        limited_team_cpus: 48.0,
        ..BUSY
    };
    let guests = Size { fault_probability: 0.004, limited_team_cpus: 1e6, ..BUSY };
    vec![
        ("chance", SMALL, 0..16, vec![]),
        ("moves", MOVING, 1_000..1_006, vec![]),
        (
            "moves, hang",
            MOVING,
            1_006..1_008,
            vec![(15_000, HangMachines(0.3, 10_000)), (40_000, CrashAllNodes)],
        ),
        (
            "zone cut",
            BUSY,
            0..3,
            vec![
                (20_000, PartitionLeaderZone(40_000)),
                (75_000, PartitionOtherZone(40_000)),
                (85_000, CrashAllNodes),
            ],
        ),
        (
            "failover",
            BUSY,
            3..6,
            vec![
                (20_000, StateServiceOutage(12_000)),
                (30_000, CrashAllNodes),
                (40_000, RollingRestart(5_000)),
            ],
        ),
        (
            "standing still",
            BUSY,
            6..8,
            vec![(20_000, PauseLeader(30_000)), (60_000, PauseFollower(30_000))],
        ),
        ("gangs", gangs, 0..4, vec![(30_000, HangMachines(0.3, 20_000)), (60_000, CrashAllNodes)]),
        (
            "late boots",
            BUSY,
            8..10,
            vec![(2_000, SlowBoots(5.0, 0.2, 40_000)), (30_000, CrashNodes(5, 30_000))],
        ),
        (
            "broken jobs",
            BUSY,
            10..12,
            vec![(10_000, SubmitBrokenJobs(12)), (30_000, FailTasksOnMachines(0.3))],
        ),
        (
            "lowered limits",
            BUSY,
            12..14,
            vec![(20_000, LeaderWriteLimits(150, 4)), (30_000, StoreWriteLimits(150, 4))],
        ),
        (
            "deaf and mute",
            BUSY,
            14..16,
            vec![(20_000, LoseInbound(0.4, 20_000)), (60_000, LoseOutbound(0.4, 30_000))],
        ),
        (
            "late writes",
            BUSY,
            16..18,
            vec![(20_000, LateWrites(0.3, 40_000)), (70_000, LostWriteResponses(0.3, 40_000))],
        ),
        ("guests", guests, 0..2, vec![(20_000, SubmitGuestJobs), (60_000, CrashAllNodes)]),
        ("overload", overload, 0..1, vec![]),
        ("fleet", FLEET, 0..1, vec![]),
    ]
}

fn print_line(name: &str, seed: u64, trace: &DecisionTrace) {
    let (effects, writes, digest) = (trace.effects, trace.writes, trace.digest());
    println!("{name}, seed {seed}: {effects} effects, {writes} writes, {digest:016x}");
}

fn main() {
    for (name, size, seeds, plan) in scenarios() {
        for seed in seeds {
            let mut world = World::sized(seed, DisabledGuard::None, size).planned(&plan);
            world.trace = Some(DecisionTrace::default());
            world.run();
            print_line(name, seed, world.trace.as_ref().expect("set above"));
        }
    }
    for seed in 0..4 {
        let mut federation = Federation::new(seed, CELLS, CELL, IgnoredCondition::Nothing);
        for cell in &mut federation.cells {
            cell.trace = Some(DecisionTrace::default());
        }
        federation.run();
        for (i, cell) in federation.cells.iter().enumerate() {
            print_line(&format!("cell {i}"), seed, cell.trace.as_ref().expect("set above"));
        }
    }
}
