//! The order of the queue. Jobs within their team's guarantee go before all others, and in both
//! groups jobs beyond their team's fair share go last. Otherwise jobs are ordered by tier, due time
//! and demand.

use std::cmp::Ordering;

use super::cycle_state::SchedulingCycle;
use super::deferral::waiting_cpu_ms;
use super::policy::Due;
use super::queue::QueueEntry;
use super::Scheduler;
use crate::job::{Job, JobId};
use crate::placement;
use crate::Millis;

/// Tiers of the queue, in scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueTier {
    /// A single task of a quarantined job, retried after each backoff. It uses little capacity, and
    /// lets the job recover quickly if the machines caused its failures.
    Trial,
    /// Jobs with a deadline, if the deadline or a completion objective can still be met; also gangs
    /// with a start objective.
    Deadline,
    /// Jobs without a deadline that can still meet a completion objective of their class.
    Objective,
    /// Jobs with neither deadline nor completion objective.
    Regular,
    /// Jobs that have missed their deadline and all objectives, or that would make the most other
    /// jobs late. The job with the least work goes first, which completes the most jobs and leaves
    /// no small one to the end.
    Deferred,
    /// Best-effort jobs, which use capacity that would otherwise be idle.
    BestEffort,
}

/// The position of a job in the queue. Compared field by field; the smallest rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct QueueRank {
    /// Whether the job does not fit into its team's guarantee.
    pub beyond_guarantee: bool,
    /// Whether the job's team is hot and the job is beyond its fair share.
    pub beyond_share: bool,
    /// The tier of the job; jobs of earlier tiers go first.
    pub tier: QueueTier,
    /// The due time, earliest first, or the value that orders jobs in a tier without due times.
    pub due: Millis,
    /// The demand of the waiting tasks by Eq. 9 of the paper, negated so that the largest goes
    /// first.
    pub negated_demand: f64,
}

/// A job with its rank. The smallest rank goes first, in a tie the smaller id.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct RankedJob {
    /// The position of the job; ties are broken by the id.
    pub rank: QueueRank,
    pub id: JobId,
}

impl Scheduler {
    /// Returns the jobs with waiting tasks that may be placed now, in scheduling order.
    pub(super) fn order_queue(&mut self, now: Millis, cycle: &SchedulingCycle) -> Vec<QueueEntry> {
        let total = cycle.total();
        let best_effort_tasks = self.best_effort_due(now, total);
        let guaranteed = self.guaranteed_jobs();
        let all_reconciled = self.all_reconciled();
        let mut ranked: Vec<RankedJob> = Vec::new();
        for (id, job) in &self.jobs {
            let waiting = job.schedulable_tasks();
            let is_held_back = !all_reconciled && self.waits_for_reconciliation(job);
            if waiting == 0 || is_held_back || job.backoff_until > now {
                continue;
            }
            let (tier, due) = match best_effort_tasks.get(id) {
                _ if job.is_quarantined => (QueueTier::Trial, job.backoff_until),
                Some(_) => (QueueTier::Regular, job.submitted_at),
                None => self.tier_and_due(now, job),
            };
            let weights = &self.policy.weights;
            let rank = QueueRank {
                beyond_guarantee: !guaranteed.contains(id),
                beyond_share: false,
                tier,
                due,
                negated_demand: -placement::job_demand(&job.spec.demand, waiting, total, weights),
            };
            ranked.push(RankedJob { rank, id: *id });
        }
        sort(&mut ranked);
        self.mark_beyond_share(now, &mut ranked, total);
        sort(&mut ranked);
        self.defer_jobs(now, &mut ranked, total);
        sort(&mut ranked);
        let max_tasks = |id: &JobId| best_effort_tasks.get(id).copied().unwrap_or(u32::MAX);
        ranked
            .into_iter()
            .map(|RankedJob { id, .. }| QueueEntry { job: id, max_tasks: max_tasks(&id) })
            .collect()
    }

    /// Whether the job must wait until all machines are reconciled: an earlier leader may have
    /// launched its tasks, or unknown tasks may count against its team's limit.
    fn waits_for_reconciliation(&self, job: &Job) -> bool {
        job.inherited || self.has_team_limit(&job.spec)
    }

    /// Returns the tier of a job and its due time on the local clock, which is the earliest of its
    /// deadline and objectives that can still be met. The caller handles quarantined jobs and
    /// overdue best-effort jobs.
    fn tier_and_due(&self, now: Millis, job: &Job) -> (QueueTier, Millis) {
        if let Some(within_ms) = self.start_objective_ms(&job.spec).filter(|_| job.spec.gang) {
            // The due time is that of the start, for which a gang needs all of its capacity at
            // once.
            return (QueueTier::Deadline, job.submitted_at.saturating_add(within_ms));
        }
        let due_times = self.due_times_ms(job);
        if due_times.is_empty() {
            return if self.is_best_effort(&job.spec) {
                // In order of submission: if all ran side by side, none would complete for a long
                // time.
                (QueueTier::BestEffort, job.submitted_at)
            } else {
                (QueueTier::Regular, 0)
            };
        }
        let due_at = |ms: Millis| job.submitted_at.saturating_add(ms);
        match due_times.into_iter().map(due_at).filter(|due_at| *due_at > now).min() {
            Some(due_at) if job.spec.deadline_s.is_some() => (QueueTier::Deadline, due_at),
            Some(due_at) => (QueueTier::Objective, due_at),
            None => (QueueTier::Deferred, waiting_cpu_ms(job) as Millis),
        }
    }

    /// Returns when a job is due, in ms from its submission: its own deadline, and the completion
    /// objectives of its class.
    fn due_times_ms(&self, job: &Job) -> Vec<Millis> {
        let deadline_ms = job.spec.deadline_s.map(|s| (s * 1000.0) as Millis);
        let objectives = self.policy.completion_objectives.iter();
        objectives
            .filter(|objective| objective.class == job.spec.class)
            .filter_map(|objective| match objective.due {
                Due::Within(ms) => Some(ms),
                Due::DeadlineMultiple(factor) => {
                    deadline_ms.map(|ms| (ms as f64 * factor) as Millis)
                }
            })
            .chain(deadline_ms)
            .collect()
    }
}

fn sort(ranked: &mut [RankedJob]) {
    ranked.sort_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
}
