//! Attributes task failures to the machine or to the job.
//!
//! A broken job fails on every machine until its user cancels it; a faulty machine fails every task
//! that it starts. Machines are blamed for failures of jobs that succeed elsewhere. A job that has
//! only failed, on several machines, is quarantined: its tasks are tried one at a time, on machines
//! where others have recently succeeded, with increasing backoffs, and nothing is provisioned or
//! reserved for it. Its first success, or a task that runs for longer than the failed ones did,
//! restores it; its earlier failures then count against the machines.

use super::log_events::LogEvent;
use super::messages::Effect;
use super::Scheduler;
use crate::constants::{
    FAILED_MACHINE_AVOIDANCE_MS, FAILURE_BACKOFF_MS, HEALTHY_RUN_MARGIN_MS, HEALTHY_RUN_SCAN_LIMIT,
    JOB_QUARANTINE_MACHINES, MACHINE_PROBATION_MS, MACHINE_QUARANTINE_JOBS, MAX_FAILURE_BACKOFF_MS,
    PROVEN_MACHINE_WAIT_MS,
};
use crate::job::{Job, JobId, TaskId};
use crate::machine::TaskPhase;
use crate::Millis;

/// Maximum number of backoff doublings, which keeps the shift from overflowing. The backoff reaches
/// [`MAX_FAILURE_BACKOFF_MS`] after fewer.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

impl Scheduler {
    /// Handles a task that failed on this machine after running for `ran_ms`, as far as observed.
    pub(super) fn on_run_failed(&mut self, now: Millis, machine: &str, id: JobId, ran_ms: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.failed_on.insert(machine.to_string(), now);
        job.longest_failed_run_ms = job.longest_failed_run_ms.max(ran_ms);
        let is_quarantined = job.is_quarantined;
        let has_only_failed =
            job.done.count_ones() == 0 && job.failed_on.len() >= JOB_QUARANTINE_MACHINES;
        if is_quarantined || (has_only_failed && !self.has_healthy_run(now, id)) {
            if !is_quarantined {
                self.quarantine_job(id);
            }
            let Some(job) = self.jobs.get_mut(&id) else { return };
            // Tasks launched together fail together; they count as one failed trial.
            if now >= job.backoff_until {
                job.backoff_until = now
                    + (FAILURE_BACKOFF_MS << job.failed_trials.min(MAX_BACKOFF_DOUBLINGS))
                        .min(MAX_FAILURE_BACKOFF_MS);
                job.failed_trials += 1;
            }
        } else {
            self.record_failed_job(now, machine, id);
        }
    }

    /// Whether a task of the job is done, or has run for clearly longer than the failed ones did.
    /// Checks only the first few placed tasks, which were launched first.
    fn has_healthy_run(&self, now: Millis, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let min_run_ms =
            job.longest_failed_run_ms.saturating_mul(2).saturating_add(HEALTHY_RUN_MARGIN_MS);
        let runs =
            job.placed.iter().take(HEALTHY_RUN_SCAN_LIMIT).filter_map(|(index, assignment)| {
                let task = TaskId { job: id, index: *index };
                self.inventory.get(&assignment.machine)?.runs.get(&(task, assignment.attempt))
            });
        job.done.count_ones() > 0
            || runs
                .filter(|run| run.phase == TaskPhase::Running && run.stop.is_none())
                .any(|run| run.running_since.is_some_and(|at| now >= at.saturating_add(min_run_ms)))
    }

    /// Quarantines a job and no longer counts its failures against the machines. Ends the probation
    /// of those on which no other job failed.
    fn quarantine_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.is_quarantined = true;
        job.unschedulable_since = None;
        let failed_machines = job.failed_on.len();
        self.effects.push(Effect::Log(LogEvent::JobQuarantined { job: id, failed_machines }));
        for name in job.failed_on.keys() {
            let Some(machine) = self.inventory.get_mut(name) else { continue };
            machine.failed_jobs.remove(&id);
            if machine.failed_jobs.is_empty() {
                machine.probation_until = 0;
            }
        }
        self.cycle_timer.request();
    }

    /// Resets the job's backoff after a healthy run. If the job was quarantined, lifts that and
    /// counts its failures against the machines.
    pub(super) fn restore_job(&mut self, now: Millis, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.backoff_until = 0;
        job.failed_trials = 0;
        if !std::mem::take(&mut job.is_quarantined) {
            return;
        }
        self.effects.push(Effect::Log(LogEvent::JobRestored { job: id }));
        let names: Vec<String> = job.failed_on.keys().cloned().collect();
        for name in names {
            self.record_failed_job(now, &name, id);
        }
        self.cycle_timer.request();
    }

    /// Counts a job's failure against the machine, which is terminated if too many different jobs
    /// fail on it.
    fn record_failed_job(&mut self, now: Millis, name: &str, id: JobId) {
        let Some(machine) = self.inventory.get_mut(name) else { return };
        machine.failed_jobs.insert(id);
        machine.proven = false;
        machine.probation_until = now + MACHINE_PROBATION_MS;
        if machine.failed_jobs.len() >= MACHINE_QUARANTINE_JOBS && !machine.to_terminate {
            machine.to_terminate = true;
            let machine = name.to_string();
            self.effects.push(Effect::Log(LogEvent::JobsFailedOnMachine { machine }));
        }
    }

    /// Restores the quarantined jobs that have a healthy run.
    pub(super) fn restore_healthy_jobs(&mut self, now: Millis) {
        let healthy: Vec<JobId> =
            self.quarantined_jobs().filter(|id| self.has_healthy_run(now, *id)).collect();
        for id in healthy {
            self.restore_job(now, id);
        }
    }

    /// Whether a job avoids this machine because it recently failed there. This expires, since the
    /// job may fit on no other machines and their fault may have passed. A quarantined job avoids
    /// unproven machines too, and accepts any machine [`PROVEN_MACHINE_WAIT_MS`] after its backoff.
    pub(super) fn avoids_machine(&self, now: Millis, job: &Job, machine: &str) -> bool {
        let failed = job
            .failed_on
            .get(machine)
            .is_some_and(|at| now < at.saturating_add(FAILED_MACHINE_AVOIDANCE_MS));
        if !job.is_quarantined {
            return failed;
        }
        let proven = || self.inventory.get(machine).is_some_and(|m| m.proven);
        now < job.backoff_until.saturating_add(PROVEN_MACHINE_WAIT_MS) && (failed || !proven())
    }
}
