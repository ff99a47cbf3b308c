//! Prints one line per seeded run, with a digest of all decisions of its leaders.
//! Two versions of the sources that decide alike print the same lines.
//!
//!     cargo run --release -p latchtrack-core --example decision_trace

#[allow(dead_code, reason = "the simulation tests use the rest")]
mod world;

use std::ops::Range;

use world::faults::PlannedFault;
use world::federation::{Federation, IgnoredCondition};
use world::guards::DisabledGuard;
use world::size::{Size, BUSY, CELL, FLEET, MOVING, OVERLOAD, SMALL};
use world::trace::DecisionTrace;
use world::World;
use PlannedFault::*;

/// Number of cells that share a limit.
const CELLS: usize = 3;

/// Runs of a world of one size over a range of seeds, with planned faults.
struct Scenario {
    name: &'static str,
    size: Size,
    seeds: Range<u64>,
    plan: Vec<(u64, PlannedFault)>,
}

fn scenario(
    name: &'static str,
    size: Size,
    seeds: Range<u64>,
    plan: &[(u64, PlannedFault)],
) -> Scenario {
    Scenario { name, size, seeds, plan: plan.to_vec() }
}

fn random_faults_and_moves() -> Vec<Scenario> {
    let hang = [(15_000, HangMachines(0.3, 10_000)), (40_000, CrashAllNodes)];
    vec![
        scenario("chance", SMALL, 0..16, &[]),
        scenario("moves", MOVING, 1_000..1_006, &[]),
        scenario("moves, hang", MOVING, 1_006..1_008, &hang),
    ]
}

fn node_faults() -> Vec<Scenario> {
    let zones = [
        (20_000, PartitionLeaderZone(40_000)),
        (75_000, PartitionOtherZone(40_000)),
        (85_000, CrashAllNodes),
    ];
    let failover = [
        (20_000, StateServiceOutage(12_000)),
        (30_000, CrashAllNodes),
        (40_000, RollingRestart(5_000)),
    ];
    let pauses = [(20_000, PauseLeader(30_000)), (60_000, PauseFollower(30_000))];
    vec![
        scenario("zone cut", BUSY, 0..3, &zones),
        scenario("failover", BUSY, 3..6, &failover),
        scenario("standing still", BUSY, 6..8, &pauses),
    ]
}

fn machine_and_job_faults() -> Vec<Scenario> {
    let gangs = Size {
        gang_probability: 0.8,
        initial_jobs: 15,
        submit_probability: 0.02,
        limited_team_cpus: 48.0,
        ..BUSY
    };
    let hang = [(30_000, HangMachines(0.3, 20_000)), (60_000, CrashAllNodes)];
    let boots = [(2_000, SlowBoots(5.0, 0.2, 40_000)), (30_000, CrashNodes(5, 30_000))];
    let failures = [(10_000, SubmitBrokenJobs(12)), (30_000, FailTasksOnMachines(0.3))];
    vec![
        scenario("gangs", gangs, 0..4, &hang),
        scenario("late boots", BUSY, 8..10, &boots),
        scenario("broken jobs", BUSY, 10..12, &failures),
    ]
}

fn message_faults() -> Vec<Scenario> {
    let limits = [(20_000, LeaderWriteLimits(150, 4)), (30_000, StoreWriteLimits(150, 4))];
    let one_way = [(20_000, LoseInbound(0.4, 20_000)), (60_000, LoseOutbound(0.4, 30_000))];
    let writes = [(20_000, LateWrites(0.3, 40_000)), (70_000, LostWriteResponses(0.3, 40_000))];
    vec![
        scenario("lowered limits", BUSY, 12..14, &limits),
        scenario("deaf and mute", BUSY, 14..16, &one_way),
        scenario("late writes", BUSY, 16..18, &writes),
    ]
}

fn load() -> Vec<Scenario> {
    let guests = Size { fault_probability: 0.004, limited_team_cpus: 1e6, ..BUSY };
    let guest_jobs = [(20_000, SubmitBestEffortJobs), (60_000, CrashAllNodes)];
    vec![
        scenario("guests", guests, 0..2, &guest_jobs),
        scenario("overload", OVERLOAD, 0..1, &[]),
        scenario("fleet", FLEET, 0..1, &[]),
    ]
}

/// All scenarios. Their order, names and seeds are part of the compared output.
fn scenarios() -> impl Iterator<Item = Scenario> {
    let groups = [
        random_faults_and_moves(),
        node_faults(),
        machine_and_job_faults(),
        message_faults(),
        load(),
    ];
    groups.into_iter().flatten()
}

fn print_line(name: &str, seed: u64, trace: &DecisionTrace) {
    let (effects, writes, digest) = (trace.effects, trace.writes, trace.digest());
    println!("{name}, seed {seed}: {effects} effects, {writes} writes, {digest:016x}");
}

fn main() {
    for Scenario { name, size, seeds, plan } in scenarios() {
        for seed in seeds {
            let mut world =
                World::sized(seed, DisabledGuard::None, size).with_planned_faults(&plan);
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
