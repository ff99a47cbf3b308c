//! Which movables may move at all, and which machines are over their bound by them.

use std::collections::BTreeSet;

use super::cluster_loads::ClusterLoads;
use super::input::{Movable, PlanInput};
use crate::constants::ROUNDING;

/// The movables that may move at all, by the machines that their tasks are on.
pub(super) struct Candidates<'a> {
    input: &'a PlanInput,
    loads: &'a ClusterLoads,
    on_machine: Vec<Vec<usize>>,
}

impl<'a> Candidates<'a> {
    /// Of an input and the loads of its machines.
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

    /// Indices of the candidates on a machine.
    pub(super) fn on(&self, machine: usize) -> &[usize] {
        &self.on_machine[machine]
    }

    /// What a movable takes of a machine, in parts of it.
    pub(super) fn share(&self, movable: usize, machine: usize) -> f64 {
        let movable = &self.input.movables[movable];
        let tasks_here = movable.tasks.iter().filter(|(_, on)| *on == machine).count();
        let of_one = movable.demand.dominant_share(&self.input.machines[machine].capacity);
        of_one * tasks_here as f64
    }

    /// The bound of a machine with respect to one movable there.
    pub(super) fn bound(&self, movable: usize, machine: usize) -> f64 {
        let pool = self.input.machines[machine].pool;
        self.loads.bound(pool, self.share(movable, machine))
    }
}

/// Whether a movable may move at all: its numbers are valid, its remaining time is worth the move,
/// and all of it is in one pool, on machines that may give.
fn may_move(movable: &Movable, input: &PlanInput, loads: &ClusterLoads) -> bool {
    let times = [movable.save_s, movable.cost_s, movable.remaining_s];
    let is_valid = movable.demand.is_valid() && times.iter().all(|s| *s >= 0.0 && s.is_finite());
    let is_worth_it = movable.remaining_s >= input.min_remaining_to_cost * movable.cost_s;
    let mut on = movable.tasks.iter().map(|(_, machine)| *machine);
    let Some(first) = on.clone().next().and_then(|machine| input.machines.get(machine)) else {
        return false;
    };
    let may_leave = |index: usize| {
        let Some(machine) = input.machines.get(index) else { return false };
        machine.pool == first.pool && machine.may_be_source && loads.load(index).is_some()
    };
    is_valid && is_worth_it && on.all(may_leave)
}

/// Machines over their bound, by index in the input: those that have a task which may move, and
/// carry more than the bound allows beside the smallest such task.
pub fn over_bound(input: &PlanInput, loads: &ClusterLoads) -> BTreeSet<usize> {
    let candidates = Candidates::of(input, loads);
    let is_over_bound = |machine: &usize| {
        let shares = candidates.on(*machine).iter().map(|i| candidates.share(*i, *machine));
        let smallest = shares.fold(f64::INFINITY, f64::min);
        let bound = loads.bound(input.machines[*machine].pool, smallest);
        smallest.is_finite() && loads.load(*machine).is_some_and(|load| load > bound + ROUNDING)
    };
    (0..input.machines.len()).filter(is_over_bound).collect()
}
