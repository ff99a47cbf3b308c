//! Worker leases: a worker that nobody answers for the duration of its lease kills all of its tasks
//! and advances to the next agent epoch. The leader counts the leases on its own clock, from a time
//! at which each began at the latest.

use super::decision_log::ReleaseReason;
use super::log_events::LogEvent;
use super::messages::Effect;
use super::Scheduler;
use crate::machine::Heartbeat;
use crate::Millis;

impl Scheduler {
    /// Records a heartbeat with an older token, whose answer renews the worker's lease before this
    /// leader hears which tasks the worker has. A worker that shows an older token when a lease has
    /// passed since the start of the term was not answered in that time: its lease has expired, and
    /// a renewal concerns none of the tasks of earlier leaders.
    pub(super) fn record_older_token(&mut self, now: Millis, heartbeat: &Heartbeat) {
        if self.has_inherited_lease_expired(now, None) {
            return;
        }
        let term_ms = now.saturating_sub(self.term_started_at);
        let machine = self.inventory.get_mut(&heartbeat.machine);
        if let Some(machine) = machine.filter(|machine| machine.is_unreconciled()) {
            machine.older_token_heartbeat_at = Some(now);
            self.effects.push(Effect::Log(LogEvent::OlderTokenAnswered {
                machine: heartbeat.machine.clone(),
                heartbeat_token: heartbeat.token,
                term_ms,
            }));
        } else if heartbeat.token > 0 {
            // An unreadable value of the machine set may name the machine. A worker that has seen
            // no token has executed no command, so new machines don't count.
            self.unlisted_older_token_at = Some(now);
        }
    }

    /// Releases what depends on worker leases that have expired.
    pub(super) fn expire_worker_leases(&mut self, now: Millis) {
        self.release_expired_runs(now);
        if !self.has_inherited_lease_expired(now, None) {
            return;
        }
        if self.has_inherited_lease_expired(now, self.unlisted_older_token_at)
            && self.persistence.drop_unreadable_machine_sets()
        {
            self.cycle_timer.request();
        }
        self.release_unreconciled(now);
    }

    /// Whether a lease that a worker held before this term has expired, given the last time at
    /// which this leader may have renewed it.
    fn has_inherited_lease_expired(&self, now: Millis, renewed_at: Option<Millis>) -> bool {
        let lease_from = self.inherited_lease_from(renewed_at);
        now >= lease_from.saturating_add(self.policy.worker_lease_expiry_ms())
    }

    /// Returns the time from which a lease that a worker held before this term is counted.
    fn inherited_lease_from(&self, renewed_at: Option<Millis>) -> Millis {
        renewed_at.unwrap_or(self.term_started_at)
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
                self.release_run(now, &name, run, ReleaseReason::WorkerLeaseExpired);
            }
        }
    }

    /// Terminates machines of earlier leaders that have not reported this term's token within a
    /// worker lease, so that no job waits for them. The lease is counted from the last time at which
    /// this leader may have renewed it, or from the start of the term: nobody else can have answered
    /// them since. So they have killed their tasks, and any command in flight belongs to an expired
    /// agent epoch.
    fn release_unreconciled(&mut self, now: Millis) {
        let expired: Vec<(String, Millis)> = self
            .inventory
            .iter()
            .filter(|machine| machine.is_unreconciled())
            .filter(|machine| {
                self.has_inherited_lease_expired(now, machine.older_token_heartbeat_at)
            })
            .map(|machine| {
                let lease_from = self.inherited_lease_from(machine.older_token_heartbeat_at);
                (machine.name.to_string(), lease_from)
            })
            .collect();
        for (name, lease_from) in expired {
            let Some(machine) = self.inventory.get_mut(&name) else { continue };
            machine.inherited = false;
            machine.to_terminate = true;
            self.cycle_timer.request();
            self.effects.push(Effect::Log(LogEvent::UnreconciledMachineExpired {
                machine: name,
                term_ms: now.saturating_sub(self.term_started_at),
                lease_from_ms: lease_from.saturating_sub(self.term_started_at),
            }));
        }
    }
}
