//! Worker leases: a worker that nobody answers for the duration of its lease kills all of its tasks
//! and advances to the next agent epoch. The leader counts the leases on its own clock, from a time
//! at which each began at the latest.

use super::log_events::LogEvent;
use super::messages::Effect;
use super::Scheduler;
use crate::Millis;

impl Scheduler {
    /// Releases what depends on worker leases that have expired.
    pub(super) fn expire_worker_leases(&mut self, now: Millis) {
        self.release_expired_runs(now);
        let term_ms = now.saturating_sub(self.term_started_at);
        if term_ms >= self.policy.worker_lease_expiry_ms() {
            self.release_unreconciled(term_ms);
        }
    }

    /// Releases the task runs of machines whose worker lease has expired. A worker whose heartbeats
    /// nobody answered for its lease plus a margin has killed its tasks and advanced to the next
    /// agent epoch, so commands in flight are void. The machine is kept, as it may only be
    /// disconnected.
    fn release_expired_runs(&mut self, now: Millis) {
        let lease_expiry_ms = self.policy.worker_lease_expiry_ms();
        let expired: Vec<String> = self
            .inventory
            .iter()
            .filter(|machine| !machine.runs.is_empty())
            .filter(|machine| machine.heartbeat_older_than(now, lease_expiry_ms))
            .map(|machine| machine.name.to_string())
            .collect();
        for name in expired {
            let Some(machine) = self.inventory.get_mut(&name) else { continue };
            // From now on, messages of the expired epoch are stale.
            machine.latest_message = machine.latest_message.next_epoch();
            machine.idle_since = None;
            let runs = std::mem::take(&mut machine.runs);
            let event =
                LogEvent::WorkerLeaseExpired { machine: name.clone(), task_runs: runs.len() };
            self.effects.push(Effect::Log(event));
            for run in runs.values() {
                self.release_run(now, &name, run);
            }
        }
    }

    /// Terminates machines of earlier leaders that have not reported this term's token within a
    /// worker lease from the start of the term, so that no job waits for them. Nobody else can have
    /// answered them since, so they have killed their tasks, and any command in flight belongs to
    /// an expired agent epoch.
    fn release_unreconciled(&mut self, term_ms: Millis) {
        if self.persistence.drop_unreadable_machine_sets() {
            self.cycle_timer.request();
        }
        for machine in self.inventory.iter_mut().filter(|machine| machine.is_unreconciled()) {
            machine.inherited = false;
            machine.to_terminate = true;
            self.cycle_timer.request();
            let machine = machine.name.to_string();
            let event = LogEvent::UnreconciledMachineExpired { machine, term_ms };
            self.effects.push(Effect::Log(event));
        }
    }
}
