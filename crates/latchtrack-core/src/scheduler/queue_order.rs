//! The order of the queue: guaranteed jobs first, jobs beyond their team's fair share last, and
//! between them by tier, due time and demand.

use std::cmp::Ordering;

use super::cycle_state::SchedulingCycle;
use super::deferral::waiting_cpu_ms;
use super::policy::Due;
use super::queue::QueueEntry;
use super::Scheduler;
use crate::job::{Job, JobId};
use crate::placement;
use crate::Millis;

/// The parts of the queue, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueTier {
    /// One task of a quarantined job, now and then: it takes next to nothing, and if the failures
    /// were the machines' fault, the job is to get going again soon.
    Trial,
    /// With a deadline of its own, or an objective that multiplies it, that can still be met; also
    /// gangs with a start objective.
    Deadline,
    /// With a completion objective of its class that can still be met.
    Objective,
    /// With neither.
    Regular,
    /// Can't all be in time: these would make the most others late, or have missed all their
    /// objectives. The least work goes first: that gets the most of them done, and leaves no small
    /// one to the end.
    Deferred,
    /// Best effort: takes what would stand idle.
    BestEffort,
}

/// Where a job stands in the queue; the smaller rank goes first, by the fields in their order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct QueueRank {
    /// It does not fit into its team's guarantee.
    pub beyond_guarantee: bool,
    /// Its team is hot and beyond its fair share, while others wait.
    pub beyond_share: bool,
    /// The part of the queue.
    pub tier: QueueTier,
    /// When it is due (earliest deadline first), or what else orders the jobs of its tier.
    pub due: Millis,
    /// The demand of its waiting tasks by Eq. 9 of the paper, negated: the largest goes first.
    pub minus_demand: f64,
}

/// A job with its rank. Of equal ranks the job with the smaller id goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct RankedJob {
    /// Where it stands.
    pub rank: QueueRank,
    /// The job.
    pub id: JobId,
}

impl Scheduler {
    /// The jobs with waiting tasks that may be placed now, the first to be placed first.
    pub(super) fn order_queue(&mut self, now: Millis, cycle: &SchedulingCycle) -> Vec<QueueEntry> {
        let total = cycle.total();
        let best_effort_tasks = self.best_effort_due(now, total);
        let guaranteed = self.guaranteed_jobs();
        let all_reconciled = self.all_reconciled();
        let mut ranked: Vec<RankedJob> = Vec::new();
        for (id, job) in &self.jobs {
            let waiting = job.schedulable_tasks();
            let waits = !all_reconciled && self.waits_for_reconciliation(job);
            if waiting == 0 || waits || job.backoff_until > now {
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
                minus_demand: -placement::job_demand(&job.spec.demand, waiting, total, weights),
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

    /// Whether a job may not start anything while a machine is unreconciled: an earlier leader may
    /// have launched its tasks, or its team's limit depends on what runs there.
    fn waits_for_reconciliation(&self, job: &Job) -> bool {
        job.inherited || self.has_team_limit(&job.spec)
    }

    /// In which tier a job stands that is neither quarantined nor a best-effort job whose time has
    /// come, and when it is due on the local clock: by the next of its deadline and objectives that
    /// can still be met.
    fn tier_and_due(&self, now: Millis, job: &Job) -> (QueueTier, Millis) {
        if let Some(within_ms) = self.start_objective_ms(&job.spec).filter(|_| job.spec.gang) {
            // What is due is its start, and for that it needs its capacity at once.
            return (QueueTier::Deadline, job.submitted_at.saturating_add(within_ms));
        }
        let dues = self.dues_ms(job);
        if dues.is_empty() {
            return if self.is_best_effort(&job.spec) {
                // One job after the other: all at once, none would be done for long.
                (QueueTier::BestEffort, job.submitted_at)
            } else {
                (QueueTier::Regular, 0)
            };
        }
        let due_at = |ms: Millis| job.submitted_at.saturating_add(ms);
        match dues.into_iter().map(due_at).filter(|due_at| *due_at > now).min() {
            Some(due_at) if job.spec.deadline_s.is_some() => (QueueTier::Deadline, due_at),
            Some(due_at) => (QueueTier::Objective, due_at),
            None => (QueueTier::Deferred, waiting_cpu_ms(job) as Millis),
        }
    }

    /// By when a job is due, in ms from its submission: its own deadline, and the completion
    /// objectives of its class.
    fn dues_ms(&self, job: &Job) -> Vec<Millis> {
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
