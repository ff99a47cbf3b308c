//! What a plan is made from.

use std::sync::Arc;

use crate::moves::MoveUnit;
use crate::resources::Resources;
use crate::Millis;

/// A machine, as far as its load is concerned.
#[derive(Clone, Debug)]
pub struct MachineLoad {
    /// Its name.
    pub name: Arc<str>,
    /// Machines of one pool are alike in all that a job may ask for: see [`crate::spread`].
    pub pool: u32,
    /// What it has.
    pub capacity: Resources,
    /// What its tasks use and what is reserved on it, without what is about to leave.
    pub used: Resources,
    /// Whether tasks may move to it.
    pub may_be_target: bool,
    /// Whether tasks may move from it.
    pub may_be_source: bool,
    /// Whether it is to be relieved if it is over the bound.
    pub may_be_relieved: bool,
}

impl MachineLoad {
    /// Its load, in parts of a machine; None if its amounts are invalid.
    pub fn load(&self) -> Option<f64> {
        let valid = self.used.is_valid() && self.capacity.is_valid();
        valid.then(|| self.used.dominant_share(&self.capacity)).filter(|load| load.is_finite())
    }
}

/// A running task, or the running tasks of a gang.
#[derive(Clone, Debug)]
pub struct Movable {
    /// What would move.
    pub unit: MoveUnit,
    /// Each task with the index of its machine in the input.
    pub tasks: Vec<(u32, usize)>,
    /// What one task takes.
    pub demand: Resources,
    /// s that a task takes to save its checkpoint.
    pub save_s: f64,
    /// s that the move takes in all.
    pub cost_s: f64,
    /// s that it has still to run, by its owner's estimate.
    pub remaining_s: f64,
    /// ms for which all of it has been seen to run.
    pub ran_ms: Millis,
}

impl Movable {
    /// The machines of its tasks by index in the input, in rising order, each once.
    pub fn machines(&self) -> Vec<usize> {
        let mut machines: Vec<usize> = self.tasks.iter().map(|(_, machine)| *machine).collect();
        machines.sort_unstable();
        machines.dedup();
        machines
    }
}

/// What a plan is made from.
#[derive(Clone, Debug, Default)]
pub struct PlanInput {
    /// All machines.
    pub machines: Vec<MachineLoad>,
    /// What may move.
    pub movables: Vec<Movable>,
    /// Moves that may begin.
    pub budget: usize,
    /// The remaining run time that is worth a move, in multiples of its cost.
    pub min_remaining_to_cost: f64,
    /// Whether a machine takes part in one move of the plan at most.
    pub once_per_machine: bool,
}
