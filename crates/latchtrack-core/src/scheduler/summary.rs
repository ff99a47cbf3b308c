//! What the cluster looks like: counts for the log and for display.

use std::collections::HashMap;

use super::Scheduler;
use crate::constants::{MAX_OVERDUE_BYTES, OVERDUE_NAME_BYTES, UNRECONCILED_OVERDUE_MS};
use crate::job::JobId;
use crate::machine::{Machine, TaskPhase};
use crate::Millis;

/// Counts of the cluster.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerSummary {
    /// Machines that are up.
    pub up: usize,
    /// Machines that are not up.
    pub booting: usize,
    /// Machines that are not up though they should be.
    pub late: usize,
    /// Unreconciled machines.
    pub unreconciled: usize,
    /// Quarantined jobs.
    pub quarantined: usize,
    /// Done jobs of which the record does not say so yet.
    pub unpersisted: usize,
    /// Tasks that wait to be placed.
    pub waiting: u64,
    /// CPUs of machines that are up.
    pub cpus: f64,
    /// CPUs of tasks that are assigned and not seen on their machine.
    pub cpus_assigned: f64,
    /// CPUs of tasks that fetch their image or wait for their gang.
    pub cpus_fetching: f64,
    /// CPUs of tasks that run.
    pub cpus_running: f64,
    /// CPUs of tasks that wait to be placed.
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

/// How far an unfinished job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobProgress {
    /// The job.
    pub job: JobId,
    /// Its tasks that are done.
    pub done: u32,
    /// Its tasks that run; of a gang none before all do.
    pub running: u32,
}

impl Scheduler {
    /// The progress of the unfinished jobs, for display.
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

    /// What the cluster looks like, for the log.
    pub fn summary(&self, now: Millis) -> SchedulerSummary {
        let mut summary = SchedulerSummary {
            quarantined: self.quarantined_jobs().count(),
            unpersisted: self.persistence.unpersisted_jobs(),
            late: self.late_boots(now),
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

    /// Machines whose heartbeats are overdue: their workers may be able to reach another node.
    pub fn overdue_machines(&self, now: Millis) -> Vec<String> {
        let mut bytes = 0;
        self.inventory
            .iter()
            .filter(|machine| !machine.to_terminate && self.is_overdue(now, machine))
            .map(|machine| machine.name.to_string())
            .take_while(|name| {
                bytes += name.len() + OVERDUE_NAME_BYTES;
                bytes <= MAX_OVERDUE_BYTES
            })
            .collect()
    }

    fn is_overdue(&self, now: Millis, machine: &Machine) -> bool {
        match machine.last_heartbeat_at {
            Some(last_heartbeat_at) => now >= last_heartbeat_at + self.policy.overdue_ms(),
            // Called directly when the term began, it should have answered by now.
            None => {
                machine.is_unreconciled() && now >= self.term_started_at + UNRECONCILED_OVERDUE_MS
            }
        }
    }
}
