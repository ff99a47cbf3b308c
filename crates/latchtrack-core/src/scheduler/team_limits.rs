//! Team limits: what the teams use, and how many tasks of a job their limits still allow.

use std::collections::BTreeMap;

use latchtrack_quota::constants::MILLI_PER_UNIT;
use latchtrack_quota::LaunchLimit;

use super::cycle_state::SchedulingCycle;
use super::policy::Team;
use super::Scheduler;
use crate::job::{JobSpec, Resources};
use crate::machine::fitting_tasks;

/// What the teams use, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageByTeam {
    teams: BTreeMap<String, Resources>,
    /// Some live run is of unknown size and team.
    unknown_runs: bool,
}

impl UsageByTeam {
    /// Counts `tasks` tasks of a job.
    pub fn add(&mut self, spec: &JobSpec, tasks: u32) {
        // Looked up first: almost always the team is there, and its name need not be copied.
        if let Some(usage) = self.teams.get_mut(&spec.team) {
            usage.add_multiple(&spec.demand, tasks);
            return;
        }
        self.teams.entry(spec.team.clone()).or_default().add_multiple(&spec.demand, tasks);
    }

    /// Counts a run of unknown size and team.
    fn add_unknown(&mut self) {
        self.unknown_runs = true;
    }

    /// Whether runs of unknown size and team are on some machine, so that any team may use more.
    pub fn has_unknown_runs(&self) -> bool {
        self.unknown_runs
    }

    /// What a team uses.
    pub fn of(&self, team: &str) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }
}

/// The limit of the settings, if there is one; infinite of resources without a limit.
fn limit_of_settings(team: &Team) -> Option<Resources> {
    let limit = |most: f64| if most > 0.0 { most } else { f64::INFINITY };
    let has_limit = team.cpus_max > 0.0 || team.gpus_max > 0.0;
    has_limit.then(|| Resources {
        cpus: limit(team.cpus_max),
        gpus: limit(team.gpus_max),
        memory_gb: f64::INFINITY,
    })
}

/// What the cell may use of a limit that cells share; infinite of resources without a limit.
fn limit_of_allotment(limit: LaunchLimit) -> Resources {
    let decimal = |milli: Option<u64>| milli.map_or(f64::INFINITY, |n| n as f64 / MILLI_PER_UNIT);
    Resources {
        cpus: decimal(limit.millicpus),
        gpus: decimal(limit.milligpus),
        memory_gb: f64::INFINITY,
    }
}

impl Scheduler {
    /// The limit of a team at this moment: its allotment where teams are shared with other cells.
    fn limit_of(&self, team: &Team) -> Option<Resources> {
        if !self.quota.is_shared() {
            return limit_of_settings(team);
        }
        self.quota.launch_limit(&team.name).map(limit_of_allotment)
    }

    fn team_of(&self, spec: &JobSpec) -> Option<&Team> {
        self.policy.teams.iter().find(|team| team.name == spec.team)
    }

    /// Whether its team's limit may hold back tasks of a job.
    pub(super) fn has_team_limit(&self, spec: &JobSpec) -> bool {
        self.team_of(spec).is_some_and(|team| self.limit_of(team).is_some())
    }

    fn any_limit(&self) -> bool {
        self.policy.teams.iter().any(|team| self.limit_of(team).is_some())
    }

    /// What the teams use, if any has a limit; otherwise nothing is counted.
    pub(super) fn limited_usage(&self) -> UsageByTeam {
        if self.any_limit() {
            self.usage_of_all_teams()
        } else {
            UsageByTeam::default()
        }
    }

    /// What all teams use, with a limit or without.
    pub(super) fn usage_of_all_teams(&self) -> UsageByTeam {
        let mut used = UsageByTeam::default();
        for run in self.inventory.runs().filter(|run| run.is_live()) {
            match &run.spec {
                Some(spec) => used.add(spec, 1),
                None => used.add_unknown(),
            }
        }
        used
    }

    /// How many tasks of a job its team's limit allows beside what is in use; none if the team is
    /// unknown.
    pub(super) fn within_limit(&self, spec: &JobSpec, used: Resources) -> u32 {
        let Some(team) = self.team_of(spec) else { return 0 };
        let Some(limit) = self.limit_of(team) else { return u32::MAX };
        let (cpus, gpus) = (limit.cpus - used.cpus, limit.gpus - used.gpus);
        fitting_tasks(&spec.demand, cpus, gpus, f64::INFINITY)
    }

    /// The same by what all teams use: none while runs of unknown size may count against a limit.
    pub(super) fn tasks_within_limit(&self, spec: &JobSpec, used: &UsageByTeam) -> u32 {
        if self.has_team_limit(spec) && used.has_unknown_runs() {
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

    /// Counts tasks that pending machines are to take.
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
