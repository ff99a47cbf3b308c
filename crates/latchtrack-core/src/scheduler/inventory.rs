//! The inventory: provisioned machines, the cloud's machine types, and the names of machines
//! terminated in this term.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Index;

use super::messages::StoredMachine;
use crate::constants::MAX_TERMINATED_NAMES;
use crate::machine::{Machine, MachineType, TaskRun};
use crate::Millis;

/// All machines known to the scheduler, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct MachineInventory {
    machines: BTreeMap<String, Machine>,
    types: Vec<MachineType>,
    /// Names of machines whose termination the cloud has confirmed.
    terminated: BTreeSet<String>,
    /// The names in `terminated` in order of termination, oldest first.
    terminated_order: VecDeque<String>,
}

impl MachineInventory {
    /// Creates an inventory without machines.
    pub fn new(types: Vec<MachineType>) -> Self {
        MachineInventory { types, ..MachineInventory::default() }
    }

    /// Returns the machine with this name.
    pub fn get(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// Returns a mutable reference to the machine with this name.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Machine> {
        self.machines.get_mut(name)
    }

    /// Whether the inventory has a machine with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// Iterates over the machines by name, which is their order of creation.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Machine> {
        self.machines.values()
    }

    /// Iterates mutably over the machines, by name.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.machines.values_mut()
    }

    /// Iterates over the task runs of all machines, including ended ones not yet forgotten.
    pub fn runs(&self) -> impl Iterator<Item = &TaskRun> {
        self.machines.values().flat_map(|machine| machine.runs.values())
    }

    /// Returns the number of machines, including those to be terminated.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Adds a machine, replacing any with the same name.
    pub fn insert(&mut self, machine: Machine) {
        self.machines.insert(machine.name.to_string(), machine);
    }

    /// Removes and returns a machine; its name is not remembered as terminated.
    pub fn remove(&mut self, name: &str) -> Option<Machine> {
        self.machines.remove(name)
    }

    /// Returns the map of all machines by name.
    pub fn by_name(&self) -> &BTreeMap<String, Machine> {
        &self.machines
    }

    /// Returns the machine types that the cloud offers.
    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    /// Replaces the machine types; existing machines may have a type that is no longer listed.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.types = types;
    }

    /// Returns the machine type with this name, if the cloud offers it.
    pub fn type_named(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|machine_type| machine_type.name == name)
    }

    /// Whether a machine with this name was terminated in this term, so that late messages from it
    /// are to be ignored.
    pub fn was_terminated(&self, name: &str) -> bool {
        self.terminated.contains(name)
    }

    /// Records the name of a terminated machine. Beyond [`MAX_TERMINATED_NAMES`], the oldest name
    /// is dropped.
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

    /// Returns the machine with this name.
    ///
    /// # Panics
    ///
    /// Panics if there is no such machine.
    fn index(&self, name: &str) -> &Machine {
        &self.machines[name]
    }
}

/// Creates the unreconciled machine that a new leader inherits from the stored set.
pub(super) fn inherited_machine(stored: StoredMachine, now: Millis) -> Machine {
    Machine {
        addr: Some(stored.addr),
        persisted: true,
        inherited: true,
        heartbeat_expected_since: Some(now),
        ..Machine::new(&stored.name, &stored.machine_type, &stored.zone, stored.spot, now)
    }
}
