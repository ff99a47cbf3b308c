//! Terminates machines that are idle, about to be preempted, slow or failed.

use std::collections::{BTreeMap, BTreeSet};

use super::decision_log::ReleaseReason;
use super::messages::{Effect, TerminateOutcome};
use super::policy::Policy;
use super::Scheduler;
use crate::constants::STOP_GRACE_S;
use crate::job::{Job, JobId};
use crate::machine::{ExitCause, Machine, StopReason, StopRequest, TaskPhase, TaskRun};
use crate::placement::Offer;
use crate::Millis;

impl Scheduler {
    /// Handles the outcome of a request to terminate machines. The runs on terminated machines are
    /// released; a failed request is retried.
    pub(super) fn on_terminate_finished(
        &mut self,
        now: Millis,
        names: Vec<String>,
        outcome: TerminateOutcome,
    ) {
        for name in names {
            match outcome {
                TerminateOutcome::Terminated => self.remove_terminated(now, name),
                TerminateOutcome::Failed => {
                    if let Some(machine) = self.inventory.get_mut(&name) {
                        machine.termination_sent = false;
                    }
                }
            }
        }
        self.cycle_timer.request();
        if self.cycle_due(now) {
            self.run_cycle(now);
            self.dispatch(now, None);
        }
    }

    fn remove_terminated(&mut self, now: Millis, name: String) {
        if let Some(machine) = self.inventory.remove(&name) {
            // The cloud has capacity for this offer again.
            self.provisioning.capacity_returned(&Offer {
                machine_type: machine.machine_type.to_string(),
                zone: machine.zone.to_string(),
                spot: machine.spot,
            });
            for run in machine.runs.values().filter(|run| run.is_live()) {
                self.release_run(now, &name, run, ReleaseReason::MachineTerminated);
            }
            self.persistence.remove_machine(&name);
            self.dispatcher.forget(&name);
        }
        self.inventory.remember_terminated(name);
    }

    /// Stops the tasks that can save a checkpoint on machines about to be preempted. Other tasks
    /// keep running, as they may finish in time.
    pub(super) fn stop_preempted_tasks(&mut self, now: Millis) {
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        for machine in self.inventory.iter_mut().filter(|machine| machine.preempt_at.is_some()) {
            for run in machine.runs.values_mut().filter(|run| run.phase == TaskPhase::Running) {
                let Some(spec) = &run.spec else { continue };
                let can_save = spec.checkpoint_s > 0.0;
                if !can_save || run.stop.is_some() {
                    continue;
                }
                if spec.gang {
                    gangs.insert(spec.id);
                    continue;
                }
                let grace_s = spec.save_s + STOP_GRACE_S;
                run.stop = Some(StopRequest::with_grace(StopReason::Preempted, grace_s));
                self.dispatcher.wake(&machine.name);
            }
        }
        for id in gangs {
            self.stop_gang(now, id, StopReason::Preempted);
        }
    }

    /// Marks idle, slow and soon preempted machines without tasks for termination, and requests the
    /// termination of all marked machines.
    pub(super) fn terminate_idle_machines(&mut self, now: Millis) {
        let probe_after_ms = self.policy.probe_after_ms();
        let mut terminated = Vec::new();
        for machine in self.inventory.iter_mut().filter(|machine| !machine.termination_sent) {
            if is_idle_candidate(machine, now, probe_after_ms) {
                let since = *machine.idle_since.get_or_insert(now);
                let name = &machine.name;
                // Kept for future tasks, for example until the last machine of a gang is up.
                let is_reserved =
                    self.reservations.is_reserved(name) || self.load_balancing.is_reserved(name);
                let timeout_ms = idle_timeout_ms(&self.policy, machine);
                let is_idle = now.saturating_sub(since) >= timeout_ms && !is_reserved;
                machine.to_terminate = machine.preempt_at.is_some() || machine.is_slow() || is_idle;
            }
            let is_responsive = machine.is_up()
                && !machine.heartbeat_older_than(now, self.policy.heartbeat_timeout_ms);
            // A result that is not stored yet would be lost with its machine.
            let must_wait = is_responsive && has_unstored_result(machine, &self.jobs);
            if machine.to_terminate && !must_wait {
                machine.termination_sent = true;
                terminated.push(machine.name.to_string());
            }
        }
        if !terminated.is_empty() {
            self.effects.push(Effect::Terminate(terminated));
        }
    }
}

/// Whether a machine has no tasks and sends heartbeats. A silent machine does not count as idle: it
/// may be running tasks while disconnected, and failure detection handles it.
fn is_idle_candidate(machine: &Machine, now: Millis, probe_after_ms: Millis) -> bool {
    machine.is_up()
        && !machine.to_terminate
        && !machine.heartbeat_older_than(now, probe_after_ms)
        && !machine.runs.values().any(TaskRun::is_live)
}

/// Returns how long a machine may be idle before it is terminated, in ms.
fn idle_timeout_ms(policy: &Policy, machine: &Machine) -> Millis {
    if machine.spot {
        policy.spot_idle_timeout_ms
    } else {
        policy.on_demand_idle_timeout_ms
    }
}

/// Whether the machine holds the result of a completed task that is not stored yet.
fn has_unstored_result(machine: &Machine, jobs: &BTreeMap<JobId, Job>) -> bool {
    machine.runs.values().any(|run| {
        run.phase == TaskPhase::Ended(ExitCause::Done)
            && jobs.get(&run.task.job).is_some_and(|job| !job.persisted.get(run.task.index))
    })
}
