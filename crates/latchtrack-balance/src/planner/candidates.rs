//! Selects the movables that may be moved, and the machines that are over their bound.

use std::collections::BTreeSet;

use super::cluster_loads::ClusterLoads;
use super::input::{Movable, PlanInput};
use crate::constants::ROUNDING_TOLERANCE;

/// The movables that may be moved, indexed by the machines of their tasks.
pub(super) struct Candidates<'a> {
    input: &'a PlanInput,
    loads: &'a ClusterLoads,
    on_machine: Vec<Vec<usize>>,
}

impl<'a> Candidates<'a> {
    /// Selects the candidates from an input, given the loads of its machines.
    pub(super) fn of(input: &'a PlanInput, loads: &'a ClusterLoads) -> Self {
        let mut on_machine = vec![Vec::new(); input.machines.len()];
        for (index, movable) in input.movables.iter().enumerate() {
            if may_move(movable, input, loads) {
                for machine in movable.machines() {
                    on_machine[machine].push(index);
                }
            }
        }
        Candidates { input, loads, on_machine }
    }

    /// Returns the indices of the candidates that have a task on a machine.
    pub(super) fn on_machine(&self, machine: usize) -> &[usize] {
        &self.on_machine[machine]
    }

    /// Returns the dominant share of a machine that a movable's tasks use there.
    pub(super) fn share(&self, movable: usize, machine: usize) -> f64 {
        let movable = &self.input.movables[movable];
        let tasks_here = movable.tasks.iter().filter(|(_, on)| *on == machine).count();
        let task_share = movable.demand.dominant_share(&self.input.machines[machine].capacity);
        task_share * tasks_here as f64
    }

    /// Returns the bound on the load of a machine with respect to a movable on it.
    pub(super) fn bound(&self, movable: usize, machine: usize) -> f64 {
        let pool = self.input.machines[machine].pool;
        self.loads.bound(pool, self.share(movable, machine))
    }
}

/// Whether a movable may be moved: its numbers are valid, its remaining run time justifies the
/// cost, and all its tasks are in one pool, on machines that may be sources.
fn may_move(movable: &Movable, input: &PlanInput, loads: &ClusterLoads) -> bool {
    let times = [movable.save_s, movable.cost_s, movable.remaining_s];
    let is_valid = movable.demand.is_valid() && times.iter().all(|s| *s >= 0.0 && s.is_finite());
    let is_worth_it = movable.remaining_s >= input.min_remaining_to_cost * movable.cost_s;
    let mut task_machines = movable.tasks.iter().map(|(_, machine)| *machine);
    let Some(first) = task_machines.clone().next().and_then(|machine| input.machines.get(machine))
    else {
        return false;
    };
    let may_leave = |index: usize| {
        let Some(machine) = input.machines.get(index) else { return false };
        machine.pool == first.pool && machine.may_be_source && loads.load(index).is_some()
    };
    is_valid && is_worth_it && task_machines.all(may_leave)
}

/// Returns the indices of the machines that are over their bound. The bound is that with respect to
/// the smallest candidate on the machine; a machine without candidates has none.
pub fn over_bound(input: &PlanInput, loads: &ClusterLoads) -> BTreeSet<usize> {
    let candidates = Candidates::of(input, loads);
    let is_over_bound = |machine: &usize| {
        let shares = candidates.on_machine(*machine).iter().map(|i| candidates.share(*i, *machine));
        let smallest = shares.fold(f64::INFINITY, f64::min);
        let bound = loads.bound(input.machines[*machine].pool, smallest);
        smallest.is_finite()
            && loads.load(*machine).is_some_and(|load| load > bound + ROUNDING_TOLERANCE)
    };
    (0..input.machines.len()).filter(is_over_bound).collect()
}
