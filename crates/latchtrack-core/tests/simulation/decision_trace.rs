//! Prints one line for each of some fifty seeded runs: a digest of all that their leaders decided. Two versions
//! of the sources that decide alike print the same.
//!
//!     cargo run --release -p latchtrack-core --example decision_trace

#[allow(dead_code, reason = "the simulation's tests use the rest")]
mod world;

use std::ops::Range;

use world::faults::Planned;
use world::federation::{Federation, Ignored};
use world::guards::Broken;
use world::size::{Size, BUSY, CELL, FLEET, MOVING, SMALL};
use world::trace::DecisionTrace;
use world::World;
use Planned::*;

/// Cells that share a limit.
const CELLS: usize = 3;

/// A set of runs: its name, size, seeds and the troubles at set times.
type Scenario = (&'static str, Size, Range<u64>, Vec<(u64, Planned)>);

fn scenarios() -> Vec<Scenario> {
    let overload = Size { first: 40, submits: 0.02, tasks: 30, limit: 1e6, end: 900_000, ..SMALL };
    let gangs = Size { gangs: 0.8, first: 15, submits: 0.02, limit: 48.0, ..BUSY };
    let guests = Size { troubles: 0.004, limit: 1e6, ..BUSY };
    vec![
        ("chance", SMALL, 0..16, vec![]),
        ("moves", MOVING, 1_000..1_006, vec![]),
        (
            "moves, hang",
            MOVING,
            1_006..1_008,
            vec![(15_000, Hang(0.3, 10_000)), (40_000, CrashAll)],
        ),
        (
            "zone cut",
            BUSY,
            0..3,
            vec![(20_000, CutLeaders(40_000)), (75_000, CutOther(40_000)), (85_000, CrashAll)],
        ),
        (
            "failover",
            BUSY,
            3..6,
            vec![(20_000, StoreDown(12_000)), (30_000, CrashAll), (40_000, Roll(5_000))],
        ),
        (
            "standing still",
            BUSY,
            6..8,
            vec![(20_000, FreezeLeader(30_000)), (60_000, FreezeFollower(30_000))],
        ),
        ("gangs", gangs, 0..4, vec![(30_000, Hang(0.3, 20_000)), (60_000, CrashAll)]),
        (
            "late boots",
            BUSY,
            8..10,
            vec![(2_000, BootTracker(5.0, 0.2, 40_000)), (30_000, NodesDown(5, 30_000))],
        ),
        ("broken jobs", BUSY, 10..12, vec![(10_000, Mistakes(12)), (30_000, Sick(0.3))]),
        ("lowered limits", BUSY, 12..14, vec![(20_000, KeepTo(150, 4)), (30_000, Lower(150, 4))]),
        (
            "deaf and mute",
            BUSY,
            14..16,
            vec![(20_000, Deaf(0.4, 20_000)), (60_000, Mute(0.4, 30_000))],
        ),
        (
            "late writes",
            BUSY,
            16..18,
            vec![(20_000, LateWrites(0.3, 40_000)), (70_000, LostAnswers(0.3, 40_000))],
        ),
        ("guests", guests, 0..2, vec![(20_000, Guests), (60_000, CrashAll)]),
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
            let mut world = World::sized(seed, Broken::Nothing, size).planned(&plan);
            world.trace = Some(DecisionTrace::default());
            world.run();
            print_line(name, seed, world.trace.as_ref().expect("set above"));
        }
    }
    for seed in 0..4 {
        let mut federation = Federation::new(seed, CELLS, CELL, Ignored::Nothing);
        for cell in &mut federation.cells {
            cell.trace = Some(DecisionTrace::default());
        }
        federation.run();
        for (i, cell) in federation.cells.iter().enumerate() {
            print_line(&format!("cell {i}"), seed, cell.trace.as_ref().expect("set above"));
        }
    }
}
