//! The loads of all machines and the spread of each pool, computed once for all that needs them.

use std::collections::BTreeMap;

use super::input::MachineLoad;
use crate::spread::Spread;

/// The loads of all machines and the spread of each pool.
#[derive(Clone, Debug, Default)]
pub struct ClusterLoads {
    /// By index of the machine; None if its amounts are invalid.
    loads: Vec<Option<f64>>,
    spreads: BTreeMap<u32, Spread>,
}

impl ClusterLoads {
    /// Of these machines.
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

    /// The load of a machine, in parts of a machine; None if its amounts are invalid.
    pub fn load(&self, machine: usize) -> Option<f64> {
        self.loads[machine]
    }

    /// The spread of each pool that has a machine with valid amounts.
    pub fn spreads(&self) -> &BTreeMap<u32, Spread> {
        &self.spreads
    }

    /// The most that a machine of a pool may carry of which a task of this share may move.
    pub(super) fn bound(&self, pool: u32, task_share: f64) -> f64 {
        self.spreads.get(&pool).copied().unwrap_or_default().bound(task_share)
    }
}
