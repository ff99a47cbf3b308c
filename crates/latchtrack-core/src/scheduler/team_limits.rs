//! Team limits: what the teams use, and what is left for a job.

use std::collections::BTreeMap;

use super::cycle_state::SchedulingCycle;
use super::policy::Team;
use super::Scheduler;
use crate::job::JobSpec;
use crate::machine::fits;

/// CPUs and GPUs in use of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TeamUsage {
    pub cpus: f64,
    pub gpus: f64,
}

impl TeamUsage {
    /// Counts so many tasks of a job.
    pub fn add(&mut self, spec: &JobSpec, tasks: u32) {
        self.cpus += spec.demand.cpus * f64::from(tasks);
        self.gpus += spec.demand.gpus * f64::from(tasks);
    }
}

/// What the teams use, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageByTeam {
    pub teams: BTreeMap<String, TeamUsage>,
    /// A run of unknown size and team is somewhere.
    pub unknown_runs: bool,
}

impl UsageByTeam {
    /// Counts so many tasks of a job.
    pub fn add(&mut self, spec: &JobSpec, tasks: u32) {
        match self.teams.get_mut(&spec.team) {
            Some(usage) => usage.add(spec, tasks),
            None => {
                let mut usage = TeamUsage::default();
                usage.add(spec, tasks);
                self.teams.insert(spec.team.clone(), usage);
            }
        }
    }

    /// What a team uses.
    pub fn of(&self, team: &str) -> TeamUsage {
        self.teams.get(team).copied().unwrap_or_default()
    }
}

/// CPUs and GPUs that a team may use here; infinite without a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TeamLimit {
    cpus: f64,
    gpus: f64,
}

impl TeamLimit {
    /// The limit of the settings, if there is one.
    fn of_settings(team: &Team) -> Option<TeamLimit> {
        let limit = |most: f64| if most > 0.0 { most } else { f64::INFINITY };
        let has_limit = team.cpus_max > 0.0 || team.gpus_max > 0.0;
        has_limit.then(|| TeamLimit { cpus: limit(team.cpus_max), gpus: limit(team.gpus_max) })
    }
}

impl Scheduler {
    /// The limit of a team at this moment: its allotment where teams are shared with other cells.
    fn limit_of(&self, team: &Team) -> Option<TeamLimit> {
        let Some(keeper) = &self.quota.cell else { return TeamLimit::of_settings(team) };
        let limit = keeper.launch_limit(&team.name)?;
        let decimal = |milli: Option<u64>| {
            milli.map_or(f64::INFINITY, |amount| amount as f64 / latchtrack_quota::constants::MILLI)
        };
        Some(TeamLimit { cpus: decimal(limit.millicpus), gpus: decimal(limit.milligpus) })
    }

    fn team_of(&self, spec: &JobSpec) -> Option<&Team> {
        self.policy.teams.iter().find(|team| team.name == spec.team)
    }

    /// Whether a limit of its team has a say in when a job's tasks start.
    pub(super) fn has_team_limit(&self, spec: &JobSpec) -> bool {
        self.team_of(spec).is_some_and(|team| self.limit_of(team).is_some())
    }

    fn any_limit(&self) -> bool {
        self.policy.teams.iter().any(|team| self.limit_of(team).is_some())
    }

    /// What the teams use, which only limits ask for.
    pub(super) fn limited_usage(&self) -> UsageByTeam {
        match self.any_limit() {
            true => self.usage_of_all_teams(),
            false => UsageByTeam::default(),
        }
    }

    /// What all teams use, with a limit or without.
    pub(super) fn usage_of_all_teams(&self) -> UsageByTeam {
        let mut used = UsageByTeam::default();
        for run in self.inventory.runs().filter(|r| r.is_live()) {
            match &run.spec {
                Some(spec) => used.add(spec, 1),
                None => used.unknown_runs = true,
            }
        }
        used
    }

    /// How many tasks its team's limit allows beside so much in use.
    pub(super) fn within_limit(&self, spec: &JobSpec, used: TeamUsage) -> u32 {
        let Some(team) = self.team_of(spec) else { return 0 };
        let Some(limit) = self.limit_of(team) else { return u32::MAX };
        let (cpus, gpus) = (limit.cpus - used.cpus, limit.gpus - used.gpus);
        fits(&spec.demand, cpus, gpus, f64::INFINITY)
    }

    /// How many more tasks the team's limit allows, beside what the teams use.
    pub(super) fn tasks_within_limit(&self, spec: &JobSpec, used: &UsageByTeam) -> u32 {
        if self.has_team_limit(spec) && used.unknown_runs {
            return 0;
        }
        self.within_limit(spec, used.of(&spec.team))
    }

    /// Counts tasks against their team's limit.
    pub(super) fn count_usage(&self, spec: &JobSpec, tasks: u32, cycle: &mut SchedulingCycle) {
        if self.any_limit() {
            cycle.count_used(spec, tasks);
        }
    }

    /// Counts tasks that machines on their way are to take.
    pub(super) fn count_expected_usage(
        &self,
        spec: &JobSpec,
        tasks: u32,
        cycle: &mut SchedulingCycle,
    ) {
        if tasks > 0 && self.any_limit() {
            cycle.count_expected(spec, tasks);
        }
    }
}
