//! Fixtures that the tests share; each test file uses its part of them.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use latchtrack_balance::moves::{Move, MoveStage, MoveUnit, TaskMove};
use latchtrack_balance::planner::{self, ClusterLoads, MachineLoad, Movable, Plan, PlanInput};
use latchtrack_balance::resources::Resources;
use latchtrack_balance::spread::Spread;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// The same cases in every run, so that CI has the same verdict each time; a thousand of each kind.
pub fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(24),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub fn cpus_and_memory(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, memory_gb: cpus }
}

pub fn name(index: usize) -> Arc<str> {
    format!("n-{index:06}").into()
}

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

/// Running tasks, each with the index of its machine, that are worth a move.
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

/// A move of these tasks from machine 0 to machine 1.
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

/// The plan for an input.
pub fn plan(input: &PlanInput) -> Plan {
    planner::plan(input, &ClusterLoads::of(&input.machines))
}

/// The machines of an input that are over their bound, by index.
pub fn over_bound(input: &PlanInput) -> BTreeSet<usize> {
    planner::over_bound(input, &ClusterLoads::of(&input.machines))
}

/// The spreads of the pools of an input.
pub fn spreads(input: &PlanInput) -> BTreeMap<u32, Spread> {
    ClusterLoads::of(&input.machines).spreads().clone()
}
