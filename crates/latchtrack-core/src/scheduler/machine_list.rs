//! Requests the cloud's list of machines and reconciles it with the inventory.

use std::collections::HashSet;

use super::log_events::{AdoptionSource, LogEvent};
use super::messages::{Effect, ListedMachine};
use super::Scheduler;
use crate::constants::{LIST_INTERVAL_MS, LIST_INTERVAL_WHILE_SILENT_MS};
use crate::machine::Machine;
use crate::Millis;

impl Scheduler {
    /// Requests the cloud's list of machines when it is due. The interval is shorter while machines
    /// are silent, because one missing from the list is presumed lost before its timeout.
    pub(super) fn request_machine_list(&mut self, now: Millis) {
        let probe_after_ms = self.policy.probe_after_ms();
        let any_silent = self
            .inventory
            .iter()
            .any(|machine| !machine.to_terminate && machine.is_presumed_lost(now, probe_after_ms));
        let interval_ms = if any_silent { LIST_INTERVAL_WHILE_SILENT_MS } else { LIST_INTERVAL_MS };
        if self.provisioning.start_list_if_due(now, interval_ms) {
            self.effects.push(Effect::ListMachines);
        }
    }

    /// Handles the cloud's list: terminates machines that have failed or that are silent and not
    /// listed, and adopts unknown ones.
    pub(super) fn on_machines_listed(&mut self, now: Millis, listed: Vec<ListedMachine>) {
        self.detect_unlisted(now, &listed);
        for machine in listed {
            if !self.inventory.was_terminated(&machine.name) {
                self.reconcile_listed(now, machine);
            }
        }
    }

    fn reconcile_listed(&mut self, now: Millis, listed: ListedMachine) {
        let Some(machine) = self.inventory.get_mut(&listed.name) else {
            self.adopt_listed(now, listed);
            return;
        };
        machine.listed_as_running |= listed.running;
        if listed.failed && !machine.to_terminate {
            machine.to_terminate = true;
            self.effects.push(Effect::Log(LogEvent::MachineFailed { machine: listed.name }));
        }
    }

    /// Adds an unknown machine from the list. It may still be booting, so it is not called before
    /// its first heartbeat.
    fn adopt_listed(&mut self, now: Millis, listed: ListedMachine) {
        let mut machine =
            Machine::new(&listed.name, &listed.machine_type, &listed.zone, listed.spot, now);
        machine.provisioned_at = now.saturating_sub(listed.age_ms);
        machine.to_terminate = listed.failed;
        machine.listed_as_running = listed.running;
        self.inventory.insert(machine);
        self.cycle_timer.request();
        self.effects.push(Effect::Log(LogEvent::MachineAdopted {
            machine: listed.name,
            source: AdoptionSource::CloudList,
        }));
    }

    /// Terminates silent machines missing from the list, which the cloud has most likely preempted.
    /// The list alone does not prove that a machine is gone; the confirmed termination does, and
    /// terminating a machine that is already gone is harmless.
    fn detect_unlisted(&mut self, now: Millis, listed: &[ListedMachine]) {
        let names: HashSet<&str> = listed.iter().map(|machine| machine.name.as_str()).collect();
        let probe_after_ms = self.policy.probe_after_ms();
        let list_complete_ms = self.policy.list_complete_ms();
        for machine in self.inventory.iter_mut().filter(|machine| !machine.to_terminate) {
            // An inherited machine was up before this term, so it is almost certainly older than
            // the delay of the list.
            let must_be_listed = machine.is_unreconciled()
                || now >= machine.provisioned_at.saturating_add(list_complete_ms);
            // A machine that is not up yet sends nothing that would show that it exists.
            let is_silent = machine.is_presumed_lost(now, probe_after_ms)
                || (!machine.is_up() && !machine.is_unreconciled());
            if must_be_listed && is_silent && !names.contains(&*machine.name) {
                machine.to_terminate = true;
                let machine = machine.name.to_string();
                self.effects.push(Effect::Log(LogEvent::MachineUnlisted { machine }));
            }
        }
    }
}
