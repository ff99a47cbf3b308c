//! The machines' resource use and loads after the moves planned so far, and the possible targets.

use std::collections::{BTreeMap, BTreeSet};

use super::cluster_loads::ClusterLoads;
use super::input::{MachineLoad, PlanInput};
use crate::resources::Resources;

/// The load of a machine, ordered by load and then by the index of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LoadKey {
    /// Load as a share of the machine.
    pub load: f64,
    /// Index of the machine in the planner's input.
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

/// The resource use and the load of each machine after the moves planned so far.
pub(super) struct PlannedLoads<'a> {
    input: &'a PlanInput,
    used: Vec<Resources>,
    /// Load of each machine; infinite if its resource amounts are invalid.
    loads: Vec<f64>,
    /// Possible targets in each pool, least loaded first.
    targets: BTreeMap<u32, BTreeSet<LoadKey>>,
}

impl<'a> PlannedLoads<'a> {
    /// Returns the state before the first move.
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

    /// Returns the load of a machine, as a share of it.
    pub(super) fn load(&self, machine: usize) -> f64 {
        self.loads[machine]
    }

    /// Returns the current load of a machine together with its index.
    pub(super) fn key(&self, machine: usize) -> LoadKey {
        LoadKey { load: self.loads[machine], machine }
    }

    /// Returns the resources in use on a machine.
    pub(super) fn used(&self, machine: usize) -> Resources {
        self.used[machine]
    }

    /// Returns the possible targets of a pool, least loaded first; `None` if it never had any.
    pub(super) fn targets(&self, pool: u32) -> Option<&BTreeSet<LoadKey>> {
        self.targets.get(&pool)
    }

    /// Removes a machine from the possible targets.
    pub(super) fn exclude_target(&mut self, machine: usize) {
        let key = self.key(machine);
        if let Some(targets) = self.targets.get_mut(&self.input.machines[machine].pool) {
            targets.remove(&key);
        }
    }

    /// Moves `demand` from one machine to another and updates the order of the targets.
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
