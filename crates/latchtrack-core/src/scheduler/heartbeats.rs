//! Heartbeats: the first registers a machine, and each reconciles its task runs.

use std::collections::HashSet;
use std::sync::Arc;

use super::decision_log::{CommandRoute, Decision, ReleaseReason};
use super::log_events::{AdoptionSource, LogEvent, ResignReason};
use super::messages::Effect;
use super::task_runs::adopt_run;
use super::Scheduler;
use crate::constants::NEW_MACHINE_PROBE_DELAY_MS;
use crate::job::{JobSpec, TaskId};
use crate::machine::{Command, Heartbeat, Machine, MessageNumber, TaskPhase, TaskRun, TaskStatus};
use crate::Millis;

/// The outcome of reconciling a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReconcileOutcome {
    /// The scheduler's view of the machine now matches the heartbeat.
    Reconciled,
    /// The heartbeat is stale, from an unknown machine, or carries an older token.
    Ignored,
}

impl Scheduler {
    /// Handles a heartbeat and responds to it.
    pub(super) fn on_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        if self.fencing.is_newer(heartbeat.token) {
            self.effects.push(Effect::Resign(ResignReason::HigherToken));
            return;
        }
        if !self.inventory.was_terminated(&heartbeat.machine) {
            self.register(now, heartbeat);
            if self.reconcile(now, heartbeat) == ReconcileOutcome::Reconciled {
                if self.cycle_due(now) {
                    self.run_cycle(now);
                }
                self.backfill(now, &heartbeat.machine);
                let commands = self.heartbeat_response(now, &heartbeat.machine);
                self.respond(&heartbeat.machine, commands);
                self.dispatch(now, Some(&heartbeat.machine));
                return;
            }
        }
        // The heartbeat is stale, or its machine has not seen this term's token yet. The response
        // carries the token, upon which the machine sends another heartbeat immediately. The
        // response to a late duplicate is not read by anyone.
        let commands = self.unreconciled_response(heartbeat);
        self.respond(&heartbeat.machine, commands);
    }

    /// Responds to the heartbeat being handled.
    fn respond(&mut self, machine: &str, commands: Vec<Command>) {
        let known = self.inventory.get(machine);
        let token = known.map_or(self.fencing.term(), |machine| self.fencing.of(machine));
        self.record_commands(machine, CommandRoute::HeartbeatResponse, token, &commands);
        self.effects.push(Effect::Respond { token, commands });
    }

    /// Registers an unknown machine, from a provision request that was executed late or whose
    /// answer was lost. It is not in the stored set, so no leader has launched anything on it. Its
    /// heartbeat must carry this term's token: an older one may be a late duplicate from a machine
    /// that no longer exists.
    fn register(&mut self, now: Millis, heartbeat: &Heartbeat) {
        if self.fencing.is_older(heartbeat.token) || self.inventory.contains(&heartbeat.machine) {
            return;
        }
        let Heartbeat { machine, machine_type, zone, spot, .. } = heartbeat;
        self.inventory.insert(Machine::new(machine, machine_type, zone, *spot, now));
        self.effects.push(Effect::Log(LogEvent::MachineAdopted {
            machine: machine.clone(),
            source: AdoptionSource::Heartbeat,
        }));
    }

    /// Updates the scheduler's view of a machine and its task runs from a heartbeat.
    pub(super) fn reconcile(&mut self, now: Millis, heartbeat: &Heartbeat) -> ReconcileOutcome {
        let Some(machine) = self.inventory.get_mut(&heartbeat.machine) else {
            self.record_older_token(now, heartbeat);
            return ReconcileOutcome::Ignored;
        };
        let number = MessageNumber::of(heartbeat);
        if number <= machine.latest_message {
            return ReconcileOutcome::Ignored;
        }
        let is_new_epoch = number.agent_epoch > machine.latest_message.agent_epoch;
        machine.latest_message = number;
        if self.fencing.is_older(heartbeat.token) {
            record_address(machine, now, heartbeat);
            self.record_older_token(now, heartbeat);
            return ReconcileOutcome::Ignored;
        }
        self.record_heartbeat(now, heartbeat);
        if is_new_epoch {
            self.release_lost_runs(now, &heartbeat.machine);
        }
        self.release_unlisted_runs(now, heartbeat);
        for status in &heartbeat.tasks {
            self.reconcile_task(now, heartbeat, status);
        }
        self.update_idle_since(now, &heartbeat.machine);
        ReconcileOutcome::Reconciled
    }

    /// Records a heartbeat that carries this term's token. The first one marks the machine as up
    /// and requests that it be stored, which must precede any launch on it.
    fn record_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        let Some(machine) = self.inventory.get_mut(&heartbeat.machine) else { return };
        let was_up = machine.is_up();
        machine.last_heartbeat_at = Some(now);
        machine.fencing_token = machine.fencing_token.max(heartbeat.token);
        machine.unanswered_calls = 0;
        machine.addr = Some(heartbeat.addr.clone());
        machine.preempt_at = heartbeat
            .notice_s
            .map(|notice_s| now.saturating_add((notice_s.max(0.0) * 1000.0) as Millis));
        self.failure_detector.heartbeat_observed(now, &machine.zone);
        if was_up {
            return;
        }
        self.cycle_timer.request();
        self.boot_tracker.record_boot(now, machine);
        if !machine.persisted {
            self.persistence.put_machine(machine);
        }
    }

    /// Releases all runs of a machine with a new agent epoch: its worker lease expired, and the
    /// worker has killed and forgotten its tasks. Late commands for the old epoch are void.
    fn release_lost_runs(&mut self, now: Millis, name: &str) {
        let Some(machine) = self.inventory.get_mut(name) else { return };
        let runs = std::mem::take(&mut machine.runs);
        if runs.is_empty() {
            return;
        }
        self.effects.push(Effect::Log(LogEvent::AgentEpochAdvanced {
            machine: name.to_string(),
            task_runs: runs.len(),
        }));
        for run in runs.values() {
            self.release_run(now, name, run, ReleaseReason::AgentEpochAdvanced);
        }
        self.cycle_timer.request();
    }

    /// Releases the runs that a machine listed before and no longer lists.
    fn release_unlisted_runs(&mut self, now: Millis, heartbeat: &Heartbeat) {
        let Some(machine) = self.inventory.get(&heartbeat.machine) else { return };
        let listed: HashSet<(TaskId, u64)> =
            heartbeat.tasks.iter().map(|status| (status.task, status.attempt)).collect();
        let unlisted: Vec<(TaskId, u64)> = machine
            .runs
            .iter()
            .filter(|(key, run)| run.phase != TaskPhase::Assigned && !listed.contains(key))
            .map(|(key, _)| *key)
            .collect();
        for key in unlisted {
            let Some(machine) = self.inventory.get_mut(&heartbeat.machine) else { return };
            if let Some(run) = machine.runs.remove(&key).filter(TaskRun::is_live) {
                self.release_run(now, &heartbeat.machine, &run, ReleaseReason::Unlisted);
            }
        }
    }

    /// Updates one task run from its status in a heartbeat, adopting the run if it is unknown.
    fn reconcile_task(&mut self, now: Millis, heartbeat: &Heartbeat, status: &TaskStatus) {
        self.adopt_if_unknown(heartbeat, status);
        let name = heartbeat.machine.as_str();
        let Some(machine) = self.inventory.get_mut(name) else { return };
        let Some(run) = machine.runs.get_mut(&(status.task, status.attempt)) else { return };
        if !run.is_live() || run.phase == status.phase {
            return;
        }
        run.phase = status.phase;
        match status.phase {
            TaskPhase::Running => {
                run.running_since.get_or_insert(now);
                let spec = run.spec.clone();
                self.record_image_use(name, spec);
            }
            TaskPhase::Unrecognised => {
                self.effects.push(Effect::Log(LogEvent::UnrecognisedPhase {
                    machine: name.to_string(),
                    task: status.task,
                }));
            }
            TaskPhase::Ended(cause) => {
                let run = run.clone();
                self.on_run_ended(now, name, &run, cause);
            }
            TaskPhase::Assigned
            | TaskPhase::Fetching
            | TaskPhase::Waiting
            | TaskPhase::Checkpointing => {}
        }
    }

    /// Adds a run that a machine lists and the scheduler does not know. Its launch was sent by an
    /// earlier leader, or by this one before it forgot the attempt.
    fn adopt_if_unknown(&mut self, heartbeat: &Heartbeat, status: &TaskStatus) {
        let TaskStatus { task, attempt, .. } = *status;
        let Some(machine) = self.inventory.get_mut(&heartbeat.machine) else { return };
        if machine.runs.contains_key(&(task, attempt)) {
            return;
        }
        let job = self.jobs.get_mut(&task.job).filter(|job| task.index < job.spec.tasks);
        let is_of_this_term = self.attempt_numbers.is_of_this_term(attempt);
        let launch_token = is_of_this_term.then_some(machine.fencing_token);
        let run = adopt_run(&heartbeat.machine, status, launch_token, job);
        let holds_task = run.stop.is_none();
        machine.runs.insert((task, attempt), run);
        let machine = heartbeat.machine.clone();
        if is_of_this_term {
            self.decision_counts.forgotten_attempts_reported += 1;
            self.effects.push(Effect::Log(LogEvent::ForgottenAttemptReported {
                machine: machine.clone(),
                task,
                attempt,
                heartbeat_token: heartbeat.token,
            }));
        }
        self.log_decision(|| Decision::RunAdopted { machine, task, attempt, holds_task });
    }

    /// Records that a machine holds the image of a task that runs on it.
    fn record_image_use(&mut self, name: &str, spec: Option<Arc<JobSpec>>) {
        let (Some(spec), Some(machine)) = (spec, self.inventory.get(name)) else { return };
        if machine.images.is_last_used(&spec.image) {
            return;
        }
        let machine_type = self.inventory.type_named(&machine.machine_type);
        let cache_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
        let Some(machine) = self.inventory.get_mut(name) else { return };
        Arc::make_mut(&mut machine.images).record_use(&spec.image, spec.image_gb, cache_gb);
    }

    fn update_idle_since(&mut self, now: Millis, machine: &str) {
        let Some(machine) = self.inventory.get_mut(machine) else { return };
        if machine.runs.values().any(TaskRun::is_live) {
            machine.idle_since = None;
        } else {
            machine.idle_since.get_or_insert(now);
        }
    }
}

/// Records the address from a heartbeat with an older token if none is known. Nothing that it says
/// about the machine is used, since it may be a late duplicate.
fn record_address(machine: &mut Machine, now: Millis, heartbeat: &Heartbeat) {
    if machine.addr.is_none() {
        machine.addr = Some(heartbeat.addr.clone());
        machine.heartbeat_expected_since = Some(now);
        machine.next_call_at = now + NEW_MACHINE_PROBE_DELAY_MS;
    }
}
