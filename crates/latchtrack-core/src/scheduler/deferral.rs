//! Deferral: jobs that can't be completed in time go after jobs that can.

use super::queue_order::{QueueTier, RankedJob};
use super::Scheduler;
use crate::job::{Job, JobSpec, Resources};
use crate::placement::{choose_deferred, TimedDemand};
use crate::Millis;

/// Fraction of its estimated run time that a running task still has ahead of it, on average.
const REMAINING_RUN_SHARE: f64 = 0.5;

impl Scheduler {
    /// Moves jobs to [`QueueTier::Deferred`] if not all jobs with objectives can be completed in
    /// time. [`choose_deferred`] chooses them.
    pub(super) fn defer_jobs(&self, now: Millis, ranked: &mut [RankedJob], total: &Resources) {
        let running: f64 = self
            .inventory
            .runs()
            .filter(|run| run.is_live())
            .filter_map(|run| run.spec.as_ref())
            .map(|spec| cpu_ms(spec, REMAINING_RUN_SHARE))
            .sum();
        let with_deadlines: f64 = ranked
            .iter()
            .filter(|ranked| ranked.rank.tier == QueueTier::Deadline)
            .filter_map(|ranked| self.jobs.get(&ranked.id))
            .map(waiting_cpu_ms)
            .sum();
        let with_objectives: Vec<(usize, TimedDemand)> = ranked
            .iter()
            .enumerate()
            .filter(|(_, ranked)| ranked.rank.tier == QueueTier::Objective)
            .filter_map(|(index, ranked)| {
                let job = self.jobs.get(&ranked.id)?;
                Some((index, timed_demand(now, job, ranked.rank.due)))
            })
            .collect();
        let demands: Vec<TimedDemand> = with_objectives.iter().map(|(_, demand)| *demand).collect();
        let is_deferred = choose_deferred(&demands, running + with_deadlines, total.cpus);
        for ((index, demand), is_deferred) in with_objectives.into_iter().zip(is_deferred) {
            if is_deferred {
                let rank = &mut ranked[index].rank;
                rank.tier = QueueTier::Deferred;
                rank.due = demand.cpu_ms as Millis;
            }
        }
    }
}

fn timed_demand(now: Millis, job: &Job, due_at: Millis) -> TimedDemand {
    TimedDemand {
        remaining_ms: due_at.saturating_sub(now) as f64,
        run_ms: job.spec.estimate_s * 1000.0,
        cpu_ms: waiting_cpu_ms(job),
    }
}

/// Returns the CPU-ms of `tasks` tasks of a job, as estimated by its user.
fn cpu_ms(spec: &JobSpec, tasks: f64) -> f64 {
    spec.demand.cpus * tasks * spec.estimate_s * 1000.0
}

/// Returns the CPU-ms of all waiting tasks of a job, as estimated by its user.
pub(super) fn waiting_cpu_ms(job: &Job) -> f64 {
    cpu_ms(&job.spec, f64::from(job.waiting()))
}
