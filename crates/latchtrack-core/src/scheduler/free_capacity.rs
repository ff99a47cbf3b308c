//! The free capacity of machines, from which scheduling cycles and backfill start.

use super::provisioning::pending_capacity;
use super::Scheduler;
use crate::job::Resources;
use crate::machine::Machine;
use crate::placement::FreeCapacity;
use crate::Millis;

impl Scheduler {
    /// Returns the free capacity of a machine, minus what moves have reserved on it. `None` if no
    /// task may be placed there, or its type or usage is unknown.
    pub(super) fn free_capacity_of(&self, now: Millis, machine: &Machine) -> Option<FreeCapacity> {
        if !self.takes_tasks(now, machine) {
            return None;
        }
        let machine_type = self.inventory.type_named(&machine.machine_type)?;
        let used = machine.allocated()?;
        let reserved = self.load_balancing.reserved_on(&machine.name);
        Some(FreeCapacity {
            machine: Some(machine.name.clone()),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            total_cpus: machine_type.cpus,
            images: machine.images.clone(),
            images_incomplete: machine.inherited,
            free: Resources {
                cpus: machine_type.cpus - used.cpus - reserved.cpus,
                gpus: machine_type.gpus - used.gpus - reserved.gpus,
                memory_gb: machine_type.memory_gb - used.memory_gb - reserved.memory_gb,
            },
            ready: machine.is_up() && machine.persisted,
            reservation: None,
            balance: self.load_info(machine, machine_type),
        })
    }

    /// Whether tasks may be placed on a machine, now or once it is up.
    fn takes_tasks(&self, now: Millis, machine: &Machine) -> bool {
        let is_excluded = machine.to_terminate
            || machine.is_unreconciled()
            || machine.is_slow()
            || machine.preempt_at.is_some()
            || now < machine.probation_until;
        if is_excluded || machine.is_up() {
            return !is_excluded;
        }
        // A booting machine that is late, or whose zone is unreachable, won't be usable soon.
        !self.failure_detector.is_unreachable(&machine.zone) && !self.is_boot_late(now, machine)
    }

    /// Returns the free capacities of all machines, up or pending, and the total resources of those
    /// that are up. A machine that is silent for so long that it is probed gets no tasks but counts
    /// in the total.
    pub(super) fn free_capacities(&self, now: Millis) -> (Vec<FreeCapacity>, Resources) {
        let mut capacities = Vec::with_capacity(self.inventory.len());
        let mut total = Resources::default();
        for machine in self.inventory.iter() {
            let Some(capacity) = self.free_capacity_of(now, machine) else { continue };
            if machine.is_up() {
                if let Some(machine_type) = self.inventory.type_named(&machine.machine_type) {
                    total.add_multiple(&machine_type.resources(), 1);
                }
                if machine.heartbeat_older_than(now, self.policy.probe_after_ms()) {
                    continue;
                }
            }
            capacities.push(capacity);
        }
        for request in self.provisioning.open_requests() {
            if let Some(machine_type) = self.inventory.type_named(&request.offer.machine_type) {
                let capacity = pending_capacity(&request.offer, machine_type);
                capacities.extend((0..request.number).map(|_| capacity.clone()));
            }
        }
        (capacities, total)
    }
}
