//! The cloud's list of machines, reconciled with the inventory.

use std::collections::HashSet;

use super::inventory::new_machine;
use super::log_events::{AdoptionSource, LogEvent};
use super::messages::{Effect, ListedMachine};
use super::Scheduler;
use crate::constants::{LIST_INTERVAL_MS, LIST_INTERVAL_WHILE_SILENT_MS};
use crate::Millis;

impl Scheduler {
    pub(super) fn on_machines_listed(&mut self, now: Millis, listed: Vec<ListedMachine>) {
        self.detect_unlisted(now, &listed);
        for l in listed {
            if self.inventory.was_terminated(&l.name) {
                continue;
            }
            match self.inventory.get_mut(&l.name) {
                Some(m) => {
                    m.listed_as_running |= l.running;
                    if l.failed && !m.to_terminate {
                        m.to_terminate = true;
                        self.out.push(Effect::Log(LogEvent::MachineFailed { machine: l.name }));
                    }
                }
                None => {
                    let mut m = new_machine(&l.name, &l.kind, &l.zone, l.spot, now);
                    // Not to be asked before it speaks: it may be booting.
                    m.rented_at = now.saturating_sub(l.age_ms);
                    m.to_terminate = l.failed;
                    m.listed_as_running = l.running;
                    self.inventory.insert(m);
                    self.cycle_timer.requested = true;
                    self.out.push(Effect::Log(LogEvent::MachineAdopted {
                        machine: l.name,
                        source: AdoptionSource::CloudList,
                    }));
                }
            }
        }
    }

    /// A silent machine that the list no longer has was most likely taken back. A list proves
    /// nothing; the delete that this leads to does, and costs nothing if the machine is gone.
    fn detect_unlisted(&mut self, now: Millis, listed: &[ListedMachine]) {
        let names: HashSet<&str> = listed.iter().map(|l| l.name.as_str()).collect();
        let (probe_ms, sure_ms) = (self.policy.probe_ms(), self.policy.list_complete_ms());
        for m in self.inventory.iter_mut().filter(|m| !m.to_terminate) {
            // A machine of the stored set was up before this term; one that does not answer a new
            // leader either is not younger than lists are late but for a moment's bad luck.
            let sure = m.is_unreconciled() || now >= m.rented_at.saturating_add(sure_ms);
            // One that is not up yet says nothing of its end either.
            let silent = m.presumed_lost(now, probe_ms) || (!m.is_up() && !m.is_unreconciled());
            if sure && silent && !names.contains(&*m.name) {
                m.to_terminate = true;
                self.out
                    .push(Effect::Log(LogEvent::MachineUnlisted { machine: m.name.to_string() }));
            }
        }
    }

    pub(super) fn request_machine_list(&mut self, now: Millis) {
        let probe_ms = self.policy.probe_ms();
        let silent =
            self.inventory.iter().any(|m| !m.to_terminate && m.presumed_lost(now, probe_ms));
        let every = if silent { LIST_INTERVAL_WHILE_SILENT_MS } else { LIST_INTERVAL_MS };
        if self.provisioning.listed_at.is_none_or(|t| now >= t + every) {
            self.provisioning.listed_at = Some(now);
            self.out.push(Effect::ListMachines);
        }
    }
}
