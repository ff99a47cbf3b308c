//! Whose fault a failure is: the machine's, or the job's.
//!
//! A job submitted with a mistake fails on every machine until its user cancels it; a faulty
//! machine fails every task that it starts. Machines are judged by jobs that do well elsewhere. A
//! job that has shown nothing but failures, on several machines, is quarantined: one task of it at
//! a time is tried, on machines where others have lately succeeded, with growing backoffs, and
//! nothing is provisioned or reserved for it. Its first success, or a task that runs for longer than
//! the failed ones did, restores it, and then its failures speak against the machines after all.

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

/// Doublings of the backoff after which it is at its maximum in any case; more would overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

impl Scheduler {
    /// A task failed on this machine after it had been seen to run for `ran_ms`.
    pub(super) fn on_run_failed(&mut self, now: Millis, machine: &str, id: JobId, ran_ms: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.failed_on.insert(machine.to_string(), now);
        job.longest_failed_run_ms = job.longest_failed_run_ms.max(ran_ms);
        let is_quarantined = job.is_quarantined;
        let looks_broken =
            job.done.count_ones() == 0 && job.failed_on.len() >= JOB_QUARANTINE_MACHINES;
        if is_quarantined || (looks_broken && !self.has_healthy_run(now, id)) {
            if !is_quarantined {
                self.quarantine_job(id);
            }
            let Some(job) = self.jobs.get_mut(&id) else { return };
            // What was launched together fails together, which says no more than one failure does.
            if now >= job.backoff_until {
                job.backoff_until = now
                    + (FAILURE_BACKOFF_MS << job.failed_trials.min(MAX_BACKOFF_DOUBLINGS))
                        .min(MAX_FAILURE_BACKOFF_MS);
                job.failed_trials += 1;
            }
        } else {
            self.blame_machine(now, machine, id);
        }
    }

    /// Whether a task of the job is done, or has run for longer than the failed ones did: looked
    /// for among the first few, which were launched first.
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

    /// Tries a job one task at a time from now on, and clears the machines on which it failed.
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

    /// A task of the job did well: what failed was its machines' fault.
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
            self.blame_machine(now, &name, id);
        }
        self.cycle_timer.request();
    }

    /// Holds a job's failure against the machine. One that fails different jobs is terminated.
    fn blame_machine(&mut self, now: Millis, name: &str, id: JobId) {
        let Some(machine) = self.inventory.get_mut(name) else { return };
        machine.failed_jobs.insert(id);
        machine.proven = false;
        machine.probation_until = now + MACHINE_PROBATION_MS;
        if machine.failed_jobs.len() >= MACHINE_QUARANTINE_JOBS && !machine.to_terminate {
            machine.to_terminate = true;
            let machine = name.to_string();
            self.effects.push(Effect::Log(LogEvent::MachineFailsJobs { machine }));
        }
    }

    /// Restores the quarantined jobs of which a task does well.
    pub(super) fn restore_healthy_jobs(&mut self, now: Millis) {
        let healthy: Vec<JobId> =
            self.quarantined_jobs().filter(|id| self.has_healthy_run(now, *id)).collect();
        for id in healthy {
            self.restore_job(now, id);
        }
    }

    /// Whether a job avoids this machine: it failed there lately. Not for ever, as machines that
    /// were faulty for a time may be all that it fits on. A quarantined job is tried only where
    /// others have succeeded, unless it has waited long for such a machine.
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
