//! The loads of all machines and the spread of each pool, computed once per planner input.

use std::collections::BTreeMap;

use super::input::MachineLoad;
use crate::spread::Spread;

/// The load of each machine and the spread of each pool.
#[derive(Clone, Debug, Default)]
pub struct ClusterLoads {
    /// Load of each machine in the input; `None` if its resource amounts are invalid.
    loads: Vec<Option<f64>>,
    spreads: BTreeMap<u32, Spread>,
}

impl ClusterLoads {
    /// Computes the loads of `machines`. Machines without a valid load are left out of the spreads.
    pub fn of(machines: &[MachineLoad]) -> ClusterLoads {
        let loads: Vec<Option<f64>> = machines.iter().map(MachineLoad::load).collect();
        let mut by_pool: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
        for (machine, load) in machines.iter().zip(&loads) {
            if let Some(load) = load {
                by_pool.entry(machine.pool).or_default().push(*load);
            }
        }
        let spreads = by_pool.into_iter().map(|(pool, loads)| (pool, Spread::of(loads))).collect();
        ClusterLoads { loads, spreads }
    }

    /// Returns the load of a machine, as a share of it; `None` if its resource amounts are invalid.
    /// Panics if the index is out of range.
    pub fn load(&self, machine: usize) -> Option<f64> {
        self.loads[machine]
    }

    /// Returns the spread of each pool that has a machine with a load.
    pub fn spreads(&self) -> &BTreeMap<u32, Spread> {
        &self.spreads
    }

    /// Returns the bound on the load of a machine in this pool that has a movable of this share.
    pub(super) fn bound(&self, pool: u32, task_share: f64) -> f64 {
        self.spreads.get(&pool).copied().unwrap_or_default().bound(task_share)
    }
}
