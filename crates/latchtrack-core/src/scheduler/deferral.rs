//! Jobs that can't all be in time stand behind those that can.

use super::queue_order::{QueueRank, QueueTier};
use super::Scheduler;
use crate::job::{Demand, Job, JobId, JobSpec};
use crate::placement;
use crate::Millis;

impl Scheduler {
    /// The jobs that are deferred because not all can be in time: see [`placement::deferred`].
    pub(super) fn defer_jobs(&self, now: Millis, order: &mut [(QueueRank, JobId)], total: &Demand) {
        // What runs now takes its room for half its estimate more, on average.
        let running: f64 = self
            .inventory
            .iter()
            .flat_map(|m| m.runs.values())
            .filter(|r| r.is_live())
            .filter_map(|r| r.spec.as_ref().map(|s| cpu_ms(s, 0.5)))
            .sum();
        let deadlines: f64 = order
            .iter()
            .filter(|(rank, _)| rank.tier == QueueTier::Deadline)
            .filter_map(|(_, id)| self.jobs.get(id))
            .map(work_ms)
            .sum();
        let completion_objectives =
            || order.iter().enumerate().filter(|(_, (rank, _))| rank.tier == QueueTier::Objective);
        let queue: Vec<placement::TimedDemand> = completion_objectives()
            .filter_map(|(_, (rank, id))| {
                let job = self.jobs.get(id)?;
                Some(placement::TimedDemand {
                    left_ms: rank.due.saturating_sub(now) as f64,
                    run_ms: job.spec.estimate_s * 1000.0,
                    work: work_ms(job),
                })
            })
            .collect();
        let places: Vec<usize> = completion_objectives().map(|(i, _)| i).collect();
        let is_deferred = placement::deferred(&queue, running + deadlines, total.cpus);
        for ((place, is_deferred), asked) in places.into_iter().zip(is_deferred).zip(queue) {
            if is_deferred {
                let rank = &mut order[place].0;
                rank.tier = QueueTier::Deferred;
                rank.due = asked.work as Millis;
            }
        }
    }
}

/// CPU-ms of so many tasks of a job, as its owner estimates.
fn cpu_ms(spec: &JobSpec, tasks: f64) -> f64 {
    spec.demand.cpus * tasks * spec.estimate_s * 1000.0
}

/// CPU-ms of all its waiting tasks.
pub(super) fn work_ms(job: &Job) -> f64 {
    cpu_ms(&job.spec, f64::from(job.waiting()))
}
