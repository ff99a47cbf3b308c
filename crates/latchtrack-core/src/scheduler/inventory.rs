//! The inventory: provisioned machines, the machine types of the cloud, and the names of machines
//! that were terminated in this term.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Index;

use super::messages::StoredMachine;
use crate::constants::MAX_TERMINATED_NAMES;
use crate::machine::{Machine, MachineType, TaskRun};
use crate::Millis;

/// Every machine that the scheduler knows, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct MachineInventory {
    machines: BTreeMap<String, Machine>,
    types: Vec<MachineType>,
    /// Names of machines of which the termination was answered.
    terminated: BTreeSet<String>,
    /// The same names, the oldest first.
    terminated_order: VecDeque<String>,
}

impl MachineInventory {
    /// An inventory without machines.
    pub fn new(types: Vec<MachineType>) -> Self {
        MachineInventory { types, ..MachineInventory::default() }
    }

    /// The machine of this name.
    pub fn get(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Machine> {
        self.machines.get_mut(name)
    }

    /// Whether there is a machine of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// The machines by name, which is the order of their creation.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Machine> {
        self.machines.values()
    }

    /// The same, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.machines.values_mut()
    }

    /// The task runs on all machines.
    pub fn runs(&self) -> impl Iterator<Item = &TaskRun> {
        self.machines.values().flat_map(|machine| machine.runs.values())
    }

    /// How many machines there are.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Adds a machine, in place of one of the same name.
    pub fn insert(&mut self, machine: Machine) {
        self.machines.insert(machine.name.to_string(), machine);
    }

    /// Takes a machine out.
    pub fn remove(&mut self, name: &str) -> Option<Machine> {
        self.machines.remove(name)
    }

    /// All machines by name.
    pub fn by_name(&self) -> &BTreeMap<String, Machine> {
        &self.machines
    }

    /// The machine types that the cloud offers.
    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    /// Replaces the machine types.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.types = types;
    }

    /// The machine type of this name, if the cloud has it.
    pub fn type_named(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|machine_type| machine_type.name == name)
    }

    /// Whether a machine of this name was terminated in this term, so that late messages of it
    /// mean nothing.
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

    /// The machine of this name. Panics if there is none.
    fn index(&self, name: &str) -> &Machine {
        &self.machines[name]
    }
}

/// A machine of the stored set, as a new leader finds it.
pub(super) fn inherited_machine(stored: StoredMachine, now: Millis) -> Machine {
    Machine {
        addr: Some(stored.addr),
        persisted: true,
        inherited: true,
        heartbeat_expected_since: Some(now),
        ..Machine::new(&stored.name, &stored.machine_type, &stored.zone, stored.spot, now)
    }
}
