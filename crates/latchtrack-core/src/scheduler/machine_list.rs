//! The cloud's list of machines, reconciled with the inventory.

use std::collections::HashSet;

use super::log_events::{AdoptionSource, LogEvent};
use super::messages::{Effect, ListedMachine};
use super::Scheduler;
use crate::constants::{LIST_INTERVAL_MS, LIST_INTERVAL_WHILE_SILENT_MS};
use crate::machine::Machine;
use crate::Millis;

impl Scheduler {
    /// Asks for the cloud's list when it is due: more often while machines are silent, as one that
    /// the list no longer has is known to be gone sooner.
    pub(super) fn request_machine_list(&mut self, now: Millis) {
        let probe_ms = self.policy.probe_ms();
        let any_silent = self
            .inventory
            .iter()
            .any(|machine| !machine.to_terminate && machine.presumed_lost(now, probe_ms));
        let interval_ms = if any_silent { LIST_INTERVAL_WHILE_SILENT_MS } else { LIST_INTERVAL_MS };
        if self.provisioning.start_list_if_due(now, interval_ms) {
            self.effects.push(Effect::ListMachines);
        }
    }

    /// Takes in the cloud's list: gives up machines that it lacks or that have failed, and adopts
    /// those that the scheduler does not know.
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

    /// A machine that is not called before its first heartbeat, as it may still boot.
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

    /// Gives up silent machines that the list no longer has: the cloud most likely preempted them.
    /// A list proves nothing; the delete that this leads to does, and costs nothing if the machine
    /// is gone already.
    fn detect_unlisted(&mut self, now: Millis, listed: &[ListedMachine]) {
        let names: HashSet<&str> = listed.iter().map(|machine| machine.name.as_str()).collect();
        let probe_ms = self.policy.probe_ms();
        let list_complete_ms = self.policy.list_complete_ms();
        for machine in self.inventory.iter_mut().filter(|machine| !machine.to_terminate) {
            // A machine of the stored set was up before this term; it is hardly ever younger than
            // lists are late.
            let must_be_listed = machine.is_unreconciled()
                || now >= machine.provisioned_at.saturating_add(list_complete_ms);
            // One that is not up yet sends nothing that would show it to be there.
            let is_silent = machine.presumed_lost(now, probe_ms)
                || (!machine.is_up() && !machine.is_unreconciled());
            if must_be_listed && is_silent && !names.contains(&*machine.name) {
                machine.to_terminate = true;
                let machine = machine.name.to_string();
                self.effects.push(Effect::Log(LogEvent::MachineUnlisted { machine }));
            }
        }
    }
}
