//! In which order jobs are placed.

use super::deferral::work_ms;
use super::policy::Due;
use super::queue::QueueEntry;
use super::Scheduler;
use crate::job::{Demand, Job, JobId};
use crate::placement;
use crate::Millis;

/// The parts of the queue, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueTier {
    /// One task of a job that has shown nothing but failures, now and then: it takes next to nothing,
    /// and if the failures were its machines', it is to get going again soon.
    Trial,
    /// With a deadline, or an aim multiplying it, that can still be met.
    Deadline,
    /// With an aim of its class that can still be met.
    Objective,
    /// With neither.
    Regular,
    /// Can't all be in time: these would make the most others late, or are past all of their aims. The
    /// least work goes first: that brings the most of them in, and leaves no small one to the end.
    Deferred,
    /// Of the lowest priority and with nothing to be late for: takes what would stand idle.
    BestEffort,
}

/// Where a job stands in the queue; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct QueueRank {
    /// 0 within its team's guarantee.
    pub guaranteed: u8,
    /// 1 for a job of a hot team that is beyond its share, while others wait.
    pub beyond_share: u8,
    pub tier: QueueTier,
    /// Earliest first (EDF), where there is something to be late for.
    pub due: Millis,
    /// Otherwise by falling demand.
    pub minus_demand: f64,
}

impl Scheduler {
    /// The jobs with waiting tasks that may be placed now, the first to be placed first.
    pub(super) fn order(
        &mut self,
        now: Millis,
        total: &Demand,
        unsettled: bool,
    ) -> Vec<QueueEntry> {
        let guaranteed = self.guaranteed_jobs();
        let spares = self.best_effort_due(now, total);
        let mut order: Vec<(QueueRank, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| {
                !(unsettled && self.waits_for_reconciliation(j)) && j.backoff_until <= now
            })
            .filter_map(|(id, j)| {
                let waiting = j.schedulable_tasks();
                (waiting > 0).then(|| {
                    let d = &j.spec.demand;
                    let demand = placement::job_demand(d, waiting, total, &self.policy.weights);
                    let (tier, due) = match spares.get(id) {
                        _ if j.is_quarantined => (QueueTier::Trial, j.backoff_until),
                        Some(_) => (QueueTier::Regular, j.submitted_at),
                        None => self.due(now, j),
                    };
                    let rank = QueueRank {
                        guaranteed: u8::from(!guaranteed.contains(id)),
                        beyond_share: 0,
                        tier,
                        due,
                        minus_demand: -demand,
                    };
                    (rank, *id)
                })
            })
            .collect();
        let by_rank = |a: &(QueueRank, JobId), b: &(QueueRank, JobId)| {
            a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)
        };
        order.sort_by(by_rank);
        self.mark_beyond_share(now, &mut order, total);
        order.sort_by(by_rank);
        self.defer_jobs(now, &mut order, total);
        order.sort_by(by_rank);
        let most = |id: &JobId| spares.get(id).copied().unwrap_or(u32::MAX);
        order.into_iter().map(|(_, job)| QueueEntry { job, most: most(&job) }).collect()
    }

    /// Whether a job may not start anything while a machine is unsettled: an earlier leader may
    /// have launched its tasks, or its team's limit depends on what runs there.
    fn waits_for_reconciliation(&self, job: &Job) -> bool {
        job.inherited || self.has_team_limit(&job.spec)
    }

    /// In which tier of the queue a job stands, and when it is due on the local clock: jobs with
    /// a deadline of their own first, then those whose class has an aim, each by the next that
    /// can still be met; then the others; then those that can't all be in time, with those that have
    /// missed theirs already; last what is of the lowest priority and has no aim at all.
    fn due(&self, now: Millis, job: &Job) -> (QueueTier, Millis) {
        if let Some(within) = self.start_objective_ms(&job.spec).filter(|_| job.spec.gang) {
            // Its start is what is due, and for that it needs its room at once.
            return (QueueTier::Deadline, job.submitted_at.saturating_add(within));
        }
        let own = job.spec.deadline_s.map(|d| (d * 1000.0) as Millis);
        let completion_objectives =
            self.policy.completion_objectives.iter().filter(|a| a.class == job.spec.class);
        let mut dues: Vec<Millis> = completion_objectives
            .filter_map(|a| match a.due {
                Due::Within(ms) => Some(ms),
                Due::Times(t) => own.map(|d| (d as f64 * t) as Millis),
            })
            .chain(own)
            .collect();
        if dues.is_empty() {
            // Idle-time work one job after the other: all at once, none would be done for long.
            return match self.is_best_effort(&job.spec) {
                true => (QueueTier::BestEffort, job.submitted_at),
                false => (QueueTier::Regular, 0),
            };
        }
        dues.retain(|ms| job.submitted_at.saturating_add(*ms) > now);
        match dues.iter().min() {
            Some(ms) if own.is_some() => {
                (QueueTier::Deadline, job.submitted_at.saturating_add(*ms))
            }
            Some(ms) => (QueueTier::Objective, job.submitted_at.saturating_add(*ms)),
            None => (QueueTier::Deferred, work_ms(job) as Millis),
        }
    }
}
