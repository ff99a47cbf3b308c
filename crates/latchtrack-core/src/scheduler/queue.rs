//! The queue: in which order jobs are placed.

use std::collections::{HashMap, HashSet};

use super::policy::Due;
use super::team_limits::TeamUsage;
use super::Scheduler;
use crate::constants::*;
use crate::job::{Demand, Job, JobId, JobSpec, Priority};
use crate::placement;
use crate::placement::{QueueRank, QueueTier};
use crate::Millis;

/// A job in the queue, with how many of its tasks may be placed in this turn.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEntry {
    pub job: JobId,
    pub most: u32,
}

/// Jobs with waiting tasks, as the last scheduling cycle left them.
#[derive(Clone, Debug, Default)]
pub(super) struct JobQueue {
    /// In the order of the cycle.
    pub entries: Vec<QueueEntry>,
    /// Jobs that go before that order, since nothing of them has begun for long.
    pub starving: Vec<JobId>,
    /// Gangs for which there was room for some tasks only: what comes free is kept for them.
    pub gangs_lacking_capacity: HashSet<JobId>,
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

    /// Spare jobs that have waited long enough to go before those that can't be in time, with how
    /// many tasks: the oldest first, within their share of the cluster. Behind an overload that lasts
    /// they would else not be served at all.
    fn best_effort_due(&self, now: Millis, total: &Demand) -> HashMap<JobId, u32> {
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

    /// Whether a job may not start anything while a machine is unsettled: an earlier leader may
    /// have launched its tasks, or its team's limit depends on what runs there.
    fn waits_for_reconciliation(&self, job: &Job) -> bool {
        job.inherited || self.has_team_limit(&job.spec)
    }

    /// Whether a job is to take only what would stand idle: of the lowest priority, and nothing says by
    /// when anybody wants it.
    pub(super) fn is_best_effort(&self, spec: &JobSpec) -> bool {
        spec.priority == Priority::Low
            && spec.deadline_s.is_none()
            && !self.policy.classes_with_objectives.contains(&spec.class)
    }

    /// Jobs that fit into their team's guarantee together with the team's earlier ones.
    fn guaranteed_jobs(&self) -> HashSet<JobId> {
        let mut out = HashSet::new();
        for team in &self.policy.teams {
            let guarantee = self.guarantee_of(team);
            if guarantee == TeamUsage::default() {
                continue;
            }
            let mut mine: Vec<&Job> = self
                .jobs
                .values()
                .filter(|j| j.spec.team == team.name && !j.is_quarantined)
                .collect();
            mine.sort_by_key(|j| (j.submitted_at, j.spec.id));
            let (mut cpus, mut gpus) = (0.0, 0.0);
            for job in mine {
                let n = f64::from(job.spec.tasks - job.done.ones());
                cpus += job.spec.demand.cpus * n;
                gpus += job.spec.demand.gpus * n;
                if cpus > guarantee.cpus + 1e-6 || gpus > guarantee.gpus + 1e-6 {
                    break;
                }
                out.insert(job.spec.id);
            }
        }
        out
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

    /// The jobs that are deferred because not all can be in time: see [`placement::deferred`].
    fn defer_jobs(&self, now: Millis, order: &mut [(QueueRank, JobId)], total: &Demand) {
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
fn work_ms(job: &Job) -> f64 {
    cpu_ms(&job.spec, f64::from(job.waiting()))
}
