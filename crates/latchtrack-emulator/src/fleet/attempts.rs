//! The life cycle of attempts on the machines: launch, phases, stop and lease expiry.

use serde_json::Value;

use super::heartbeats::CHANGE_REPORT_DELAY_MS;
use super::machine::Attempt;
use super::{FleetState, JobProfile, MACHINE_CPUS};
use crate::history::TaskEvent;
use crate::lifecycle::{AttemptKey, ExitCause, TaskPhase};

/// Tolerance for rounding errors in sums of CPUs.
const CPU_TOLERANCE: f64 = 1e-6;

impl FleetState {
    /// Advances every machine that is up and not paused to the current time. An agent whose worker
    /// lease has expired drops its attempts and starts a new epoch.
    pub(super) fn advance(&mut self) {
        let now = self.now_ms();
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            if !machine.is_up(now) || now < machine.paused_until_ms {
                continue;
            }
            if machine.agent_epoch == 0 {
                (machine.agent_epoch, machine.lease_renewed_ms) = (1, now);
            }
            if now > machine.lease_renewed_ms + self.settings.lease_ms {
                machine.agent_epoch += 1;
                machine.lease_renewed_ms = now;
                self.drop_attempts(&name);
            }
            self.advance_attempts(&name, now);
        }
    }

    fn advance_attempts(&mut self, name: &str, now: u64) {
        let due = |attempt: &Attempt| attempt.is_live() && attempt.phase_ends_ms <= now;
        let attempts = self.machines[name].attempts.iter();
        let keys: Vec<AttemptKey> =
            attempts.filter(|(_, attempt)| due(attempt)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.end_phase(name, &key, now);
        }
    }

    /// Moves a live attempt whose phase is over to its next phase.
    fn end_phase(&mut self, name: &str, key: &AttemptKey, now: u64) {
        let profile = self.profile_of(&key.task);
        let saved_ms = self.saved_ms.get(&key.task).copied().unwrap_or(0);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.heartbeat_within(now, CHANGE_REPORT_DELAY_MS);
        let Some(attempt) = machine.attempts.get_mut(key) else { return };
        let event = match attempt.phase {
            TaskPhase::Fetching => {
                attempt.phase = TaskPhase::Running;
                attempt.running_since_ms = now;
                attempt.phase_ends_ms = now + profile.run_ms.saturating_sub(saved_ms);
                machine.images.insert(profile.image);
                TaskEvent::Started
            }
            TaskPhase::Running => {
                attempt.phase = TaskPhase::Ended(ExitCause::Done);
                TaskEvent::Completed
            }
            TaskPhase::Checkpointing | TaskPhase::Ended(_) => {
                attempt.phase = TaskPhase::Ended(ExitCause::Stopped);
                let ran_ms = now.saturating_sub(attempt.running_since_ms);
                let progress_ms = ran_ms.saturating_sub(profile.checkpoint_ms.unwrap_or(0));
                *self.saved_ms.entry(key.task.clone()).or_default() += progress_ms;
                TaskEvent::Ended
            }
        };
        self.record(name, key, event);
    }

    /// Removes all attempts from a machine, and records the end of those that were executing.
    pub(super) fn drop_attempts(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        for (key, attempt) in std::mem::take(&mut machine.attempts) {
            if attempt.is_executing() {
                self.record(name, &key, TaskEvent::Ended);
            }
        }
    }

    /// Executes the protocol's commands from the leader with this fencing token.
    pub(super) fn execute(&mut self, name: &str, token: u64, commands: &Value) {
        let now = self.now_ms();
        self.accept_token(name, token);
        for command in commands.as_array().into_iter().flatten() {
            let task = command["piece"].as_str().unwrap_or_default().to_string();
            let key = AttemptKey { task, attempt: command["try"].as_u64().unwrap_or(0) };
            match command["verb"].as_str().unwrap_or_default() {
                "launch" => self.launch(name, key),
                "stop" => self.stop(name, &key, command["wind_down_s"].as_f64().unwrap_or(0.0)),
                _ => self.with_machine(name, |machine| {
                    machine.attempts.retain(|other, attempt| *other != key || attempt.is_live());
                }),
            }
            self.with_machine(name, |machine| {
                machine.heartbeat_within(now, CHANGE_REPORT_DELAY_MS)
            });
        }
    }

    fn launch(&mut self, name: &str, key: AttemptKey) {
        let now = self.now_ms();
        let JobProfile { cpus, image, .. } = self.profile_of(&key.task);
        let is_full = self.cpus_in_use(name) + cpus > MACHINE_CPUS + CPU_TOLERANCE;
        let fetch_ms = self.settings.fetch_ms;
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.attempts.contains_key(&key) {
            return;
        }
        let mut others = machine.attempts.iter();
        let phase = if others.any(|(other, attempt)| other.task == key.task && attempt.is_live()) {
            TaskPhase::Ended(ExitCause::DuplicateTask)
        } else if is_full || now < machine.rejects_launches_until_ms {
            TaskPhase::Ended(ExitCause::InsufficientResources)
        } else {
            TaskPhase::Fetching
        };
        let fetch_ms = if machine.images.contains(&image) { 0 } else { fetch_ms };
        let phase_ends_ms = now + fetch_ms;
        machine.attempts.insert(key, Attempt { phase, phase_ends_ms, running_since_ms: now });
    }

    /// Stops an attempt. It checkpoints first if it is running, its job checkpoints, and the grace
    /// period is long enough.
    fn stop(&mut self, name: &str, key: &AttemptKey, grace_s: f64) {
        let now = self.now_ms();
        let checkpoint_ms = self.profile_of(&key.task).checkpoint_ms;
        let checkpoint_ms = checkpoint_ms.filter(|ms| grace_s * 1000.0 >= *ms as f64);
        let machine = self.machines.get_mut(name);
        let Some(attempt) = machine.and_then(|machine| machine.attempts.get_mut(key)) else {
            return;
        };
        match (attempt.phase, checkpoint_ms) {
            (TaskPhase::Ended(_), _) => {}
            (TaskPhase::Checkpointing, _) if grace_s > 0.0 => {}
            (TaskPhase::Running, Some(ms)) => {
                (attempt.phase, attempt.phase_ends_ms) = (TaskPhase::Checkpointing, now + ms);
            }
            _ => {
                let was_executing = attempt.is_executing();
                attempt.phase = TaskPhase::Ended(ExitCause::Stopped);
                if was_executing {
                    self.record(name, key, TaskEvent::Ended);
                }
            }
        }
    }
}
