//! Fair share: jobs of a hot team beyond its share are scheduled after the jobs of other teams.

use std::collections::BTreeMap;

use latchtrack_balance::arrivals::ArrivalLevel;
use latchtrack_balance::fairness::{fair_shares, TeamDemand};

use super::policy::Team;
use super::queue_order::RankedJob;
use super::Scheduler;
use crate::job::{Job, JobSpec, Resources};
use crate::Millis;

/// What a team uses and waits for, as dominant shares of the cluster.
#[derive(Clone, Copy, Debug, Default)]
struct TeamShares {
    /// The share that its live tasks use.
    running: f64,
    /// The share that its waiting tasks need, counting those that may be placed now.
    waiting: f64,
}

impl Scheduler {
    /// Marks the jobs of hot teams that are beyond their team's share. `ranked` must be in queue
    /// order. Marked jobs keep their relative order, and still get capacity that no other job asks
    /// for.
    pub(super) fn mark_beyond_share(
        &mut self,
        now: Millis,
        ranked: &mut [RankedJob],
        total: &Resources,
    ) {
        if !self.policy.balance.teams {
            return;
        }
        let used = self.team_shares(ranked, total);
        let hot = self.hot_shares(now, &used, total);
        if hot.is_empty() {
            return;
        }
        let mut taken: BTreeMap<String, f64> =
            used.iter().map(|(name, team)| (name.clone(), team.running)).collect();
        for RankedJob { rank, id } in ranked {
            let Some(job) = self.jobs.get(id) else { continue };
            let Some(share) = hot.get(&job.spec.team) else { continue };
            let taken = taken.entry(job.spec.team.clone()).or_default();
            rank.beyond_share = *taken >= *share;
            *taken += waiting_share(job, total);
        }
    }

    /// Returns the fair shares of the hot teams: those whose work arrives faster than their share
    /// can complete it.
    fn hot_shares(
        &mut self,
        now: Millis,
        used: &BTreeMap<String, TeamShares>,
        total: &Resources,
    ) -> BTreeMap<String, f64> {
        let demand = |team: &Team| {
            let used = used.get(&team.name).copied().unwrap_or_default();
            team_demand(team, used, total)
        };
        let demands: Vec<TeamDemand> = self.policy.teams.iter().map(demand).collect();
        let shares = fair_shares(&demands);
        let mut hot = BTreeMap::new();
        for (team, share) in self.policy.teams.iter().zip(shares) {
            let level = self.load_balancing.classify_arrivals(now, &team.name, share * total.cpus);
            if level == ArrivalLevel::Hot {
                hot.insert(team.name.clone(), share);
            }
        }
        hot
    }

    /// Returns what each team uses, and what its queued jobs wait for.
    fn team_shares(&self, ranked: &[RankedJob], total: &Resources) -> BTreeMap<String, TeamShares> {
        let mut used: BTreeMap<String, TeamShares> = BTreeMap::new();
        let runs = self.inventory.runs();
        for spec in runs.filter(|run| run.is_live()).filter_map(|run| run.spec.as_ref()) {
            used.entry(spec.team.clone()).or_default().running += task_share(spec, total);
        }
        for job in ranked.iter().filter_map(|ranked| self.jobs.get(&ranked.id)) {
            used.entry(job.spec.team.clone()).or_default().waiting += waiting_share(job, total);
        }
        used
    }
}

/// Returns the dominant share of the cluster that one task uses.
fn task_share(spec: &JobSpec, total: &Resources) -> f64 {
    spec.demand.dominant_share(total)
}

/// Returns the dominant share of the cluster that a job's waiting tasks need, counting those that
/// may be placed now.
fn waiting_share(job: &Job, total: &Resources) -> f64 {
    task_share(&job.spec, total) * f64::from(job.schedulable_tasks())
}

fn team_demand(team: &Team, used: TeamShares, total: &Resources) -> TeamDemand {
    let fraction = |amount: f64, all: f64| if all > 0.0 { amount / all } else { 0.0 };
    let limits = [fraction(team.cpus_max, total.cpus), fraction(team.gpus_max, total.gpus)];
    let limit = limits.into_iter().filter(|limit| *limit > 0.0).fold(f64::INFINITY, f64::min);
    TeamDemand {
        guarantee: fraction(team.cpus, total.cpus).max(fraction(team.gpus, total.gpus)),
        limit: if limit.is_finite() { limit } else { 0.0 },
        wanted: used.running + used.waiting,
    }
}
