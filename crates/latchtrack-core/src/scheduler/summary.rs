//! Cluster counts and job progress, for the log and for display.

use std::collections::HashMap;

use super::Scheduler;
use crate::constants::{MAX_OVERDUE_BYTES, OVERDUE_NAME_OVERHEAD_BYTES, UNRECONCILED_OVERDUE_MS};
use crate::job::JobId;
use crate::machine::{Machine, TaskPhase};
use crate::Millis;

/// Counts of machines, jobs and tasks, and sums of CPUs.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerSummary {
    /// Machines that have sent a heartbeat in this term.
    pub up: usize,
    /// Machines that have not sent a heartbeat in this term, including unreconciled ones.
    pub booting: usize,
    /// Machines whose boots are late; part of `booting`.
    pub late: usize,
    /// Machines of earlier leaders that have not sent a heartbeat in this term; part of `booting`.
    pub unreconciled: usize,
    /// Quarantined jobs, whose tasks are tried one at a time.
    pub quarantined: usize,
    /// Completed jobs whose records are not yet marked as done.
    pub unpersisted: usize,
    /// Tasks waiting to be placed.
    pub waiting: u64,
    /// Total CPUs of the machines that are up.
    pub cpus: f64,
    /// CPUs of tasks that are assigned but not yet reported by their machine.
    pub cpus_assigned: f64,
    /// CPUs of tasks that are fetching their image, waiting for their gang, or in an unknown phase.
    pub cpus_fetching: f64,
    /// CPUs of tasks that are running or checkpointing.
    pub cpus_running: f64,
    /// CPUs of tasks waiting to be placed.
    pub cpus_waiting: f64,
}

impl SchedulerSummary {
    fn add_machine(&mut self, machine: &Machine, cpus: f64) {
        self.unreconciled += usize::from(machine.is_unreconciled());
        if !machine.is_up() {
            self.booting += 1;
            return;
        }
        self.up += 1;
        self.cpus += cpus;
        for run in machine.runs.values() {
            let cpus = run.spec.as_ref().map_or(0.0, |spec| spec.demand.cpus);
            match run.phase {
                TaskPhase::Assigned => self.cpus_assigned += cpus,
                TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Unrecognised => {
                    self.cpus_fetching += cpus;
                }
                TaskPhase::Running | TaskPhase::Checkpointing => self.cpus_running += cpus,
                TaskPhase::Ended(_) => {}
            }
        }
    }
}

/// The progress of an unfinished job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobProgress {
    /// Id of the job.
    pub job: JobId,
    /// Number of its completed tasks.
    pub done: u32,
    /// Number of its running tasks; 0 for a gang until all its tasks are running.
    pub running: u32,
}

impl Scheduler {
    /// Returns the progress of all unfinished jobs, for display.
    pub fn progress(&self) -> impl Iterator<Item = JobProgress> + '_ {
        let mut running_tasks: HashMap<JobId, u32> = HashMap::new();
        for run in self.inventory.runs() {
            if matches!(run.phase, TaskPhase::Running | TaskPhase::Checkpointing) {
                *running_tasks.entry(run.task.job).or_default() += 1;
            }
        }
        self.jobs.iter().map(move |(id, job)| {
            let running = running_tasks.get(id).copied().unwrap_or(0);
            let has_started = !job.spec.gang || running == job.spec.tasks;
            let running = if has_started { running } else { 0 };
            JobProgress { job: *id, done: job.done.count_ones(), running }
        })
    }

    /// Returns a summary of the cluster for the log.
    pub fn summary(&self, now: Millis) -> SchedulerSummary {
        let mut summary = SchedulerSummary {
            quarantined: self.quarantined_jobs().count(),
            unpersisted: self.persistence.unpersisted_jobs(),
            late: self.count_late_boots(now),
            ..SchedulerSummary::default()
        };
        for machine in self.inventory.iter() {
            let cpus = self.inventory.type_named(&machine.machine_type).map_or(0.0, |t| t.cpus);
            summary.add_machine(machine, cpus);
        }
        for job in self.jobs.values() {
            let waiting = job.waiting();
            summary.waiting += u64::from(waiting);
            summary.cpus_waiting += f64::from(waiting) * job.spec.demand.cpus;
        }
        summary
    }

    /// Returns the names of machines with overdue heartbeats, whose workers may be able to reach
    /// another node. The total size is limited to [`MAX_OVERDUE_BYTES`].
    pub fn overdue_machines(&self, now: Millis) -> Vec<String> {
        let mut bytes = 0;
        self.inventory
            .iter()
            .filter(|machine| !machine.to_terminate && self.is_overdue(now, machine))
            .map(|machine| machine.name.to_string())
            .take_while(|name| {
                bytes += name.len() + OVERDUE_NAME_OVERHEAD_BYTES;
                bytes <= MAX_OVERDUE_BYTES
            })
            .collect()
    }

    fn is_overdue(&self, now: Millis, machine: &Machine) -> bool {
        match machine.last_heartbeat_at {
            Some(last_heartbeat_at) => now >= last_heartbeat_at + self.policy.overdue_after_ms(),
            // The machine was probed at the start of the term and should have answered by now.
            None => {
                machine.is_unreconciled() && now >= self.term_started_at + UNRECONCILED_OVERDUE_MS
            }
        }
    }
}
