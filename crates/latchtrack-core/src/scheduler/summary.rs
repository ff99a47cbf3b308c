//! What the cluster looks like: counts for the log and for display.

use std::collections::HashMap;

use super::Scheduler;
use crate::constants::{MAX_OVERDUE_BYTES, OVERDUE_NAME_BYTES, UNRECONCILED_OVERDUE_MS};
use crate::job::JobId;
use crate::machine::TaskPhase;
use crate::Millis;

/// Counts of the cluster.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerSummary {
    pub up: usize,
    pub booting: usize,
    /// Not up though it should be.
    pub late: usize,
    pub unreconciled: usize,
    /// Suspect jobs, and done ones of which the record does not say so yet.
    pub suspects: usize,
    pub unpersisted: usize,
    pub waiting: u64,
    pub cpus: f64,
    pub cpus_assigned: f64,
    pub cpus_fetching: f64,
    pub cpus_running: f64,
    pub cpus_waiting: f64,
}

impl Scheduler {
    /// Unfinished jobs with their counts of tasks done and running, for display.
    pub fn progress(&self) -> impl Iterator<Item = (JobId, u32, u32)> + '_ {
        let mut running: HashMap<JobId, u32> = HashMap::new();
        for run in self.inventory.runs() {
            if matches!(run.phase, TaskPhase::Running | TaskPhase::Checkpointing) {
                *running.entry(run.task.job).or_default() += 1;
            }
        }
        self.jobs.iter().map(move |(id, job)| {
            let running = running.get(id).copied().unwrap_or(0);
            // A gang has started when all its tasks run.
            let started = !job.spec.gang || running == job.spec.tasks;
            (*id, job.done.ones(), if started { running } else { 0 })
        })
    }

    /// What the cluster looks like, for the log.
    pub fn summary(&self, now: Millis) -> SchedulerSummary {
        let mut s = SchedulerSummary {
            suspects: self.quarantined_jobs().count(),
            unpersisted: self.persistence.completed_jobs.len(),
            late: self.late_boots(now),
            ..SchedulerSummary::default()
        };
        for m in self.inventory.iter() {
            s.unreconciled += usize::from(m.is_unreconciled());
            if !m.is_up() {
                s.booting += 1;
                continue;
            }
            s.up += 1;
            s.cpus += self.inventory.type_named(&m.kind).map_or(0.0, |t| t.cpus);
            for run in m.runs.values() {
                let cpus = run.spec.as_ref().map_or(0.0, |s| s.demand.cpus);
                match run.phase {
                    TaskPhase::Assigned => s.cpus_assigned += cpus,
                    TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Unrecognised => {
                        s.cpus_fetching += cpus;
                    }
                    TaskPhase::Running | TaskPhase::Checkpointing => s.cpus_running += cpus,
                    TaskPhase::Ended(_) => {}
                }
            }
        }
        for j in self.jobs.values() {
            let waiting = j.waiting();
            s.waiting += u64::from(waiting);
            s.cpus_waiting += f64::from(waiting) * j.spec.demand.cpus;
        }
        s
    }

    /// Machines whose reports are overdue: their workers may be able to reach another node.
    pub fn overdue(&self, now: Millis) -> Vec<String> {
        let mut bytes = 0;
        self.inventory
            .iter()
            .filter(|m| !m.to_terminate)
            .filter(|m| match m.last_heartbeat_at {
                Some(last_heartbeat_at) => now >= last_heartbeat_at + self.policy.overdue_ms(),
                // Asked directly at the take-over, it should have answered by now.
                None => {
                    m.is_unreconciled() && now >= self.term_started_at + UNRECONCILED_OVERDUE_MS
                }
            })
            .map(|m| m.name.to_string())
            .take_while(|name| {
                bytes += name.len() + OVERDUE_NAME_BYTES;
                bytes <= MAX_OVERDUE_BYTES
            })
            .collect()
    }
}
