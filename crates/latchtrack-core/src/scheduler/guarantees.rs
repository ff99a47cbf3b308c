//! Team guarantees, and the jobs that are covered by them.

use std::collections::HashSet;

use super::policy::Team;
use super::Scheduler;
use crate::constants::AMOUNT_TOLERANCE;
use crate::job::{Job, JobId, Resources};

impl Scheduler {
    /// Returns a team's guarantee in this cell: the cell's part of it if cells share the team.
    /// Memory is never guaranteed.
    pub(super) fn guarantee_of(&self, team: &Team) -> Resources {
        self.quota.guarantee(&team.name).unwrap_or(Resources {
            cpus: team.cpus,
            gpus: team.gpus,
            memory_gb: 0.0,
        })
    }

    /// Returns the jobs that fit into their team's guarantee, together with all earlier jobs of the
    /// team.
    pub(super) fn guaranteed_jobs(&self) -> HashSet<JobId> {
        let mut guaranteed = HashSet::new();
        for team in &self.policy.teams {
            let guarantee = self.guarantee_of(team);
            if guarantee != Resources::default() {
                self.add_guaranteed_jobs(&team.name, guarantee, &mut guaranteed);
            }
        }
        guaranteed
    }

    fn add_guaranteed_jobs(
        &self,
        team: &str,
        guarantee: Resources,
        guaranteed: &mut HashSet<JobId>,
    ) {
        let of_team = |job: &&Job| job.spec.team == team && !job.is_quarantined;
        let mut jobs: Vec<&Job> = self.jobs.values().filter(of_team).collect();
        jobs.sort_by_key(|job| (job.submitted_at, job.spec.id));
        let mut used = Resources::default();
        for job in jobs {
            used.add_multiple(&job.spec.demand, job.spec.tasks - job.done.count_ones());
            if used.cpus > guarantee.cpus + AMOUNT_TOLERANCE
                || used.gpus > guarantee.gpus + AMOUNT_TOLERANCE
            {
                break;
            }
            guaranteed.insert(job.spec.id);
        }
    }
}
