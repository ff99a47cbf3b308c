//! The input of the planner.

use std::sync::Arc;

use crate::moves::MoveUnit;
use crate::resources::Resources;
use crate::Millis;

/// A machine with its load and its permitted roles in moves.
#[derive(Clone, Debug)]
pub struct MachineLoad {
    /// Name of the machine.
    pub name: Arc<str>,
    /// Number of the machine's pool; tasks move only within a pool. See [`crate::spread`].
    pub pool: u32,
    /// Total resources of the machine.
    pub capacity: Resources,
    /// Resources that tasks use or moves reserve, without those that moves are about to free.
    pub used: Resources,
    /// Whether tasks may be moved to it.
    pub may_be_target: bool,
    /// Whether tasks may be moved off it.
    pub may_be_source: bool,
    /// Whether a move may be planned because this machine is over its bound.
    pub may_be_relieved: bool,
}

impl MachineLoad {
    /// Returns the load, as a share of the machine; `None` if its resource amounts are invalid.
    pub fn load(&self) -> Option<f64> {
        let valid = self.used.is_valid() && self.capacity.is_valid();
        valid.then(|| self.used.dominant_share(&self.capacity)).filter(|load| load.is_finite())
    }
}

/// A running task of an array job, or all running tasks of a gang, with the cost of moving it.
#[derive(Clone, Debug)]
pub struct Movable {
    /// The task or gang to move.
    pub unit: MoveUnit,
    /// Index of each task in its job, and that of its machine in [`PlanInput::machines`].
    pub tasks: Vec<(u32, usize)>,
    /// Resources that each task uses.
    pub demand: Resources,
    /// s that a task takes to save its checkpoint.
    pub save_s: f64,
    /// s from the stop of a task until it runs on its target: saving, fetching and overhead.
    pub cost_s: f64,
    /// s that a task still has to run, by its owner's estimate. If it is negative, the movable is
    /// not moved.
    pub remaining_s: f64,
    /// ms for which all tasks have been seen to run.
    pub ran_ms: Millis,
}

impl Movable {
    /// Returns the indices of the machines of its tasks, sorted and without duplicates.
    pub fn machines(&self) -> Vec<usize> {
        let mut machines: Vec<usize> = self.tasks.iter().map(|(_, machine)| *machine).collect();
        machines.sort_unstable();
        machines.dedup();
        machines
    }
}

/// The input of the planner: machines, movables and limits.
#[derive(Clone, Debug, Default)]
pub struct PlanInput {
    /// Machines of all pools.
    pub machines: Vec<MachineLoad>,
    /// Tasks and gangs that may be moved.
    pub movables: Vec<Movable>,
    /// Maximum number of moves in the plan.
    pub budget: usize,
    /// Minimum ratio of a movable's remaining run time to the cost of its move.
    pub min_remaining_to_cost: f64,
    /// Whether each machine takes part in at most one move of the plan.
    pub once_per_machine: bool,
}
