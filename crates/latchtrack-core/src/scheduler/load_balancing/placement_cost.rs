//! Placement between locality and balance: what weighs against a machine that does not hold a job's
//! image, and against one that is crowded.

use std::collections::BTreeMap;

use latchtrack_balance::locality::{fetch_s, PlacementOption};
use latchtrack_balance::spread::Spread;

use super::super::Scheduler;
use crate::job::JobSpec;
use crate::machine::{Machine, MachineType, TaskPhase};
use crate::placement::{FreeCapacity, LoadInfo};

impl Scheduler {
    /// What balanced placement needs to know of a machine; None while it is switched off.
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

    /// What weighs against a machine before its size and score, from 0 to 1: that it lacks the
    /// image, or, with balanced placement, [`PlacementOption::cost`].
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

/// GB of images that a machine is about to fetch, each image counted once.
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
