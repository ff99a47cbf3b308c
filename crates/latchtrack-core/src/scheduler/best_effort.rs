//! Best-effort jobs: lowest priority, without deadline or objective.

use std::collections::HashMap;

use super::Scheduler;
use crate::constants::{BEST_EFFORT_SHARE, STARVATION_MS};
use crate::job::{Job, JobId, JobSpec, Priority, Resources};
use crate::Millis;

impl Scheduler {
    /// Whether a job uses only capacity that would otherwise be idle: it has the lowest priority
    /// and no deadline, and its class has no objective.
    pub(super) fn is_best_effort(&self, spec: &JobSpec) -> bool {
        spec.priority == Priority::Low
            && spec.deadline_s.is_none()
            && !self.policy.classes_with_objectives.contains(&spec.class)
    }

    /// Returns the best-effort jobs that go before deferred ones, with the number of tasks that
    /// each may place: those submitted at least [`STARVATION_MS`] ago, oldest first, within
    /// [`BEST_EFFORT_SHARE`] of the CPUs. A lasting overload would otherwise starve them.
    pub(super) fn best_effort_due(&self, now: Millis, total: &Resources) -> HashMap<JobId, u32> {
        let mut remaining_cpus = total.cpus * BEST_EFFORT_SHARE;
        let mut due: Vec<&Job> = Vec::new();
        for job in self.jobs.values().filter(|job| self.is_best_effort(&job.spec)) {
            remaining_cpus -= job.spec.demand.cpus * job.placed.len() as f64;
            let is_due = now >= job.submitted_at.saturating_add(STARVATION_MS);
            if job.waiting() > 0 && !job.is_quarantined && is_due {
                due.push(job);
            }
        }
        due.sort_by_key(|job| (job.submitted_at, job.spec.id));
        let mut tasks_by_job = HashMap::new();
        for job in due {
            let cpus = job.spec.demand.cpus;
            let fitting =
                if cpus > 0.0 { (remaining_cpus / cpus).max(0.0) as u32 } else { u32::MAX };
            if fitting == 0 {
                break;
            }
            let tasks = fitting.min(job.waiting());
            remaining_cpus -= cpus * f64::from(tasks);
            tasks_by_job.insert(job.spec.id, tasks);
        }
        tasks_by_job
    }
}
