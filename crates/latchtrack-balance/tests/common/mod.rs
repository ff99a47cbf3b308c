//! Fixtures shared by the tests; no test file uses all of them.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use latchtrack_balance::moves::{Move, MoveStage, MoveUnit, TaskMove};
use latchtrack_balance::planner::{self, ClusterLoads, MachineLoad, Movable, Plan, PlanInput};
use latchtrack_balance::resources::Resources;
use latchtrack_balance::spread::Spread;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// Runs 1,000 cases per property with a fixed seed, so that results are the same in every run.
pub fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(24),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns `cpus` CPUs with 1 GB of memory each, without GPUs.
pub fn cpus_and_memory(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, memory_gb: cpus }
}

pub fn name(index: usize) -> Arc<str> {
    format!("n-{index:06}").into()
}

/// Returns a machine that has `cpus` CPUs, uses `used` of them, and may take part in moves.
pub fn machine(index: usize, cpus: f64, used: f64) -> MachineLoad {
    MachineLoad {
        name: name(index),
        pool: 0,
        capacity: cpus_and_memory(cpus),
        used: cpus_and_memory(used),
        may_be_target: true,
        may_be_source: true,
        may_be_relieved: true,
    }
}

/// Returns a movable whose remaining run time justifies a move. `tasks` has the index of each task
/// and that of its machine; each task uses `cpus`.
pub fn movable(unit: MoveUnit, tasks: &[(u32, usize)], cpus: f64) -> Movable {
    Movable {
        unit,
        tasks: tasks.to_vec(),
        demand: cpus_and_memory(cpus),
        save_s: 2.0,
        cost_s: 10.0,
        remaining_s: 600.0,
        ran_ms: 3_600_000,
    }
}

/// Returns a move of these tasks from machine 0 to machine 1, two CPUs each.
pub fn sample_move(unit: MoveUnit, tasks: &[u32]) -> Move {
    let task_move = |task: &u32| TaskMove {
        task: *task,
        source: name(0),
        target: name(1),
        demand: cpus_and_memory(2.0),
        ended: false,
        running: false,
    };
    Move {
        unit,
        task_moves: tasks.iter().map(task_move).collect(),
        stage: MoveStage::Reserved,
        since: 0,
        save_ms: 2_000,
        load: 1.0,
        bound: 0.5,
    }
}

/// Makes a plan for an input.
pub fn plan(input: &PlanInput) -> Plan {
    planner::plan(input, &ClusterLoads::of(&input.machines))
}

/// Returns the indices of the machines of an input that are over their bound.
pub fn over_bound(input: &PlanInput) -> BTreeSet<usize> {
    planner::over_bound(input, &ClusterLoads::of(&input.machines))
}

/// Returns the spread of each pool of an input.
pub fn spreads(input: &PlanInput) -> BTreeMap<u32, Spread> {
    ClusterLoads::of(&input.machines).spreads().clone()
}
