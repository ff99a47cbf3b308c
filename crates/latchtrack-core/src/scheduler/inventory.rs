//! The machines that are rented, the types that the cloud rents out, and the names of machines that were
//! terminated in this term.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Index;
use std::sync::Arc;

use super::messages::StoredMachine;
use crate::constants::MAX_TERMINATED_NAMES;
use crate::machine::{Machine, MachineType, TaskRun};
use crate::Millis;

/// Every machine that the scheduler knows, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct MachineInventory {
    machines: BTreeMap<String, Machine>,
    types: Vec<MachineType>,
    /// Names of machines whose deletion was answered: late messages of them mean nothing.
    terminated: BTreeSet<String>,
    /// The same names, the oldest first.
    terminated_order: VecDeque<String>,
}

impl MachineInventory {
    pub fn new(types: Vec<MachineType>) -> Self {
        MachineInventory { types, ..MachineInventory::default() }
    }

    pub fn get(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    pub fn get_mut(&mut self, name: &str) -> Option<&mut Machine> {
        self.machines.get_mut(name)
    }

    pub fn contains(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// The machines by name, which is the order of their creation.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Machine> {
        self.machines.values()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.machines.values_mut()
    }

    /// The runs on all machines.
    pub fn runs(&self) -> impl Iterator<Item = &TaskRun> {
        self.machines.values().flat_map(|machine| machine.runs.values())
    }

    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Adds a machine, in place of one of the same name.
    pub fn insert(&mut self, machine: Machine) {
        self.machines.insert(machine.name.to_string(), machine);
    }

    pub fn remove(&mut self, name: &str) -> Option<Machine> {
        self.machines.remove(name)
    }

    pub fn by_name(&self) -> &BTreeMap<String, Machine> {
        &self.machines
    }

    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.types = types;
    }

    /// The machine type of this name, if the cloud has it.
    pub fn type_named(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|machine_type| machine_type.name == name)
    }

    pub fn was_terminated(&self, name: &str) -> bool {
        self.terminated.contains(name)
    }

    /// Remembers that a machine is gone for good. Old names are dropped once there are too many.
    pub fn remember_terminated(&mut self, name: String) {
        if !self.terminated.insert(name.clone()) {
            return;
        }
        self.terminated_order.push_back(name);
        if self.terminated_order.len() > MAX_TERMINATED_NAMES {
            if let Some(oldest) = self.terminated_order.pop_front() {
                self.terminated.remove(&oldest);
            }
        }
    }
}

impl Index<&str> for MachineInventory {
    type Output = Machine;

    fn index(&self, name: &str) -> &Machine {
        &self.machines[name]
    }
}

/// A machine of the stored set, as a new leader finds it.
pub(super) fn inherited_machine(stored: StoredMachine, now: Millis) -> Machine {
    let mut machine = new_machine(&stored.name, &stored.kind, &stored.zone, stored.spot, now);
    machine.addr = Some(stored.addr);
    machine.persisted = true;
    machine.inherited = true;
    machine.heartbeat_expected_since = Some(now);
    machine
}

pub(super) fn new_machine(name: &str, kind: &str, zone: &str, spot: bool, now: Millis) -> Machine {
    Machine {
        name: name.into(),
        kind: kind.into(),
        zone: zone.into(),
        spot,
        addr: None,
        rented_at: now,
        listed_as_running: false,
        persisted: false,
        inherited: false,
        latest_message: (0, 0),
        last_heartbeat_at: None,
        heartbeat_expected_since: None,
        unanswered_calls: 0,
        preempt_at: None,
        runs: BTreeMap::new(),
        open_call: None,
        next_call_at: 0,
        slow_votes: 0,
        to_terminate: false,
        termination_sent: false,
        idle_since: None,
        failed_jobs: BTreeSet::new(),
        quarantined_until: 0,
        proven: false,
        images: Arc::default(),
    }
}
