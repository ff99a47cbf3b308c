//! What the machines use and carry by a plan in the making, and which of them may receive.

use std::collections::{BTreeMap, BTreeSet};

use super::cluster_loads::ClusterLoads;
use super::input::{MachineLoad, PlanInput};
use crate::resources::Resources;

/// A load with its machine, in the order of loads; equal loads in the order of machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LoadKey {
    /// In parts of a machine.
    pub load: f64,
    /// Index of the machine.
    pub machine: usize,
}

impl Eq for LoadKey {}

impl PartialOrd for LoadKey {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for LoadKey {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.load.total_cmp(&other.load).then(self.machine.cmp(&other.machine))
    }
}

/// What each machine uses and carries by the plan so far.
pub(super) struct PlannedLoads<'a> {
    input: &'a PlanInput,
    used: Vec<Resources>,
    /// Infinite for machines with invalid amounts.
    loads: Vec<f64>,
    /// Machines of each pool that may receive, the least loaded first.
    targets: BTreeMap<u32, BTreeSet<LoadKey>>,
}

impl<'a> PlannedLoads<'a> {
    /// Before the first move.
    pub(super) fn new(input: &'a PlanInput, cluster_loads: &ClusterLoads) -> Self {
        let mut targets: BTreeMap<u32, BTreeSet<LoadKey>> = BTreeMap::new();
        for (index, machine) in input.machines.iter().enumerate() {
            if let Some(load) = cluster_loads.load(index).filter(|_| machine.may_be_target) {
                let key = LoadKey { load, machine: index };
                targets.entry(machine.pool).or_default().insert(key);
            }
        }
        let indices = 0..input.machines.len();
        PlannedLoads {
            input,
            used: input.machines.iter().map(|machine| machine.used).collect(),
            loads: indices.map(|i| cluster_loads.load(i).unwrap_or(f64::INFINITY)).collect(),
            targets,
        }
    }

    /// The load of a machine, in parts of a machine.
    pub(super) fn load(&self, machine: usize) -> f64 {
        self.loads[machine]
    }

    /// The load of a machine with its index.
    pub(super) fn key(&self, machine: usize) -> LoadKey {
        LoadKey { load: self.loads[machine], machine }
    }

    /// What a machine uses.
    pub(super) fn used(&self, machine: usize) -> Resources {
        self.used[machine]
    }

    /// Machines of a pool that may receive, the least loaded first; None if there never was one.
    pub(super) fn targets(&self, pool: u32) -> Option<&BTreeSet<LoadKey>> {
        self.targets.get(&pool)
    }

    /// Takes a machine out of the targets.
    pub(super) fn exclude_target(&mut self, machine: usize) {
        let key = self.key(machine);
        if let Some(targets) = self.targets.get_mut(&self.input.machines[machine].pool) {
            targets.remove(&key);
        }
    }

    /// Moves `demand` from one machine to another.
    pub(super) fn move_demand(&mut self, from: usize, to: usize, demand: &Resources) {
        self.set_used(from, self.used[from].minus(demand));
        self.set_used(to, self.used[to].plus(demand));
    }

    fn set_used(&mut self, machine: usize, used: Resources) {
        let MachineLoad { pool, capacity, .. } = &self.input.machines[machine];
        let before = self.key(machine);
        self.used[machine] = used;
        self.loads[machine] = used.dominant_share(capacity);
        let after = self.key(machine);
        if let Some(targets) = self.targets.get_mut(pool) {
            if targets.remove(&before) {
                targets.insert(after);
            }
        }
    }
}
