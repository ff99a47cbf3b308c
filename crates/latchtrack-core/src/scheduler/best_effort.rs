//! Best-effort jobs: of the lowest priority, without deadline or objective.

use std::collections::HashMap;

use super::Scheduler;
use crate::constants::{BEST_EFFORT_SHARE, STARVATION_MS};
use crate::job::{Demand, Job, JobId, JobSpec, Priority};
use crate::Millis;

impl Scheduler {
    /// Spare jobs that have waited long enough to go before those that can't be in time, with how
    /// many tasks: the oldest first, within their share of the cluster. Behind an overload that lasts
    /// they would else not be served at all.
    pub(super) fn best_effort_due(&self, now: Millis, total: &Demand) -> HashMap<JobId, u32> {
        let mut left = total.cpus * BEST_EFFORT_SHARE;
        let mut due: Vec<&Job> = Vec::new();
        for job in self.jobs.values().filter(|j| self.is_best_effort(&j.spec)) {
            left -= job.spec.demand.cpus * job.placed.len() as f64;
            if job.waiting() > 0
                && !job.is_quarantined
                && now >= job.submitted_at.saturating_add(STARVATION_MS)
            {
                due.push(job);
            }
        }
        due.sort_by_key(|j| (j.submitted_at, j.spec.id));
        let mut out = HashMap::new();
        for job in due {
            let cpus = job.spec.demand.cpus;
            let n = if cpus > 0.0 { (left / cpus).max(0.0) as u32 } else { u32::MAX };
            if n == 0 {
                break;
            }
            let n = n.min(job.waiting());
            left -= cpus * f64::from(n);
            out.insert(job.spec.id, n);
        }
        out
    }
    /// Whether a job is to take only what would stand idle: of the lowest priority, and nothing says by
    /// when anybody wants it.
    pub(super) fn is_best_effort(&self, spec: &JobSpec) -> bool {
        spec.priority == Priority::Low
            && spec.deadline_s.is_none()
            && !self.policy.classes_with_objectives.contains(&spec.class)
    }
}
