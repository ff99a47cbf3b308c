//! Team limits: how much the teams use, and how many more tasks their limits allow.

use std::collections::BTreeMap;

use latchtrack_quota::constants::MILLI_PER_UNIT;
use latchtrack_quota::LaunchLimit;

use super::cycle_state::SchedulingCycle;
use super::policy::Team;
use super::Scheduler;
use crate::job::{JobSpec, Resources};
use crate::machine::fitting_tasks;

/// Resources in use, by team name.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageByTeam {
    teams: BTreeMap<String, Resources>,
    /// Whether some live run has an unknown size and team.
    unknown_runs: bool,
}

impl UsageByTeam {
    /// Adds `tasks` tasks of a job.
    pub fn add(&mut self, spec: &JobSpec, tasks: u32) {
        // The team is almost always present, and this path avoids copying its name.
        if let Some(usage) = self.teams.get_mut(&spec.team) {
            usage.add_multiple(&spec.demand, tasks);
            return;
        }
        self.teams.entry(spec.team.clone()).or_default().add_multiple(&spec.demand, tasks);
    }

    /// Adds a run of unknown size and team.
    fn add_unknown(&mut self) {
        self.unknown_runs = true;
    }

    /// Whether there are live runs of unknown size and team, so that any team may use more than
    /// [`Self::of`] returns.
    pub fn has_unknown_runs(&self) -> bool {
        self.unknown_runs
    }

    /// Returns the known usage of a team.
    pub fn of(&self, team: &str) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }
}

/// Returns the configured limit of a team, if it has one. Resources without a limit are infinite.
fn configured_limit(team: &Team) -> Option<Resources> {
    let limit = |max: f64| if max > 0.0 { max } else { f64::INFINITY };
    let has_limit = team.cpus_max > 0.0 || team.gpus_max > 0.0;
    has_limit.then(|| Resources {
        cpus: limit(team.cpus_max),
        gpus: limit(team.gpus_max),
        memory_gb: f64::INFINITY,
    })
}

/// Returns the limit on what this cell may use of a shared limit. Resources without a limit are
/// infinite.
fn allotted_limit(limit: LaunchLimit) -> Resources {
    let from_milli =
        |milli: Option<u64>| milli.map_or(f64::INFINITY, |n| n as f64 / MILLI_PER_UNIT);
    Resources {
        cpus: from_milli(limit.millicpus),
        gpus: from_milli(limit.milligpus),
        memory_gb: f64::INFINITY,
    }
}

impl Scheduler {
    /// Returns the current limit of a team: its allotment if cells share the teams, else the
    /// configured one.
    fn limit_of(&self, team: &Team) -> Option<Resources> {
        if !self.quota.is_shared() {
            return configured_limit(team);
        }
        self.quota.launch_limit(&team.name).map(allotted_limit)
    }

    fn team_of(&self, spec: &JobSpec) -> Option<&Team> {
        self.policy.teams.iter().find(|team| team.name == spec.team)
    }

    /// Whether the job's team has a limit.
    pub(super) fn has_team_limit(&self, spec: &JobSpec) -> bool {
        self.team_of(spec).is_some_and(|team| self.limit_of(team).is_some())
    }

    fn any_limit(&self) -> bool {
        self.policy.teams.iter().any(|team| self.limit_of(team).is_some())
    }

    /// Returns the usage by team if any team has a limit; otherwise empty.
    pub(super) fn limited_usage(&self) -> UsageByTeam {
        if self.any_limit() {
            self.usage_of_all_teams()
        } else {
            UsageByTeam::default()
        }
    }

    /// Returns the usage by team, whether or not the teams have limits.
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

    /// Returns how many tasks of a job its team's limit allows besides `used`; 0 if the team is
    /// unknown.
    pub(super) fn tasks_allowed_besides(&self, spec: &JobSpec, used: Resources) -> u32 {
        let Some(team) = self.team_of(spec) else { return 0 };
        let Some(limit) = self.limit_of(team) else { return u32::MAX };
        let (cpus, gpus) = (limit.cpus - used.cpus, limit.gpus - used.gpus);
        fitting_tasks(&spec.demand, cpus, gpus, f64::INFINITY)
    }

    /// Returns how many tasks of a job its team's limit allows besides the usage of all teams; 0
    /// while runs of unknown size may count against the limit.
    pub(super) fn tasks_within_limit(&self, spec: &JobSpec, used: &UsageByTeam) -> u32 {
        if self.has_team_limit(spec) && used.has_unknown_runs() {
            return 0;
        }
        self.tasks_allowed_besides(spec, used.of(&spec.team))
    }

    /// Counts tasks against their team's limit. Does nothing if no team has one.
    pub(super) fn count_usage(&self, spec: &JobSpec, tasks: u32, cycle: &mut SchedulingCycle) {
        if self.any_limit() {
            cycle.count_used(spec, tasks);
        }
    }

    /// Counts tasks assigned to pending machines against the expected usage of their team.
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
