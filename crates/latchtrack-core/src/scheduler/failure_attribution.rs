//! Whose fault a failure is: the machine's, or the job's.
//!
//! A job submitted with a mistake fails on every machine until its user cancels it; a faulty machine
//! fails every task that it starts. Machines are judged by jobs that do well elsewhere. A job that has
//! shown nothing but failures, on several machines, is a suspect: one task of it at a time is tried,
//! where others have lately succeeded, with growing pauses, and nothing is rented or held for it. Its
//! first success, or a task that runs for longer than the failed ones did, restores it whole, and then
//! its failures speak against the machines after all.

use super::messages::Effect;
use super::Scheduler;
use crate::constants::*;
use crate::job::{Job, JobId, TaskId};
use crate::machine::TaskPhase;
use crate::Millis;

impl Scheduler {
    /// A task failed on this machine after it had been seen to run for so long.
    pub(super) fn on_run_failed(&mut self, now: Millis, machine: &str, id: JobId, ran: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.failed_on.insert(machine.to_string(), now);
        job.failed_after = job.failed_after.max(ran);
        let is_quarantined = job.is_quarantined;
        let looks_broken = job.done.ones() == 0 && job.failed_on.len() >= JOB_QUARANTINE_MACHINES;
        if is_quarantined || (looks_broken && !self.has_healthy_run(now, id)) {
            if !is_quarantined {
                self.quarantine_job(id);
            }
            let Some(job) = self.jobs.get_mut(&id) else { return };
            // What was launched together fails together, which says no more than one failure does.
            if now >= job.backoff_until {
                job.backoff_until = now
                    + (FAILURE_BACKOFF_MS << job.failed_trials.min(16)).min(MAX_FAILURE_BACKOFF_MS);
                job.failed_trials += 1;
            }
        } else {
            self.blame_machine(now, machine, id);
        }
    }

    /// Whether a task of the job has run for longer than the failed ones did: looked for in the first
    /// few, which were launched first.
    fn has_healthy_run(&self, now: Millis, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let least = job.failed_after.saturating_mul(2).saturating_add(HEALTHY_RUN_MARGIN_MS);
        let runs = job.placed.iter().take(HEALTHY_RUN_SCAN_LIMIT).filter_map(|(index, place)| {
            let task = TaskId { job: id, index: *index };
            self.inventory.get(&place.machine)?.runs.get(&(task, place.attempt))
        });
        job.done.ones() > 0
            || runs
                .filter(|run| run.phase == TaskPhase::Running && run.stop.is_none())
                .any(|run| run.running_since.is_some_and(|at| now >= at.saturating_add(least)))
    }

    fn quarantine_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.is_quarantined = true;
        job.unschedulable_since = None;
        let n = job.failed_on.len();
        self.out.push(Effect::Log(format!(
            "job {id} fails everywhere ({n} machines): one task at a time from now on"
        )));
        // It was no fault of theirs.
        for name in job.failed_on.keys() {
            let Some(m) = self.inventory.get_mut(name) else { continue };
            m.failed_jobs.remove(&id);
            if m.failed_jobs.is_empty() {
                m.quarantined_until = 0;
            }
        }
        self.cycle_timer.request();
    }

    /// It can be done: what failed was its machines' fault.
    pub(super) fn restore_job(&mut self, now: Millis, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.backoff_until = 0;
        job.failed_trials = 0;
        if !std::mem::take(&mut job.is_quarantined) {
            return;
        }
        self.out.push(Effect::Log(format!("job {id} does not fail everywhere")));
        let names: Vec<String> = job.failed_on.keys().cloned().collect();
        for name in names {
            self.blame_machine(now, &name, id);
        }
        self.cycle_timer.request();
    }

    /// Holds a job's failure against the machine. One that fails different jobs goes back.
    fn blame_machine(&mut self, now: Millis, machine: &str, id: JobId) {
        let Some(m) = self.inventory.get_mut(machine) else { return };
        m.failed_jobs.insert(id);
        m.proven = false;
        m.quarantined_until = now + MACHINE_PROBATION_MS;
        if m.failed_jobs.len() >= MACHINE_QUARANTINE_JOBS && !m.to_terminate {
            m.to_terminate = true;
            self.out.push(Effect::Log(format!("machine {machine} fails every job")));
        }
    }

    /// Suspect jobs of which a task does well.
    pub(super) fn restore_healthy_jobs(&mut self, now: Millis) {
        let well: Vec<JobId> =
            self.quarantined_jobs().filter(|id| self.has_healthy_run(now, *id)).collect();
        for id in well {
            self.restore_job(now, id);
        }
    }

    /// Whether a job keeps off this machine: it failed there a while ago. Not for ever, as machines that
    /// were faulty for a time may be all that it fits. A suspect is tried only where others have
    /// succeeded, unless it has waited long for such a place.
    pub(super) fn avoids_machine(&self, now: Millis, job: &Job, machine: &str) -> bool {
        let failed = job
            .failed_on
            .get(machine)
            .is_some_and(|at| now < at.saturating_add(FAILED_MACHINE_AVOIDANCE_MS));
        if !job.is_quarantined {
            return failed;
        }
        let proven = || self.inventory.get(machine).is_some_and(|m| m.proven);
        now < job.backoff_until.saturating_add(TRIAL_ANYWHERE_MS) && (failed || !proven())
    }
}
