//! The teams' guarantees, and the jobs within them.

use std::collections::HashSet;

use super::policy::Team;
use super::team_limits::TeamUsage;
use super::Scheduler;
use crate::job::{Job, JobId};

impl Scheduler {
    /// A team's guarantee here: the cell's part of it where teams are shared.
    pub(super) fn guarantee_of(&self, team: &Team) -> TeamUsage {
        let shared = self.quota.cell.as_ref().and_then(|keeper| keeper.guarantee(&team.name));
        match shared {
            Some(part) => TeamUsage { cpus: part.cpus(), gpus: part.gpus() },
            None => TeamUsage { cpus: team.cpus, gpus: team.gpus },
        }
    }

    /// Jobs that fit into their team's guarantee together with the team's earlier ones.
    pub(super) fn guaranteed_jobs(&self) -> HashSet<JobId> {
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
}
