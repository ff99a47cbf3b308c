//! The cost of placing a job on a machine, which weighs locality against balance: the time to fetch
//! the image if the machine lacks it, and the load of the machine.

use std::collections::BTreeMap;

use latchtrack_balance::locality::{fetch_s, PlacementOption};
use latchtrack_balance::spread::Spread;

use super::super::Scheduler;
use crate::job::JobSpec;
use crate::machine::{Machine, MachineType, TaskPhase};
use crate::placement::{FreeCapacity, LoadInfo};

impl Scheduler {
    /// Returns the load of a machine for balanced placement; `None` if that is disabled.
    pub(in crate::scheduler) fn load_info(
        &self,
        machine: &Machine,
        machine_type: &MachineType,
    ) -> Option<LoadInfo> {
        if !self.policy.balance.placement {
            return None;
        }
        Some(LoadInfo {
            capacity: machine_type.resources(),
            mean_load: self.load_balancing.mean_load(machine),
            fetching_gb: fetching_gb(machine),
        })
    }

    /// Returns the cost of a machine, from 0 to 1, which is compared before its size and score: 1
    /// if it lacks the image and 0 otherwise, or [`PlacementOption::cost`] with balanced placement.
    pub(in crate::scheduler) fn placement_cost(
        &self,
        spec: &JobSpec,
        free_capacity: &FreeCapacity,
    ) -> f64 {
        let lacks_image = !free_capacity.images.contains(&spec.image);
        let Some(balance) = &free_capacity.balance else {
            return f64::from(u8::from(lacks_image));
        };
        let fetch_s = if lacks_image {
            let machine_type = self.inventory.type_named(&free_capacity.machine_type);
            let gb_per_s = machine_type.map_or(0.0, |machine_type| machine_type.fetch_gb_per_s);
            fetch_s(spec.image_gb, balance.fetching_gb, gb_per_s)
        } else {
            0.0
        };
        let capacity = balance.capacity;
        let demand = spec.demand;
        let used = capacity.minus(&free_capacity.free).plus(&demand);
        let spread = Spread { mean: balance.mean_load, ..Spread::default() };
        PlacementOption {
            fetch_s,
            run_s: spec.estimate_s,
            load_after: used.dominant_share(&capacity),
            bound: spread.bound(demand.dominant_share(&capacity)),
        }
        .cost()
    }
}

/// Returns the GB of images that a machine has yet to fetch, counting each image once.
fn fetching_gb(machine: &Machine) -> f64 {
    let fetches = |phase| matches!(phase, TaskPhase::Assigned | TaskPhase::Fetching);
    let mut images: BTreeMap<&str, f64> = BTreeMap::new();
    for run in machine.runs.values().filter(|run| fetches(run.phase)) {
        let Some(spec) = &run.spec else { continue };
        if !machine.images.contains(&spec.image) {
            images.insert(&spec.image, spec.image_gb);
        }
    }
    images.values().sum()
}
